//! Log line that tells why a data centre has no path for a request.

use std::collections::BTreeMap;

use switchfold_kernel::clock::now_millis;
use switchfold_router::fleet::{LayerRange, ReplicaEntry};

use super::{PathCriteria, replica_start_cost};
use crate::state::{Relay, RelayState};

/// Replicas of a data centre by whether a path may use them.
#[derive(Debug, Default)]
struct ReplicaTally {
    listed: usize,
    leaving: usize,
    suspect: usize,
    /// Replicas that the request has tried.
    excluded: usize,
    /// Replicas with the first layer that want no request yet.
    throttled_starts: usize,
    /// Replicas with the first layer and no free slot.
    full_starts: usize,
    /// Layers of the replicas that a path may use.
    ranges: Vec<LayerRange>,
}

impl ReplicaTally {
    fn add(&mut self, state: &RelayState, criteria: &PathCriteria<'_>, replica: &ReplicaEntry) {
        let (instance, now) = (&replica.instance, now_millis());
        self.listed += 1;
        let Some(range) = replica.layers else { return };
        if !replica.is_ready() {
            self.leaving += 1;
        } else if state.suspects.is_suspect(instance, now) {
            self.suspect += 1;
        } else if criteria.excluded.contains(instance) {
            self.excluded += 1;
        } else if range.from == 0 && state.send_wait(instance, criteria.rank, now).is_some() {
            self.throttled_starts += 1;
        } else if range.from == 0 && replica_start_cost(state, replica, now).is_none() {
            self.full_starts += 1;
        } else {
            self.ranges.push(range);
        }
    }

    /// Returns the first layer that no usable replica holds.
    fn first_gap(&self, layers: u32) -> Option<u32> {
        (0..layers).find(|layer| !self.ranges.iter().any(|range| range.contains(*layer)))
    }
}

/// Logs a line for each data centre that has replicas of the service, at most once a second.
pub fn log_missing_path(relay: &Relay, criteria: &PathCriteria<'_>, request: &str) {
    if !relay.missing_path_lines.admit(now_millis()) {
        return;
    }
    let state = relay.state.borrow();
    let mut tallies: BTreeMap<&str, ReplicaTally> = BTreeMap::new();
    for replica in state.fleet.view.of_service(criteria.service) {
        tallies.entry(&replica.data_centre).or_default().add(&state, criteria, replica);
    }
    for (data_centre, tally) in tallies {
        tracing::warn!(
            event = "no-path",
            request,
            data_centre,
            replicas = tally.listed,
            leaving = tally.leaving,
            suspect = tally.suspect,
            excluded = tally.excluded,
            throttled_starts = tally.throttled_starts,
            full_starts = tally.full_starts,
            first_gap = tally.first_gap(criteria.engine.layers),
        );
    }
}
