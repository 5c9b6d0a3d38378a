//! Settings of a relay: the example, the template, and every fault at once.

use switchfold_kernel::settings::{SettingsError, parse_settings};
use switchfold_relay::settings::RelaySettings;

const EXAMPLE: &str = include_str!("../../../examples/relay/relay.json");

#[test]
fn the_example_is_well_formed() {
    let settings: RelaySettings = parse_settings("example", EXAMPLE.as_bytes()).expect("no faults");
    assert_eq!(settings.bounds.revoke_ms, 5_000);
}

/// The template names the same fields as the example, so that what the platform fills in is checked.
#[test]
fn the_template_names_every_field() {
    let template = include_str!("../../../deploy/relay.json.template");
    let fields = |text: &str| -> Vec<String> {
        let lines = text.lines().filter_map(|line| line.trim().strip_prefix('"'));
        lines.filter_map(|line| Some(line.split_once('"')?.0.to_owned())).collect()
    };
    assert_eq!(fields(template), fields(EXAMPLE));
}

#[test]
fn every_fault_is_told_at_once() {
    let faulty = EXAMPLE
        .replace("\"127.0.0.1:8227\"", "\"nowhere\"")
        .replace("0.2,", "-1,")
        .replace("\"grace_s\": 8", "\"graces\": 8");
    let error = parse_settings::<RelaySettings>("faulty", faulty.as_bytes()).expect_err("faulty");
    let SettingsError::Faulty { faults, .. } = error else { panic!("{error}") };
    let mut paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    paths.sort_unstable();
    assert_eq!(paths, ["bounds.grace_s", "bounds.graces", "bounds.retry_ratio", "listen"]);
    let same = EXAMPLE.replace("127.0.0.1:8220", "127.0.0.1:8227");
    assert!(parse_settings::<RelaySettings>("same", same.as_bytes()).is_err());
}
