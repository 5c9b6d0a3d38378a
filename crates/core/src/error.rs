//! Error type of this crate.

use derive_more::{Display, Error};

/// Category of an [`Error`](struct@Error).
#[derive(Clone, Copy, Debug, Eq, PartialEq, Display)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The end of a layer range is not above its start.
    #[display("empty layer range")]
    EmptyRange,
    /// The stages of a route leave a gap, overlap, or do not end at the last layer.
    #[display("stages do not tile the model")]
    NotTiled,
    /// A text is not a valid request identifier.
    #[display("malformed identifier")]
    MalformedId,
    /// The contents of a stored object do not match its kind.
    #[display("malformed object")]
    MalformedObject,
    /// A number or position is outside its bounds.
    #[display("out of bounds")]
    OutOfBounds,
}

/// Rejection of an invalid input, with the field at fault and the expected value.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("{kind}: {detail}")]
pub struct Error {
    kind: ErrorKind,
    detail: String,
}

impl Error {
    /// Creates an error. `detail` names the field and the expected value.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self { kind, detail }
    }

    /// Returns the category of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }
}
