//! Which connections of callers a relay closes for new ones.

use proptest::prelude::*;
use switchfold_router::connections::{
    ConnectionPhase, ConnectionTable, ConnectionsFull, max_connections,
};

const PHASES: [ConnectionPhase; 4] = [
    ConnectionPhase::Receiving,
    ConnectionPhase::Unsent,
    ConnectionPhase::Resting,
    ConnectionPhase::Serving,
];

/// A phase, and the time of its beginning.
type PhaseSince = (ConnectionPhase, u64);

/// Returns a full table with one connection in each of these phases, each since the time given.
fn full(phases: &[PhaseSince]) -> ConnectionTable<usize> {
    let mut table = ConnectionTable::new(phases.len());
    for (number, (phase, since)) in phases.iter().enumerate() {
        let id = table.open(number, 0);
        table.set_phase(id, ConnectionPhase::Serving, 0);
        table.set_phase(id, *phase, *since);
    }
    table
}

#[test]
fn a_connection_without_a_whole_request_is_closed_first() {
    use ConnectionPhase::{Receiving, Resting, Serving, Unsent};
    let rows: &[(&[PhaseSince], Option<usize>)] = &[
        (&[(Resting, 1), (Receiving, 9), (Receiving, 5), (Unsent, 1)], Some(2)),
        (&[(Resting, 1), (Serving, 1), (Unsent, 9)], Some(2)),
        // It was written to a moment ago.
        (&[(Resting, 1), (Serving, 1), (Unsent, 9_000)], Some(0)),
        (&[(Resting, 7), (Resting, 3)], Some(1)),
        (&[(Serving, 1), (Serving, 2)], None),
    ];
    for (phases, closed) in rows {
        assert_eq!(full(phases).make_room(10_000).ok().flatten(), *closed, "{phases:?}");
    }
    assert_eq!(full(&[(Serving, 1)]).make_room(10_000), Err(ConnectionsFull));
}

#[test]
fn connections_fit_the_memory_and_the_descriptors() {
    assert_eq!(max_connections(160.0, 4_100), 960);
    assert_eq!(max_connections(2_000.0, 4_100), 1_950);
    assert_eq!(max_connections(64.0, 600), 200);
    assert_eq!(max_connections(0.0, 0), 16);
}

proptest! {
    /// The table never holds more connections than its limit, closes none that serves a request, and
    /// refuses a new one only if all do.
    #[test]
    fn connections_stay_within_the_limit(
        limit in 1..20usize, steps in prop::collection::vec((0..5usize, 0..40usize), 1..400),
    ) {
        let mut table = ConnectionTable::new(limit);
        let mut open: Vec<(u64, usize)> = Vec::new();
        for (now, (step, number)) in steps.into_iter().enumerate() {
            let now = now as u64 * 500;
            let chosen = number % open.len().max(1);
            if let Some((id, _)) = open.get(chosen).copied().filter(|_| step < 4) {
                table.set_phase(id, PHASES[step], now);
                prop_assert_eq!(table.phase(id), Some(PHASES[step]));
                if step == 0 && number > 30 {
                    table.close(id);
                    open.remove(chosen);
                }
                continue;
            }
            let is_serving = |id: u64, table: &ConnectionTable<usize>| {
                table.phase(id) == Some(ConnectionPhase::Serving)
            };
            let serving = open.iter().filter(|(id, _)| is_serving(*id, &table)).count();
            match table.make_room(now) {
                Ok(closed) => {
                    prop_assert!(closed.is_none() || open.len() == limit);
                    open.retain(|(_, value)| Some(*value) != closed);
                    prop_assert!(serving <= open.len());
                    let value = now as usize;
                    open.push((table.open(value, now), value));
                }
                Err(ConnectionsFull) => {
                    let may_close = |id: u64| {
                        matches!(
                            table.phase(id),
                            Some(ConnectionPhase::Receiving | ConnectionPhase::Resting)
                        )
                    };
                    prop_assert!(!open.iter().any(|(id, _)| may_close(*id)));
                    prop_assert_eq!(open.len(), limit);
                }
            }
            prop_assert!(table.len() <= limit);
            prop_assert_eq!(table.len(), open.len());
        }
    }
}
