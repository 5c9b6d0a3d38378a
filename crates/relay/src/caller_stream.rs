//! The stream of a caller's connection, which tells whether the caller reads what is sent to it.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use switchfold_kernel::connection::CallerStream;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::caller_connection::CallerConnection;

/// A caller's stream that records on its connection when bytes stay unsent.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    connection: Rc<CallerConnection>,
}

impl WatchedStream {
    /// Watches the stream of a connection.
    pub fn new(stream: TcpStream, connection: &Rc<CallerConnection>) -> Self {
        Self { stream, connection: connection.clone() }
    }

    fn watch(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.connection.record_unsent(polled.is_pending());
        polled
    }
}

impl CallerStream for WatchedStream {
    fn has_unreported(&self) -> bool {
        self.stream.has_unreported()
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.watch(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
