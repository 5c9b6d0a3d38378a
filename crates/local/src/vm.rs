//! A VM, simulated by one thread with its own runtime.

use std::{future::Future, thread::JoinHandle, time::Duration};

use switchfold_kernel::shutdown::ShutdownSignal;
use tokio::{
    runtime::{Builder, Handle},
    sync::oneshot,
};

/// A VM that runs as a thread; dropping it kills it.
#[derive(Debug)]
pub struct LocalVm {
    name: String,
    runtime: Handle,
    shutdown: ShutdownSignal,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl LocalVm {
    /// Starts a VM that runs `work` until it completes or the VM is killed. `work` receives the
    /// signal that [`stop`](Self::stop) raises.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime or the thread cannot be created.
    pub fn start<F, W>(name: &str, work: W) -> std::io::Result<Self>
    where
        W: FnOnce(ShutdownSignal) -> F + Send + 'static,
        F: Future<Output = ()>,
    {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let shutdown = ShutdownSignal::new();
        let signal = shutdown.clone();
        let (kill, killed) = oneshot::channel();
        let body = move || {
            runtime.block_on(async {
                tokio::select! {
                    () = work(signal) => {}
                    _ = killed => {}
                }
            });
            // Drops all remaining tasks of the VM.
            runtime.shutdown_background();
        };
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(body)?;
        Ok(Self {
            name: name.to_owned(),
            runtime: handle,
            shutdown,
            kill: Some(kill),
            thread: Some(thread),
        })
    }

    /// Returns the name of the VM, which is also the name of its thread.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Ends the VM immediately, closes all its connections and waits for its thread.
    pub fn kill(&mut self) {
        if let Some(kill) = self.kill.take() {
            let _already_ended = kill.send(());
        }
        self.join();
    }

    /// Requests a graceful shutdown and returns without waiting for it.
    pub fn stop(&self) {
        self.shutdown.raise();
    }

    /// Returns whether the thread of the VM has ended.
    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Blocks the runtime of the VM for `time`: no task runs, and sockets stay open.
    pub fn freeze(&self, time: Duration) {
        self.runtime.spawn(async move { std::thread::sleep(time) });
    }

    fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _panics_are_printed = thread.join();
        }
    }
}

impl Drop for LocalVm {
    fn drop(&mut self) {
        self.kill();
    }
}
