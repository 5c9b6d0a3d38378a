//! Settings in JSON, checked as a whole.
//!
//! A person who mends a settings file wants to see every fault at once, so a file is first checked
//! against a table of [`FieldRule`]s, which collects all of them, and only then read into its type.

use std::{fs, path::Path};

use derive_more::{Display, Error};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// What a field must hold.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// A non-empty text.
    Text,
    /// An IP address with a port, such as `127.0.0.1:7000`.
    Address,
    /// A whole number between two bounds, both included.
    Integer(u64, u64),
    /// A number between two bounds, both included, with or without a fraction.
    Decimal(f64, f64),
    /// `true` or `false`.
    Bool,
    /// One of some words.
    OneOf(&'static [&'static str]),
    /// An object with fields of its own.
    Object(&'static [FieldRule]),
    /// A list of objects.
    Objects(&'static [FieldRule]),
    /// A list of addresses.
    Addresses,
}

/// One field of a settings object.
#[derive(Clone, Copy, Debug)]
pub struct FieldRule {
    /// Name of the field.
    pub name: &'static str,
    /// What it must hold.
    pub kind: FieldKind,
    /// Whether it must be there.
    pub required: bool,
    /// What it is for, printed with a fault.
    pub help: &'static str,
}

/// One fault in a settings file.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{path}: {problem}; expected {expected}")]
pub struct FieldError {
    /// Path of the field, such as `models[0].layers`.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// What would be right.
    pub expected: String,
}

/// Why settings were not read.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[display("{path}: not JSON: {source}")]
    NotJson {
        /// The file.
        path: String,
        /// Where it stops being JSON.
        source: serde_json::Error,
    },
    /// Fields are wrong; all of them are listed.
    #[display("{path}: {} fault(s)\n{}", errors.len(), render(errors))]
    Invalid {
        /// The file.
        path: String,
        /// Every fault.
        errors: Vec<FieldError>,
    },
}

/// A type of settings.
pub trait CheckedSettings: DeserializeOwned {
    /// Rules of its fields.
    const RULES: &'static [FieldRule];

    /// Finds errors that concern several fields at once.
    fn cross_check(&self) -> Vec<FieldError> {
        Vec::new()
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails with every fault that was found; see [`SettingsError`].
pub fn load_settings<T: CheckedSettings>(path: &Path) -> Result<T, SettingsError> {
    let name = path.display().to_string();
    let text = match fs::read(path) {
        Ok(text) => text,
        Err(source) => return Err(SettingsError::Unreadable { path: name, source }),
    };
    parse_settings(&name, &text)
}

/// Reads and checks settings from bytes; `name` stands for the file in errors.
///
/// # Errors
///
/// As [`load_settings`].
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

fn render(errors: &[FieldError]) -> String {
    let lines: Vec<String> = errors.iter().map(|fault| format!("  {fault}")).collect();
    lines.join("\n")
}

fn check_object(prefix: &str, value: &Value, rules: &[FieldRule], errors: &mut Vec<FieldError>) {
    let Value::Object(fields) = value else {
        let path = if prefix.is_empty() { "(whole file)" } else { prefix };
        push(errors, path, &format!("found {}", describe(value)), "an object");
        return;
    };
    check_unknown(prefix, fields, rules, errors);
    for rule in rules {
        let path = join(prefix, rule.name);
        match fields.get(rule.name) {
            Some(value) => check_field(&path, value, rule, errors),
            None if rule.required => push(errors, &path, "missing", &expected(rule)),
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
            push(errors, &join(prefix, name), "unknown field", &expected);
        }
    }
}

fn check_field(path: &str, value: &Value, rule: &FieldRule, errors: &mut Vec<FieldError>) {
    let good = match (rule.kind, value) {
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
        (FieldKind::Address, value) => is_address(value),
        (FieldKind::Addresses, Value::Array(items)) => items.iter().all(is_address),
        (FieldKind::Integer(least, most), Value::Number(number)) => {
            number.as_u64().is_some_and(|number| (least..=most).contains(&number))
        }
        (FieldKind::Decimal(least, most), Value::Number(number)) => {
            number.as_f64().is_some_and(|number| (least..=most).contains(&number))
        }
        (FieldKind::Bool, Value::Bool(_)) => true,
        (FieldKind::OneOf(words), Value::String(text)) => words.contains(&text.as_str()),
        _ => false,
    };
    if !good {
        push(errors, path, &format!("found {}", describe(value)), &expected(rule));
    }
}

fn is_address(value: &Value) -> bool {
    value.as_str().is_some_and(|text| text.parse::<std::net::SocketAddr>().is_ok())
}

fn expected(rule: &FieldRule) -> String {
    let kind = match rule.kind {
        FieldKind::Text => "a text".to_owned(),
        FieldKind::Address => "an IP address with a port, such as 127.0.0.1:7000".to_owned(),
        FieldKind::Addresses => "a list of IP addresses with ports".to_owned(),
        FieldKind::Integer(least, most) => format!("a whole number from {least} to {most}"),
        FieldKind::Decimal(least, most) => format!("a number from {least} to {most}"),
        FieldKind::Bool => "true or false".to_owned(),
        FieldKind::OneOf(words) => format!("one of {}", words.join(", ")),
        FieldKind::Object(_) => "an object".to_owned(),
        FieldKind::Objects(_) => "a list of objects".to_owned(),
    };
    format!("{kind} ({})", rule.help)
}

fn describe(value: &Value) -> String {
    match value {
        Value::Null => "null".to_owned(),
        Value::Bool(flag) => flag.to_string(),
        Value::Number(number) => number.to_string(),
        Value::String(text) => format!("{text:?}"),
        Value::Array(items) => format!("a list of {}", items.len()),
        Value::Object(_) => "an object".to_owned(),
    }
}

fn join(prefix: &str, name: &str) -> String {
    if prefix.is_empty() { name.to_owned() } else { format!("{prefix}.{name}") }
}

fn push(errors: &mut Vec<FieldError>, path: &str, problem: &str, expected: &str) {
    errors.push(FieldError {
        path: path.to_owned(),
        problem: problem.to_owned(),
        expected: expected.to_owned(),
    });
}
