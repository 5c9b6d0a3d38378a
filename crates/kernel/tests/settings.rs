//! Settings validation: all errors are reported together, with their paths and the expected values.

use assert_matches::assert_matches;
use serde::Deserialize;
use switchfold_kernel::settings::{
    CheckedSettings, FieldError, FieldKind, FieldRule, SettingsError, parse_settings,
};

#[derive(Debug, Deserialize)]
struct Sample {
    name: String,
    #[serde(default)]
    parts: Vec<Part>,
}

#[derive(Debug, Deserialize)]
struct Part {
    size: u64,
}

const PART_RULES: &[FieldRule] = &[FieldRule {
    name: "size",
    kind: FieldKind::Integer(1, 9),
    required: true,
    help: "size of the part",
}];

impl CheckedSettings for Sample {
    const RULES: &'static [FieldRule] = &[
        FieldRule { name: "name", kind: FieldKind::Text, required: true, help: "its name" },
        FieldRule {
            name: "listen",
            kind: FieldKind::Address,
            required: false,
            help: "where to listen",
        },
        FieldRule { name: "peers", kind: FieldKind::Addresses, required: false, help: "others" },
        FieldRule {
            name: "fast",
            kind: FieldKind::Bool,
            required: false,
            help: "whether it is fast",
        },
        FieldRule {
            name: "mode",
            kind: FieldKind::OneOf(&["a", "b"]),
            required: false,
            help: "its mode",
        },
        FieldRule {
            name: "parts",
            kind: FieldKind::Objects(PART_RULES),
            required: false,
            help: "parts",
        },
    ];

    fn cross_check(&self) -> Vec<FieldError> {
        let total: u64 = self.parts.iter().map(|part| part.size).sum();
        let error = FieldError {
            path: "parts".to_owned(),
            problem: format!("sizes add up to {total}"),
            expected: format!("at most 12 for {}", self.name),
        };
        if total > 12 { vec![error] } else { Vec::new() }
    }
}

fn field_errors(text: &str) -> Vec<FieldError> {
    match parse_settings::<Sample>("sample.json", text.as_bytes()) {
        Err(SettingsError::Invalid { errors, .. }) => errors,
        other => panic!("{text}: {other:?}"),
    }
}

#[test]
fn all_errors_are_reported_together() {
    let text = r#"{"nme": "x", "listen": "localhost", "peers": ["1.2.3.4:5", "6"], "fast": 1, "mode": "c",
                   "parts": [{"size": 3}, {"size": 0, "colour": 2}, {}, 7]}"#;
    let paths: Vec<String> = field_errors(text).into_iter().map(|error| error.path).collect();
    let expected = [
        "nme",
        "name",
        "listen",
        "peers",
        "fast",
        "mode",
        "parts[1].colour",
        "parts[1].size",
        "parts[2].size",
        "parts[3]",
    ];
    assert_eq!(paths, expected);
}

#[test]
fn errors_describe_the_expected_value() {
    let table = [
        (r#"{"name": ""}"#, "name", "a non-empty string"),
        (r#"{"name": "x", "listen": "x:1"}"#, "listen", "127.0.0.1:7000"),
        (r#"{"name": "x", "mode": 4}"#, "mode", "one of a, b"),
        (r#"{"name": "x", "parts": [{"size": 10}]}"#, "parts[0].size", "from 1 to 9"),
        (r#"{"name": "x", "parts": [{"size": -1}]}"#, "parts[0].size", "from 1 to 9"),
        (r#"{"name": "x", "parts": [{"size": 7}, {"size": 7}]}"#, "parts", "at most 12 for x"),
        ("[]", "(whole file)", "an object"),
    ];
    for (text, path, expected) in table {
        let error = &field_errors(text)[0];
        assert_eq!(error.path, path, "{text}");
        assert!(error.to_string().contains(expected), "{text}: {error}");
    }
}

#[test]
fn malformed_json_is_reported() {
    assert_matches!(parse_settings::<Sample>("f", b"{"), Err(SettingsError::NotJson { .. }));
    assert_matches!(parse_settings::<Sample>("f", b"\xff"), Err(SettingsError::NotJson { .. }));
    assert!(parse_settings::<Sample>("f", br#"{"name": "x"}"#).is_ok());
}
