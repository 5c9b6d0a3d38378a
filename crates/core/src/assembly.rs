//! Reassembly of a completion from tokens that arrive late, more than once or out of order.

use std::collections::BTreeMap;

/// Numbers of tokens that an assembly discarded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AssemblyCounts {
    /// Tokens whose index had been received already.
    pub duplicates: u64,
    /// Tokens beyond the end of the completion.
    pub past_end: u64,
}

/// Reorder buffer for the completion of one request: each index is delivered once, in order.
///
/// Memory: the delivered tokens, which a new attempt needs as its prefix, and the tokens that wait
/// for an earlier one; together at most `limit`.
#[derive(Clone, Debug)]
pub struct CompletionAssembly {
    limit: u32,
    delivered: Vec<u32>,
    pending: BTreeMap<u32, u32>,
    total: Option<u32>,
    counts: AssemblyCounts,
}

impl CompletionAssembly {
    /// Creates an assembly for a completion of at most `limit` tokens.
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            delivered: Vec::new(),
            pending: BTreeMap::new(),
            total: None,
            counts: AssemblyCounts::default(),
        }
    }

    /// Accepts a token. Returns the tokens that can now be delivered, in order.
    pub fn accept(&mut self, index: u32, token: u32) -> &[u32] {
        let before = self.delivered.len();
        let end = self.total.unwrap_or(self.limit);
        if index >= end {
            self.counts.past_end += 1;
            return &[];
        }
        if (index as usize) < before || self.pending.contains_key(&index) {
            self.counts.duplicates += 1;
            return &[];
        }
        self.pending.insert(index, token);
        while let Some(token) = self.pending.remove(&(self.delivered.len() as u32)) {
            self.delivered.push(token);
        }
        self.delivered.get(before..).unwrap_or_default()
    }

    /// Sets the length of the completion, as the end marker gives it. Only the first call has an
    /// effect.
    pub fn set_total(&mut self, total: u32) {
        if self.total.is_none() {
            self.total = Some(total.min(self.limit));
        }
    }

    /// Returns whether the end is known and all tokens up to it have been delivered.
    pub fn is_complete(&self) -> bool {
        self.total == Some(self.delivered.len() as u32)
    }

    /// Returns the tokens delivered so far, in order.
    pub fn delivered(&self) -> &[u32] {
        &self.delivered
    }

    /// Discards tokens received out of order. Called for a new attempt, which generates them again.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
    }

    /// Returns the numbers of discarded tokens.
    pub fn counts(&self) -> AssemblyCounts {
        self.counts
    }
}
