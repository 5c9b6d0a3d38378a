//! Parser of the operators' language, which queries the state of the system (placement, load,
//! waiting requests) and changes events, organisations and VMs.
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
//! | `show TABLE [where FIELD OP VALUE [and …]] [by FIELD]` | shows a table: `events`, `organisations`, `placement`, `endpoints`, `waiting`, `outcomes`, `entries`, `config`, `config laggards` |
//! | `open event "E"`, `pause event "E"`, `close event "E"` | changes the event's state |
//! | `drain vm V`, `resume vm V` | stops or resumes giving new work to the VM |
//! | `set event "E" class "C" FIELD VALUE` | changes `priority`, `deadline_ms` or `once` of a class |
//! | `set event "E" FIELD VALUE` | changes `start_ms` or `expected_per_s` of an event |
//! | `set organisation "O" FIELD VALUE` | changes `weight` or `limit_per_s` of an organisation |
//! | `create event {JSON}`, `create organisation {JSON}` | creates an event or an organisation |
//! | `delete event "E"`, `delete organisation "O"` | deletes it, leaving a tombstone |
//!
//! `OP` is one of `= != < <= > >=`. A command may end in `expect version N`; it is then refused if
//! the object has another version.
//!
//! # Guarantees
//!
//! A statement that cannot be parsed changes nothing; the error names the line, the column and what
//! was expected there. Parsing takes time linear in the length of the text, which is limited to
//! [`MAX_STATEMENT_BYTES`].

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

/// Largest statement that [`parse`] accepts, in bytes.
pub const MAX_STATEMENT_BYTES: usize = 64 * 1_024;
