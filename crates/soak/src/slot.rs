//! A child process that is restarted after it exits, with its pending stop or restart.

use std::{
    io,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;

use crate::process::SoakProcess;

/// Downtime of a process after an expected exit.
const EXPECTED_EXIT_DOWNTIME: Duration = Duration::from_millis(1_000);

/// A child process that is restarted after it exits.
#[derive(Debug, Default)]
pub(crate) struct ProcessSlot {
    pub(crate) process: Option<SoakProcess>,
    pub(crate) starts: u32,
    /// Whether it was sent a signal that ends it.
    stop_requested: bool,
    down_until: Option<Instant>,
    /// Time at which it is killed unless it has exited.
    pub(crate) kill_at: Option<Instant>,
    /// Whether it is paused, so that it cannot react to a request to stop.
    pub(crate) is_frozen: bool,
}

impl ProcessSlot {
    /// Checks whether the process has exited or must be killed. Returns a description if this was
    /// unexpected. A process that exited with `expected_code` is restarted after
    /// [`EXPECTED_EXIT_DOWNTIME`].
    pub(crate) fn poll(&mut self, expected_code: Option<i32>) -> Option<String> {
        let process = self.process.as_mut()?;
        if let Some(exit_status) = process.exit_status() {
            let is_expected = expected_code.is_some() && exit_status.code() == expected_code;
            let problem = !self.stop_requested && !is_expected;
            let problem = problem.then(|| format!("exited unexpectedly with {exit_status}"));
            if is_expected {
                self.down_until = Some(Instant::now() + EXPECTED_EXIT_DOWNTIME);
            }
            *self = Self { starts: self.starts, down_until: self.down_until, ..Self::default() };
            return problem;
        }
        if !self.is_frozen && self.kill_at.is_some_and(|at| Instant::now() > at) {
            process.signal(Signal::SIGKILL);
            self.kill_at = None;
            return Some("did not exit within the grace period and was killed".to_owned());
        }
        None
    }

    /// Sends a signal that ends the process. Returns whether there is a process.
    pub(crate) fn stop_with(&mut self, signal: Signal) -> bool {
        let Some(process) = &self.process else { return false };
        process.signal(signal);
        self.stop_requested = true;
        true
    }

    pub(crate) fn is_start_due(&self) -> bool {
        self.process.is_none() && self.down_until.is_none_or(|until| Instant::now() >= until)
    }

    pub(crate) fn record_start(&mut self, started: io::Result<SoakProcess>) {
        match started {
            Ok(process) => {
                self.starts += 1;
                self.process = Some(process);
                self.down_until = None;
                self.stop_requested = false;
            }
            Err(error) => eprintln!("failed to start a process: {error}"),
        }
    }

    /// Kills the process, which is restarted after `downtime`.
    pub(crate) fn kill(&mut self, downtime: Duration) {
        if self.stop_with(Signal::SIGKILL) {
            self.down_until = Some(Instant::now() + downtime);
        }
    }

    /// Sends a signal to the process, if there is one.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(process) = &self.process {
            process.signal(signal);
        }
    }
}
