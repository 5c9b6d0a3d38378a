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
    Number(u64, u64),
    /// A number between two bounds, both included, with or without a fraction.
    Decimal(f64, f64),
    /// `true` or `false`.
    Flag,
    /// One of some words.
    Word(&'static [&'static str]),
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
pub struct SettingsFault {
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
    #[display("{path}: {} fault(s)\n{}", faults.len(), render(faults))]
    Faulty {
        /// The file.
        path: String,
        /// Every fault.
        faults: Vec<SettingsFault>,
    },
}

/// A type of settings.
pub trait CheckedSettings: DeserializeOwned {
    /// Rules of its fields.
    const RULES: &'static [FieldRule];

    /// Finds faults that concern several fields at once.
    fn cross_check(&self) -> Vec<SettingsFault> {
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
    let mut faults = Vec::new();
    check_object("", &value, T::RULES, &mut faults);
    if !faults.is_empty() {
        return Err(SettingsError::Faulty { path, faults });
    }
    let settings: T = match serde_json::from_value(value) {
        Ok(settings) => settings,
        Err(source) => return Err(SettingsError::NotJson { path, source }),
    };
    let faults = settings.cross_check();
    if !faults.is_empty() {
        return Err(SettingsError::Faulty { path, faults });
    }
    Ok(settings)
}

fn render(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
    lines.join("\n")
}

fn check_object(prefix: &str, value: &Value, rules: &[FieldRule], faults: &mut Vec<SettingsFault>) {
    let Value::Object(fields) = value else {
        let path = if prefix.is_empty() { "(whole file)" } else { prefix };
        push(faults, path, &format!("found {}", describe(value)), "an object");
        return;
    };
    check_unknown(prefix, fields, rules, faults);
    for rule in rules {
        let path = join(prefix, rule.name);
        match fields.get(rule.name) {
            Some(value) => check_field(&path, value, rule, faults),
            None if rule.required => push(faults, &path, "missing", &expected(rule)),
            None => {}
        }
    }
}

fn check_unknown(
    prefix: &str,
    fields: &Map<String, Value>,
    rules: &[FieldRule],
    faults: &mut Vec<SettingsFault>,
) {
    for name in fields.keys() {
        if !rules.iter().any(|rule| rule.name == name) {
            let known: Vec<&str> = rules.iter().map(|rule| rule.name).collect();
            let expected = format!("one of {}", known.join(", "));
            push(faults, &join(prefix, name), "unknown field", &expected);
        }
    }
}

fn check_field(path: &str, value: &Value, rule: &FieldRule, faults: &mut Vec<SettingsFault>) {
    let good = match (rule.kind, value) {
        (FieldKind::Object(rules), value) => {
            check_object(path, value, rules, faults);
            return;
        }
        (FieldKind::Objects(rules), Value::Array(items)) => {
            for (index, item) in items.iter().enumerate() {
                check_object(&format!("{path}[{index}]"), item, rules, faults);
            }
            return;
        }
        (FieldKind::Text, Value::String(text)) => !text.is_empty(),
        (FieldKind::Address, value) => is_address(value),
        (FieldKind::Addresses, Value::Array(items)) => items.iter().all(is_address),
        (FieldKind::Number(least, most), Value::Number(number)) => {
            number.as_u64().is_some_and(|number| (least..=most).contains(&number))
        }
        (FieldKind::Decimal(least, most), Value::Number(number)) => {
            number.as_f64().is_some_and(|number| (least..=most).contains(&number))
        }
        (FieldKind::Flag, Value::Bool(_)) => true,
        (FieldKind::Word(words), Value::String(text)) => words.contains(&text.as_str()),
        _ => false,
    };
    if !good {
        push(faults, path, &format!("found {}", describe(value)), &expected(rule));
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
        FieldKind::Number(least, most) => format!("a whole number from {least} to {most}"),
        FieldKind::Decimal(least, most) => format!("a number from {least} to {most}"),
        FieldKind::Flag => "true or false".to_owned(),
        FieldKind::Word(words) => format!("one of {}", words.join(", ")),
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

fn push(faults: &mut Vec<SettingsFault>, path: &str, problem: &str, expected: &str) {
    faults.push(SettingsFault {
        path: path.to_owned(),
        problem: problem.to_owned(),
        expected: expected.to_owned(),
    });
}
