//! Connections to replicas.
//!
//! A connection runs one request at a time. For each failed request the pool reports whether any
//! byte of it was sent, since only a request of which none was sent may always be sent again. A
//! connection whose request is abandoned is closed at once, so that the replica stops working on
//! it.

use std::{
    cell::RefCell,
    collections::HashMap,
    io::{self, ErrorKind},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
    ext::ReasonPhrase,
};
use hyper_util::rt::TokioIo;
use nix::errno::Errno;
use socket2::SockRef;
use switchfold_kernel::{clock::now_millis, http::check_final};
use switchfold_platform::headers::is_merged;
use switchfold_router::Millis;
use tokio::{
    net::TcpStream,
    task::{AbortHandle, spawn_local},
    time::timeout,
};

use crate::interim::{BoundedStream, InterimCount};

/// Time for a connection to open. A link takes less than a millisecond, and TCP retransmits a lost
/// packet only after a second, so waiting longer does not pay off.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which the operating system closes a connection whose peer does not acknowledge sent
/// bytes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which an idle connection is kept if the replica names none, in milliseconds.
const DEFAULT_IDLE_TIMEOUT: Millis = 3_000;

/// Percentage of the idle timeout named by the replica during which its connection is reused. The
/// rest avoids requests that cross the replica's close.
const IDLE_PERCENT: Millis = 60;

/// Size of the read buffer of a connection, which also bounds the head of a response, in bytes.
const MAX_BUFFER: usize = 32 << 10;

/// Maximum number of idle connections to one replica.
const MAX_IDLE: usize = 16;

/// Why a request got no response.
#[derive(Clone, Debug, Display, Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[display("not sent: {detail}")]
    NotSent {
        /// Why it was not sent.
        detail: String,
        /// What is known of the cause.
        cause: UnsentCause,
    },
    /// No byte of the request was sent, since the replica accepts no requests of this relay at the
    /// moment.
    #[display("replica accepts no requests for {remaining} ms")]
    Throttled {
        /// Time until it accepts requests again, in milliseconds.
        remaining: Millis,
    },
    /// At least part of the request was sent, and no valid response was received.
    #[display("no valid response: {detail}")]
    NoResponse {
        /// What failed.
        detail: String,
    },
}

impl SendError {
    /// Returns whether no byte of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::Throttled { .. })
    }

    /// Returns whether the connection was refused, which a silent replica does not do.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::NotSent { cause: UnsentCause::Refused, .. })
    }

    /// Returns whether this process could not even try to reach the replica.
    pub fn is_local(&self) -> bool {
        matches!(self, Self::NotSent { cause: UnsentCause::Local, .. })
    }
}

/// Why no byte of a request was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnsentCause {
    /// The replica's host refused the connection: nobody listens at the address.
    Refused,
    /// This process or its host has no descriptor or no memory for a connection.
    Local,
    /// Anything else.
    Unknown,
}

impl UnsentCause {
    /// Returns the cause of a connection that could not be opened.
    fn of(error: &io::Error) -> Self {
        let is_local = error.raw_os_error().map(Errno::from_raw).is_some_and(|errno| {
            matches!(errno, Errno::EMFILE | Errno::ENFILE | Errno::ENOBUFS | Errno::ENOMEM)
        });
        match error.kind() {
            _ if is_local => Self::Local,
            ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Unknown,
        }
    }
}

/// A connection that runs a request. Dropping it closes it; [`ActiveConnection::return_to`] keeps
/// it open.
#[derive(Debug)]
pub struct ActiveConnection {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    interim: InterimCount,
}

impl ActiveConnection {
    /// Returns the connection to the pool, once the response has been read to its end. `keep_alive`
    /// is the idle timeout that the replica named, in milliseconds.
    pub fn return_to(mut self, pool: &ConnectionPool, keep_alive: Option<Millis>) {
        let Some(sender) = self.sender.take() else { return };
        let idle = keep_alive.unwrap_or(DEFAULT_IDLE_TIMEOUT) * IDLE_PERCENT / 100;
        let (task, interim) = (self.task.clone(), self.interim.clone());
        let connection = IdleConnection { sender, task, interim, expiry: now_millis() + idle };
        pool.keep(self.address, connection);
    }
}

impl Drop for ActiveConnection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    interim: InterimCount,
    expiry: Millis,
}

