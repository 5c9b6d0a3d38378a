//! Lets most clients of a region come to one relay at once, each with a request of the largest size
//! that the configuration allows.
//!
//! As the platform does, the script kills a relay that uses more memory than its VM has, and starts
//! it again.

use std::{
    io,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    CaseResult,
    clients::{Exchange, send},
    deployment::{Deployment, config},
};

/// Memory of an edge VM, in kB.
const MEMORY_LIMIT_KB: u64 = 260 * 1_000;

/// Size of a request body, in bytes: `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;

/// Number of clients that come to one relay; the sheet's region has 92.
const CLIENTS: usize = 72;

/// Number of clients that are served at a time without the disruption.
const CLIENTS_AT_ONCE: usize = 6;

/// Number of times that the clients come to each relay.
const ROUNDS: usize = 3;

/// Number of relays.
const RELAYS: usize = 2;

/// Number of engines.
const ENGINES: usize = 8;

/// Interval between two checks of a relay's memory, in milliseconds.
const MEMORY_INTERVAL_MS: u64 = 2;

/// Time after which the platform starts a relay again, in milliseconds.
const RESTART_DELAY_MS: u64 = 500;

/// Number of ends of a process in a day that are a fault, if as many relays as that have them.
const FAULT_ENDS: usize = 3;

const KEY: &str = "key-one";

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> io::Result<CaseResult> {
    let tenants = format!(r#"[{{"name":"fisher","api_keys":["{KEY}"],"priority":1}}]"#);
    let config = config(1, &tenants);
    let mut deployment = Deployment::start(folder, RELAYS, 1, ENGINES, &config)?;
    let began = Instant::now();
    let at_once = if has_trouble { CLIENTS } else { CLIENTS_AT_ONCE };
    let mut ends = [0; RELAYS];
    let mut record = Vec::new();
    for round in 0..ROUNDS {
        for number in 0..RELAYS {
            let first = (round * RELAYS + number) * CLIENTS;
            let (exchanges, peak_kb, is_killed) =
                serve_clients(&mut deployment, number, at_once, first, began)?;
            record.extend(exchanges.iter().map(Exchange::describe));
            let name = &deployment.relays[number].name;
            let cut = exchanges.iter().filter(|exchange| exchange.answer.broken.is_some()).count();
            record.push(format!(
                "{name}: {at_once} clients, at most {peak_kb} kB, killed: {is_killed}, cut requests: {cut}"
            ));
            if is_killed {
                ends[number] += 1;
                thread::sleep(Duration::from_millis(RESTART_DELAY_MS));
                deployment.relays[number].restart(folder)?;
                deployment.wait_until_ready()?;
            }
        }
    }
    let is_fault = ends.iter().all(|ends| *ends >= FAULT_ENDS);
    let names = deployment.relays.iter().map(|relay| &relay.name);
    let breaches = names.zip(ends).filter(|_| is_fault);
    let breaches = breaches.map(|(name, ends)| {
        format!("Fault: {name} ended {ends} times, with more than {MEMORY_LIMIT_KB} kB")
    });
    Ok(CaseResult { record, breaches: breaches.collect() })
}

/// Sends one request for each client, and kills the relay if it uses too much memory. Returns the
/// exchanges, the most memory that was seen, and whether the relay was killed.
fn serve_clients(
    deployment: &mut Deployment,
    number: usize,
    at_once: usize,
    first: usize,
    began: Instant,
) -> io::Result<(Vec<Exchange>, u64, bool)> {
    let relay = deployment.relays[number].callers;
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let exchanges = Arc::new(Mutex::new(Vec::new()));
    let threads: Vec<_> = (0..at_once)
        .map(|client| {
            let (body, exchanges) = (body.clone(), exchanges.clone());
            thread::spawn(move || {
                let (id, path) = (format!("{:016x}", first + client), "/note/17".to_owned());
                let sent = began.elapsed();
                let answer = send(relay, &id, "POST", &path, Some(KEY), &body);
                exchanges.lock().expect("no client panics").push(Exchange {
                    id,
                    path,
                    sent,
                    answer,
                });
            })
        })
        .collect();
    let (mut peak_kb, mut is_killed) = (0, false);
    while threads.iter().any(|thread| !thread.is_finished()) {
        if !is_killed {
            peak_kb = peak_kb.max(deployment.relays[number].resident_kb()?);
            is_killed = peak_kb > MEMORY_LIMIT_KB;
            if is_killed {
                deployment.relays[number].kill()?;
            }
        }
        thread::sleep(Duration::from_millis(MEMORY_INTERVAL_MS));
    }
    let exchanges = exchanges.lock().expect("no client panics").clone();
    Ok((exchanges, peak_kb, is_killed))
}
