//! Observes the bytes of a connection below the HTTP library.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::watch,
};

use super::ConnectionUse;

/// Stream of a caller that records when bytes arrive and when all that was written has been sent.
#[derive(Debug)]
pub(super) struct MonitoredStream<'a, I> {
    stream: &'a mut I,
    uses: &'a watch::Sender<ConnectionUse>,
}

impl<'a, I> MonitoredStream<'a, I> {
    pub(super) fn new(stream: &'a mut I, uses: &'a watch::Sender<ConnectionUse>) -> Self {
        Self { stream, uses }
    }
}

impl<I: AsyncRead + Unpin> AsyncRead for MonitoredStream<'_, I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let polled = Pin::new(&mut *self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled {
            self.uses.send_if_modified(ConnectionUse::record_arrival);
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
        self.uses.send_if_modified(ConnectionUse::record_write);
        Pin::new(&mut *self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.uses.send_if_modified(ConnectionUse::record_write);
        Pin::new(&mut *self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once it has written all that it had buffered.
        let flushed = Pin::new(&mut *self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.uses.send_if_modified(ConnectionUse::record_flush);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream).poll_shutdown(context)
    }
}
