//! The operators' language: ask what is placed where and what is waiting; open, pause, drain, set.
//!
//! ```
//! use switchfold_lang::{Command, Table, parse};
//!
//! let statement = parse(r#"show placement where model = "lots" by data_centre"#).unwrap();
//! let Command::Show(query) = statement.command else { panic!("a query") };
//! assert_eq!(query.table, Table::Placement);
//!
//! let error = parse("open evnt \"dawn\"").unwrap_err();
//! assert_eq!(error.column, 6);
//! ```
//!
//! # Syntax
//!
//! | statement | effect |
//! |---|---|
//! | `show TABLE [where FIELD OP VALUE [and …]] [by FIELD]` | a table: `events`, `organisations`, `placement`, `endpoints`, `waiting`, `outcomes`, `entries`, `config`, `config laggards` |
//! | `open event "E"`, `pause event "E"`, `close event "E"` | changes the event's state |
//! | `drain vm V`, `resume vm V` | no new work for the VM, or again |
//! | `set event "E" class "C" FIELD VALUE` | `priority`, `deadline_ms`, `once` |
//! | `set event "E" FIELD VALUE` | `start_ms`, `expected_per_s` |
//! | `set organisation "O" FIELD VALUE` | `weight`, `limit_per_s` |
//! | `create event {JSON}`, `create organisation {JSON}` | a new one |
//! | `delete event "E"`, `delete organisation "O"` | leaves a tombstone |
//!
//! `OP` is one of `= != < <= > >=`. A command may end in `expect version N`: it is refused where the
//! object has changed since.
//!
//! # Guarantees
//!
//! A statement that is not understood changes nothing; the error names the line, the column and what
//! was expected there. Parsing takes time linear in the text, of at most [`MAX_STATEMENT_BYTES`] bytes.

mod ast;
mod error;
mod parser;

pub use ast::{ClassSetting, TargetState};
pub use ast::{
    Command, Comparison, Condition, EventSetting, OrganisationSetting, Query, Statement, Table,
    Value,
};
pub use error::LangError;
pub use parser::parse;

/// Longest statement, in bytes.
pub const MAX_STATEMENT_BYTES: usize = 64 * 1_024;
