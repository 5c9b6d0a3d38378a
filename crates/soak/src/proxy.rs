//! A loopback proxy that disrupts a link.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// Condition of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkCondition {
    /// Bytes pass.
    #[default]
    Healthy,
    /// Bytes pass after a delay.
    Delayed(Duration),
    /// Connections are reset.
    Reset,
    /// Bytes reach the target, and none come back.
    OneWay,
    /// No bytes pass in either direction. Those sent meanwhile are delivered later.
    Paused,
    /// No bytes pass in either direction, and connections that were used meanwhile never deliver
    /// any again.
    Blackholed,
}

/// Direction of bytes on a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkDirection {
    ToTarget,
    FromTarget,
}

/// A proxy in front of an address that may change.
#[derive(Clone, Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    condition: watch::Sender<LinkCondition>,
}

impl LinkProxy {
    /// Starts a proxy without a target. Connections are reset until it has one.
    ///
    /// # Errors
    ///
    /// Fails if no loopback port can be bound.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let proxy = Self { address, target: Arc::default(), condition: watch::Sender::default() };
        let acceptor = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = acceptor.clone();
                tokio::spawn(async move { proxy.forward(stream).await });
            }
        });
        Ok(proxy)
    }

    /// Address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.target.lock().expect("no task panics while it holds the target") = target;
    }

    /// Sets the condition of the link, also for open connections.
    pub fn set_condition(&self, condition: LinkCondition) {
        self.condition.send_replace(condition);
    }

    async fn forward(&self, stream: TcpStream) {
        let mut condition = self.condition.subscribe();
        if *condition.borrow_and_update() == LinkCondition::Blackholed {
            return std::future::pending().await;
        }
        // A connection that is opened while the link is paused waits until it is not.
        while matches!(*condition.borrow_and_update(), LinkCondition::Paused) {
            if condition.changed().await.is_err() {
                return;
            }
        }
        let target = *self.target.lock().expect("no task panics while it holds the target");
        let target_stream = match target {
            Some(target) if *condition.borrow() != LinkCondition::Reset => {
                TcpStream::connect(target).await
            }
            _ => return reset(&stream),
        };
        let Ok(target_stream) = target_stream else { return reset(&stream) };
        let (caller_read, caller_write) = stream.into_split();
        let (target_read, target_write) = target_stream.into_split();
        let to_target = pump(caller_read, target_write, LinkDirection::ToTarget, condition.clone());
        let from_target = pump(target_read, caller_write, LinkDirection::FromTarget, condition);
        tokio::join!(to_target, from_target);
    }
}

fn reset(stream: &TcpStream) {
    // With a linger time of zero, closing sends a reset. If the option cannot be set, the
    // connection is closed without one.
    let _closes_anyway = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Forwards one direction of a connection until it ends, then ends the other side in the same way:
/// closed or reset.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: LinkDirection,
    mut condition: watch::Receiver<LinkCondition>,
) {
    let mut buffer = vec![0; 16_384];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = wait_for_reset(&mut condition) => break,
        };
        match read {
            Ok(0) => {
                let _already_closed = to.shutdown().await;
                return;
            }
            Ok(len) if wait_until_passable(direction, &mut condition).await => {
                if to.write_all(&buffer[..len]).await.is_err() {
                    break;
                }
            }
            Ok(_) | Err(_) => break,
        }
    }
    reset(from.as_ref());
    reset(to.as_ref());
}

async fn wait_for_reset(condition: &mut watch::Receiver<LinkCondition>) {
    if condition.wait_for(|condition| *condition == LinkCondition::Reset).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits until bytes may pass. Returns `false` if the connection must be reset instead.
async fn wait_until_passable(
    direction: LinkDirection,
    condition: &mut watch::Receiver<LinkCondition>,
) -> bool {
    loop {
        let current = *condition.borrow_and_update();
        match (current, direction) {
            (LinkCondition::Healthy, _) | (LinkCondition::OneWay, LinkDirection::ToTarget) => {
                return true;
            }
            (LinkCondition::Delayed(delay), _) => {
                sleep(delay).await;
                return true;
            }
            (LinkCondition::Reset, _) => return false,
            (LinkCondition::Blackholed, _) => std::future::pending::<()>().await,
            (LinkCondition::OneWay, LinkDirection::FromTarget) | (LinkCondition::Paused, _) => {}
        }
        if condition.changed().await.is_err() {
            return false;
        }
    }
}
