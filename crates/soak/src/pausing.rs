//! A connection of a caller that sends a request in two parts.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// A pause within the bytes that are sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendPause {
    /// Number of bytes after which it begins.
    pub(crate) after_bytes: usize,
    /// Its duration.
    pub(crate) pause: Duration,
}

/// Sets the pause within the next bytes that are written to a [`PausingStream`].
#[derive(Clone, Debug, Default)]
pub(crate) struct NextPause(Arc<Mutex<Option<SendPause>>>);

impl NextPause {
    pub(crate) fn set(&self, pause: Option<SendPause>) {
        *self.lock() = pause;
    }

    fn lock(&self) -> MutexGuard<'_, Option<SendPause>> {
        self.0.lock().expect("no task panics while it holds the lock")
    }
}

/// A connection that pauses once after some of the bytes that are written to it.
#[derive(Debug)]
pub(crate) struct PausingStream {
    stream: TcpStream,
    next_pause: NextPause,
    resume_at: Option<Pin<Box<Sleep>>>,
}

impl PausingStream {
    /// Wraps a stream; `next_pause` sets its pauses.
    pub(crate) fn new(stream: TcpStream, next_pause: NextPause) -> Self {
        Self { stream, next_pause, resume_at: None }
    }
}

impl AsyncRead for PausingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for PausingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Some(resume_at) = &mut self.resume_at {
            ready!(resume_at.as_mut().poll(context));
            self.resume_at = None;
        }
        let next_pause = self.next_pause.clone();
        let mut next_pause = next_pause.lock();
        let len = next_pause.map_or(bytes.len(), |pause| pause.after_bytes.min(bytes.len()));
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, &bytes[..len]))?;
        if let Some(pause) = &mut *next_pause {
            pause.after_bytes -= written;
            if pause.after_bytes == 0 {
                self.resume_at = Some(Box::pin(sleep(pause.pause)));
                *next_pause = None;
            }
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
