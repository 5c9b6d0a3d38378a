//! Connections to replicas.
//!
//! One request at a time runs on a connection. The pool tells apart, for each request, whether any
//! byte of it left: only a request that stayed here may be sent again without thought. A connection
//! whose request is given up is closed at once, so that the replica stops its work.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use switchfold_kernel::clock::now_millis;
use switchfold_router::Millis;
use tokio::{
    net::TcpStream,
    task::{AbortHandle, spawn_local},
    time::timeout,
};

/// Time for a connection to open. Links take under a millisecond; a lost packet is sent again only
/// after a second, so a later answer is not worth waiting for.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which the kernel gives up on bytes that the other side does not acknowledge.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_secs(3);

/// Time that an idle connection is kept where the replica names none, in milliseconds.
const DEFAULT_IDLE: Millis = 3_000;

/// Part of the time that a replica names during which its idle connection is used, in percent: the
/// rest covers requests that cross the replica's close.
const IDLE_PERCENT: Millis = 60;

/// Idle connections kept to one replica.
const MOST_IDLE: usize = 16;

/// Why a request was not answered.
#[derive(Clone, Debug, Display, Error)]
pub enum SendError {
    /// No byte of it left.
    #[display("not sent: {detail}")]
    NotSent {
        /// What happened.
        detail: String,
    },
    /// No byte of it left, since the replica wants no requests at the moment.
    #[display("held back for {left} ms")]
    Throttled {
        /// Milliseconds for which it wants none.
        left: Millis,
    },
    /// It was sent, at least in part.
    #[display("no valid answer: {detail}")]
    NoResponse {
        /// What happened.
        detail: String,
    },
}

impl SendError {
    /// Whether no byte of the request left.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::Throttled { .. })
    }
}

/// A connection in use. Dropping it closes it; [`ActiveConnection::return_to`] keeps it.
#[derive(Debug)]
pub struct ActiveConnection {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
}

impl ActiveConnection {
    /// Keeps the connection for another request, once the answer was read to its end.
    pub fn return_to(mut self, pool: &ConnectionPool, keep_alive: Option<Millis>) {
        let Some(sender) = self.sender.take() else { return };
        let idle = keep_alive.unwrap_or(DEFAULT_IDLE) * IDLE_PERCENT / 100;
        let link = IdleConnection { sender, task: self.task.clone(), until: now_millis() + idle };
        pool.keep(self.address, link);
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
    until: Millis,
}

/// Connections to replicas, by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Sends a request and waits for the head of its answer. `fresh` asks for a new connection: what
    /// is left over on a kept one cannot be taken for this request's answer. `may_go` is asked before a connection is
    /// taken, and again before the request is written on one that had to be opened; it gives the time for which not.
    ///
    /// # Errors
    ///
    /// Tells whether anything can have reached the replica.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
        may_go: impl Fn() -> Result<(), Millis>,
    ) -> Result<(Response<Incoming>, ActiveConnection), SendError> {
        let held_back = |left| SendError::Throttled { left };
        let mut request = request;
        may_go().map_err(held_back)?;
        while let Some(link) = self.take(address).filter(|_| !fresh) {
            match send_on(link, request).await {
                Ok(answered) => return Ok(answered),
                Err((SendError::NotSent { .. }, Some(unsent))) => request = unsent,
                Err((error, _)) => return Err(error),
            }
        }
        let link = connect(address).await?;
        may_go().map_err(held_back)?;
        send_on(link, request).await.map_err(|(error, _)| error)
    }

    /// Opens a connection to a replica, and keeps it for the next request.
    ///
    /// # Errors
    ///
    /// Fails where none opens.
    pub async fn open_idle(&self, address: SocketAddr) -> Result<(), SendError> {
        connect(address).await?.return_to(self, None);
        Ok(())
    }

    /// Closes the idle connections to a replica.
    pub fn close_idle(&self, address: SocketAddr) {
        let links = self.idle.borrow_mut().remove(&address);
        links.into_iter().flatten().for_each(|link| link.task.abort());
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self) {
        let now = now_millis();
        self.idle.borrow_mut().retain(|_, links| {
            links.retain(|link| {
                let keep = link.until > now && !link.sender.is_closed();
                if !keep {
                    link.task.abort();
                }
                keep
            });
            !links.is_empty()
        });
    }

    /// Count of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    fn take(&self, address: SocketAddr) -> Option<ActiveConnection> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&address)?;
        while let Some(link) = links.pop() {
            if link.until > now_millis() && link.sender.is_ready() {
                return Some(ActiveConnection {
                    address,
                    sender: Some(link.sender),
                    task: link.task,
                });
            }
            link.task.abort();
        }
        None
    }

    fn keep(&self, address: SocketAddr, link: IdleConnection) {
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(address).or_default();
        match links.len() < MOST_IDLE {
            true => links.push(link),
            false => link.task.abort(),
        }
    }
}

async fn connect(address: SocketAddr) -> Result<ActiveConnection, SendError> {
    let not_sent = |detail: String| SendError::NotSent { detail };
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_sent(error.to_string())),
        Err(_) => return Err(not_sent("connection did not open in time".to_owned())),
    };
    set_options(&stream).map_err(|error| not_sent(error.to_string()))?;
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| not_sent(error.to_string()))?;
    let task = spawn_local(async move {
        // How the connection ended is told to the request that was on it.
        let _ended = connection.await;
    });
    Ok(ActiveConnection { address, sender: Some(sender), task: task.abort_handle() })
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME))
}

type Unsent = Option<Request<Full<Bytes>>>;

async fn send_on(
    mut link: ActiveConnection,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, ActiveConnection), (SendError, Unsent)> {
    let sender = link.sender.as_mut().expect("a busy link has its sender");
    match sender.try_send_request(request).await {
        Ok(answer) => Ok((answer, link)),
        Err(mut failure) => {
            let unsent = failure.take_message();
            let detail = failure.into_error().to_string();
            let error = match unsent {
                Some(_) => SendError::NotSent { detail },
                None => SendError::NoResponse { detail },
            };
            Err((error, unsent))
        }
    }
}
