//! Requests that crash replicas are quarantined at all relays, and harmless requests are not.

mod crash_model;

use std::collections::HashSet;

use crash_model::{CONTACT_TIME, Fault, Observed, Scenario, simulate};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use switchfold_router::{
    fingerprint::RequestFingerprint,
    instance::ReplicaInstance,
    origin::UpdateAudience,
    quarantine::{
        AMBIGUOUS_WEIGHT, CrashEvidence, CrashReport, CrashRun, LostRun, MAX_RECORDS,
        QUARANTINE_TIME, QUARANTINE_WEIGHT, QuarantineTable, RUN_RETENTION, RunProgress,
        TRIAL_DELAYS,
    },
};

/// Sends of a bad request that the users accept after the third crash plus the contact time.
const MAX_LATE_SENDS: usize = 3;

fn request(number: u8) -> RequestFingerprint {
    RequestFingerprint::from_bytes([number; 16])
}

fn instance(number: u64) -> ReplicaInstance {
    ReplicaInstance::new("i", number + 1)
}

/// Records that a request was sent at `sent` to a replica that crashed at `lost`. Returns whether
/// it is quarantined.
fn crash(table: &mut QuarantineTable, number: u8, replica: u64, (sent, lost): (u64, u64)) -> bool {
    crash_with(table, number, replica, (sent, lost), RunProgress::Unary)
}

fn crash_with(
    table: &mut QuarantineTable,
    number: u8,
    replica: u64,
    (sent, lost): (u64, u64),
    progress: RunProgress,
) -> bool {
    let instances = [instance(replica)];
    table.record_lost(
        request(number),
        &LostRun { instances: &instances, sent, progress, depth: 0 },
        lost,
    );
    table.record_crash(&instances[0], lost);
    table.remaining(&request(number), lost).is_some()
}

/// Runs of one request, each with its replica and the times of send and loss, and whether they
/// quarantine the request.
#[test]
fn consecutive_crashes_quarantine_a_request() {
    type Row<'a> = (&'a str, &'a [(u64, u64, u64)], bool);
    let rows: [Row<'_>; 7] = [
        ("two in a row", &[(1, 0, 100), (2, 150, 300)], false),
        ("three in a row", &[(1, 0, 100), (2, 150, 300), (3, 350, 400)], true),
        ("all replicas crash at once", &[(1, 0, 100), (2, 10, 100), (3, 20, 101)], false),
        (
            "a rack that fails over two seconds",
            &[(1, 0, 100), (2, 10, 1_000), (3, 20, 2_000)],
            false,
        ),
        (
            "all replicas crash at once, twice",
            &[(1, 0, 100), (2, 0, 100), (3, 200, 300), (4, 210, 300)],
            false,
        ),
        ("one crash, recorded repeatedly", &[(1, 0, 100), (1, 0, 100), (1, 0, 100)], false),
        (
            "hours apart",
            &[(1, 0, 100), (2, 9_000_000, 9_000_100), (3, 19_000_000, 19_000_100)],
            false,
        ),
    ];
    for (name, runs, is_quarantined) in rows {
        let mut table = QuarantineTable::default();
        for (replica, sent, lost) in runs {
            table.expire(*sent);
            crash(&mut table, 1, *replica, (*sent, *lost));
        }
        let (_, _, last) = runs[runs.len() - 1];
        assert_eq!(table.remaining(&request(1), last).is_some(), is_quarantined, "{name}");
    }
}

/// Evidence that a lost run gives, by its progress.
#[test]
fn evidence_depends_on_the_progress_of_a_run() {
    let stream = |begun, events| RunProgress::Stream { begun, events };
    let rows = [
        ("started, no events", stream(Some(50), 0), CrashEvidence::Strong.into()),
        ("not started", stream(None, 0), Some(CrashEvidence::Weak)),
        ("events, started recently", stream(Some(50), 3), Some(CrashEvidence::Weak)),
        ("events, kept running", stream(Some(50), 30), None),
        ("unary", RunProgress::Unary, Some(CrashEvidence::Strong)),
    ];
    for (name, progress, evidence) in rows {
        let now = if name.ends_with("kept running") { 2_000 } else { 300 };
        assert_eq!(progress.evidence(now), evidence, "{name}");
    }
}

