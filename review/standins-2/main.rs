//! Stand-ins of the platform's store, of replicas and of clients, and the scripted cases that start
//! the project's relays beside them.
//!
//! Exit codes of a case: 0 the rules held; 1 a rule was broken; 2 the case could not run.

mod clients;
mod deadly;
mod deployment;
mod http;
mod keys;
mod memory;
mod replica;
mod store;
mod truncated;

use std::{env, fs, io, path::Path, process::ExitCode};

use deadly::{DARK, KILLED_WITHOUT_LENGTH};
use replica::{DeadlyEnd, ReplicaKind};

/// Exit code of a case in which a rule was broken.
const BROKEN: u8 = 1;

/// Exit code of a case that could not run.
const NOT_RUN: u8 = 2;

/// What a case found, and what was sent, answered and run.
pub struct CaseResult {
    /// Lines for the record.
    pub record: Vec<String>,
    /// Each breach of a rule.
    pub breaches: Vec<String>,
}

/// Runs a case in a folder for temporary files, and writes its record.
fn run_case(name: &str, folder: &str, record: &str) -> io::Result<ExitCode> {
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let result = match name {
        "truncated" => truncated::run(Path::new(folder), has_trouble)?,
        "keys" => keys::run(Path::new(folder), has_trouble)?,
        "killed" => deadly::run(Path::new(folder), has_trouble, KILLED_WITHOUT_LENGTH)?,
        "dark" => deadly::run(Path::new(folder), has_trouble, DARK)?,
        "memory" => memory::run(Path::new(folder), has_trouble)?,
        _ => return Err(io::Error::other(format!("unknown case {name}"))),
    };
    let mut lines = result.record;
    lines.push(format!("trouble: {has_trouble}; breaches: {}", result.breaches.len()));
    lines.extend(result.breaches.iter().cloned());
    fs::write(record, lines.join("\n") + "\n")?;
    result.breaches.iter().take(10).for_each(|breach| println!("{breach}"));
    println!("{} breaches", result.breaches.len());
    Ok(if result.breaches.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(BROKEN) })
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let outcome = match words[..] {
        ["replica", id, kind, end] => {
            let deadly_end = DeadlyEnd::parse(end);
            replica::run(id, ReplicaKind::parse(kind), deadly_end).map(|()| ExitCode::SUCCESS)
        }
        ["case", name, folder, record] => run_case(name, folder, record),
        _ => Err(io::Error::other("expected: replica ID KIND END, or case NAME FOLDER RECORD")),
    };
    outcome.unwrap_or_else(|error| {
        eprintln!("could not run: {error}");
        ExitCode::from(NOT_RUN)
    })
}
