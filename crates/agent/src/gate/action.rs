//! What the state machine asks the agent to do.

use switchfold_core::id::RequestId;
use switchfold_proto::{
    engine::StepInput,
    link::{Assignment, Header, message::Body},
};

/// One run of an entry.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EntryKey {
    /// Name of the entry.
    pub name: String,
    /// Which run of it.
    pub incarnation: u64,
}

/// A call to make of the plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The request.
    pub request: RequestId,
    /// Attempt of the call.
    pub attempt: u32,
    /// Who gets the answer.
    pub entry: EntryKey,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<Header>,
    /// Body.
    pub body: bytes::Bytes,
}

/// One thing to do.
#[derive(Clone, Debug)]
pub enum GateAction {
    /// Send a message to an entry.
    ToEntry {
        /// The entry.
        entry: EntryKey,
        /// The message.
        body: Body,
    },
    /// Send a message to the agent of another stage, or to this one itself.
    ToStage {
        /// Its address.
        address: String,
        /// The message.
        body: Body,
    },
    /// Give the engine a step.
    RunStep(StepInput),
    /// Tell the engine that a request's cache is free.
    ReleaseCache(RequestId),
    /// Call the plain service.
    CallService(ServiceCall),
    /// Give the engine an order to load.
    LoadLayers(Assignment),
}

impl GateAction {
    /// Makes a message to an entry.
    pub fn to_entry(entry: &EntryKey, body: Body) -> Self {
        Self::ToEntry { entry: entry.clone(), body }
    }

    /// Makes a message to a stage.
    pub fn to_stage(address: &str, body: Body) -> Self {
        Self::ToStage { address: address.to_owned(), body }
    }
}
