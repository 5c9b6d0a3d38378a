//! Putting an answer together from tokens that arrive late, twice or out of order.

use std::collections::BTreeMap;

/// Counts of what an assembly did not take.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AssemblyCounts {
    /// Tokens whose index had been delivered already.
    pub duplicates: u64,
    /// Tokens past the end of the answer.
    pub past_end: u64,
}

/// The answer to one request. Takes index `n` once and releases tokens in order.
///
/// Memory: the released tokens, which a new attempt needs as its prefix, and at most `limit` more.
#[derive(Clone, Debug)]
pub struct AnswerAssembly {
    limit: u32,
    delivered: Vec<u32>,
    waiting: BTreeMap<u32, u32>,
    total: Option<u32>,
    counts: AssemblyCounts,
}

impl AnswerAssembly {
    /// Makes an assembly for an answer of at most `limit` tokens.
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            delivered: Vec::new(),
            waiting: BTreeMap::new(),
            total: None,
            counts: AssemblyCounts::default(),
        }
    }

    /// Takes a token; returns those that can now be delivered, in order.
    pub fn accept(&mut self, index: u32, token: u32) -> &[u32] {
        let before = self.delivered.len();
        let end = self.total.unwrap_or(self.limit);
        if index >= end {
            self.counts.past_end += 1;
            return &[];
        }
        if (index as usize) < before || self.waiting.contains_key(&index) {
            self.counts.duplicates += 1;
            return &[];
        }
        self.waiting.insert(index, token);
        while let Some(token) = self.waiting.remove(&(self.delivered.len() as u32)) {
            self.delivered.push(token);
        }
        self.delivered.get(before..).unwrap_or_default()
    }

    /// Takes the end marker, which carries the count of tokens.
    pub fn set_total(&mut self, total: u32) {
        if self.total.is_none() {
            self.total = Some(total.min(self.limit));
        }
    }

    /// Tells whether every token up to the end has been delivered.
    pub fn is_complete(&self) -> bool {
        self.total == Some(self.delivered.len() as u32)
    }

    /// Tokens delivered so far, in order.
    pub fn delivered(&self) -> &[u32] {
        &self.delivered
    }

    /// Forgets what waits out of order: a new attempt will make those tokens again.
    pub fn discard_pending(&mut self) {
        self.waiting.clear();
    }

    /// What was not taken.
    pub fn counts(&self) -> AssemblyCounts {
        self.counts
    }
}
