//! Agent: controls access to one endpoint, a model engine or a plain service.
//!
//! An agent runs on the VM of its endpoint, and every request to the endpoint passes through it. It
//! decides whether a request is admitted (by its ledger, slots and drain state), in which order the
//! request's steps run (with a step gate), and where their output goes (to the next stage or the
//! entry). [`gate::GateState`] implements this as a state machine without I/O, and
//! [`service::GateService`] is the actor that drives it. The other modules do the I/O.
//!
//! # Guarantees
//!
//! - A step runs only after the step before it, and only once.
//! - A refused request did not run here, and a voided request never will.
//! - Once it is draining, the agent admits no new request.
//! - A graceful shutdown waits for the requests in flight.

pub mod admin;
mod calls;
mod engine;
mod error;
pub mod gate;
mod links;
mod run;
pub mod service;
pub mod settings;

pub use error::AgentError;
pub use run::{AgentSockets, run_agent};
