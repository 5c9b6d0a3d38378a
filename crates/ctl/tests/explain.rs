//! Checks the deciding line and the state changes that are shown for a request.

use assert_matches::assert_matches;
use switchfold_ctl::explain::{ExplainError, explain};

fn line(second: &str, event: &str, rest: &str) -> String {
    format!(
        "{{\"timestamp\":\"2026-04-09T08:30:{second}Z\",\"level\":\"INFO\",\"event\":\"{event}\"{rest}}}"
    )
}

fn log(name: &str, lines: &[String]) -> (String, String) {
    (name.to_owned(), lines.join("\n"))
}

const REQUEST_A: &str = ",\"request\":\"a\"";

#[test]
fn a_refusal_is_shown_with_recent_state_changes() {
    let logs = [
        log(
            "relay-1",
            &[
                line("09.100", "store-lost", ",\"kind\":\"config\""),
                "not a structured line".to_owned(),
                line("12.000", "store-lost", ",\"kind\":\"servers\""),
                line("13.000", "refused", ",\"request\":\"a\",\"reason\":\"stale-configuration\""),
                line("13.100", "refused", ",\"request\":\"b\",\"reason\":\"no-route\""),
            ],
        ),
        log("relay-2", &[line("12.500", "suspect", ",\"replica\":\"i-1\"")]),
    ];
    let text = explain("a", &logs).expect("explained");
    assert!(text.contains("decided by \"refused\" at relay-1"), "{text}");
    assert!(text.contains("kind=servers"), "{text}");
    assert!(!text.contains("kind=config"), "too long before: {text}");
    assert!(!text.contains("i-1"), "a state change of another process: {text}");
    assert!(!text.contains("no-route"), "another request: {text}");
}

#[test]
fn lines_of_several_processes_are_sorted_by_time() {
    let logs = [
        log(
            "relay-2",
            &[line("11.000", "answered", REQUEST_A), line("12.000", "stream-ended", REQUEST_A)],
        ),
        log("relay-1", &[line("10.000", "attempt-failed", REQUEST_A)]),
    ];
    let text = explain("a", &logs).expect("explained");
    let position = |word: &str| text.find(word).expect(word);
    assert!(position("attempt-failed") < position(" answered "));
    assert!(position(" answered ") < position("stream-ended"));
    assert!(text.contains("> 2026-04-09T08:30:10.000Z relay-1 attempt-failed"), "{text}");
}

/// A stream that its caller left was explained by the head that had been sent before.
#[test]
fn a_request_that_ended_with_its_connection_is_not_decided_by_its_head() {
    let lines = [line("10.000", "answered", REQUEST_A), line("11.000", "request-ended", REQUEST_A)];
    let text = explain("a", &[log("relay-1", &lines)]).expect("explained");
    assert!(text.contains("decided by \"request-ended\" at relay-1"), "{text}");
}

#[test]
fn the_last_word_before_the_json_object_is_the_source() {
    let logs = [log("all", &[format!("  3.9 edge-1 {}", line("10.000", "refused", REQUEST_A))])];
    assert!(explain("a", &logs).expect("explained").contains("at edge-1"));
}

#[test]
fn an_unknown_request_is_an_error() {
    let logs = [log("relay-1", &[line("10.000", "refused", REQUEST_A)])];
    assert_matches!(explain("z", &logs), Err(ExplainError::Unknown { .. }));
}