#[test]
fn a_result_clears_a_request() {
    let mut table = QuarantineTable::default();
    for replica in 0..2 {
        crash(&mut table, 1, replica, (replica * 1_000, replica * 1_000 + 100));
    }
    assert!(table.record_result(&request(1), 3_000));
    assert_eq!(table.take_removable(), [(request(1), 0)], "the store may hold the request");
    for (replica, is_quarantined) in [(5, false), (6, false), (7, false), (8, false), (9, true)] {
        let times = (replica * 1_000, replica * 1_000 + 100);
        assert_eq!(
            crash(&mut table, 1, replica, times),
            is_quarantined,
            "the request needs a higher weight from then on"
        );
    }
    crash(&mut table, 2, 1, (0, 100));
    table.release(&request(2), 3_000);
    assert_eq!(table.cleared(3_000).len(), 2, "releases are shared as well");
    // Relays that had received the crash reports drop them as well.
    let mut other = QuarantineTable::default();
    let runs = vec![run(1, 0, 100), run(2, 1_000, 1_100)];
    other.merge(vec![CrashReport { fingerprint: request(1), remaining: None, runs }], false, 2_000);
    other.merge_cleared(&table.cleared(3_000), false, 3_005);
    assert_eq!(other.weight(&request(1)), 0);
}

fn run(replica: u64, sent: i64, lost: i64) -> CrashRun {
    CrashRun { instance: instance(replica), sent, lost, evidence: CrashEvidence::Strong }
}

/// Of two requests present at the same crashes, neither is quarantined until one of them is alone
/// at the next crash, or both were present at five.
#[test]
fn requests_at_the_same_crashes_are_distinguished() {
    let mut table = QuarantineTable::default();
    let both = |table: &mut QuarantineTable, replica: u64| {
        let (sent, lost) = (replica * 1_000, replica * 1_000 + 100);
        let instances = [instance(replica)];
        for number in [1, 2] {
            let run =
                LostRun { instances: &instances, sent, progress: RunProgress::Unary, depth: 0 };
            table.record_lost(request(number), &run, lost);
        }
        table.record_crash(&instances[0], lost);
        [1, 2].map(|number| table.remaining(&request(number), lost).is_some())
    };
    for replica in 0..3 {
        assert_eq!(both(&mut table, replica), [false, false], "crash {replica}");
    }
    let mut apart = table.clone();
    assert!(crash(&mut apart, 1, 9, (9_000, 9_100)));
    assert_eq!(apart.remaining(&request(2), 9_100), None);
    assert_eq!(both(&mut table, 3), [false, false]);
    assert_eq!(both(&mut table, 4), [true, true]);
    assert!(table.weight(&request(1)) >= AMBIGUOUS_WEIGHT);
}

/// After its quarantine a request may be sent again; a single further crash renews the quarantine.
#[test]
fn a_quarantine_expires_and_is_renewed_by_one_crash() {
    let mut table = QuarantineTable::default();
    for replica in 0..3 {
        crash(&mut table, 1, replica, (replica * 1_000, replica * 1_000 + 100));
    }
    let end = 2_100 + QUARANTINE_TIME;
    assert_eq!(table.remaining(&request(1), end - 1), Some(1));
    table.expire(end);
    assert_eq!(table.remaining(&request(1), end), None);
    let mut undisturbed = table.clone();
    assert!(crash(&mut table, 1, 8, (end + 10, end + 100)));
    undisturbed.expire(end + RUN_RETENTION);
    assert_eq!(undisturbed.tracked_count(), 0);
}

/// A quarantined request is sent by the relay that has its trial, once.
#[test]
fn a_quarantined_request_has_few_trials() {
    let mut table = QuarantineTable::default();
    for replica in 0..3 {
        crash(&mut table, 1, replica, (replica * 1_000, replica * 1_000 + 100));
    }
    let (suspects, begin) = ([request(2), request(1)], 2_100);
    let [first, second] = TRIAL_DELAYS.map(|delay| begin + delay);
    assert_eq!(table.due_trial(&request(2), first), None, "not quarantined");
    assert_eq!(table.due_trial(&request(1), first - 1), None);
    assert_eq!(table.due_trial(&request(1), first), Some(0));
    table.record_trial_request(&request(1));
    assert_eq!(table.due_trial(&request(1), first), None, "asked for");
    table.record_trial_failure(&request(1));
    assert_eq!(table.due_trial(&request(1), first), Some(0));
    table.record_trial(&request(1), 0, false);
    assert_eq!(table.take_trials(suspects.iter(), first), None, "another relay has it");
    assert_eq!(table.due_trial(&request(1), second - 1), None);
    assert_eq!(table.due_trial(&request(1), second), Some(1));
    table.record_trial(&request(1), 1, true);
    let taken = table.take_trials(suspects.iter(), second).expect("this relay has it");
    assert_eq!(taken, [request(1)]);
    assert_eq!(table.take_trials(suspects.iter(), second), None, "already taken");
    table.return_trials(&taken);
    assert_eq!(table.take_trials(suspects.iter(), second), Some(taken));
    assert_eq!(table.due_trial(&request(1), begin + QUARANTINE_TIME - 1), None, "no trial is left");
    table.record_result(&request(1), second);
    assert_eq!(table.take_removable(), [(request(1), TRIAL_DELAYS.len())]);
}

