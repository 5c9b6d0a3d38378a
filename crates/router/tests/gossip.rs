//! What relays tell each other does not grow with their count, and reaches all of them.

mod gossip_model;

use std::collections::BTreeSet;

use gossip_model::{Day, Seen, Trouble, play};
use switchfold_router::suspect::BASE_SUSPICION_TIME;

/// Most messages a second that a member sends and hears.
const MEMBER_TALK: f64 = 60.0;

/// Time from a loss that one relay found to the moment at which all keep away.
const LOSS_KNOWN: u64 = 1_500;

/// Part of what is promised that no relay may misjudge: what changes in some hundred milliseconds.
const MISJUDGED: f64 = 0.5;

fn day(relays: usize, data_centres: usize, troubles: Vec<(u64, Trouble)>) -> Day {
    Day { relays, data_centres, lost: 1, troubles, length: 15_000 }
}

fn check_keepers(seen: &Seen) {
    let there = seen.keepers.iter().zip(&seen.is_there).filter(|(_, there)| **there);
    let keepers: BTreeSet<_> = there.map(|(keeper, _)| keeper).collect();
    let relays = seen.keepers.len();
    assert_eq!(keepers.len(), 1, "{relays} relays: all name one keeper: {keepers:?}");
}

/// Relays, data centres.
const FLEETS: [(usize, usize); 6] = [(3, 3), (21, 3), (30, 3), (103, 5), (437, 5), (874, 5)];

#[test]
fn talk_does_not_grow_with_the_fleet() {
    for (relays, data_centres) in FLEETS {
        let seen = play(&day(relays, data_centres, Vec::new()), 1);
        let (member, speaker) = (seen.busiest(true), seen.busiest(false));
        assert!(member <= MEMBER_TALK, "{relays} relays: a member has {member} messages a second");
        let all_to_all = (relays - 1) as f64 * 10.0;
        assert!(speaker <= all_to_all, "{relays} relays: a speaker has {speaker} a second");
        let misjudged = seen.worst_misjudged();
        assert!(misjudged <= MISJUDGED, "{relays} relays: {misjudged} of the load misjudged");
        check_keepers(&seen);
    }
}

#[test]
fn a_loss_is_known_to_all_and_ends() {
    const FOUND: u64 = 6_000;
    for (relays, data_centres) in FLEETS.into_iter().take(5) {
        // A speaker finds it, or the last member.
        for finder in [0, relays - 1] {
            let troubles = vec![(FOUND, Trouble::Suspects { relay: finder })];
            let seen = play(&day(relays, data_centres, troubles), 2);
            assert_eq!(seen.first_away.len(), relays, "{relays} relays: all know");
            let last = seen.first_away.values().max().expect("one found it");
            assert!(*last <= FOUND + LOSS_KNOWN, "{relays} relays: known after {}", last - FOUND);
            let end = seen.last_away.values().max().expect("one found it");
            let most = FOUND + BASE_SUSPICION_TIME + LOSS_KNOWN;
            assert!(*end <= most, "{relays} relays: away until {}", end - FOUND);
        }
    }
}

/// Half of all relays end at once, and all those that speak with them.
#[test]
fn the_rest_finds_other_speakers() {
    for (relays, data_centres) in FLEETS.into_iter().skip(2).take(3) {
        let troubles = vec![(5_000, Trouble::Gone { first: 8, hundredths: 50 })];
        let day = Day { length: 20_000, ..day(relays, data_centres, troubles) };
        let seen = play(&day, 3);
        let misjudged = seen.worst_misjudged();
        assert!(misjudged <= MISJUDGED, "{relays} relays: {misjudged} of the load misjudged");
        assert!(seen.busiest(true) <= MEMBER_TALK, "{relays} relays");
        assert!(seen.busiest(false) <= (relays - 1) as f64 * 10.0, "{relays} relays");
        check_keepers(&seen);
    }
}

#[test]
fn data_centres_that_were_cut_off_find_each_other() {
    for (relays, data_centres) in FLEETS.into_iter().take(5) {
        let troubles = vec![(4_000, Trouble::Cut { lasts: 6_000 })];
        let day = Day { length: 18_000, ..day(relays, data_centres, troubles) };
        let seen = play(&day, 4);
        let misjudged = seen.worst_misjudged();
        assert!(misjudged <= MISJUDGED, "{relays} relays: {misjudged} of the load misjudged");
        check_keepers(&seen);
    }
}
