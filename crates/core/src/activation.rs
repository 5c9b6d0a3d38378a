//! Log of a stage's output for a request, kept so that the next stage can be replaced.
//!
//! Each stage keeps the activations that it sent for a request, up to a limit in bytes. When the
//! next stage is replaced, the log is replayed to the replacement, so no surviving stage computes
//! anything twice. Once the limit is exceeded, the log keeps only the newest output: a replay from
//! position 0 is then refused, and the entry starts a new attempt instead.
//!
//! Memory: at most the limit, or one output where that is larger, plus 4 bytes per position.

/// Output of a stage for consecutive positions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActivationSpan {
    /// Position of the first token.
    pub first_position: u32,
    /// Input tokens of the model at these positions.
    pub inputs: Vec<u32>,
    /// Activations, with the same number of bytes for each position.
    pub bytes: Vec<u8>,
}

/// Output of one stage for one request, bounded in bytes.
#[derive(Clone, Debug)]
pub struct ActivationLog {
    limit: usize,
    inputs: Vec<u32>,
    bytes: Vec<u8>,
    last_len: usize,
    truncated: bool,
    next_position: u32,
}

impl ActivationLog {
    /// Creates an empty log that holds at most `limit` bytes of activations.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            inputs: Vec::new(),
            bytes: Vec::new(),
            last_len: 0,
            truncated: false,
            next_position: 0,
        }
    }

    /// Appends the output for the next positions. If the limit is exceeded, all earlier output is
    /// discarded.
    pub fn push(&mut self, inputs: &[u32], bytes: &[u8]) {
        if self.bytes.len() + bytes.len() > self.limit {
            self.truncated = true;
        }
        if self.truncated {
            self.inputs.clear();
            self.bytes.clear();
        }
        self.inputs.extend_from_slice(inputs);
        self.bytes.extend_from_slice(bytes);
        self.last_len = inputs.len();
        self.next_position += inputs.len() as u32;
    }

    /// Returns the number of bytes of activations in the log.
    pub fn byte_len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether output was discarded, so that a replay from position 0 is not possible.
    pub fn is_truncated(&self) -> bool {
        self.truncated
    }

    /// Returns the most recently pushed output, or `None` if nothing was pushed.
    pub fn last_output(&self) -> Option<ActivationSpan> {
        self.span(self.inputs.len().saturating_sub(self.last_len))
    }

    /// Returns all output from position 0, or `None` if the log is empty or truncated.
    pub fn full_output(&self) -> Option<ActivationSpan> {
        if self.truncated {
            return None;
        }
        self.span(0)
    }

    fn span(&self, from: usize) -> Option<ActivationSpan> {
        let inputs = self.inputs.get(from..)?;
        if inputs.is_empty() {
            return None;
        }
        let bytes_per_position = self.bytes.len() / self.inputs.len();
        let bytes = self.bytes.get(from * bytes_per_position..)?;
        let first_position = self.next_position - inputs.len() as u32;
        Some(ActivationSpan { first_position, inputs: inputs.to_vec(), bytes: bytes.to_vec() })
    }
}
