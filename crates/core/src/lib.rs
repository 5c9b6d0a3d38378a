//! Decision logic of switchfold, without I/O.
//!
//! Everything in this crate is a deterministic function of its arguments: the caller passes in the
//! time as [`Millis`] and seeds the random generator. The crate performs no I/O, reads no clock and
//! spawns no tasks. The processes around it only translate messages into calls, so property tests
//! and benchmarks run the same code as production, with any order of events.
//!
//! # Example
//!
//! A stage of a pipeline runs each step once, even if the network delivers it again:
//!
//! ```
//! use switchfold_core::step::{StepDecision, StepGate, StepHeader};
//!
//! let mut gate = StepGate::new(16, 1);
//! let step = StepHeader { attempt: 1, layer: 16, first_position: 0, len: 4, resend: 0 };
//! assert_eq!(gate.decide(&step), StepDecision::Run { skip: 0 });
//! gate.finish();
//! assert!(matches!(gate.decide(&step), StepDecision::Drop(_)));
//! ```
//!
//! # Modules
//!
//! | Modules | Decide |
//! |---|---|
//! | [`id`], [`route`], [`step`], [`activation`], [`assembly`] | what may run, in which order, and what the caller receives |
//! | [`ledger`], [`claim`] | what must not run a second time |
//! | [`queue`], [`retry`], [`share`], [`ejection`], [`credit`], [`window`] | what is admitted or retried, and which replicas are avoided |
//! | [`flow`], [`path`], [`placement`], [`subset`], [`affinity`] | where work is sent |
//! | [`version`], [`config`] | which configuration is in force |
//!
//! # Guarantees
//!
//! No function panics on any input that its types allow. Each module documents its worst cases.

pub mod activation;
pub mod affinity;
pub mod assembly;
pub mod claim;
pub mod config;
pub mod credit;
pub mod ejection;
mod error;
pub mod flow;
pub mod hash;
pub mod id;
pub mod ledger;
pub mod path;
pub mod placement;
pub mod queue;
pub mod retry;
pub mod route;
pub mod share;
pub mod step;
pub mod subset;
pub mod version;
pub mod window;

pub use error::{Error, ErrorKind};

/// Time or duration in milliseconds. Points in time come from the caller's clock, which never goes
/// back.
pub type Millis = u64;
