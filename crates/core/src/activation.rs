//! What a stage remembers of its own output, so that a lost neighbour can be rebuilt.
//!
//! Each stage keeps the activations that it sent for a request, up to a bound in bytes. When the next
//! stage is replaced, the log is played to the replacement, and no surviving stage runs anything
//! twice. Past the bound the log gives up its front: a replay is then refused, and the entry starts a
//! new attempt instead. Memory: at most the bound for each request, plus 4 bytes a position.

/// One run of positions, as sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActivationSpan {
    /// First position.
    pub first_position: u32,
    /// Tokens that entered the model at these positions.
    pub inputs: Vec<u32>,
    /// Activations, the same count of bytes for each position.
    pub bytes: Vec<u8>,
}

/// Output of one stage for one request.
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
    /// Makes an empty log that holds at most `limit` bytes of activations.
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

    /// Adds the output for the next positions.
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

    /// Bytes of activations held.
    pub fn byte_len(&self) -> usize {
        self.bytes.len()
    }

    /// Tells whether a whole replay is no longer possible.
    pub fn is_truncated(&self) -> bool {
        self.truncated
    }

    /// The last output alone, where there is one.
    pub fn last_output(&self) -> Option<ActivationSpan> {
        self.span(self.inputs.len().saturating_sub(self.last_len))
    }

    /// All output from position 0, or nothing where it is empty or past its bound.
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
        let width = self.bytes.len() / self.inputs.len();
        let bytes = self.bytes.get(from * width..)?;
        let first_position = self.next_position - inputs.len() as u32;
        Some(ActivationSpan { first_position, inputs: inputs.to_vec(), bytes: bytes.to_vec() })
    }
}
