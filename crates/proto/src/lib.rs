//! Protocol messages between the processes of switchfold.
//!
//! | module | used between |
//! |---|---|
//! | [`link`] | entries and agents, and agents among themselves, over persistent streams |
//! | [`engine`] | an agent and its local engine |
//! | [`peer`] | entries |
//!
//! The code under `generated/` is committed, so that the build needs no generator. After a change
//! of a `.proto` file, regenerate it (in pure Rust) with `cargo run --manifest-path
//! tools/protogen/Cargo.toml`.

/// Version of all protocols in this crate. A process refuses a peer with another version; the error
/// names both.
pub const PROTOCOL_VERSION: u32 = 1;

/// Persistent streams between entries and agents, and between agents.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/switchfold.link.rs"]
pub mod link;

/// Calls of an agent to its local engine.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/switchfold.engine.rs"]
pub mod engine;

/// Calls between entries: exchange of configuration, and claims.
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[rustfmt::skip]
#[path = "generated/switchfold.peer.rs"]
pub mod peer;

mod convert;

impl From<link::message::Body> for link::Message {
    fn from(body: link::message::Body) -> Self {
        Self { body: Some(body) }
    }
}
