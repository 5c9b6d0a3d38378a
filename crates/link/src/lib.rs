//! Links: persistent bidirectional gRPC streams between the processes of switchfold.
//!
//! Two processes keep one stream open and send many small messages over it. Messages that are
//! queued at the same time are sent in one [`Frame`], so that a batch of steps that leaves an
//! engine at once costs one write instead of many. A sender never blocks: if the other side stops
//! reading, the queue fills up, sends fail, and the owner treats the link as lost.
//!
//! Every stream carries the cluster token of the settings, which is compared in constant time, and
//! starts with a [`Hello`] that names the protocol version. [`LinkError`] lists why a link is
//! refused.

mod client;
mod queue;
mod server;

use derive_more::{Display, Error};
use switchfold_proto::link::{Frame, Hello};

pub use client::{ClientLink, PeerChannel, connect_link, peer_channel};
pub use queue::{LinkQueue, LinkSender, link_queue};
pub use server::{LinkAcceptor, ServerLink, bind_incoming, check_token};

/// Name of the gRPC metadata entry that carries the cluster token.
pub const TOKEN_KEY: &str = "switchfold-cluster";

/// Messages that may be queued on one link before sends fail.
pub const QUEUE_CAPACITY: usize = 8_192;

/// Error of opening a link.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[non_exhaustive]
pub enum LinkError {
    /// The address is malformed.
    #[display("address {address}: expected an IP address with a port")]
    BadAddress {
        /// The address.
        address: String,
    },
    /// The cluster token cannot be sent in gRPC metadata.
    #[display("cluster token: expected visible ASCII characters")]
    BadToken,
    /// No connection to the address could be made.
    #[display("{address}: {detail}")]
    Unreachable {
        /// The address.
        address: String,
        /// Error of the transport.
        detail: String,
    },
    /// The other side refused the link.
    #[display("refused: {detail}")]
    Refused {
        /// Message of the gRPC status.
        detail: String,
    },
    /// The other side uses another version of the protocol.
    #[display("protocol version {theirs}, expected {ours}: upgrade the older process")]
    OtherProtocol {
        /// Version of the other side.
        theirs: u32,
        /// Version of this process.
        ours: u32,
    },
}

/// First message of a link, with which the connecting side identifies itself.
pub type LinkHello = Hello;

/// Incoming half of a link: a stream of frames.
pub type LinkFrames = tonic::Streaming<Frame>;
