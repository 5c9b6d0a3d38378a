//! Requests that end replicas are stopped everywhere, and none that is harmless.

mod crash_model;

use crash_model::{Day, Seen, Trouble, play};
use switchfold_router::{
    fingerprint::RequestFingerprint,
    instance::ReplicaInstance,
    origin::UpdateAudience,
    quarantine::{
        AMBIGUOUS_WEIGHT, CrashEvidence, CrashReport, CrashRun, LostRun, MAX_RECORDS,
        QUARANTINE_TIME, QUARANTINE_WEIGHT, QuarantineTable, RUN_RETENTION, RunProgress,
    },
};

/// Sends after the third end and the contact time that the users bear.
const MOST_LATE: usize = 3;

fn request(number: u8) -> RequestFingerprint {
    RequestFingerprint::from_bytes([number; 16])
}

fn instance(number: u64) -> ReplicaInstance {
    ReplicaInstance::new("i", number + 1)
}

/// A request is sent at `sent` to a replica that ends at `lost`.
fn crash(table: &mut QuarantineTable, of: u8, replica: u64, (sent, lost): (u64, u64)) -> bool {
    crash_with(table, of, replica, (sent, lost), RunProgress::Unary)
}

fn crash_with(
    table: &mut QuarantineTable,
    of: u8,
    replica: u64,
    (sent, lost): (u64, u64),
    progress: RunProgress,
) -> bool {
    let instances = [instance(replica)];
    table.record_lost(request(of), &LostRun { instances: &instances, sent, progress }, lost);
    table.record_crash(&instances[0], lost);
    table.remaining(&request(of), lost).is_some()
}

/// Runs of one request, each with its replica and its times, and whether they stop it.
#[test]
fn crashes_in_a_row_stop_a_request() {
    type Row<'a> = (&'a str, &'a [(u64, u64, u64)], bool);
    let rows: [Row<'_>; 7] = [
        ("two in a row", &[(1, 0, 100), (2, 150, 300)], false),
        ("three in a row", &[(1, 0, 100), (2, 150, 300), (3, 350, 400)], true),
        ("all replicas end at once", &[(1, 0, 100), (2, 10, 100), (3, 20, 101)], false),
        (
            "a rack that ends over two seconds",
            &[(1, 0, 100), (2, 10, 1_000), (3, 20, 2_000)],
            false,
        ),
        ("twice all at once", &[(1, 0, 100), (2, 0, 100), (3, 200, 300), (4, 210, 300)], false),
        ("one replica, told again", &[(1, 0, 100), (1, 0, 100), (1, 0, 100)], false),
        (
            "hours apart",
            &[(1, 0, 100), (2, 9_000_000, 9_000_100), (3, 19_000_000, 19_000_100)],
            false,
        ),
    ];
    for (name, runs, stops) in rows {
        let mut table = QuarantineTable::default();
        for (replica, sent, lost) in runs {
            table.forget(*sent);
            crash(&mut table, 1, *replica, (*sent, *lost));
        }
        let (_, _, last) = runs[runs.len() - 1];
        assert_eq!(table.remaining(&request(1), last).is_some(), stops, "{name}");
    }
}

/// What had come of each of three runs when it was lost, and whether that is enough.
#[test]
fn what_came_of_a_run_counts() {
    let stream = |begun, events| RunProgress::Stream { begun, events };
    let rows = [
        ("begun, and gave nothing", stream(Some(50), 0), CrashEvidence::Strong.into()),
        ("not begun", stream(None, 0), Some(CrashEvidence::Weak)),
        ("gave something, young", stream(Some(50), 3), Some(CrashEvidence::Weak)),
        ("gave something, and went on", stream(Some(50), 30), None),
        ("a whole answer due", RunProgress::Unary, Some(CrashEvidence::Strong)),
    ];
    for (name, progress, sign) in rows {
        let now = if name.ends_with("went on") { 2_000 } else { 300 };
        assert_eq!(progress.evidence(now), sign, "{name}");
    }
}

