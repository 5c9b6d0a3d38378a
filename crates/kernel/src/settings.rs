//! JSON settings with complete validation.
//!
//! All errors of a settings file are reported together, so that an operator can correct them in one
//! pass. A file is therefore first validated against a table of [`FieldRule`]s, which collects all
//! errors, and only then deserialized into its type.

use std::{fs, path::Path};

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// Type and bounds of a field.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// A non-empty string.
    Text,
    /// An IP address with a port, such as `127.0.0.1:7000`.
    Address,
    /// An integer between two bounds, both inclusive.
    Integer(u64, u64),
    /// A number between two bounds, both inclusive, with or without a fraction.
    Decimal(f64, f64),
    /// `true` or `false`.
    Bool,
    /// One of the listed strings.
    OneOf(&'static [&'static str]),
    /// An object with its own fields.
    Object(&'static [FieldRule]),
    /// A list of objects.
    Objects(&'static [FieldRule]),
    /// A list of addresses.
    Addresses,
}

/// Validation rule for one field of a settings object.
#[derive(Clone, Copy, Debug)]
pub struct FieldRule {
    /// Name of the field.
    pub name: &'static str,
    /// Type and bounds of the value.
    pub kind: FieldKind,
    /// Whether the field must be present.
    pub required: bool,
    /// Purpose of the field, printed with each error.
    pub help: &'static str,
}

/// One validation error of a settings file.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{path}: {problem}; expected {expected}")]
pub struct FieldError {
    /// Path of the field, such as `models[0].layers`.
    pub path: String,
    /// Description of the error, such as the value found.
    pub problem: String,
    /// Description of a valid value.
    pub expected: String,
}

/// Failure to load settings.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{path}: cannot be read: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid JSON, or does not match the settings type.
    #[display("{path}: cannot be parsed: {source}")]
    NotJson {
        /// Path of the file.
        path: String,
        /// Parse error with its position.
        source: serde_json::Error,
    },
    /// Fields are invalid; all errors are listed.
    #[display("{path}: {} error(s)\n{}", errors.len(), render_errors(errors))]
    Invalid {
        /// Path of the file.
        path: String,
        /// All validation errors.
        errors: Vec<FieldError>,
    },
}

/// Settings that can be validated and loaded.
pub trait CheckedSettings: DeserializeOwned {
    /// Rules of the top-level fields. Fields without a rule are rejected.
    const RULES: &'static [FieldRule];

