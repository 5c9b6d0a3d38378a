//! Updates of replicas: a later start counts before an earlier one, and a higher revision before a
//! lower one.

use proptest::prelude::*;
use switchfold_router::{
    era::pack_revision,
    fleet::{EntryState, FleetChange, FleetView, ReplicaEntry, ReplicaUpdate},
    instance::{MAX_CLOCK_SKEW, ReplicaInstance, StartBound},
    replicas::{FleetList, FleetTracker, ForeignEntries, UpdateSource},
};

fn entry(id: &str, port: u16, draining: bool) -> ReplicaEntry {
    ReplicaEntry {
        instance: ReplicaInstance::new(id, 0),
        service: "model".to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: "a".to_owned(),
        slots: 8,
        state: if draining { EntryState::Draining } else { EntryState::Ready },
        kind: "small".to_owned(),
        layers: None,
    }
}

fn update(id: &str, revision: u64, entry: Option<ReplicaEntry>) -> ReplicaUpdate {
    ReplicaUpdate { id: id.to_owned(), revision, entry }
}

fn listed(id: &str, port: u16, revision: u64, draining: bool) -> ReplicaUpdate {
    update(id, revision, Some(entry(id, port, draining)))
}

/// A history of the store: each step changes one of three replicas, which have different addresses.
fn history() -> impl Strategy<Value = Vec<ReplicaUpdate>> {
    let step = (0usize..3, 0u8..3);
    prop::collection::vec(step, 1..30).prop_map(|steps| {
        let updates = steps.into_iter().zip(1..).map(|((which, state), revision)| {
            let id = format!("i-{which}");
            let entry = (state > 0).then(|| entry(&id, which as u16, state == 2));
            ReplicaUpdate { id, revision, entry }
        });
        updates.collect()
    })
}