#[test]
fn a_result_clears_a_request() {
    let mut table = QuarantineTable::default();
    for replica in 0..2 {
        crash(&mut table, 1, replica, (replica * 1_000, replica * 1_000 + 100));
    }
    assert!(table.record_result(&request(1), 3_000));
    assert_eq!(table.take_removable(), [request(1)], "the store may hold it");
    for (replica, stops) in [(5, false), (6, false), (7, false), (8, false), (9, true)] {
        let times = (replica * 1_000, replica * 1_000 + 100);
        assert_eq!(crash(&mut table, 1, replica, times), stops, "it needs more from then on");
    }
    crash(&mut table, 2, 1, (0, 100));
    table.release(&request(2), 3_000);
    assert_eq!(table.cleared(3_000).len(), 2, "what the store no longer holds is told as well");
    // Others that had heard of the crashes forget them as well.
    let mut other = QuarantineTable::default();
    let runs = vec![run(1, 0, 100), run(2, 1_000, 1_100)];
    other.merge(vec![CrashReport { fingerprint: request(1), remaining: None, runs }], false, 2_000);
    other.merge_cleared(&table.cleared(3_000), false, 3_005);
    assert_eq!(other.weight(&request(1)), 0);
}

fn run(replica: u64, sent: i64, lost: i64) -> CrashRun {
    CrashRun { instance: instance(replica), sent, lost, evidence: CrashEvidence::Strong }
}

