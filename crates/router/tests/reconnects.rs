//! Tests of callers that reconnect after all relays were stopped at once, simulated in virtual
//! time.

use switchfold_router::reconnects::{
    CONFIG_WAIT, RECONNECT_SPREAD, RECONNECT_WINDOW, awaits_config, reconnect_delay,
};

/// Prompts that the engines process per second, of resumed streams and new requests alike.
const PROMPTS_PER_S: f64 = 700.0;

/// Latency objective of new requests, in milliseconds.
const OBJECTIVE_MS: f64 = 500.0;

/// Returns how many of the 240 new requests of the first second meet their objective, where `cut`
/// streams are resumed within 250 ms of the start. Engines process prompts in the order in which
/// requests reach them.
fn count_in_time(cut: usize, delay: impl Fn(u64, bool, f64) -> u64) -> usize {
    let draw = |number: usize| (number * 7 % 100) as f64 / 100.0;
    let cut = (0..cut).map(|number| {
        let at = (number % 250) as u64;
        (at + delay(at, true, draw(number)), at, false)
    });
    let new = (0..240).map(|number| {
        let at = number * 1_000 / 240;
        (at + delay(at, false, draw(number as usize)), at, true)
    });
    let mut arrivals: Vec<(u64, u64, bool)> = cut.chain(new).collect();
    arrivals.sort_unstable();
    let (mut busy_until, mut in_time) = (0.0_f64, 0);
    for (reached, sent, is_new) in arrivals {
        busy_until = busy_until.max(reached as f64) + 1_000.0 / PROMPTS_PER_S;
        in_time += usize::from(is_new && busy_until - sent as f64 <= OBJECTIVE_MS);
    }
    in_time
}

#[test]
fn new_requests_precede_resumed_streams() {
    let rows = [(300, 240, 240), (600, 147, 240), (700, 89, 240)];
    for (cut, at_once, spread) in rows {
        let measured = (count_in_time(cut, |_, _, _| 0), count_in_time(cut, reconnect_delay));
        assert_eq!(measured, (at_once, spread), "{cut} streams");
    }
}

#[test]
fn only_resumed_streams_wait_and_only_after_a_start() {
    for age in [0, RECONNECT_WINDOW - 1, RECONNECT_WINDOW, 60_000] {
        for draw in [0.0, 0.5, 0.999] {
            assert_eq!(reconnect_delay(age, false, draw), 0);
            let delay = reconnect_delay(age, true, draw);
            assert!(delay <= RECONNECT_SPREAD);
            assert!(age < RECONNECT_WINDOW || delay == 0, "{age}");
        }
    }
}

/// Guards against refusing requests that arrive before the first configuration. The load: 104
/// requests reach relays that receive their configuration 0.02 to 0.3 s later. Requests that wait
/// for it are in time; a refused caller retries after 0.7 s and is late.
#[test]
fn requests_wait_for_the_first_configuration() {
    const CONFIG_AT_MS: u64 = 300;
    const FIRST_EVENT_MS: u64 = 100;
    const RETRY_AFTER_MS: u64 = 700;
    let (mut in_time_waiting, mut in_time_refused) = (0, 0);
    for arrived in (0..CONFIG_AT_MS).step_by(3) {
        let begins = (arrived..)
            .find(|age| !awaits_config(*age, *age >= CONFIG_AT_MS))
            .expect("the wait ends");
        assert!(begins >= CONFIG_AT_MS, "begun before the configuration");
        in_time_waiting += u32::from(begins + FIRST_EVENT_MS - arrived <= 500);
        in_time_refused += u32::from(RETRY_AFTER_MS + FIRST_EVENT_MS <= 500);
    }
    assert_eq!((in_time_waiting, in_time_refused), (100, 0));
    assert!(
        !awaits_config(CONFIG_WAIT, false),
        "without a configuration, requests are refused in the end"
    );
    assert!(!awaits_config(0, true));
}