proptest! {
    /// In whatever order updates arrive, and however often, a relay ends with the last state of the
    /// store.
    #[test]
    fn order_of_arrival_does_not_matter(
        history in history(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let (mut in_order, mut shuffled) = (FleetView::default(), FleetView::default());
        for update in &history {
            in_order.apply(update.clone(), 0);
        }
        let random = order.iter().map(|index| index.get(&history));
        for update in random.chain(history.iter().rev()) {
            shuffled.apply(update.clone(), 0);
        }
        for id in ["i-0", "i-1", "i-2"] {
            prop_assert_eq!(shuffled.get(id), in_order.get(id));
        }
        prop_assert_eq!(shuffled.digest(), in_order.digest());
    }

    /// Equal digests mean equal revisions: a relay that missed a change never proves another one's
    /// list.
    #[test]
    fn a_missed_change_shows_in_the_digest(history in history(), missed in any::<prop::sample::Index>()) {
        let missed = missed.index(history.len());
        let (mut full, mut partial) = (FleetView::default(), FleetView::default());
        for (index, update) in history.iter().enumerate() {
            full.apply(update.clone(), 0);
            if index != missed {
                partial.apply(update.clone(), 0);
            }
        }
        let differs = ["i-0", "i-1", "i-2"].iter().any(|id| full.revision(id) != partial.revision(id));
        prop_assert_eq!(differs, full.digest() != partial.digest());
    }
}

#[test]
fn older_updates_change_nothing() {
    let mut fleet = FleetView::default();
    assert_eq!(fleet.apply(listed("i-1", 1, 5, false), 0), FleetChange::Joined);
    assert_eq!(fleet.apply(listed("i-1", 1, 8, true), 0), FleetChange::Draining);
    let rows = [
        (listed("i-1", 1, 5, false), FleetChange::Older),
        (listed("i-1", 1, 8, true), FleetChange::Unchanged),
        (update("i-1", 7, None), FleetChange::Older),
        (update("i-1", 9, None), FleetChange::Gone),
        (listed("i-1", 1, 8, true), FleetChange::Older),
        (listed("i-1", 1, 10, true), FleetChange::Joined),
    ];
    for (update, change) in rows {
        assert_eq!(fleet.apply(update.clone(), 0), change, "{update:?}");
    }
}

/// A list lacks what was written after it was read; such entries are not missing.
#[test]
fn a_list_drops_nothing_that_is_newer() {
    let mut fleet = FleetTracker::default();
    let source = UpdateSource::Relay(([10, 0, 0, 9], 7_000).into());
    fleet.apply_all(vec![listed("i-1", 1, 5, false), listed("i-2", 2, 9, false)], source, 0);
    fleet.apply_list(FleetList { listed: Vec::new(), at: 7 }, UpdateSource::List, 0, 0);
    assert!(fleet.view.get("i-1").is_none());
    assert!(fleet.view.get("i-2").is_some());
}

/// A later start at an address ends the earlier one, in whatever order a list contains them, and
/// the earlier one's entry does not return with the next list.
#[test]
fn a_later_start_ends_the_earlier_one() {
    for [old, new] in [["i-a", "i-b"], ["i-b", "i-a"]] {
        let mut listing = vec![listed(old, 1, 3, false), listed(new, 1, 6, false)];
        listing.sort_by(|left, right| left.id.cmp(&right.id));
        let mut fleet = FleetTracker::default();
        for _ in 0..2 {
            fleet.apply_list(
                FleetList { listed: listing.clone(), at: 6 },
                UpdateSource::List,
                0,
                0,
            );
            assert!(fleet.view.get(new).is_some(), "{new} after {old}");
            assert!(fleet.view.get(old).is_none(), "{old} before {new}");
        }
    }
}

/// Entries with ids of a few bytes at adjacent revisions do not cancel each other in the digest.
/// Random scenarios found such pairs in an earlier digest.
#[test]
fn short_ids_do_not_cancel_each_other() {
    let mut fleet = FleetView::default();
    let mut digests = vec![fleet.digest()];
    for (number, revision) in (0..10).zip(9..) {
        fleet.apply(listed(&format!("i-{number}"), number, revision, false), 0);
        digests.push(fleet.digest());
    }
    let distinct: std::collections::HashSet<u64> = digests.iter().copied().collect();
    assert_eq!(distinct.len(), digests.len());
}

/// An update with an instance of a replica.
fn started(id: &str, port: u16, revision: u64, started_at: u64) -> ReplicaUpdate {
    let instance = ReplicaInstance::new(id, started_at);
    update(id, revision, Some(ReplicaEntry { instance, ..entry(id, port, false) }))
}

/// Of two instances, the one that started later counts, whatever the revisions and the order of
/// arrival.
#[test]
fn a_later_start_counts_before_a_higher_revision() {
    let [first, second, late_heartbeat] =
        [started("i-1", 1, 5, 100), started("i-1", 1, 6, 200), started("i-1", 1, 7, 100)];
    let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
    let mut digests = Vec::new();
    for order in orders {
        let mut fleet = FleetView::default();
        for which in order {
            let update = [&first, &second, &late_heartbeat][which];
            fleet.apply(update.clone(), 0);
        }
        assert_eq!(fleet.get("i-1").expect("listed").instance.started_at(), 200, "{order:?}");
        digests.push(fleet.digest());
    }
    digests.dedup();
    assert_eq!(digests.len(), 1, "all orders end with the same list");
}

#[test]
fn a_restart_invalidates_earlier_state() {
    let mut fleet = FleetTracker::default();
    let source = UpdateSource::Watch;
    let applied = fleet.apply_all(vec![started("i-1", 1, 5, 100)], source, 0);
    assert_eq!((applied[0].change, applied[0].ended.clone()), (FleetChange::Joined, None));
    let applied = fleet.apply_all(vec![started("i-1", 1, 6, 200)], source, 0);
    assert_eq!(applied[0].change, FleetChange::Restarted);
    assert_eq!(applied[0].ended, Some(ReplicaInstance::new("i-1", 100)));
    assert!(fleet.view.get_current(&ReplicaInstance::new("i-1", 100)).is_none());
    let late = fleet.apply_all(vec![started("i-1", 1, 9, 100)], source, 0);
    assert_eq!(late[0].change, FleetChange::Older);
    // Its own report counts before its entry does; the report of an earlier instance never counts.
    assert!(fleet.apply_start("i-1", 150, 0).is_none());
    let reported = fleet.apply_start("i-1", 300, 0).expect("it started again");
    assert_eq!((reported.ended, reported.layers), (Some(ReplicaInstance::new("i-1", 200)), None));
    // It is removed, and then a heartbeat of an earlier instance arrives.
    fleet.apply_all(vec![update("i-1", 12, None)], source, 0);
    let late = fleet.apply_all(vec![started("i-1", 1, 13, 200)], source, 0);
    assert_eq!(late[0].change, FleetChange::Older);
    assert!(fleet.view.is_empty());
}

/// Guards against replicas that received requests again after they had left, since a restored backup
/// listed them for longer than relays expected, or with a start that this relay had not seen.
#[test]
fn a_restored_backup_brings_no_replica_back_that_had_left() {
    // How it was removed at revision 8, the start and the revision in the backup, and the time after
    // the first list at which a list that still contains it adds it.
    let peer_expiry = UpdateSource::PeerExpiry(([127, 0, 0, 1], 9).into());
    let rows = [
        ("left", UpdateSource::Watch, (100, 5), Some(8_800)),
        ("left, with a later start", UpdateSource::Watch, (200, 6), Some(8_800)),
        ("expired in an outage", UpdateSource::Expiry, (100, 5), Some(3_800)),
        ("expired by another relay's message", peer_expiry, (100, 5), Some(3_800)),
        ("left, but written since", UpdateSource::Watch, (100, 9), Some(8_800)),
        ("left, but a later start was written since", UpdateSource::Watch, (200, 9), None),
        ("expired, but written since", UpdateSource::Expiry, (100, 9), None),
        ("expired by a message, but written since", peer_expiry, (100, 9), None),
    ];
    for (name, source, (started_at, revision), added_after) in rows {
        let mut fleet = FleetTracker::default();
        let before = FleetList { listed: vec![started("i-1", 1, 4, 100)], at: 4 };
        fleet.apply_list(before, UpdateSource::List, 0, 0);
        fleet.record_read(0, 4, 0);
        fleet.apply_all(vec![update("i-1", 8, None)], source, 1_000);
        fleet.record_read(1_000, 8, 1_000);
        let at = pack_revision(1, 9);
        let copy = started("i-1", 1, pack_revision(1, revision), started_at);
        let lists_at = |fleet: &mut FleetTracker, now| {
            let list = FleetList { listed: vec![copy.clone()], at };
            fleet.apply_list(list, UpdateSource::List, now, now);
            fleet.record_read(now, at, now);
            fleet.view.get("i-1").is_some()
        };
        const RESTORED: u64 = 10_000;
        assert_eq!(lists_at(&mut fleet, RESTORED), added_after.is_none(), "{name}");
        let Some(added_after) = added_after else { continue };
        let due = RESTORED + added_after;
        assert!(!fleet.needs_full_list(due - 1), "{name}");
        assert!(!lists_at(&mut fleet, due - 1), "{name}");
        assert!(fleet.needs_full_list(due), "{name}");
        assert!(lists_at(&mut fleet, due), "{name}: it is alive");
    }
}

/// The store may accept a heartbeat of an earlier start after the later one is listed; the later
/// one stays listed.
#[test]
fn an_earlier_start_does_not_end_a_later_one() {
    let source = UpdateSource::Watch;
    for expired in [false, true] {
        let mut fleet = FleetTracker::default();
        fleet.apply_all(vec![listed("i-old", 1, 3, false)], source, 0);
        if expired {
            fleet.apply_all(vec![update("i-old", 4, None)], source, 0);
        }
        fleet.apply_all(vec![listed("i-new", 1, 6, false)], source, 0);
        let heartbeat = fleet.apply_all(vec![listed("i-old", 1, 8, false)], source, 0);
        assert_eq!(heartbeat[0].change, FleetChange::Older, "expired: {expired}");
        assert!(fleet.view.get("i-new").is_some());
        assert!(fleet.view.get("i-old").is_none());
        assert_eq!(
            fleet.view.at_address(([10, 0, 0, 1], 1).into()).map(|at| at.instance.id()),
            Some("i-new")
        );
    }
}

/// Another writer's entry describes no replica. In place of a replica's own entry it blocks new
/// requests to that replica until its next heartbeat; an entry of a service that the configuration
/// does not name ends no replica at its address.
#[test]
fn entries_of_other_writers_end_no_replica() {
    let mut fleet = FleetTracker::default();
    fleet.view.set_services(["model"].into_iter());
    let source = UpdateSource::Watch;
    fleet.apply_all(vec![started("i-1", 1, 5, 100), listed("i-2", 2, 6, true)], source, 0);
    assert!(fleet.overwritten("i-9", 7).is_none());
    let foreign = fleet.overwritten("i-1", 7).expect("it is known");
    assert_eq!(fleet.apply_all(vec![foreign], source, 0)[0].change, FleetChange::Updated);
    assert_eq!(fleet.view.get("i-1").map(|entry| entry.state), Some(EntryState::Overwritten));
    let draining =
        fleet.overwritten("i-2", 8).and_then(|update| update.entry).expect("it is known");
    assert_eq!(draining.state, EntryState::Draining);
    fleet.apply_all(vec![started("i-1", 1, 9, 100)], source, 0);
    assert!(fleet.view.get("i-1").is_some_and(ReplicaEntry::is_ready));
    // An entry without a start time, of a replica whose own entry had one.
    fleet.apply_all(vec![listed("i-1", 1, 10, false)], source, 0);
    assert_eq!(fleet.view.get("i-1").map(|entry| entry.state), Some(EntryState::Overwritten));
    fleet.apply_all(vec![started("i-1", 1, 11, 100)], source, 0);
    let other_service = ReplicaEntry { service: "none".to_owned(), ..entry("i-x", 1, false) };
    fleet.apply_all(vec![update("i-x", 12, Some(other_service))], source, 0);
    fleet.apply_all(vec![started("i-1", 1, 13, 100)], source, 0);
    assert_eq!(fleet.view.revision("i-1"), Some(13));
    assert_eq!(
        fleet.view.at_address(([10, 0, 0, 1], 1).into()).map(|at| at.instance.id()),
        Some("i-1")
    );
}

#[test]
fn starts_far_ahead_are_not_plausible() {
    const NOW: u64 = 1_780_000_000_000;
    let rows = [
        (NOW - 1, true),
        (NOW + MAX_CLOCK_SKEW, true),
        (NOW + MAX_CLOCK_SKEW + 1, false),
        (0, true),
    ];
    for (started_at, plausible) in rows {
        let bound = StartBound::new(NOW, [].into_iter());
        let instance = ReplicaInstance::new("i-1", started_at);
        assert_eq!(bound.allows(&instance), plausible, "{started_at}");
    }
}

/// Guards against a VM whose clock is wrong: it took every replica's entry for another writer's.
#[test]
fn a_wrong_clock_makes_no_replica_implausible() {
    const NOW: u64 = 1_780_000_000_000;
    const STARTS: [u64; 3] = [NOW - 86_400_000, NOW - 1_000, NOW];
    const FAR: u64 = 9_000_000_000_000_000;
    let allows = |clock: u64, starts: &[u64], started_at: u64| {
        let bound = StartBound::new(clock, starts.iter().copied());
        bound.allows(&ReplicaInstance::new("i-1", started_at))
    };
    for clock in [0, 1_000, NOW - 3_600_000, NOW - MAX_CLOCK_SKEW - 1, NOW, NOW + 3_600_000] {
        for starts in [vec![], vec![FAR], vec![0, 0, FAR]] {
            let starts: Vec<u64> = STARTS.into_iter().chain(starts).collect();
            for started_at in STARTS {
                assert!(allows(clock, &starts, started_at), "{clock} {starts:?} {started_at}");
            }
            assert!(!allows(clock, &starts, FAR), "{clock} {starts:?}");
        }
    }
    assert!(allows(1_000, &[NOW], NOW), "the clock was never set");
    assert!(!allows(NOW, &[FAR, FAR], FAR), "few starts prove nothing");
}

#[test]
fn a_foreign_entry_is_reported_once_for_each_revision() {
    let mut foreign = ForeignEntries::default();
    let rows = [("i-1", 5, true), ("i-1", 5, false), ("i-2", 5, true), ("i-1", 6, true)];
    for (id, revision, is_new) in rows {
        assert_eq!(foreign.record(id, revision), is_new, "{id} {revision}");
    }
}
