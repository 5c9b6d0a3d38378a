//! The operators' command line: statements, checks, and a look at decisions.
//!
//! [`ask`] sends a statement to an entry, [`check`] finds every fault of a settings file, [`inspect`]
//! computes what the system would decide from a file, without any process running; [`explain`] goes from a
//! request's id to its cause, [`account`] and [`calls`] sum up the causes of a bad hour.

pub mod account;
pub mod ask;
pub mod calls;
pub mod check;
pub mod explain;
pub mod inspect;
pub mod logs;
pub mod table;