/// Two requests under the same three crashes: neither is stopped until one of them makes the next crash alone, or until both
/// were under five.
#[test]
fn requests_under_the_same_crashes_are_told_apart() {
    let mut table = QuarantineTable::default();
    let both = |table: &mut QuarantineTable, replica: u64| {
        let (sent, lost) = (replica * 1_000, replica * 1_000 + 100);
        let instances = [instance(replica)];
        for of in [1, 2] {
            let run = LostRun { instances: &instances, sent, progress: RunProgress::Unary };
            table.record_lost(request(of), &run, lost);
        }
        table.record_crash(&instances[0], lost);
        [1, 2].map(|of| table.remaining(&request(of), lost).is_some())
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

/// After its quarantine a request may be tried once; the next crash stops it again.
#[test]
fn a_quarantine_ends_and_comes_back() {
    let mut table = QuarantineTable::default();
    for replica in 0..3 {
        crash(&mut table, 1, replica, (replica * 1_000, replica * 1_000 + 100));
    }
    let end = 2_100 + QUARANTINE_TIME;
    assert_eq!(table.remaining(&request(1), end - 1), Some(1));
    table.forget(end);
    assert_eq!(table.remaining(&request(1), end), None);
    let mut left_alone = table.clone();
    assert!(crash(&mut table, 1, 8, (end + 10, end + 100)));
    left_alone.forget(end + RUN_RETENTION);
    assert_eq!(left_alone.tracked_count(), 0);
}

/// What is told of two crashes and a third one seen here add up, whatever the clocks; a relay that has just started hears of runs
/// from before its clock began.
#[test]
fn what_others_saw_adds_up() {
    let told = CrashReport {
        fingerprint: request(1),
        remaining: None,
        runs: vec![run(1, -900, -800), run(2, -300, -200)],
    };
    let mut table = QuarantineTable::default();
    assert_eq!(table.merge(vec![told.clone()], false, 5).quarantined, []);
    assert_eq!(table.merge(vec![told], false, 205).quarantined, [], "told again");
    assert!(crash(&mut table, 1, 3, (300, 400)));
    assert_eq!(table.unstored(400).len(), 1, "the store is told");
    assert_eq!(table.unstored(400), [], "once");
    let news = table.updates(UpdateAudience::Speakers, 400);
    let mut other = QuarantineTable::default();
    other.merge(news, false, 10);
    assert!(other.remaining(&request(1), 10).is_some());
    assert_eq!(other.unstored(10), [], "whoever saw it tells the store");
    assert_eq!(
        other.updates(UpdateAudience::Speakers, 10),
        [],
        "and what was heard is not told on"
    );
    other.announce_all(10);
    assert_eq!(
        other.updates(UpdateAudience::Speakers, 10).len(),
        1,
        "but to whoever starts or returns"
    );
}

/// A replica that was taken for lost and answers was not ended by what ran there.
#[test]
fn a_replica_that_lives_says_nothing() {
    let mut table = QuarantineTable::default();
    crash(&mut table, 1, 1, (0, 100));
    crash(&mut table, 1, 2, (200, 300));
    table.record_alive(&instance(1));
    assert!(!crash(&mut table, 1, 3, (400, 500)));
}

#[test]
fn records_are_bounded_and_stopped_ones_stay() {
    let mut table = QuarantineTable::default();
    for replica in 0..3 {
        crash(&mut table, 1, replica, (replica * 1_000, replica * 1_000 + 100));
    }
    for number in 0..2 * MAX_RECORDS as u64 {
        let mut bytes = [9; 16];
        bytes[..8].copy_from_slice(&number.to_le_bytes());
        let fingerprint = RequestFingerprint::from_bytes(bytes);
        let news =
            CrashReport { fingerprint, remaining: None, runs: vec![run(number + 50, 0, 100)] };
        table.merge(vec![news], false, 4_000 + number);
    }
    let news = table.updates(UpdateAudience::Speakers, 4_000);
    assert!(
        news.iter().any(|news| news.fingerprint == request(1)),
        "what is stopped is told first"
    );
    assert_eq!(table.tracked_count(), MAX_RECORDS);
    assert!(table.remaining(&request(1), 10_000).is_some());
    assert!(table.weight(&request(1)) >= QUARANTINE_WEIGHT);
}

const CALM: Day = Day {
    relays: 8,
    replicas: 39,
    bad_every: 0,
    harmless: 70,
    popular: 30,
    troubles: Vec::new(),
    length: 30_000,
};

/// The record's pattern, at few and many relays, with cuts between data centres and a stop of all relays beside it.
#[test]
fn a_bad_request_is_stopped_at_all_relays() {
    type Row<'a> = (&'a str, usize, u64, Vec<(u64, Trouble)>);
    let rows: [Row<'_>; 5] = [
        ("one relay", 1, 500, vec![]),
        ("the record's pattern", 4, 500, vec![]),
        ("many relays", 60, 300, vec![]),
        ("data centres cut off from each other", 9, 500, vec![(500, Trouble::Cut(25_000))]),
        ("a stop of all relays", 9, 500, vec![(4_000, Trouble::KillRelays)]),
    ];
    for (name, relays, bad_every, troubles) in rows {
        for seed in 0..10 {
            let day = Day { relays, bad_every, troubles: troubles.clone(), ..CALM };
            let Seen { ended, late, refused, harmless, .. } = play(&day, seed);
            assert!(ended >= 3, "{name}, seed {seed}: only {ended} ended");
            assert!(late <= MOST_LATE, "{name}, seed {seed}: {late} sends too late");
            assert!(
                refused * 1_000 < harmless,
                "{name}, seed {seed}: {refused} of {harmless} refused"
            );
        }
    }
}

/// Racks, data centres, releases, all at once and again: nothing is refused.
#[test]
fn harmless_requests_are_not_refused() {
    let rows: [(&str, Vec<(u64, Trouble)>); 4] = [
        ("a rack", vec![(5_000, Trouble::Rack(9))]),
        ("power off twice", vec![(5_000, Trouble::PowerOff), (12_000, Trouble::PowerOff)]),
        ("a release without a word", vec![(3_000, Trouble::Release(400))]),
        ("one rack after the other", (0..8).map(|n| (3_000 + n * 700, Trouble::Rack(6))).collect()),
    ];
    for (name, troubles) in rows {
        for seed in 0..10 {
            let day = Day { troubles: troubles.clone(), ..CALM };
            assert_eq!(play(&day, seed).refused, 0, "{name}, seed {seed}");
        }
    }
}
