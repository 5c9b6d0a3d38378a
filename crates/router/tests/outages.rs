//! Many relays of one data centre while the store goes away and comes back: how often they call it, and how
//! soon all of them know what it holds.

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

/// Time in which a relay hears what another one says, in milliseconds.
const HEARD: Millis = 10;

/// When the store is away, in milliseconds.
const AWAY: std::ops::Range<Millis> = 10_000..18_000;

/// End of a run, in milliseconds.
const END: Millis = 24_000;

/// Users' bounds of the deployments seen: time until a relay is in touch, oldest state.
const BOUNDS: [(Millis, Millis); 2] = [(3_000, 2_000), (5_000, 4_000)];

struct OneKind {
    follower: StoreFollower<ChaCha8Rng>,
    rests_until: Millis,
    /// When the store last answered, to this relay or to one that told it.
    answered: Option<Millis>,
    reads: Option<Millis>,
    is_lost: bool,
    calls: u32,
}

/// What others hear of a relay.
#[derive(Clone, Copy, Default)]
struct Heard {
    reads: Option<Millis>,
    is_lost: bool,
}

/// Relays that follow two kinds of object.
struct DataCentre {
    relays: Vec<[OneKind; 2]>,
    heard: Vec<(Millis, Vec<[Heard; 2]>)>,
}

impl DataCentre {
    fn new(count: u64, contact: Millis, old_state: Millis) -> Self {
        let kind = |seed: u64, times: FollowTimings| OneKind {
            follower: StoreFollower::new(
                times.within_bounds(contact, old_state),
                Backoff::new(ChaCha8Rng::seed_from_u64(seed)),
            ),
            rests_until: 0,
            answered: None,
            reads: None,
            is_lost: false,
            calls: 0,
        };
        let relay =
            |number| [kind(2 * number, CONFIG_TIMINGS), kind(2 * number + 1, REPLICA_TIMINGS)];
        Self { relays: (0..count).map(relay).collect(), heard: Vec::new() }
    }

    fn sight(&self, relay: usize, kind: usize, now: Millis) -> FollowInputs {
        let heard = self.heard.iter().rev().find(|(at, _)| at + HEARD <= now);
        let Some((_, heard)) = heard else { return FollowInputs::default() };
        let reads = |other: &usize| {
            let Heard { reads, is_lost } = heard[*other][kind];
            !is_lost && reads.is_some_and(|at| now - at < 1_600)
        };
        let teller = (0..heard.len()).filter(|other| *other != relay).find(reads);
        let place = |other| if other < relay { SourceOrder::Before } else { SourceOrder::After };
        let answered = self.relays[relay][kind].answered;
        FollowInputs {
            is_read_by_peer: teller.is_some_and(|other| other < relay)
                && answered.is_some_and(|at| now - at < 1_600),
            peer_has_newer: false,
            source: teller.map(place),
            preceding: relay,
            needs_full_list: false,
            preceding_lost: heard[..relay].iter().filter(|one| one[kind].is_lost).count(),
            is_retried_elsewhere: kind == 1 && self.relays[relay][0].is_lost,
        }
    }

    fn step(&mut self, now: Millis) {
        for relay in 0..self.relays.len() {
            for kind in 0..2 {
                self.step_one(relay, kind, now);
            }
        }
        let said = self.relays.iter().map(|kinds| {
            [0, 1].map(|kind| Heard { reads: kinds[kind].reads, is_lost: kinds[kind].is_lost })
        });
        self.heard.push((now, said.collect()));
    }

    fn step_one(&mut self, relay: usize, kind: usize, now: Millis) {
        let sight = self.sight(relay, kind, now);
        let one = &mut self.relays[relay][kind];
        if sight.is_read_by_peer {
            // Proofs come with the messages of the one that reads.
            one.answered = Some(now);
            one.is_lost = false;
        }
        if now < one.rests_until {
            return;
        }
        match one.follower.next_step(&sight, now) {
            FollowStep::Wait(pause) => one.rests_until = now + pause,
            FollowStep::Ask => {
                one.follower.record_snapshot(1, now);
                one.answered = Some(now);
                one.is_lost = false;
            }
            FollowStep::List(_) | FollowStep::Watch(_) if AWAY.contains(&now) => {
                one.calls += 1;
                one.is_lost = true;
                one.follower.record_failure(now, sight.preceding_lost);
            }
            FollowStep::List(_) | FollowStep::Watch(_) => {
                one.calls += 1;
                one.is_lost = false;
                one.answered = Some(now);
                one.reads = Some(now);
                one.follower.record_answer(1, now);
                one.rests_until = now + 1_000;
            }
        }
    }

    fn calls(&self) -> u32 {
        self.relays.iter().flatten().map(|one| one.calls).sum()
    }
}

/// In an outage of eight seconds the calls of a data centre grow with its relays far slower than their count, and
/// after it all relays know within half a second. Each by itself, 21 relays would make 840 calls.
#[test]
fn an_outage_costs_few_calls_and_its_end_is_known_soon() {
    for (contact, old_state) in BOUNDS {
        for (count, most_calls) in [(1, 32), (2, 48), (21, 230)] {
            let mut centre = DataCentre::new(count, contact, old_state);
            let (mut now, mut before, mut whole_at) = (0, 0, None);
            while now < END {
                centre.step(now);
                if now + TICK == AWAY.start {
                    before = centre.calls();
                }
                if now > AWAY.end && whole_at.is_none() {
                    let fresh = |one: &OneKind| one.answered.is_some_and(|at| at >= AWAY.end);
                    whole_at = centre.relays.iter().flatten().all(fresh).then_some(now);
                }
                if now + TICK == AWAY.end {
                    let calls = centre.calls() - before;
                    assert!(calls <= most_calls, "{count} relays: {calls} calls in the outage");
                }
                now += TICK;
            }
            let took = whole_at.expect("all know in the end") - AWAY.end;
            assert!(took <= 500, "{count} relays: {took} ms until all know");
        }
    }
}

/// In calm, one relay of a data centre reads, however many there are.
#[test]
fn calm_costs_what_one_relay_reads() {
    for count in [1, 3, 21, 100] {
        let mut centre = DataCentre::new(count, 3_000, 2_000);
        (0..5_000).step_by(TICK as usize).for_each(|now| centre.step(now));
        let before = centre.calls();
        (5_000..9_000).step_by(TICK as usize).for_each(|now| centre.step(now));
        assert_eq!(centre.calls() - before, 8, "{count} relays");
    }
}
