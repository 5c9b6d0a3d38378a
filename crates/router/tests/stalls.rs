//! Stall detection in virtual time: steady traffic while some first replicas hang, and engines that
//! are all slow at once.

use std::collections::VecDeque;

use switchfold_router::{
    instance::ReplicaInstance,
    origin::{UpdateAudience, UpdateOrigin},
    stall::{StallDetector, TRIAL_GRACE, reroute_after},
};

/// Objective of the requests, and the usual time until an engine starts a response, in
/// milliseconds.
const OBJECTIVE: u64 = 500;
const RESPONSE_DELAY: u64 = 80;

/// Interval between requests of the relay, and between checks of a waiting request, in
/// milliseconds.
const REQUEST_INTERVAL: u64 = 20;
const CHECK_INTERVAL: u64 = 50;

/// Traffic for `length` milliseconds at `replicas` replicas, of which the first `hanging` hang
/// during `hangs`; the responses of all are slower than usual by the factor `slow`.
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
    /// When the response starts; `None` if the replica hangs.
    starts: Option<u64>,
    replica: usize,
    attempts: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: u32,
    late: u32,
    retries: u32,
}

/// Simulates one relay under a load. Each request starts at the replica with the fewest requests so
/// far, avoiding stalled replicas if `uses_detector` is set.
fn simulate(load: &Load, uses_detector: bool) -> Outcome {
    let instances: Vec<ReplicaInstance> =
        (0..load.replicas).map(|number| ReplicaInstance::new(&format!("i-{number}"), 0)).collect();
    let mut detector = StallDetector::default();
    let mut waiting: VecDeque<Waiting> = VecDeque::new();
    let mut outcome = Outcome::default();
    let mut sent_to = vec![0_u32; load.replicas];
    let response_delay = (RESPONSE_DELAY as f64 * load.slow) as u64;
    let mut send = |detector: &mut StallDetector,
                    arrived: u64,
                    avoid: Option<usize>,
                    attempts: u32,
                    now: u64| {
        let cost = |number: &usize| {
            (uses_detector && detector.is_stalled(&instances[*number], now), sent_to[*number])
        };
        let others = (0..load.replicas).filter(|number| Some(*number) != avoid);
        let replica = others.min_by_key(cost).expect("there are others");
        sent_to[replica] += 1;
        detector.record_sent(&instances[replica], now);
        let hangs = replica < load.hanging && load.hangs.contains(&now);
        Waiting {
            arrived,
            sent: now,
            starts: (!hangs).then_some(now + response_delay),
            replica,
            attempts,
        }
    };
    for now in 0..load.length {
        if now.is_multiple_of(REQUEST_INTERVAL) {
            outcome.requests += 1;
            let request = send(&mut detector, now, None, 1, now);
            waiting.push_back(request);
        }
        let mut rerouted = Vec::new();
        waiting.retain(|request| {
            let instance = &instances[request.replica];
            if request.starts == Some(now) {
                detector.record_response(instance, Some(now - request.sent), now);
                outcome.late += u32::from(now - request.arrived > OBJECTIVE);
                return false;
            }
            let waited = now - request.sent;
            if waited == 0 || !waited.is_multiple_of(CHECK_INTERVAL) || request.attempts > 1 {
                return true;
            }
            let threshold = detector.stall_threshold(OBJECTIVE);
            detector.detect_stall(instance, threshold, now);
            let is_stalled =
                uses_detector && detector.is_stalled(instance, now) && waited >= threshold;
            if is_stalled || waited > reroute_after(OBJECTIVE) {
                detector.record_abandoned(instance);
                rerouted.push((request.arrived, request.replica));
                return false;
            }
            true
        });
        for (arrived, replica) in rerouted {
            outcome.retries += 1;
            let request = send(&mut detector, arrived, Some(replica), 2, now);
            waiting.push_back(request);
        }
    }
    outcome
}

const HANGING: Load =
    Load { replicas: 12, hanging: 2, hangs: 2_000..8_500, slow: 1.0, length: 12_000 };

