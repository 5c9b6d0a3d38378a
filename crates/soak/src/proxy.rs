//! A loopback proxy that disturbs a link.

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

/// What a link does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkMood {
    /// It carries bytes.
    #[default]
    Well,
    /// It carries them later.
    Delayed(Duration),
    /// It resets connections.
    Reset,
    /// Bytes arrive at the other side, and nothing comes back.
    OneWay,
    /// Nothing arrives on either side, and what is sent meanwhile arrives later.
    Silent,
    /// Nothing arrives on either side, and connections that were used meanwhile never say anything again.
    Dead,
}

/// Direction of bytes on a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkSide {
    There,
    Back,
}

/// A proxy in front of an address, which may change.
#[derive(Clone, Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    mood: watch::Sender<LinkMood>,
}

impl LinkProxy {
    /// Starts a proxy without a target; connections are reset until it has one.
    ///
    /// # Errors
    ///
    /// Fails where no loopback port is to be had.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let proxy = Self { address, target: Arc::default(), mood: watch::Sender::default() };
        let serving = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = serving.clone();
                tokio::spawn(async move { proxy.carry(stream).await });
            }
        });
        Ok(proxy)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where connections go from now on.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.target.lock().expect("no task panics while it holds the target") = target;
    }

    /// Sets what the link does from now on, also to open connections.
    pub fn set_mood(&self, mood: LinkMood) {
        self.mood.send_replace(mood);
    }

    async fn carry(&self, stream: TcpStream) {
        let mut mood = self.mood.subscribe();
        if *mood.borrow_and_update() == LinkMood::Dead {
            return std::future::pending().await;
        }
        // A connection that opens in silence gets no further before the link is well again.
        while matches!(*mood.borrow_and_update(), LinkMood::Silent) {
            if mood.changed().await.is_err() {
                return;
            }
        }
        let target = *self.target.lock().expect("no task panics while it holds the target");
        let other = match target {
            Some(target) if *mood.borrow() != LinkMood::Reset => TcpStream::connect(target).await,
            _ => return reset(&stream),
        };
        let Ok(other) = other else { return reset(&stream) };
        let (near_read, near_write) = stream.into_split();
        let (far_read, far_write) = other.into_split();
        let there = pump(near_read, far_write, LinkSide::There, mood.clone());
        let back = pump(far_read, near_write, LinkSide::Back, mood);
        tokio::join!(there, back);
    }
}

fn reset(stream: &TcpStream) {
    // Without lingering, closing sends a reset; where the option cannot be set, the close must do.
    let _closed_anyway = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Carries one direction of a connection until it ends, and passes on how it did.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    side: LinkSide,
    mut mood: watch::Receiver<LinkMood>,
) {
    let mut buffer = vec![0; 16_384];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = reset_asked(&mut mood) => break,
        };
        match read {
            Ok(0) => {
                let _closed_before = to.shutdown().await;
                return;
            }
            Ok(len) if pass(side, &mut mood).await => {
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

async fn reset_asked(mood: &mut watch::Receiver<LinkMood>) {
    if mood.wait_for(|mood| *mood == LinkMood::Reset).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits until bytes may pass; tells whether they may at all.
async fn pass(side: LinkSide, mood: &mut watch::Receiver<LinkMood>) -> bool {
    loop {
        let now = *mood.borrow_and_update();
        match (now, side) {
            (LinkMood::Well, _) | (LinkMood::OneWay, LinkSide::There) => return true,
            (LinkMood::Delayed(delay), _) => {
                sleep(delay).await;
                return true;
            }
            (LinkMood::Reset, _) => return false,
            (LinkMood::Dead, _) => std::future::pending::<()>().await,
            (LinkMood::OneWay, LinkSide::Back) | (LinkMood::Silent, _) => {}
        }
        if mood.changed().await.is_err() {
            return false;
        }
    }
}
