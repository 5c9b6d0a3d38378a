//! Kept streams between the processes of switchfold.
//!
//! Two processes that talk keep one stream open and send many small messages over it. Messages that
//! wait together travel in one [`Frame`], which costs one write instead of many when a batch of steps
//! leaves an engine at once. A sender never blocks: where the other side does not read, the queue
//! fills up and the link is given up, which its owner treats like any other lost link.
//!
//! Every stream carries the cluster token of the settings, compared in constant time, and starts with
//! a [`Hello`] that names the protocol version; see [`LinkError`] for what a stranger is told.

mod client;
mod queue;
mod server;

use derive_more::{Display, Error};
use switchfold_proto::link::{Frame, Hello};

pub use client::{ClientLink, PeerChannel, connect_link, peer_channel};
pub use queue::{LinkQueue, LinkSender, link_queue};
pub use server::{LinkAcceptor, ServerLink, bind_incoming, check_token};

/// Name of the metadata entry that carries the cluster token.
pub const TOKEN_KEY: &str = "switchfold-cluster";

/// Messages that may wait on one link.
pub const QUEUE_CAPACITY: usize = 8_192;

/// Why a link was not made, or ended.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[non_exhaustive]
pub enum LinkError {
    /// The address is not one.
    #[display("address {address}: expected an IP address with a port")]
    BadAddress {
        /// The address.
        address: String,
    },
    /// The cluster token cannot be sent.
    #[display("cluster token: expected visible ASCII characters")]
    BadToken,
    /// Nobody answers at the address.
    #[display("{address}: {detail}")]
    Unreachable {
        /// The address.
        address: String,
        /// What the transport said.
        detail: String,
    },
    /// The other side refused the link.
    #[display("refused: {detail}")]
    Refused {
        /// What the other side said.
        detail: String,
    },
    /// The other side speaks another version of the protocol.
    #[display("protocol version {theirs}, expected {ours}: upgrade the older process")]
    OtherProtocol {
        /// Their version.
        theirs: u32,
        /// This process's version.
        ours: u32,
    },
}

/// First messages of a link: what the other side said of itself.
pub type LinkHello = Hello;

/// Messages of a link, a frame at a time.
pub type LinkFrames = tonic::Streaming<Frame>;
