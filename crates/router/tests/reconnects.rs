//! Callers that come back to entries that were stopped all at once, replayed in virtual time.

use switchfold_router::reconnects::{
    CONFIG_WAIT, RECONNECT_SPREAD, RECONNECT_WINDOW, awaits_config, reconnect_delay,
};

/// Prompts that the engines read in a second, of streams that go on and of new requests alike.
const READ_PER_S: f64 = 700.0;

/// Objective of new requests, in milliseconds.
const OBJECTIVE: f64 = 500.0;

/// New requests in time of those of the first second, where `cut` streams come back within 250 ms of the start;
/// engines read in the order in which requests reach them.
fn in_time(cut: usize, delay: impl Fn(u64, bool, f64) -> u64) -> usize {
    let draw = |number: usize| (number * 7 % 100) as f64 / 100.0;
    let cut = (0..cut).map(|number| {
        let at = (number % 250) as u64;
        (at + delay(at, true, draw(number)), at, false)
    });
    let new = (0..240).map(|number| {
        let at = number * 1_000 / 240;
        (at + delay(at, false, draw(number as usize)), at, true)
    });
    let mut reaching: Vec<(u64, u64, bool)> = cut.chain(new).collect();
    reaching.sort_unstable();
    let (mut free, mut served) = (0.0_f64, 0);
    for (reaches, arrived, is_new) in reaching {
        free = free.max(reaches as f64) + 1_000.0 / READ_PER_S;
        served += usize::from(is_new && free - arrived as f64 <= OBJECTIVE);
    }
    served
}

#[test]
fn new_requests_go_before_streams_that_were_cut() {
    let rows = [(300, 240, 240), (600, 147, 240), (700, 89, 240)];
    for (cut, at_once, spread) in rows {
        let found = (in_time(cut, |_, _, _| 0), in_time(cut, reconnect_delay));
        assert_eq!(found, (at_once, spread), "{cut} streams");
    }
}

#[test]
fn only_cut_streams_wait_and_only_at_a_start() {
    for age in [0, RECONNECT_WINDOW - 1, RECONNECT_WINDOW, 60_000] {
        for draw in [0.0, 0.5, 0.999] {
            assert_eq!(reconnect_delay(age, false, draw), 0);
            let delay = reconnect_delay(age, true, draw);
            assert!(delay <= RECONNECT_SPREAD);
            assert!(age < RECONNECT_WINDOW || delay == 0, "{age}");
        }
    }
}

/// The load: 104 requests reach entries that have no configuration for another 0.02 to 0.3 s. Those that wait are in
/// time; those that are refused come back after 0.7 s.
#[test]
fn requests_wait_for_the_first_configuration() {
    const HAS_CONFIG: u64 = 300;
    const FIRST_EVENT: u64 = 100;
    const COME_BACK: u64 = 700;
    let (mut waited, mut refused) = (0, 0);
    for arrived in (0..HAS_CONFIG).step_by(3) {
        let begins =
            (arrived..).find(|age| !awaits_config(*age, *age >= HAS_CONFIG)).expect("it ends");
        assert!(begins >= HAS_CONFIG, "it is served");
        waited += u32::from(begins + FIRST_EVENT - arrived <= 500);
        refused += u32::from(COME_BACK + FIRST_EVENT <= 500);
    }
    assert_eq!((waited, refused), (100, 0));
    assert!(!awaits_config(CONFIG_WAIT, false), "one that gets none refuses");
    assert!(!awaits_config(0, true));
}
