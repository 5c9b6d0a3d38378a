//! Observes the bytes of a connection below the HTTP library.

use std::{
    io::{self, IoSlice},
    mem::MaybeUninit,
    pin::Pin,
    task::{Context, Poll},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf},
    net::TcpStream,
};

use super::{ConnectionUse, UseCell};

/// Stream of a caller, whose received bytes can be found without the runtime.
pub trait CallerStream: AsyncRead + AsyncWrite + Unpin {
    /// Returns whether bytes have been received that the runtime may not have reported yet.
    fn has_unreported(&self) -> bool;
}

impl CallerStream for TcpStream {
    fn has_unreported(&self) -> bool {
        // Runs at a close only: reads go by the last events that the runtime has collected.
        SockRef::from(self).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|count| count > 0)
    }
}

impl CallerStream for DuplexStream {
    fn has_unreported(&self) -> bool {
        false
    }
}

/// Stream of a caller that records when bytes arrive and when all that was written has been sent, and
/// tells with each write whether the caller leaves bytes unread.
#[derive(Debug)]
pub(super) struct MonitoredStream<'a, I, W> {
    stream: &'a mut I,
    uses: &'a UseCell,
    on_write: &'a W,
}

impl<'a, I, W: Fn(bool)> MonitoredStream<'a, I, W> {
    pub(super) fn new(stream: &'a mut I, uses: &'a UseCell, on_write: &'a W) -> Self {
        Self { stream, uses, on_write }
    }

    fn begin_write(&mut self) -> Pin<&mut I>
    where
        I: Unpin,
    {
        self.uses.update(|current| current.is_flushed = false);
        Pin::new(&mut *self.stream)
    }

    fn end_write(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        (self.on_write)(polled.is_pending());
        polled
    }
}

impl<I: CallerStream, W> AsyncRead for MonitoredStream<'_, I, W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut *self.stream).poll_read(context, buffer);
        let is_found = || self.uses.get().is_closing && self.stream.has_unreported();
        if buffer.filled().len() > filled || polled.is_pending() && is_found() {
            self.uses.update(ConnectionUse::record_arrival);
        }
        polled
    }
}

impl<I: AsyncWrite + Unpin, W: Fn(bool)> AsyncWrite for MonitoredStream<'_, I, W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = self.begin_write().poll_write(context, bytes);
        self.end_write(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = self.begin_write().poll_write_vectored(context, slices);
        self.end_write(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once it has written all that it had buffered.
        let flushed = Pin::new(&mut *self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.uses.update(ConnectionUse::record_flush);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream).poll_shutdown(context)
    }
}
