//! Many relays of one data centre during and after an outage of the store: how often they call it,
//! and how soon all of them know its state.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::retry::Backoff;
use switchfold_router::{
    Millis,
    follow::{
        CONFIG_TIMINGS, FollowInputs, FollowStep, FollowTimings, REPLICA_TIMINGS, SourceOrder,
        StoreFollower,
    },
};

/// Step of the clock, and time from a call to its answer, in milliseconds.
const TICK: Millis = 5;

/// Delay of a message with a relay's state, in milliseconds.
const MESSAGE_DELAY: Millis = 10;

/// Time of the outage, in milliseconds.
const OUTAGE: std::ops::Range<Millis> = 10_000..18_000;

/// End of a run, in milliseconds.
const END: Millis = 24_000;

/// Bounds that users have set in deployments: time until a relay counts as in contact, and age of
/// the oldest state, in milliseconds.
const BOUNDS: [(Millis, Millis); 2] = [(3_000, 2_000), (5_000, 4_000)];

struct KindState {
    follower: StoreFollower<ChaCha8Rng>,
    idle_until: Millis,
    /// When the store last answered this relay, or one whose proof or snapshot this relay received.
    answered: Option<Millis>,
    last_read: Option<Millis>,
    is_lost: bool,
    calls: u32,
}

/// State of a relay as it reports it to others.
#[derive(Clone, Copy, Default)]
struct ReportedState {
    last_read: Option<Millis>,
    is_lost: bool,
}

/// Relays that follow two kinds of object.
struct DataCentre {
    relays: Vec<[KindState; 2]>,
    /// States of all relays, with the time at which they were sent.
    reports: Vec<(Millis, Vec<[ReportedState; 2]>)>,
}

impl DataCentre {
    fn new(count: u64, contact: Millis, old_state: Millis) -> Self {
        let kind = |seed: u64, timings: FollowTimings| KindState {
            follower: StoreFollower::new(
                timings.within_bounds(contact, old_state),
                Backoff::new(ChaCha8Rng::seed_from_u64(seed)),
            ),
            idle_until: 0,
            answered: None,
            last_read: None,
            is_lost: false,
            calls: 0,
        };
        let relay =
            |number| [kind(2 * number, CONFIG_TIMINGS), kind(2 * number + 1, REPLICA_TIMINGS)];
        Self { relays: (0..count).map(relay).collect(), reports: Vec::new() }
    }

    fn inputs(&self, relay: usize, kind: usize, now: Millis) -> FollowInputs {
        let reports = self.reports.iter().rev().find(|(at, _)| at + MESSAGE_DELAY <= now);
        let Some((_, reports)) = reports else { return FollowInputs::default() };
        let is_reader = |other: &usize| {
            let ReportedState { last_read, is_lost } = reports[*other][kind];
            !is_lost && last_read.is_some_and(|at| now - at < 1_600)
        };
        let source = (0..reports.len()).filter(|other| *other != relay).find(is_reader);
        let order = |other| if other < relay { SourceOrder::Before } else { SourceOrder::After };
        let answered = self.relays[relay][kind].answered;
        FollowInputs {
            is_read_by_peer: source.is_some_and(|other| other < relay)
                && answered.is_some_and(|at| now - at < 1_600),
            peer_has_newer: false,
            source: source.map(order),
            preceding: relay,
            needs_full_list: false,
            preceding_lost: reports[..relay].iter().filter(|state| state[kind].is_lost).count(),
            is_retried_elsewhere: kind == 1 && self.relays[relay][0].is_lost,
        }
    }

    fn step(&mut self, now: Millis) {
        for relay in 0..self.relays.len() {
            for kind in 0..2 {
                self.step_one(relay, kind, now);
            }
        }
        let reported = self.relays.iter().map(|kinds| {
            [0, 1].map(|kind| ReportedState {
                last_read: kinds[kind].last_read,
                is_lost: kinds[kind].is_lost,
            })
        });
        self.reports.push((now, reported.collect()));
    }

    fn step_one(&mut self, relay: usize, kind: usize, now: Millis) {
        let inputs = self.inputs(relay, kind, now);
        let state = &mut self.relays[relay][kind];
        if inputs.is_read_by_peer {
            // The relay that reads sends its proofs with its messages.
            state.answered = Some(now);
            state.is_lost = false;
        }
        if now < state.idle_until {
            return;
        }
        match state.follower.next_step(&inputs, now) {
            FollowStep::Wait(pause) => state.idle_until = now + pause,
            FollowStep::Ask => {
                state.follower.record_snapshot(1, now);
                state.answered = Some(now);
                state.is_lost = false;
            }
            FollowStep::List(_) | FollowStep::Watch(_) if OUTAGE.contains(&now) => {
                state.calls += 1;
                state.is_lost = true;
                state.follower.record_failure(now, inputs.preceding_lost);
            }
            FollowStep::List(_) | FollowStep::Watch(_) => {
                state.calls += 1;
                state.is_lost = false;
                state.answered = Some(now);
                state.last_read = Some(now);
                state.follower.record_answer(1, now);
                state.idle_until = now + 1_000;
            }
        }
    }

    fn calls(&self) -> u32 {
        self.relays.iter().flatten().map(|state| state.calls).sum()
    }
}

/// In an outage of eight seconds the calls of a data centre grow far slower than its number of
/// relays, and half a second after it all relays know the store's state. On their own, 21 relays
/// would make 840 calls.
#[test]
fn an_outage_costs_few_calls_and_its_end_is_noticed_soon() {
    for (contact, old_state) in BOUNDS {
        for (count, max_calls) in [(1, 32), (2, 48), (21, 230)] {
            let mut data_centre = DataCentre::new(count, contact, old_state);
            let (mut now, mut calls_before, mut all_known_at) = (0, 0, None);
            while now < END {
                data_centre.step(now);
                if now + TICK == OUTAGE.start {
                    calls_before = data_centre.calls();
                }
                if now > OUTAGE.end && all_known_at.is_none() {
                    let fresh =
                        |state: &KindState| state.answered.is_some_and(|at| at >= OUTAGE.end);
                    all_known_at = data_centre.relays.iter().flatten().all(fresh).then_some(now);
                }
                if now + TICK == OUTAGE.end {
                    let calls = data_centre.calls() - calls_before;
                    assert!(calls <= max_calls, "{count} relays: {calls} calls in the outage");
                }
                now += TICK;
            }
            let took = all_known_at.expect("all relays know the state") - OUTAGE.end;
            assert!(took <= 500, "{count} relays: {took} ms until all know the state");
        }
    }
}

/// Without faults, one relay of a data centre reads, however many there are.
#[test]
fn one_relay_reads_for_all_without_faults() {
    for count in [1, 3, 21, 100] {
        let mut data_centre = DataCentre::new(count, 3_000, 2_000);
        (0..5_000).step_by(TICK as usize).for_each(|now| data_centre.step(now));
        let calls_before = data_centre.calls();
        (5_000..9_000).step_by(TICK as usize).for_each(|now| data_centre.step(now));
        assert_eq!(data_centre.calls() - calls_before, 8, "{count} relays");
    }
}
