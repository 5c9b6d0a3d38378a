//! Claims as a protocol: at most one run for a key, and never a false "not run".
//!
//! The small case is walked through in all its interleavings: two homes that disagree, each with a
//! request for the same key, over a store that accepts a conditional write and may lose its answer,
//! with a crash possible at every step.

use std::collections::HashSet;

use proptest::prelude::*;
use switchfold_core::{
    claim::{ClaimKey, ClaimProposal, ClaimSegment, ClaimShard, ClaimWrite, MAX_SEGMENT_CLAIMS},
    id::RequestId,
};

/// One shard in the store: segments with their versions.
#[derive(Clone, Debug, Default, PartialEq)]
struct StoreModel {
    segments: Vec<(u64, ClaimSegment)>,
    revision: u64,
}

impl StoreModel {
    fn write(&mut self, write: &ClaimWrite) -> Option<u64> {
        let number = write.segment_number as usize;
        let held = self.segments.get(number).map_or(0, |(version, _)| *version);
        if held != write.expected || number > self.segments.len() {
            return None;
        }
        self.revision += 1;
        let stored = (self.revision, write.segment.clone());
        if number == self.segments.len() {
            self.segments.push(stored);
        } else {
            self.segments[number] = stored;
        }
        Some(self.revision)
    }

    fn load(&self, shard: &mut ClaimShard) {
        loop {
            let number = shard.segment_number() as usize;
            let (version, segment) = self.segments.get(number).cloned().unwrap_or_default();
            if !shard.apply_segment(version, segment) {
                return;
            }
        }
    }
}

/// Where a home stands with its one request.
#[derive(Clone, Debug, PartialEq)]
enum HomeState {
    Start,
    Loaded,
    Planned(ClaimWrite),
    /// The write was sent; the answer was lost, and it may yet land.
    Unclear(ClaimWrite),
    Granted,
    Held,
    Crashed,
}

#[derive(Clone, Debug)]
struct Home {
    wish: ClaimProposal,
    shard: ClaimShard,
    state: HomeState,
}

#[derive(Clone, Debug)]
struct World {
    store: StoreModel,
    homes: Vec<Home>,
    /// Writes whose answers were lost and that have not landed yet.
    late: Vec<ClaimWrite>,
}

fn request(counter: u64) -> RequestId {
    RequestId { incarnation: 1, counter }
}

fn wish(counter: u64, replaces: Option<RequestId>) -> ClaimProposal {
    let key = ClaimKey::new("northcatch", "settlement-7");
    ClaimProposal { key, request: request(counter), entry: format!("entry-{counter}"), replaces }
}

/// All that can happen next to one home.
fn next_states(world: &World, index: usize) -> Vec<World> {
    let mut next = Vec::new();
    let home = &world.homes[index];
    let mut step = |change: &dyn Fn(&mut World)| {
        let mut changed = world.clone();
        change(&mut changed);
        next.push(changed);
    };
    match &home.state {
        HomeState::Start | HomeState::Unclear(_) => step(&|world| {
            let store = world.store.clone();
            let home = &mut world.homes[index];
            store.load(&mut home.shard);
            home.state = HomeState::Loaded;
        }),
        HomeState::Loaded => step(&|world| {
            let home = &mut world.homes[index];
            home.state = match home.shard.plan(std::slice::from_ref(&home.wish), 5) {
                Some(write) => HomeState::Planned(write),
                None if home
                    .shard
                    .holder(home.wish.key)
                    .is_some_and(|holder| holder.request == home.wish.request) =>
                {
                    HomeState::Granted
                }
                None => HomeState::Held,
            };
        }),
        HomeState::Planned(write) => {
            step(&|world| {
                let answer = world.store.write(write);
                let home = &mut world.homes[index];
                home.state = match answer {
                    Some(version) => {
                        home.shard.apply_write(write.clone(), version);
                        HomeState::Granted
                    }
                    None => HomeState::Start,
                };
            });
            // The answer is lost: the write took effect, or lands later, or never.
            step(&|world| {
                let _lost = world.store.write(write);
                world.homes[index].state = HomeState::Unclear(write.clone());
            });
            step(&|world| {
                world.late.push(write.clone());
                world.homes[index].state = HomeState::Unclear(write.clone());
            });
        }
        HomeState::Granted | HomeState::Held | HomeState::Crashed => {}
    }
    if !matches!(home.state, HomeState::Granted | HomeState::Held | HomeState::Crashed) {
        step(&|world| world.homes[index].state = HomeState::Crashed);
    }
    next
}

