//! Kills one replica of each service while it answers without a length.

use std::{
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    CaseResult,
    clients::{ClientGroup, Exchange},
    deployment::{CHECK_INTERVAL_MS, Deployment, ReplicaProcess, config},
    replica::{STREAM_EVENTS, whole_answer},
};

/// Number of replicas of each service: one of them is an eighth, and up to 0.15 may crash.
const REPLICAS: usize = 8;

/// Number of relays.
const RELAYS: usize = 2;

/// Number of clients of each kind of request.
const CLIENTS: usize = 8;

/// Time from the start of the clients to the first crash, in milliseconds.
const CRASH_AT_MS: u64 = 3_000;

/// Time from one crash to the next, and from the last one to the end, in milliseconds.
const CRASH_GAP_MS: u64 = 2_500;

/// Time within which a replica must have a request to crash with, in seconds.
const RUN_TIMEOUT_S: u64 = 10;

/// Time of silence after which the store drops a replica, in milliseconds: three heartbeats.
const SILENCE_MS: u64 = 3_600;

const KEY: &str = "key-one";

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> io::Result<CaseResult> {
    let tenants = format!(r#"[{{"name":"fisher","api_keys":["{KEY}"],"priority":1}}]"#);
    let config = config(1, &tenants);
    let mut deployment = Deployment::start(folder, RELAYS, REPLICAS, REPLICAS, &config)?;
    let mut clients = ClientGroup::new();
    for number in 0..CLIENTS {
        let relay = deployment.relays[number % RELAYS].callers;
        clients.add(relay, "GET", "/receipt/17", KEY);
        clients.add(relay, "POST", "/bid/17", KEY);
        clients.add(relay, "POST", "/note/17", KEY);
    }
    let mut record = Vec::new();
    let mut crashed = Vec::new();
    thread::sleep(Duration::from_millis(CRASH_AT_MS));
    for replicas in [&mut deployment.desks, &mut deployment.engines] {
        if has_trouble {
            let replica = busiest(replicas)?;
            replica.kill()?;
            let at = clients.elapsed();
            record.push(format!("{} ms {} was killed", at.as_millis(), replica.id));
            crashed.push((replica.id.clone(), at));
        }
        thread::sleep(Duration::from_millis(CRASH_GAP_MS));
    }
    for (id, at) in &crashed {
        let dropped_at = *at + Duration::from_millis(SILENCE_MS);
        thread::sleep(dropped_at.saturating_sub(clients.elapsed()));
        deployment.store.remove("servers", id);
    }
    let exchanges = clients.stop();
    let runs = deployment.runs();
    let breaches: Vec<String> = exchanges.iter().filter_map(find_breach).collect();
    record.extend(exchanges.iter().map(|exchange| {
        let ran_at = runs.get(&exchange.id).map_or_else(String::new, |ran_at| ran_at.join(" "));
        format!("{}; run at {ran_at}", exchange.describe())
    }));
    Ok(CaseResult { record, breaches })
}

/// Returns the replica that runs the most requests, once it runs one.
fn busiest(replicas: &mut [ReplicaProcess]) -> io::Result<&mut ReplicaProcess> {
    let until = Instant::now() + Duration::from_secs(RUN_TIMEOUT_S);
    loop {
        let running = |replica: &ReplicaProcess| replica.runs().running.len();
        let index = (0..replicas.len()).max_by_key(|index| running(&replicas[*index]));
        let index = index.ok_or(io::ErrorKind::NotFound)?;
        if running(&replicas[index]) > 0 {
            return Ok(&mut replicas[index]);
        }
        if Instant::now() > until {
            return Err(io::Error::other("no replica runs a request"));
        }
        thread::sleep(Duration::from_millis(CHECK_INTERVAL_MS));
    }
}

/// Returns how an answer breaks a rule: a complete success without all that its replica sends.
fn find_breach(exchange: &Exchange) -> Option<String> {
    if !exchange.answer.is_complete_success() {
        return None;
    }
    let body = String::from_utf8_lossy(&exchange.answer.body);
    if !exchange.path.starts_with("/note/") {
        let is_whole = *body == whole_answer(&exchange.id);
        return (!is_whole).then(|| format!("MIXED: not the whole body: {}", exchange.describe()));
    }
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    let ids: Vec<u64> = ids.collect();
    let is_whole = ids.iter().copied().eq(0..STREAM_EVENTS);
    (!is_whole).then(|| {
        let count = ids.len();
        format!("ORDER: complete after {count} of {STREAM_EVENTS} pieces: {}", exchange.describe())
    })
}
