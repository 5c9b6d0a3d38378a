//! The record of a run: what was sent, answered and run, and when.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Record that all threads write to. Clones share the file and the clock.
#[derive(Clone, Debug)]
pub struct RunRecord {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl RunRecord {
    /// Creates the file, and starts the clock.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, started: Instant::now() })
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line with its time, and returns the time.
    pub fn write(&self, line: &str) -> u64 {
        let now = self.now();
        let mut file = self.file.lock().expect("no thread panics while it writes");
        if let Err(error) = writeln!(file, "{:>9.3} s  {line}", now as f64 / 1_000.0) {
            eprintln!("record: {error}");
        }
        now
    }
}
