//! Parse errors.

use derive_more::{Display, Error};

/// Error of a statement that cannot be parsed: its position, and what was expected there.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("line {line}, column {column}: {detail}")]
pub struct LangError {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// What was expected at that position.
    pub detail: String,
}
