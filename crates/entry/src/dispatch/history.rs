//! Outcomes that can be asked for later.

use std::collections::{HashMap, VecDeque};

use switchfold_core::id::RequestId;

use super::submission::Outcome;

/// The last outcomes of an entry, oldest forgotten first.
#[derive(Debug)]
pub struct OutcomeHistory {
    capacity: usize,
    outcomes: HashMap<RequestId, Outcome>,
    order: VecDeque<RequestId>,
}

impl OutcomeHistory {
    /// Makes a record of at most `capacity` outcomes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, outcomes: HashMap::new(), order: VecDeque::new() }
    }

    /// Remembers an outcome; the first one for a request stands.
    pub fn put(&mut self, id: RequestId, outcome: Outcome) {
        if self.outcomes.contains_key(&id) {
            return;
        }
        self.outcomes.insert(id, outcome);
        self.order.push_back(id);
        if self.order.len() > self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }

    /// Outcome of a request, where it is remembered.
    pub fn get(&self, id: RequestId) -> Option<Outcome> {
        self.outcomes.get(&id).copied()
    }
}
