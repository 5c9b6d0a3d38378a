//! Bounded history of request outcomes, for later queries.

use std::collections::{HashMap, VecDeque};

use switchfold_core::id::RequestId;

use super::submission::Outcome;

/// Outcomes of the most recent requests of an entry. The oldest one is evicted first.
#[derive(Debug)]
pub struct OutcomeHistory {
    capacity: usize,
    outcomes: HashMap<RequestId, Outcome>,
    /// Order of eviction, oldest first.
    order: VecDeque<RequestId>,
}

impl OutcomeHistory {
    /// Creates an empty history of at most `capacity` outcomes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, outcomes: HashMap::new(), order: VecDeque::new() }
    }

    /// Records the outcome of a request. Later calls for the same request have no effect.
    pub fn insert(&mut self, id: RequestId, outcome: Outcome) {
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

    /// Returns the outcome of a request, or `None` if there is no record of it.
    pub fn get(&self, id: RequestId) -> Option<Outcome> {
        self.outcomes.get(&id).copied()
    }
}
