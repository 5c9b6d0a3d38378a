//! Processes of a soak: started, signalled by id, and ended with their guard.

use std::{
    fs::File,
    io,
    path::Path,
    process::{ExitStatus, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::{
    io::{AsyncBufReadExt, BufReader, Lines},
    process::{Child, ChildStdout, Command},
    time::timeout,
};

/// A process that is killed when its guard is dropped.
#[derive(Debug)]
pub struct SoakProcess {
    child: Child,
}

impl SoakProcess {
    /// Starts a program whose output goes to the end of a file.
    ///
    /// # Errors
    ///
    /// Fails where the program does not start.
    pub fn start_logged(program: &Path, arguments: &[&str], log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let errors = log.try_clone()?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(log).stderr(errors).kill_on_drop(true);
        Ok(Self { child: command.spawn()? })
    }

    /// Starts a program whose output is read line by line, and that ends when its input does: also where
    /// this process is killed and cannot end it.
    ///
    /// # Errors
    ///
    /// Fails where the program does not start.
    pub fn start_read(
        program: &Path,
        arguments: &[&str],
    ) -> io::Result<(Self, Lines<BufReader<ChildStdout>>)> {
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn()?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        Ok((Self { child }, BufReader::new(output).lines()))
    }

    /// Sends a signal. A process that has ended gets none.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.id() {
            // It may end at this very moment; whoever waits for it sees that.
            let _ended = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Ends it at once.
    ///
    /// # Errors
    ///
    /// Fails where the system does not tell its end.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// How it ended, where it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end; nothing where it did not come in time.
    pub async fn wait(&mut self, patience: Duration) -> Option<ExitStatus> {
        timeout(patience, self.child.wait()).await.ok()?.ok()
    }

    /// Memory that it holds, in KB.
    pub fn memory_kb(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id()?);
        let status = std::fs::read_to_string(path).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }
}
