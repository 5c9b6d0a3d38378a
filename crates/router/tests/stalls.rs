//! First replicas that begin no answers, replayed in virtual time: steady traffic while some hang, and engines that
//! are all slow at once.

use std::collections::VecDeque;

use switchfold_router::{
    instance::ReplicaInstance,
    origin::{UpdateAudience, UpdateOrigin},
    stall::{StallDetector, TRIAL_GRACE, reroute_after},
};

/// Objective of the requests, and the time in which an engine usually begins an answer, in milliseconds.
const OBJECTIVE: u64 = 500;
const USUAL: u64 = 80;

/// Time between two requests of one relay, and between two looks at a request that waits, in milliseconds.
const EVERY: u64 = 20;
const LOOK: u64 = 50;

/// A load: how many replicas there are, which hang when, and by what factor all are slow.
struct Load {
    replicas: usize,
    hanging: usize,
    hangs: std::ops::Range<u64>,
    slow: f64,
    length: u64,
}

struct Waiting {
    arrived: u64,
    sent: u64,
    begins: Option<u64>,
    replica: usize,
    tries: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: u32,
    late: u32,
    repeats: u32,
}

/// Plays a load against one relay's own decisions; each request begins at the replica that is not mute and has been
/// sent least.
fn play(load: &Load, watches: bool) -> Outcome {
    let instances: Vec<ReplicaInstance> =
        (0..load.replicas).map(|number| ReplicaInstance::new(&format!("i-{number}"), 0)).collect();
    let mut watch = StallDetector::default();
    let mut waiting: VecDeque<Waiting> = VecDeque::new();
    let mut outcome = Outcome::default();
    let mut sent_to = vec![0_u32; load.replicas];
    let takes = (USUAL as f64 * load.slow) as u64;
    let mut send =
        |watch: &mut StallDetector, arrived: u64, avoid: Option<usize>, tries: u32, now: u64| {
            let cost = |number: &usize| {
                (watches && watch.is_stalled(&instances[*number], now), sent_to[*number])
            };
            let others = (0..load.replicas).filter(|number| Some(*number) != avoid);
            let replica = others.min_by_key(cost).expect("there are others");
            sent_to[replica] += 1;
            watch.record_sent(&instances[replica], now);
            let hangs = replica < load.hanging && load.hangs.contains(&now);
            Waiting { arrived, sent: now, begins: (!hangs).then_some(now + takes), replica, tries }
        };
    for now in 0..load.length {
        if now.is_multiple_of(EVERY) {
            outcome.requests += 1;
            let request = send(&mut watch, now, None, 1, now);
            waiting.push_back(request);
        }
        let mut left = Vec::new();
        waiting.retain(|request| {
            let instance = &instances[request.replica];
            if request.begins == Some(now) {
                watch.record_response(instance, Some(now - request.sent), now);
                outcome.late += u32::from(now - request.arrived > OBJECTIVE);
                return false;
            }
            let waited = now - request.sent;
            if waited == 0 || !waited.is_multiple_of(LOOK) || request.tries > 1 {
                return true;
            }
            let silent_after = watch.stall_threshold(OBJECTIVE);
            watch.detect_stall(instance, silent_after, now);
            let is_mute = watches && watch.is_stalled(instance, now) && waited >= silent_after;
            if is_mute || waited > reroute_after(OBJECTIVE) {
                watch.record_abandoned(instance);
                left.push((request.arrived, request.replica));
                return false;
            }
            true
        });
        for (arrived, replica) in left {
            outcome.repeats += 1;
            let request = send(&mut watch, arrived, Some(replica), 2, now);
            waiting.push_back(request);
        }
    }
    outcome
}

const HANGING: Load =
    Load { replicas: 12, hanging: 2, hangs: 2_000..8_500, slow: 1.0, length: 12_000 };

/// With the wait alone every request that met a hanging replica was late; now those of the first moments are
/// in time as well, and few meet one.
#[test]
fn a_hanging_replica_makes_no_request_late() {
    let waiting_alone = play(&HANGING, false);
    assert!(waiting_alone.late >= 50, "{waiting_alone:?}");
    let watched = play(&HANGING, true);
    assert_eq!(watched.late, 0, "{watched:?}");
    assert!(watched.repeats < waiting_alone.repeats / 2, "{watched:?} against {waiting_alone:?}");
}

/// Engines that are all slow are not taken for mute, and nothing is sent twice into them.
#[test]
fn slow_engines_are_not_fed_with_repeats() {
    for slow in [3.0, 5.0, 8.0] {
        let load = Load { hanging: 0, hangs: 0..0, slow, ..HANGING };
        let outcome = play(&load, true);
        assert!(outcome.repeats * 50 < outcome.requests, "{slow}: {outcome:?}");
    }
}

#[test]
fn the_time_to_leave_follows_the_objective() {
    for (objective, expected) in [(0, 700), (150, 210), (500, 700), (2_000, 2_800)] {
        assert_eq!(reroute_after(objective), expected, "{objective}");
    }
}

/// A mute replica comes back by one request at a time of the relay that found it; others keep away until that ended.
#[test]
fn a_mute_replica_is_tried_by_one_request() {
    let instance = ReplicaInstance::new("i-1", 0);
    let (mut own, mut other) = (StallDetector::default(), StallDetector::default());
    own.record_sent(&instance, 0);
    let lasts = own.detect_stall(&instance, 150, 200).expect("it is silent");
    let told: Vec<_> = own
        .shared_with(UpdateAudience::Speakers, 200)
        .map(|(instance, lasts)| (instance.clone(), lasts))
        .collect();
    assert_eq!(told, [(instance.clone(), lasts + TRIAL_GRACE)]);
    other.merge_stalls("own", UpdateOrigin::Told, told.clone().into_iter(), 200);
    assert_eq!(
        other.shared_with(UpdateAudience::Speakers, 200).count(),
        0,
        "what was only heard is not repeated"
    );
    own.record_abandoned(&instance);
    let over = 200 + lasts;
    assert!(own.is_stalled(&instance, over - 1) && !own.is_stalled(&instance, over));
    own.record_sent(&instance, over);
    assert!(own.is_stalled(&instance, over + 1), "one tries, the next one keeps away");
    assert!(other.is_stalled(&instance, over + 1));
    assert!(own.record_response(&instance, Some(70), over + 70), "it is back");
    assert!(!own.is_stalled(&instance, over + 71));
    assert!(!other.is_stalled(&instance, over + TRIAL_GRACE));
    // What the one that found it tells no more has ended.
    other.merge_stalls("own", UpdateOrigin::Told, told.into_iter(), over);
    assert!(other.is_stalled(&instance, over + 1));
    other.merge_stalls("own", UpdateOrigin::Told, std::iter::empty(), over + 2);
    assert!(!other.is_stalled(&instance, over + 3));
}

/// A queue goes on beginning answers, or refuses: neither is silence.
#[test]
fn a_replica_that_answers_others_is_not_mute() {
    let instance = ReplicaInstance::new("i-1", 0);
    let mut watch = StallDetector::default();
    (0..3).for_each(|_| watch.record_sent(&instance, 0));
    watch.record_response(&instance, Some(140), 140);
    assert_eq!(watch.detect_stall(&instance, 150, 200), None);
    watch.record_response(&instance, None, 280);
    assert_eq!(watch.detect_stall(&instance, 150, 400), None);
    assert!(watch.detect_stall(&instance, 150, 440).is_some());
}
