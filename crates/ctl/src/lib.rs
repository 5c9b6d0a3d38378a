//! The operators' command line: statements, checks of settings, computed decisions, and analysis of
//! logs.
//!
//! [`ask`] sends a statement to an entry, [`check`] finds all errors of a settings file, and
//! [`inspect`] computes decisions of the system from a deployment file, without running any
//! process. [`explain`] finds the cause of one request's outcome in the logs, [`account`] counts
//! the causes over all requests, and [`calls`] counts the calls of the store.

pub mod account;
pub mod ask;
pub mod calls;
pub mod check;
pub mod explain;
pub mod inspect;
pub mod logs;
pub mod table;