    /// Returns validation errors that concern several fields at once.
    fn cross_check(&self) -> Vec<FieldError> {
        Vec::new()
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns [`SettingsError::Unreadable`] if the file cannot be read, [`SettingsError::NotJson`] if
/// it is not valid JSON, and [`SettingsError::Invalid`] with all validation errors otherwise.
pub fn load_settings<T: CheckedSettings>(path: &Path) -> Result<T, SettingsError> {
    let name = path.display().to_string();
    let text = match fs::read(path) {
        Ok(text) => text,
        Err(source) => return Err(SettingsError::Unreadable { path: name, source }),
    };
    parse_settings(&name, &text)
}

/// Parses and validates settings from bytes. `name` is reported as the path in errors.
///
/// # Errors
///
/// Returns [`SettingsError::NotJson`] if the text is not valid JSON, and [`SettingsError::Invalid`]
/// with all validation errors otherwise.
pub fn parse_settings<T: CheckedSettings>(name: &str, text: &[u8]) -> Result<T, SettingsError> {
    let path = name.to_owned();
    let value: Value = match serde_json::from_slice(text) {
        Ok(value) => value,
        Err(source) => return Err(SettingsError::NotJson { path, source }),
    };
    let mut errors = Vec::new();
    check_object("", &value, T::RULES, &mut errors);
    if !errors.is_empty() {
        return Err(SettingsError::Invalid { path, errors });
    }
    let settings: T = match serde_json::from_value(value) {
        Ok(settings) => settings,
        Err(source) => return Err(SettingsError::NotJson { path, source }),
    };
    let errors = settings.cross_check();
    if !errors.is_empty() {
        return Err(SettingsError::Invalid { path, errors });
    }
    Ok(settings)
}

fn render_errors(errors: &[FieldError]) -> String {
    let lines: Vec<String> = errors.iter().map(|error| format!("  {error}")).collect();
    lines.join("\n")
}

fn check_object(prefix: &str, value: &Value, rules: &[FieldRule], errors: &mut Vec<FieldError>) {
    let Value::Object(fields) = value else {
        let path = if prefix.is_empty() { "(whole file)" } else { prefix };
        push_error(errors, path, &format!("found {}", describe_value(value)), "an object");
        return;
    };
    check_unknown(prefix, fields, rules, errors);
    for rule in rules {
        let path = join_path(prefix, rule.name);
        match fields.get(rule.name) {
            Some(value) => check_field(&path, value, rule, errors),
            None if rule.required => push_error(errors, &path, "missing", &describe_expected(rule)),
            None => {}
        }
    }
}

fn check_unknown(
    prefix: &str,
    fields: &Map<String, Value>,
    rules: &[FieldRule],
    errors: &mut Vec<FieldError>,
) {
    for name in fields.keys() {
        if !rules.iter().any(|rule| rule.name == name) {
            let known: Vec<&str> = rules.iter().map(|rule| rule.name).collect();
            let expected = format!("one of {}", known.join(", "));
            push_error(errors, &join_path(prefix, name), "unknown field", &expected);
        }
    }
}

fn check_field(path: &str, value: &Value, rule: &FieldRule, errors: &mut Vec<FieldError>) {
    let is_valid = match (rule.kind, value) {
        (FieldKind::Object(rules), value) => {
            check_object(path, value, rules, errors);
            return;
        }
        (FieldKind::Objects(rules), Value::Array(items)) => {
            for (index, item) in items.iter().enumerate() {
                check_object(&format!("{path}[{index}]"), item, rules, errors);
            }
            return;
        }
        (FieldKind::Text, Value::String(text)) => !text.is_empty(),
        (FieldKind::Address, value) => is_socket_address(value),
        (FieldKind::Addresses, Value::Array(items)) => items.iter().all(is_socket_address),
        (FieldKind::Integer(min, max), Value::Number(number)) => {
            number.as_u64().is_some_and(|number| (min..=max).contains(&number))
        }
        (FieldKind::Decimal(min, max), Value::Number(number)) => {
            number.as_f64().is_some_and(|number| (min..=max).contains(&number))
        }
        (FieldKind::Bool, Value::Bool(_)) => true,
        (FieldKind::OneOf(choices), Value::String(text)) => choices.contains(&text.as_str()),
        _ => false,
    };
    if !is_valid {
        push_error(
            errors,
            path,
            &format!("found {}", describe_value(value)),
            &describe_expected(rule),
        );
    }
}

fn is_socket_address(value: &Value) -> bool {
    value.as_str().is_some_and(|text| text.parse::<std::net::SocketAddr>().is_ok())
}

fn describe_expected(rule: &FieldRule) -> String {
    let kind = match rule.kind {
        FieldKind::Text => "a non-empty string".to_owned(),
        FieldKind::Address => "an IP address with a port, such as 127.0.0.1:7000".to_owned(),
        FieldKind::Addresses => "a list of IP addresses with ports".to_owned(),
        FieldKind::Integer(min, max) => format!("an integer from {min} to {max}"),
        FieldKind::Decimal(min, max) => format!("a number from {min} to {max}"),
        FieldKind::Bool => "true or false".to_owned(),
        FieldKind::OneOf(choices) => format!("one of {}", choices.join(", ")),
        FieldKind::Object(_) => "an object".to_owned(),
        FieldKind::Objects(_) => "a list of objects".to_owned(),
    };
    format!("{kind} ({})", rule.help)
}

fn describe_value(value: &Value) -> String {
    match value {
        Value::Null => "null".to_owned(),
        Value::Bool(flag) => flag.to_string(),
        Value::Number(number) => number.to_string(),
        Value::String(text) => format!("{text:?}"),
        Value::Array(items) => format!("a list of {}", items.len()),
        Value::Object(_) => "an object".to_owned(),
    }
}

fn join_path(prefix: &str, name: &str) -> String {
    if prefix.is_empty() { name.to_owned() } else { format!("{prefix}.{name}") }
}

fn push_error(errors: &mut Vec<FieldError>, path: &str, problem: &str, expected: &str) {
    errors.push(FieldError {
        path: path.to_owned(),
        problem: problem.to_owned(),
        expected: expected.to_owned(),
    });
}
