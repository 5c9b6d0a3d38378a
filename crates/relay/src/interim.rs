//! Bound of the interim responses to a request.
//!
//! The HTTP library skips interim responses, however many there are. A replica that sends them without
//! end would occupy the relay until the deadline of the request.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use http::Request;
use hyper::ext::on_informational;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum number of interim responses before the response to a request.
const MAX_INTERIM: usize = 100;

/// Number of interim responses to the request that a connection runs.
#[derive(Clone, Debug, Default)]
pub struct InterimCount(Arc<AtomicUsize>);

impl InterimCount {
    /// Counts the interim responses to a request from now on.
    pub fn count_of<B>(&self, request: &mut Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let count = self.0.clone();
        on_informational(request, move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        });
    }

    fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) > MAX_INTERIM
    }
}

/// Stream of a connection, which fails once there were too many interim responses.
#[derive(Debug)]
pub struct BoundedStream {
    stream: TcpStream,
    interim: InterimCount,
}

impl BoundedStream {
    /// Wraps the stream of a connection.
    pub fn new(stream: TcpStream, interim: &InterimCount) -> Self {
        Self { stream, interim: interim.clone() }
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.interim.is_exceeded() {
            true => Poll::Ready(Err(io::Error::other("too many interim responses"))),
            false => self.stream().poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(context)
    }
}