/// A request that crashes replicas comes to all relays all the time. For each trial, one relay of 437
/// sends it, and each asks the store at most once.
#[test]
fn one_of_many_relays_has_a_trial() {
    const RELAYS: usize = 437;
    const REQUEST_INTERVAL: u64 = 5;
    const MAX_CALL_DELAY: u64 = 25 * RELAYS as u64;
    let mut random = ChaCha8Rng::seed_from_u64(61);
    let mut table = QuarantineTable::default();
    for replica in 0..3 {
        crash(&mut table, 1, replica, (replica * 1_000, replica * 1_000 + 100));
    }
    let mut tables = vec![table; RELAYS];
    let mut created = HashSet::new();
    let mut pending: Vec<(u64, usize, usize)> = Vec::new();
    let (mut calls, mut sends) = (0, Vec::new());
    let end = 2_100 + TRIAL_DELAYS[1] + 2 * MAX_CALL_DELAY;
    for now in (2_100..end).step_by(REQUEST_INTERVAL as usize) {
        for (_, relay, number) in pending.extract_if(.., |(at, ..)| *at <= now) {
            calls += 1;
            tables[relay].record_trial(&request(1), number, created.insert(number));
        }
        let relay = random.random_range(0..RELAYS);
        let table = &mut tables[relay];
        if table.take_trials([request(1)].iter(), now).is_some() {
            sends.push(now);
        } else if let Some(number) = table.due_trial(&request(1), now) {
            table.record_trial_request(&request(1));
            pending.push((now + random.random_range(0..=MAX_CALL_DELAY), relay, number));
        }
    }
    println!("{calls} calls, sent at {sends:?}");
    assert!((1..=TRIAL_DELAYS.len()).contains(&sends.len()), "{sends:?}");
    assert!(calls <= RELAYS * TRIAL_DELAYS.len(), "{calls} calls");
}

/// Guards against a trial that nobody makes, since a watch reported its object before the relay that
/// had created it got the response.
#[test]
fn a_trial_that_is_reported_before_the_response_is_not_lost() {
    let mut table = QuarantineTable::default();
    for replica in 0..3 {
        crash(&mut table, 1, replica, (replica * 1_000, replica * 1_000 + 100));
    }
    let due = 2_100 + TRIAL_DELAYS[0];
    assert_eq!(table.due_trial(&request(1), due), Some(0));
    table.record_trial_request(&request(1));
    table.record_trial(&request(1), 0, false);
    table.record_trial(&request(1), 0, true);
    assert_eq!(table.take_trials([request(1)].iter(), due), Some(vec![request(1)]));
    table.record_trial(&request(1), 0, false);
    assert_eq!(table.take_trials([request(1)].iter(), due), None, "it is only one");
}

/// Two reported crashes and a third one observed locally add up. Reported runs may be older than
/// the relay's own clock.
#[test]
fn reports_of_other_relays_add_up() {
    let report = CrashReport {
        fingerprint: request(1),
        remaining: None,
        runs: vec![run(1, -900, -800), run(2, -300, -200)],
    };
    let mut table = QuarantineTable::default();
    assert_eq!(table.merge(vec![report.clone()], false, 5).quarantined, []);
    assert_eq!(table.merge(vec![report], false, 205).quarantined, [], "the same report again");
    assert!(crash(&mut table, 1, 3, (300, 400)));
    assert_eq!(table.unstored(400).len(), 1, "written to the store");
    assert_eq!(table.unstored(400), [], "only once");
    let reports = table.shared_with(UpdateAudience::Speakers, 400);
    let mut other = QuarantineTable::default();
    other.merge(reports, false, 10);
    assert!(other.remaining(&request(1), 10).is_some());
    assert_eq!(other.unstored(10), [], "only the relay that observed a crash writes to the store");
    assert_eq!(
        other.shared_with(UpdateAudience::Speakers, 10),
        [],
        "reports of other relays are not forwarded"
    );
    other.announce_all(10);
    assert_eq!(
        other.shared_with(UpdateAudience::Speakers, 10).len(),
        1,
        "except to relays that have just started or returned"
    );
}

/// Runs lost at a replica do not count if it turns out to be alive.
#[test]
fn runs_lost_at_a_live_replica_do_not_count() {
    let mut table = QuarantineTable::default();
    crash(&mut table, 1, 1, (0, 100));
    crash(&mut table, 1, 2, (200, 300));
    table.record_alive(&instance(1));
    assert!(!crash(&mut table, 1, 3, (400, 500)));
}

