//! Stand-ins and checks for the review's scripts.
//!
//! Usage: `review-case CASE RECORD`, run at the repository's root. Exit codes: 0 the rule held, 1 it
//! was broken, 2 the case could not run. With `TROUBLE=0` in the environment the case runs without
//! its disruption.

use std::{
    env, fs,
    io::{self, ErrorKind},
    path::{Path, PathBuf},
    process::{ExitCode, id},
    thread::sleep,
    time::Duration,
};

mod balancer;
mod caller;
mod http;
mod quarantined;
mod record;
mod relay;
mod replica;
mod restore;
mod shutdown;
mod store;

use record::RunRecord;

/// Exit code of a case that could not run.
const COULD_NOT_RUN: u8 = 2;

/// What a case needs to run.
#[derive(Clone, Debug)]
pub struct CaseContext {
    /// The record of the run.
    pub record: RunRecord,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: review-case CASE RECORD");
        return ExitCode::from(COULD_NOT_RUN);
    };
    match run(case, Path::new(record)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{case}: {error}");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}

/// Runs a case, and returns how often the rule was broken.
fn run(case: &str, record: &Path) -> io::Result<usize> {
    let folder = env::temp_dir().join(format!("review-{case}-{}", id()));
    fs::create_dir_all(&folder)?;
    let context = CaseContext {
        record: RunRecord::create(record)?,
        folder: folder.clone(),
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let outcome = match case {
        "quarantined" => quarantined::run(&context),
        "restore" => restore::run(&context),
        "shutdown" => shutdown::run(&context),
        _ => Err(ErrorKind::InvalidInput.into()),
    };
    if env::var_os("KEEP").is_none() {
        fs::remove_dir_all(&folder)?;
    }
    if let Ok(broken) = &outcome {
        context.record.write(&format!("the rule was broken {broken} times"));
        println!("{case}: the rule was broken {broken} times");
    }
    outcome
}

/// Waits until a condition holds.
///
/// # Errors
///
/// Fails if it does not hold within `longest`.
pub fn wait_until(longest: Duration, mut condition: impl FnMut() -> bool) -> io::Result<()> {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    for _ in 0..longest.as_millis() / POLL_INTERVAL.as_millis() {
        if condition() {
            return Ok(());
        }
        sleep(POLL_INTERVAL);
    }
    Err(ErrorKind::TimedOut.into())
}
