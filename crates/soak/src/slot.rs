//! A process that is started again when it has ended, and what it was told.

use std::{
    io,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;

use crate::process::SoakProcess;

/// Time that a process is down after an excused end.
const EXCUSED_DOWN: Duration = Duration::from_millis(1_000);

/// A process that is started again when it has ended.
#[derive(Debug, Default)]
pub(crate) struct ProcessSlot {
    pub(crate) process: Option<SoakProcess>,
    pub(crate) starts: u32,
    /// Whether it was told to end.
    told: bool,
    down_until: Option<Instant>,
    /// When it is killed where it has not ended by itself.
    pub(crate) kill_at: Option<Instant>,
    /// Whether it stands still, so that it can do nothing it was told.
    pub(crate) is_frozen: bool,
}

impl ProcessSlot {
    /// Looks whether the process has ended or must be; tells what was odd about it. One that ended by itself with the code
    /// `excused` is down for a while.
    pub(crate) fn look(&mut self, excused: Option<i32>) -> Option<String> {
        let process = self.process.as_mut()?;
        if let Some(ended) = process.ended() {
            let is_excused = excused.is_some() && ended.code() == excused;
            let odd = !self.told && !is_excused;
            let odd = odd.then(|| format!("ended by itself with {ended}"));
            if is_excused {
                self.down_until = Some(Instant::now() + EXCUSED_DOWN);
            }
            *self = Self { starts: self.starts, down_until: self.down_until, ..Self::default() };
            return odd;
        }
        if !self.is_frozen && self.kill_at.is_some_and(|at| Instant::now() > at) {
            process.signal(Signal::SIGKILL);
            self.kill_at = None;
            return Some("was still there after the grace time".to_owned());
        }
        None
    }

    /// Tells the process to end, where there is one; tells whether there is.
    pub(crate) fn tell(&mut self, signal: Signal) -> bool {
        let Some(process) = &self.process else { return false };
        process.signal(signal);
        self.told = true;
        true
    }

    pub(crate) fn is_due(&self) -> bool {
        self.process.is_none() && self.down_until.is_none_or(|until| Instant::now() >= until)
    }

    pub(crate) fn take_start(&mut self, started: io::Result<SoakProcess>) {
        match started {
            Ok(process) => {
                self.starts += 1;
                self.process = Some(process);
                self.down_until = None;
                self.told = false;
            }
            Err(error) => eprintln!("a process did not start: {error}"),
        }
    }

    /// Kills the process; it is down for a while.
    pub(crate) fn kill(&mut self, down: Duration) {
        if self.tell(Signal::SIGKILL) {
            self.down_until = Some(Instant::now() + down);
        }
    }

    /// Sends a signal to the process, where there is one.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(process) = &self.process {
            process.signal(signal);
        }
    }
}
