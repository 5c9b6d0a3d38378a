//! Shutdown in order, by guards.
//!
//! A [`ShutdownSignal`] is raised once. Whoever has work to finish holds a [`WorkGuard`]; dropping it
//! is the release. [`ShutdownSignal::drained`] resolves once the last guard is gone.

use std::sync::Arc;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Tells a process to stop, and waits for its work.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    token: CancellationToken,
    work: Arc<watch::Sender<usize>>,
}

/// A piece of work that a planned stop waits for. Dropping it releases.
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
    /// Makes a signal that is not raised.
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises the signal.
    pub fn raise(&self) {
        self.token.cancel();
    }

    /// Tells whether it is raised.
    pub fn is_raised(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Waits until it is raised.
    pub async fn raised(&self) {
        self.token.cancelled().await;
    }

    /// Notes a piece of work.
    pub fn guard(&self) -> WorkGuard {
        self.work.send_modify(|count| *count += 1);
        WorkGuard { work: Arc::clone(&self.work) }
    }

    /// Count of guards held.
    pub fn pending(&self) -> usize {
        *self.work.borrow()
    }

    /// Waits until no guard is held.
    pub async fn drained(&self) {
        let mut receiver = self.work.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = receiver.wait_for(|count| *count == 0).await;
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.work.send_modify(|count| *count -= 1);
    }
}

/// Waits for the operator's or the platform's request to stop.
///
/// # Errors
///
/// Fails where the process cannot listen for signals.
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

/// A signal that is raised when the operator or the platform asks the process to stop. A process that
/// cannot listen for signals stops at once, rather than never in order.
pub fn shutdown_on_signal() -> ShutdownSignal {
    let shutdown = ShutdownSignal::new();
    let raised = shutdown.clone();
    tokio::spawn(async move {
        let _no_signals_means_stop = wait_for_stop_signal().await;
        raised.raise();
    });
    shutdown
}
