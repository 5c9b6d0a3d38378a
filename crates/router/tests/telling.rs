//! How often relays tell each other their state.

use switchfold_router::{membership::PEER_SILENCE, room::PEER_AGE, telling::tell_pace};

/// Time of a round, in milliseconds.
const ROUND: u64 = 200;

/// Messages that one relay hears in a second, of `near` relays of its data centre, one of which reads the store, and
/// `far` others.
fn heard(near: usize, far: usize) -> f64 {
    let rounds = 1_000 / ROUND * 24;
    let sent = |reads: bool, is_far: bool| {
        let pace = tell_pace(near, far, reads);
        let due = (1..=rounds)
            .filter(|round| pace.is_due(*round) && (!is_far || pace.is_due_far(*round)));
        due.count() as f64 / 24.0
    };
    sent(true, false) + (near - 1) as f64 * sent(false, false) + far as f64 * sent(false, true)
}

#[test]
fn what_is_heard_grows_less_than_the_relays() {
    let rows = [((8, 17), 82.5), ((20, 82), 305.0), ((100, 201), 503.75)];
    for ((near, far), expected) in rows {
        assert_eq!(heard(near, far), expected, "{near} {far}");
    }
}

/// One lost message in a row takes nobody for gone, and figures of room are replaced before they are dropped.
#[test]
fn no_message_is_too_rare() {
    for near in [1, 48, 49, 400] {
        for far in [0, 96, 97, 400] {
            for reads in [false, true] {
                let pace = tell_pace(near, far, reads);
                let every = |is_due: &dyn Fn(u64) -> bool| {
                    (1..).find(|round| is_due(*round)).map(|round| round * ROUND)
                };
                let near_every = every(&|round| pace.is_due(round)).expect("it comes");
                let far_every =
                    every(&|round| pace.is_due(round) && pace.is_due_far(round)).expect("it comes");
                let room_every = every(&|round| pace.is_due(round) && pace.is_due_room(round))
                    .expect("it comes");
                assert!(near_every <= if reads { ROUND } else { 2 * ROUND });
                assert!(far_every * 2 <= PEER_SILENCE && room_every < PEER_AGE, "{near} {far}");
            }
        }
    }
}