/// Idle connections to replicas, by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Sends a request and waits for the head of its response.
    ///
    /// `new_connection` forbids idle connections: bytes left over on one could be taken for the
    /// response to this request. `may_send` is called before a connection is chosen, and again
    /// before the request is written to a connection that had to be opened; it fails with the time
    /// until the replica accepts requests again.
    ///
    /// # Errors
    ///
    /// The error states whether any byte of the request may have reached the replica.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        new_connection: bool,
        may_send: impl Fn() -> Result<(), Millis>,
    ) -> Result<(Response<Incoming>, ActiveConnection), SendError> {
        self.send_observed(address, request, new_connection, may_send, || ()).await
    }

    /// Like [`ConnectionPool::send`]. `on_write` is called before the request is written to a
    /// connection, so that it is known of a send that is abandoned whether bytes may have been
    /// sent.
    ///
    /// # Errors
    ///
    /// The error states whether any byte of the request may have reached the replica.
    pub async fn send_observed(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        new_connection: bool,
        may_send: impl Fn() -> Result<(), Millis>,
        on_write: impl Fn(),
    ) -> Result<(Response<Incoming>, ActiveConnection), SendError> {
        let throttled = |remaining| SendError::Throttled { remaining };
        let mut request = request;
        may_send().map_err(throttled)?;
        while let Some(connection) = self.take(address).filter(|_| !new_connection) {
            on_write();
            match send_on(connection, request).await {
                Ok(response) => return Ok(response),
                Err((SendError::NotSent { .. }, Some(unsent))) => request = unsent,
                Err((error, _)) => return Err(error),
            }
        }
        let connection = connect(address).await?;
        may_send().map_err(throttled)?;
        on_write();
        send_on(connection, request).await.map_err(|(error, _)| error)
    }

    /// Opens a connection to a replica and keeps it idle for the next request.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be opened within [`CONNECT_TIMEOUT`].
    pub async fn open_idle(&self, address: SocketAddr) -> Result<(), SendError> {
        connect(address).await?.return_to(self, None);
        Ok(())
    }

    /// Closes the idle connections to a replica.
    pub fn close_idle(&self, address: SocketAddr) {
        let connections = self.idle.borrow_mut().remove(&address);
        connections.into_iter().flatten().for_each(|connection| connection.task.abort());
    }

    /// Closes connections that were idle for too long, and drops those that the replicas closed.
    pub fn close_expired(&self) {
        let now = now_millis();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| {
                let keep = connection.expiry > now && !connection.sender.is_closed();
                if !keep {
                    connection.task.abort();
                }
                keep
            });
            !connections.is_empty()
        });
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    fn take(&self, address: SocketAddr) -> Option<ActiveConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.expiry > now_millis() && connection.sender.is_ready() {
                return Some(ActiveConnection {
                    address,
                    sender: Some(connection.sender),
                    task: connection.task,
                    interim: connection.interim,
                });
            }
            connection.task.abort();
        }
        None
    }

    fn keep(&self, address: SocketAddr, connection: IdleConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        match connections.len() < MAX_IDLE {
            true => connections.push(connection),
            false => connection.task.abort(),
        }
    }
}

async fn connect(address: SocketAddr) -> Result<ActiveConnection, SendError> {
    let not_sent = |detail: String| SendError::NotSent { detail, cause: UnsentCause::Unknown };
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            let cause = UnsentCause::of(&error);
            return Err(SendError::NotSent { detail: error.to_string(), cause });
        }
        Err(_) => return Err(not_sent("connection timed out".to_owned())),
    };
    set_options(&stream).map_err(|error| not_sent(error.to_string()))?;
    let interim = InterimCount::default();
    let stream = TokioIo::new(BoundedStream::new(stream, &interim));
    let handshake = http1::Builder::new().max_buf_size(MAX_BUFFER).handshake(stream).await;
    let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
    let task = spawn_local(async move {
        // The request on the connection receives the error.
        let _ended = connection.await;
    });
    Ok(ActiveConnection { address, sender: Some(sender), task: task.abort_handle(), interim })
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

type Unsent = Option<Request<Full<Bytes>>>;

/// Checks that a head is that of one final response.
fn check_response(response: &Response<Incoming>) -> Result<(), String> {
    check_final(response.status())?;
    // Surplus bytes of the response before, which the connection had not read in time.
    match is_merged(response.headers(), reason(response)) {
        true => Err("parts of two responses".to_owned()),
        false => Ok(()),
    }
}

async fn send_on(
    mut connection: ActiveConnection,
    mut request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, ActiveConnection), (SendError, Unsent)> {
    let sender = connection.sender.as_mut().expect("an active connection has its sender");
    connection.interim.count_of(&mut request);
    match sender.try_send_request(request).await {
        Ok(response) => match check_response(&response) {
            Ok(()) => Ok((response, connection)),
            Err(detail) => Err((SendError::NoResponse { detail }, None)),
        },
        Err(mut failure) => {
            let unsent = failure.take_message();
            let detail = failure.into_error().to_string();
            let error = match unsent {
                Some(_) => SendError::NotSent { detail, cause: UnsentCause::Unknown },
                None => SendError::NoResponse { detail },
            };
            Err((error, unsent))
        }
    }
}

/// Returns the reason phrase of a response; empty if it is the usual one of its status.
fn reason(response: &Response<Incoming>) -> &[u8] {
    response.extensions().get::<ReasonPhrase>().map_or(&[], ReasonPhrase::as_bytes)
}