/// With only a timeout per request, every request sent to a hanging replica is late. With stall
/// detection few requests are sent there, and those are rerouted in time.
#[test]
fn a_hanging_replica_makes_no_request_late() {
    let timeout_only = simulate(&HANGING, false);
    assert!(timeout_only.late >= 50, "{timeout_only:?}");
    let with_detector = simulate(&HANGING, true);
    assert_eq!(with_detector.late, 0, "{with_detector:?}");
    assert!(
        with_detector.retries < timeout_only.retries / 2,
        "{with_detector:?} against {timeout_only:?}"
    );
}

/// Engines that are all slow are not taken for stalled; retries would only add to their load.
#[test]
fn slow_engines_get_few_retries() {
    for slow in [3.0, 5.0, 8.0] {
        let load = Load { hanging: 0, hangs: 0..0, slow, ..HANGING };
        let outcome = simulate(&load, true);
        assert!(outcome.retries * 50 < outcome.requests, "{slow}: {outcome:?}");
    }
}

#[test]
fn reroute_time_follows_the_objective() {
    for (objective, expected) in [(0, 700), (150, 210), (500, 700), (2_000, 2_800)] {
        assert_eq!(reroute_after(objective), expected, "{objective}");
    }
}

/// Only the relay that detected a stall sends trial requests, one at a time; other relays avoid the
/// replica until they learn the outcome.
#[test]
fn a_stalled_replica_gets_one_trial_request() {
    let instance = ReplicaInstance::new("i-1", 0);
    let (mut local, mut peer) = (StallDetector::default(), StallDetector::default());
    local.record_sent(&instance, 0);
    let duration = local.detect_stall(&instance, 150, 200).expect("the replica is silent");
    let shared: Vec<_> = local
        .shared_with(UpdateAudience::Speakers, 200)
        .map(|(instance, duration)| (instance.clone(), duration))
        .collect();
    assert_eq!(shared, [(instance.clone(), duration + TRIAL_GRACE)]);
    peer.merge_peer("own", UpdateOrigin::Peer, shared.clone().into_iter(), 200);
    assert_eq!(
        peer.shared_with(UpdateAudience::Speakers, 200).count(),
        0,
        "stalls of other speakers are not forwarded to speakers"
    );
    local.record_abandoned(&instance);
    let end = 200 + duration;
    assert!(local.is_stalled(&instance, end - 1) && !local.is_stalled(&instance, end));
    local.record_sent(&instance, end);
    assert!(
        local.is_stalled(&instance, end + 1),
        "while one trial runs, the next request avoids the replica"
    );
    assert!(peer.is_stalled(&instance, end + 1));
    assert!(local.record_response(&instance, Some(70), end + 70), "the replica has recovered");
    assert!(!local.is_stalled(&instance, end + 71));
    assert!(!peer.is_stalled(&instance, end + TRIAL_GRACE));
    // A stall ends at other relays when the relay that detected it no longer sends it.
    peer.merge_peer("own", UpdateOrigin::Peer, shared.into_iter(), end);
    assert!(peer.is_stalled(&instance, end + 1));
    peer.merge_peer("own", UpdateOrigin::Peer, std::iter::empty(), end + 2);
    assert!(!peer.is_stalled(&instance, end + 3));
}

/// With a queue, responses keep starting or requests are rejected: neither is silence.
#[test]
fn a_replica_that_answers_other_requests_is_not_stalled() {
    let instance = ReplicaInstance::new("i-1", 0);
    let mut detector = StallDetector::default();
    (0..3).for_each(|_| detector.record_sent(&instance, 0));
    detector.record_response(&instance, Some(140), 140);
    assert_eq!(detector.detect_stall(&instance, 150, 200), None);
    detector.record_response(&instance, None, 280);
    assert_eq!(detector.detect_stall(&instance, 150, 400), None);
    assert!(detector.detect_stall(&instance, 150, 440).is_some());
}
