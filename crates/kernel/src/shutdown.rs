//! Graceful shutdown.
//!
//! A [`ShutdownSignal`] is raised once. A task that has work to finish holds a [`WorkGuard`].
//! [`ShutdownSignal::drained`] resolves when the last guard has been dropped.

use std::sync::Arc;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Signal that stops a process, with a count of the work that must finish first. Clones share their
/// state.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    token: CancellationToken,
    work: Arc<watch::Sender<usize>>,
}

/// Unit of work that a graceful shutdown waits for, until the guard is dropped.
#[derive(Debug)]
pub struct WorkGuard {
    work: Arc<watch::Sender<usize>>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        let (work, _) = watch::channel(0);
        Self { token: CancellationToken::new(), work: Arc::new(work) }
    }
}

impl ShutdownSignal {
    /// Creates a signal that is not raised and has no work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises the signal. Raising it again has no effect.
    pub fn raise(&self) {
        self.token.cancel();
    }

    /// Returns whether the signal is raised.
    pub fn is_raised(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Waits until the signal is raised. Returns at once if it already is.
    pub async fn raised(&self) {
        self.token.cancelled().await;
    }

    /// Registers a unit of work that [`drained`](Self::drained) waits for.
    pub fn guard(&self) -> WorkGuard {
        self.work.send_modify(|count| *count += 1);
        WorkGuard { work: Arc::clone(&self.work) }
    }

    /// Returns the number of guards that have not been dropped.
    pub fn pending(&self) -> usize {
        *self.work.borrow()
    }

    /// Waits until all guards have been dropped.
    pub async fn drained(&self) {
        let mut receiver = self.work.subscribe();
        // `self` keeps the sender alive, so the wait cannot fail.
        let _ = receiver.wait_for(|count| *count == 0).await;
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.work.send_modify(|count| *count -= 1);
    }
}

/// Waits for SIGTERM or SIGINT, by which the platform or an operator asks the process to stop.
///
/// # Errors
///
/// Returns an error if the signal handlers cannot be installed.
pub async fn wait_for_stop_signal() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Returns a signal that is raised when the process receives SIGTERM or SIGINT.
///
/// If the signal handlers cannot be installed, the signal is raised at once: otherwise the process
/// could never be stopped gracefully.
///
/// # Panics
///
/// Panics outside of a Tokio runtime.
pub fn shutdown_on_signal() -> ShutdownSignal {
    let shutdown = ShutdownSignal::new();
    let signal = shutdown.clone();
    tokio::spawn(async move {
        let _error_also_stops = wait_for_stop_signal().await;
        signal.raise();
    });
    shutdown
}
