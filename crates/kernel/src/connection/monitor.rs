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

/// Stream of a caller that records when bytes arrive and when all that was written has been sent.
#[derive(Debug)]
pub(super) struct MonitoredStream<'a, I> {
    stream: &'a mut I,
    uses: &'a UseCell,
}

impl<'a, I> MonitoredStream<'a, I> {
    pub(super) fn new(stream: &'a mut I, uses: &'a UseCell) -> Self {
        Self { stream, uses }
    }
}

impl<I: CallerStream> AsyncRead for MonitoredStream<'_, I> {
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

impl<I: AsyncWrite + Unpin> AsyncWrite for MonitoredStream<'_, I> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.uses.update(|current| current.is_flushed = false);
        Pin::new(&mut *self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.uses.update(|current| current.is_flushed = false);
        Pin::new(&mut *self.stream).poll_write_vectored(context, slices)
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