#[test]
fn every_interleaving_of_two_homes_grants_at_most_one() {
    let home = |counter| Home {
        wish: wish(counter, None),
        shard: ClaimShard::new(),
        state: HomeState::Start,
    };
    let start =
        World { store: StoreModel::default(), homes: vec![home(1), home(2)], late: Vec::new() };
    let mut seen = HashSet::new();
    let mut waiting = vec![(start, 0)];
    let mut ends = 0;
    while let Some((world, depth)) = waiting.pop() {
        let granted = world.homes.iter().filter(|home| home.state == HomeState::Granted).count();
        assert!(granted <= 1, "two homes hold the claim: {world:?}");
        if depth >= 14 || !seen.insert(format!("{world:?}")) {
            continue;
        }
        let before = waiting.len();
        for index in 0..world.homes.len() {
            waiting.extend(next_states(&world, index).into_iter().map(|next| (next, depth + 1)));
        }
        for late in 0..world.late.len() {
            let mut landed = world.clone();
            let write = landed.late.remove(late);
            let _answer_goes_nowhere = landed.store.write(&write);
            waiting.push((landed, depth + 1));
        }
        ends += u64::from(waiting.len() == before);
    }
    assert!(seen.len() > 500 && ends > 0, "{} states, {ends} ends", seen.len());
}

#[test]
fn a_claim_of_one_that_never_ran_is_taken_over_once() {
    let mut store = StoreModel::default();
    let mut shard = ClaimShard::new();
    let first = shard.plan(&[wish(1, None)], 5).expect("free");
    let version = store.write(&first).expect("accepted");
    shard.apply_write(first, version);
    assert!(shard.plan(&[wish(2, None)], 6).is_none(), "held, and not given up");
    let takeover =
        shard.plan(&[wish(3, Some(request(1))), wish(4, Some(request(1)))], 7).expect("given up");
    let version = store.write(&takeover).expect("accepted");
    shard.apply_write(takeover, version);
    assert_eq!(shard.holder(wish(3, None).key).map(|holder| holder.request), Some(request(3)));
    assert!(shard.plan(&[wish(4, Some(request(1)))], 8).is_none(), "the holder has changed");
    let mut fresh = ClaimShard::new();
    store.load(&mut fresh);
    assert_eq!(fresh.holder(wish(3, None).key).map(|holder| holder.request), Some(request(3)));
}

#[test]
fn full_segments_are_sealed_and_the_chain_goes_on() {
    let mut store = StoreModel::default();
    let mut shard = ClaimShard::new();
    let total = 2 * MAX_SEGMENT_CLAIMS + 10;
    for group in 0..total.div_ceil(100) {
        let wishes: Vec<ClaimProposal> = (0..100)
            .map(|number| {
                let counter = (group * 100 + number) as u64;
                ClaimProposal {
                    key: ClaimKey::new("org", &counter.to_string()),
                    ..wish(counter, None)
                }
            })
            .collect();
        let write = shard.plan(&wishes, 1).expect("all are new");
        let version = store.write(&write).expect("nobody else writes");
        shard.apply_write(write, version);
    }
    assert_eq!(shard.segment_number(), 2);
    let largest = store
        .segments
        .iter()
        .map(|(_, segment)| serde_json::to_vec(segment).expect("JSON").len())
        .max();
    assert!(largest < Some(1 << 20), "{largest:?} bytes");
    let mut fresh = ClaimShard::new();
    store.load(&mut fresh);
    assert_eq!((fresh.len(), fresh.segment_number()), (shard.len(), shard.segment_number()));
}

proptest! {
    /// Many homes, many keys, any order of loads, writes and lost answers: a key has one holder, and
    /// once granted it stays.
    #[test]
    fn granted_claims_stay_granted(
        steps in prop::collection::vec((0_usize..3, 0_u64..6, 0_u8..4), 1..120)
    ) {
        let mut store = StoreModel::default();
        let mut shards = vec![ClaimShard::new(); 3];
        let mut granted: std::collections::HashMap<u64, RequestId> = std::collections::HashMap::new();
        for (turn, (home, key, fate)) in steps.into_iter().enumerate() {
            if fate == 0 {
                store.load(&mut shards[home]);
                continue;
            }
            let asked = RequestId { incarnation: home as u64 + 1, counter: turn as u64 };
            let wish = ClaimProposal {
                key: ClaimKey::new("org", &key.to_string()),
                request: asked,
                entry: "entry".to_owned(),
                replaces: None,
            };
            let Some(write) = shards[home].plan(std::slice::from_ref(&wish), 1) else {
                continue;
            };
            match (store.write(&write), fate) {
                (Some(version), 1 | 2) => {
                    shards[home].apply_write(write, version);
                    let before = granted.insert(key, asked);
                    prop_assert!(before.is_none(), "key {} granted twice", key);
                }
                // The answer was lost: the home reads back and finds its own claim.
                (Some(_), _) => {
                    store.load(&mut shards[home]);
                    let holder = shards[home].holder(wish.key).map(|holder| holder.request);
                    prop_assert_eq!(holder, Some(asked));
                    prop_assert!(granted.insert(key, asked).is_none());
                }
                (None, _) => {}
            }
        }
        let mut fresh = ClaimShard::new();
        store.load(&mut fresh);
        for (key, request) in granted {
            let key = ClaimKey::new("org", &key.to_string());
            prop_assert_eq!(fresh.holder(key).map(|holder| holder.request), Some(request));
        }
    }
}
