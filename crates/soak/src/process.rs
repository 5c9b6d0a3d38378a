//! Child processes of a soak. They are signalled by process id, and killed when their guard is
//! dropped.

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
    /// Starts a program that appends its output to a log file.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn start_logged(program: &Path, arguments: &[&str], log: &Path) -> io::Result<Self> {
        let log = File::options().create(true).append(true).open(log)?;
        let errors = log.try_clone()?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(log).stderr(errors).kill_on_drop(true);
        Ok(Self { child: command.spawn()? })
    }

    /// Starts a program whose output is read line by line, and that exits when its standard input
    /// is closed. It therefore exits even if this process is killed.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
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

    /// Sends a signal. Does nothing if the process has exited and was reaped.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = self.child.id() {
            // The process may have just exited; the next poll or wait reports it.
            let _already_exited = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Returns the process id, unless the process has exited and was reaped.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails if the signal or the wait fails.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.child.kill().await
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the exit. Returns `None` if the process did not exit in time.
    pub async fn wait(&mut self, max_wait: Duration) -> Option<ExitStatus> {
        timeout(max_wait, self.child.wait()).await.ok()?.ok()
    }

    /// Returns the resident memory in KB, or `None` if the process has exited.
    pub fn memory_kb(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id()?);
        let status = std::fs::read_to_string(path).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }
}
