//! Decisions of switchfold, and nothing else.
//!
//! Everything in this crate is a deterministic function of its arguments: time is a [`Millis`] that
//! the caller passes in, and randomness is a generator that the caller seeds. There is no I/O, no
//! clock and no task. That is the trade-off the whole project rests on: the processes around this
//! crate are thin shells that turn messages into calls, so a property test or a benchmark drives the
//! very code that runs in production, with any order of events it likes.
//!
//! # Example
//!
//! A stage of a pipeline runs a step once, whatever the network repeats:
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
//! # Layers of the crate
//!
//! | module | decides |
//! |---|---|
//! | [`id`], [`route`], [`step`], [`activation`], [`assembly`] | what may run, in which order, and what the caller gets |
//! | [`ledger`], [`claim`] | what must not run a second time |
//! | [`queue`], [`retry`], [`share`], [`ejection`], [`credit`], [`window`] | what is admitted, repeated or kept away from |
//! | [`flow`], [`path`], [`placement`], [`subset`], [`affinity`] | where work goes |
//! | [`version`], [`config`] | what is in force |
//!
//! # Guarantees
//!
//! No function panics on any input that its types admit. Worst cases are stated on each module.

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

/// Milliseconds on a clock that only the caller reads; never negative, never going back.
pub type Millis = u64;
