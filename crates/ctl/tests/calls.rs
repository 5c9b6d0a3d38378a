//! Checks the counts of store calls by cause and by time.

use switchfold_ctl::calls::count_calls;

fn call(relay: u32, second: u32, fields: [&str; 4]) -> String {
    let [kind, verb, cause, end] = fields;
    format!(
        "relay-{relay} {{\"timestamp\":\"2026-04-09T08:00:{second:02}.000000Z\",\"event\":\"store-call\",\
         \"kind\":\"{kind}\",\"verb\":\"{verb}\",\"cause\":\"{cause}\",\"end\":\"{end}\"}}\n"
    )
}

#[test]
fn calls_are_summed_by_cause_and_time() {
    let start = ["replicas", "list", "start", "answered"];
    let lost = ["config", "list", "lost", "unavailable"];
    let logs = [call(1, 1, start), call(2, 1, start), call(2, 6, lost), "no line\n".to_owned()];
    let text = count_calls(&[("relays".to_owned(), logs.concat())], 2_500);
    assert!(text.starts_with("3 calls of 2 relays"), "{text}");
    let single_spaced: Vec<&str> = text.split_whitespace().collect();
    let single_spaced = single_spaced.join(" ");
    let rows = [
        "| replicas list start answered | 2 |",
        "| config list lost unavailable | 1 |",
        "| 0.0 | 2 | 2 replicas list start |",
        "| 5.0 | 1 | 1 config list lost |",
    ];
    for row in rows {
        assert!(single_spaced.contains(row), "{row}\n{text}");
    }
}
