//! Effects that the state machine requests.

use switchfold_core::id::RequestId;
use switchfold_proto::{
    engine::StepInput,
    link::{Assignment, Header, message::Body},
};

/// An instance of an entry: a restarted entry has another incarnation.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EntryKey {
    /// Process name of the entry.
    pub name: String,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// HTTP call of the plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Identifier of the request.
    pub request: RequestId,
    /// Attempt of the request.
    pub attempt: u32,
    /// Entry that gets the response.
    pub entry: EntryKey,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to forward.
    pub headers: Vec<Header>,
    /// Request body.
    pub body: bytes::Bytes,
}

/// An effect, carried out by [`GateService`](crate::service::GateService).
#[derive(Clone, Debug)]
pub enum GateAction {
    /// Send a message to an entry.
    ToEntry {
        /// Receiver of the message.
        entry: EntryKey,
        /// Message to send.
        body: Body,
    },
    /// Send a message to the agent of a stage. The address may be that of this agent itself.
    ToStage {
        /// Address of the receiving agent.
        address: String,
        /// Message to send.
        body: Body,
    },
    /// Run a step on the engine.
    RunStep(StepInput),
    /// Let the engine free the KV cache of a request.
    ReleaseCache(RequestId),
    /// Call the plain service.
    CallService(ServiceCall),
    /// Let the engine load the layers that the plan assigns to it.
    LoadLayers(Assignment),
}

impl GateAction {
    /// Creates the action that sends `body` to an entry.
    pub fn to_entry(entry: &EntryKey, body: Body) -> Self {
        Self::ToEntry { entry: entry.clone(), body }
    }

    /// Creates the action that sends `body` to the stage at `address`.
    pub fn to_stage(address: &str, body: Body) -> Self {
        Self::ToStage { address: address.to_owned(), body }
    }
}
