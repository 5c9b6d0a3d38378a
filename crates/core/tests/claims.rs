//! The claim protocol: at most one request holds a key, and a granted claim is never lost.
//!
//! A model checker explores all interleavings of a small case: two owners that disagree, each with
//! a request for the same key, and a store that performs conditional writes and may lose its
//! responses. Either owner can crash at every step.

use std::collections::HashSet;

use proptest::prelude::*;
use switchfold_core::{
    claim::{ClaimKey, ClaimProposal, ClaimSegment, ClaimShard, ClaimWrite, MAX_SEGMENT_CLAIMS},
    id::RequestId,
};

/// Model of one shard in the store: its segments with their versions.
#[derive(Clone, Debug, Default, PartialEq)]
struct StoreModel {
    segments: Vec<(u64, ClaimSegment)>,
    revision: u64,
}

impl StoreModel {
    fn write(&mut self, write: &ClaimWrite) -> Option<u64> {
        let number = write.segment_number as usize;
        let version = self.segments.get(number).map_or(0, |(version, _)| *version);
        if version != write.expected || number > self.segments.len() {
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

/// State of an owner's only request.
#[derive(Clone, Debug, PartialEq)]
enum OwnerState {
    Start,
    Loaded,
    Planned(ClaimWrite),
    /// The write was sent and the response was lost; the write may still take effect.
    Unknown(ClaimWrite),
    Granted,
    Rejected,
    Crashed,
}

#[derive(Clone, Debug)]
struct Owner {
    proposal: ClaimProposal,
    shard: ClaimShard,
    state: OwnerState,
}

#[derive(Clone, Debug)]
struct ModelState {
    store: StoreModel,
    owners: Vec<Owner>,
    /// Writes whose responses were lost and that have not taken effect yet.
    delayed_writes: Vec<ClaimWrite>,
}

fn request(counter: u64) -> RequestId {
    RequestId { incarnation: 1, counter }
}

fn proposal(counter: u64, replaces: Option<RequestId>) -> ClaimProposal {
    let key = ClaimKey::new("northcatch", "settlement-7");
    ClaimProposal { key, request: request(counter), entry: format!("entry-{counter}"), replaces }
}

/// Returns the successor states in which one owner has made a step.
fn next_states(model: &ModelState, index: usize) -> Vec<ModelState> {
    let mut next = Vec::new();
    let owner = &model.owners[index];
    let mut step = |change: &dyn Fn(&mut ModelState)| {
        let mut changed = model.clone();
        change(&mut changed);
        next.push(changed);
    };
    match &owner.state {
        OwnerState::Start | OwnerState::Unknown(_) => step(&|model| {
            let store = model.store.clone();
            let owner = &mut model.owners[index];
            store.load(&mut owner.shard);
            owner.state = OwnerState::Loaded;
        }),
        OwnerState::Loaded => step(&|model| {
            let owner = &mut model.owners[index];
            owner.state = match owner.shard.plan(std::slice::from_ref(&owner.proposal), 5) {
                Some(write) => OwnerState::Planned(write),
                None if owner
                    .shard
                    .holder(owner.proposal.key)
                    .is_some_and(|holder| holder.request == owner.proposal.request) =>
                {
                    OwnerState::Granted
                }
                None => OwnerState::Rejected,
            };
        }),
        OwnerState::Planned(write) => {
            step(&|model| {
                let written = model.store.write(write);
                let owner = &mut model.owners[index];
                owner.state = match written {
                    Some(version) => {
                        owner.shard.apply_write(write.clone(), version);
                        OwnerState::Granted
                    }
                    None => OwnerState::Start,
                };
            });
            // The response is lost. The write takes effect now, later, or never.
            step(&|model| {
                let _lost = model.store.write(write);
                model.owners[index].state = OwnerState::Unknown(write.clone());
            });
            step(&|model| {
                model.delayed_writes.push(write.clone());
                model.owners[index].state = OwnerState::Unknown(write.clone());
            });
        }
        OwnerState::Granted | OwnerState::Rejected | OwnerState::Crashed => {}
    }
    if !matches!(owner.state, OwnerState::Granted | OwnerState::Rejected | OwnerState::Crashed) {
        step(&|model| model.owners[index].state = OwnerState::Crashed);
    }
    next
}

#[test]
fn every_interleaving_of_two_owners_grants_at_most_one_claim() {
    let owner = |counter| Owner {
        proposal: proposal(counter, None),
        shard: ClaimShard::new(),
        state: OwnerState::Start,
    };
    let start = ModelState {
        store: StoreModel::default(),
        owners: vec![owner(1), owner(2)],
        delayed_writes: Vec::new(),
    };
    let mut seen = HashSet::new();
    let mut unexplored = vec![(start, 0)];
    let mut final_states = 0;
    while let Some((model, depth)) = unexplored.pop() {
        let granted =
            model.owners.iter().filter(|owner| owner.state == OwnerState::Granted).count();
        assert!(granted <= 1, "two owners hold the claim: {model:?}");
        if depth >= 14 || !seen.insert(format!("{model:?}")) {
            continue;
        }
        let before = unexplored.len();
        for index in 0..model.owners.len() {
            unexplored.extend(next_states(&model, index).into_iter().map(|next| (next, depth + 1)));
        }
        for index in 0..model.delayed_writes.len() {
            let mut successor = model.clone();
            let write = successor.delayed_writes.remove(index);
            let _response_lost = successor.store.write(&write);
            unexplored.push((successor, depth + 1));
        }
        final_states += u64::from(unexplored.len() == before);
    }
    assert!(
        seen.len() > 500 && final_states > 0,
        "{} states, {final_states} final states",
        seen.len()
    );
}

#[test]
fn claim_of_request_that_never_ran_is_replaced_once() {
    let mut store = StoreModel::default();
    let mut shard = ClaimShard::new();
    let first = shard.plan(&[proposal(1, None)], 5).expect("the key is free");
    let version = store.write(&first).expect("accepted");
    shard.apply_write(first, version);
    assert!(shard.plan(&[proposal(2, None)], 6).is_none(), "held by a request that may have run");
    let takeover = shard
        .plan(&[proposal(3, Some(request(1))), proposal(4, Some(request(1)))], 7)
        .expect("the holder never ran");
    let version = store.write(&takeover).expect("accepted");
    shard.apply_write(takeover, version);
    assert_eq!(shard.holder(proposal(3, None).key).map(|holder| holder.request), Some(request(3)));
    assert!(shard.plan(&[proposal(4, Some(request(1)))], 8).is_none(), "the holder has changed");
    let mut fresh = ClaimShard::new();
    store.load(&mut fresh);
    assert_eq!(fresh.holder(proposal(3, None).key).map(|holder| holder.request), Some(request(3)));
}

#[test]
fn full_segments_are_sealed_and_followed_by_new_ones() {
    let mut store = StoreModel::default();
    let mut shard = ClaimShard::new();
    let total = 2 * MAX_SEGMENT_CLAIMS + 10;
    for group in 0..total.div_ceil(100) {
        let proposals: Vec<ClaimProposal> = (0..100)
            .map(|number| {
                let counter = (group * 100 + number) as u64;
                ClaimProposal {
                    key: ClaimKey::new("org", &counter.to_string()),
                    ..proposal(counter, None)
                }
            })
            .collect();
        let write = shard.plan(&proposals, 1).expect("all are new");
        let version = store.write(&write).expect("there is no concurrent writer");
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
    /// Several owners and keys, with loads, writes and lost responses in any order: a key has at
    /// most one holder, and a granted claim stays granted.
    #[test]
    fn granted_claims_stay_granted(
        steps in prop::collection::vec((0_usize..3, 0_u64..6, 0_u8..4), 1..120)
    ) {
        let mut store = StoreModel::default();
        let mut shards = vec![ClaimShard::new(); 3];
        let mut granted: std::collections::HashMap<u64, RequestId> = std::collections::HashMap::new();
        for (turn, (owner, key, outcome)) in steps.into_iter().enumerate() {
            if outcome == 0 {
                store.load(&mut shards[owner]);
                continue;
            }
            let request_id = RequestId { incarnation: owner as u64 + 1, counter: turn as u64 };
            let proposal = ClaimProposal {
                key: ClaimKey::new("org", &key.to_string()),
                request: request_id,
                entry: "entry".to_owned(),
                replaces: None,
            };
            let Some(write) = shards[owner].plan(std::slice::from_ref(&proposal), 1) else {
                continue;
            };
            match (store.write(&write), outcome) {
                (Some(version), 1 | 2) => {
                    shards[owner].apply_write(write, version);
                    let before = granted.insert(key, request_id);
                    prop_assert!(before.is_none(), "key {} granted twice", key);
                }
                // The response was lost: the owner reads the segment back and finds its claim.
                (Some(_), _) => {
                    store.load(&mut shards[owner]);
                    let holder = shards[owner].holder(proposal.key).map(|holder| holder.request);
                    prop_assert_eq!(holder, Some(request_id));
                    prop_assert!(granted.insert(key, request_id).is_none());
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