#[test]
fn records_are_bounded_and_quarantined_ones_are_kept() {
    let mut table = QuarantineTable::default();
    for replica in 0..3 {
        crash(&mut table, 1, replica, (replica * 1_000, replica * 1_000 + 100));
    }
    for number in 0..2 * MAX_RECORDS as u64 {
        let mut bytes = [9; 16];
        bytes[..8].copy_from_slice(&number.to_le_bytes());
        let fingerprint = RequestFingerprint::from_bytes(bytes);
        let report =
            CrashReport { fingerprint, remaining: None, runs: vec![run(number + 50, 0, 100)] };
        table.merge(vec![report], false, 4_000 + number);
    }
    let reports = table.shared_with(UpdateAudience::Speakers, 4_000);
    assert!(
        reports.iter().any(|report| report.fingerprint == request(1)),
        "quarantined requests are reported first"
    );
    assert_eq!(table.tracked_count(), MAX_RECORDS);
    assert!(table.remaining(&request(1), 10_000).is_some());
    assert!(table.weight(&request(1)) >= QUARANTINE_WEIGHT);
}

const NO_BAD_REQUEST: Scenario = Scenario {
    relays: 8,
    replicas: 39,
    bad_interval: 0,
    harmless_rate: 70,
    popular_rate: 30,
    faults: Vec::new(),
    entry_time: None,
    length: 30_000,
};

/// Time after which the replica list drops a replica that gives no heartbeats: three of them.
const ENTRY_TIME: u64 = 3_600;

/// The pattern of the recorded incident with few and many relays, with partitioned data centres,
/// and with a restart of all relays.
#[test]
fn a_bad_request_is_quarantined_at_all_relays() {
    type Row<'a> = (&'a str, usize, u64, Vec<(u64, Fault)>);
    let rows: [Row<'_>; 5] = [
        ("one relay", 1, 500, vec![]),
        ("pattern of the incident", 4, 500, vec![]),
        ("many relays", 60, 300, vec![]),
        ("partitioned data centres", 9, 500, vec![(500, Fault::Partition(25_000))]),
        ("a restart of all relays", 9, 500, vec![(4_000, Fault::RelayCrash)]),
    ];
    for (name, relays, bad_interval, faults) in rows {
        for seed in 0..10 {
            let scenario =
                Scenario { relays, bad_interval, faults: faults.clone(), ..NO_BAD_REQUEST };
            let Observed { crashed, late_sends, rejected, harmless, .. } =
                simulate(&scenario, seed);
            assert!(crashed >= 3, "{name}, seed {seed}: only {crashed} crashed");
            assert!(late_sends <= MAX_LATE_SENDS, "{name}, seed {seed}: {late_sends} late sends");
            assert!(
                rejected * 1_000 < harmless,
                "{name}, seed {seed}: {rejected} of {harmless} rejected"
            );
        }
    }
}

/// No harmless request is rejected when racks, data centres or all replicas fail, repeatedly, or in
/// a rolling restart.
#[test]
fn harmless_requests_are_not_rejected() {
    let rows: [(&str, Vec<(u64, Fault)>); 4] = [
        ("a rack", vec![(5_000, Fault::Rack(9))]),
        ("two power failures", vec![(5_000, Fault::PowerOff), (12_000, Fault::PowerOff)]),
        ("rolling restart without notice", vec![(3_000, Fault::RollingRestart(400))]),
        ("one rack after another", (0..8).map(|n| (3_000 + n * 700, Fault::Rack(6))).collect()),
    ];
    for (name, faults) in rows {
        for seed in 0..10 {
            let scenario = Scenario { faults: faults.clone(), ..NO_BAD_REQUEST };
            assert_eq!(simulate(&scenario, seed).rejected, 0, "{name}, seed {seed}");
        }
    }
}

/// Guards against a request that is never quarantined, since the hosts of the replicas that it
/// crashes are silent: their crashes count when their entries are dropped.
#[test]
fn a_request_that_silences_replicas_is_quarantined_when_their_entries_are_dropped() {
    for (relays, bad_interval) in [(1, 500), (4, 500), (60, 300)] {
        for seed in 0..10 {
            let scenario =
                Scenario { relays, bad_interval, entry_time: Some(ENTRY_TIME), ..NO_BAD_REQUEST };
            let Observed { crashed, third_crash, last_send, rejected, harmless, .. } =
                simulate(&scenario, seed);
            println!("{relays} relays, seed {seed}: {crashed} crashed");
            let third = third_crash.expect("three crashes");
            let due = third + ENTRY_TIME + CONTACT_TIME;
            assert!(last_send <= due, "{relays} relays, seed {seed}: {last_send} after {due}");
            assert!(
                rejected * 1_000 < harmless,
                "{relays} relays, seed {seed}: {rejected} of {harmless} rejected"
            );
        }
    }
}
