//! The entry: the process between callers, operators and agents.
//!
//! | module | contents |
//! |---|---|
//! | [`dispatch`] | state machine for requests: queues, paths, recovery, outcomes |
//! | [`service`] | actor that runs the state machine and holds the links to agents |
//! | [`config`] | current configuration: watched at the store, exchanged between entries |
//! | [`claims`] | idempotency keys, so that a repeated request runs at most once |
//! | [`web`] | HTTP API for callers and operators |
//! | [`commands`] | execution of operators' statements |
//! | [`metrics`] | histograms and counters |
//! | [`settings`] | settings file of an entry |
//!
//! # Guarantees
//!
//! - The outcome `not-run` is reported only for a request that provably never ran.
//! - A caller receives the tokens of its own request only, each exactly once and in order.
//! - A process never replaces an object by an older version of it.
//! - A planned shutdown waits for the requests in flight.

pub mod claims;
pub mod commands;
pub mod config;
pub mod dispatch;
mod error;
mod links;
pub mod metrics;
mod run;
pub mod service;
pub mod settings;
pub mod web;

pub use error::EntryError;
pub use run::{EntrySockets, run_entry};
