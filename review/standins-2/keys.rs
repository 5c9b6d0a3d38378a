//! Takes away the only tenant of a deployment.

use std::{io, path::Path, thread, time::Duration};

use crate::{
    CaseResult,
    clients::{ClientGroup, Exchange, send},
    deployment::{Deployment, config},
};

/// Number of replicas of the plain service.
const REPLICAS: usize = 3;

/// Number of relays.
const RELAYS: usize = 2;

/// Number of clients.
const CLIENTS: usize = 4;

/// Time from the start of the clients to the change, in milliseconds.
const CHANGE_AT_MS: u64 = 2_000;

/// Time within which no request may run any more with a key that was taken away, in milliseconds.
const REVOKE_MS: u64 = 5_000;

/// Time after that for which clients go on, in milliseconds.
const AFTER_MS: u64 = 3_000;

const KEY: &str = "key-one";

/// A key that no configuration holds.
const UNKNOWN_KEY: &str = "key-that-nobody-holds";

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool) -> io::Result<CaseResult> {
    let tenants = format!(r#"[{{"name":"fisher","api_keys":["{KEY}"],"priority":1}}]"#);
    let deployment = Deployment::start(folder, RELAYS, REPLICAS, 0, &config(1, &tenants))?;
    let mut clients = ClientGroup::new();
    for number in 0..CLIENTS {
        clients.add(deployment.relays[number % RELAYS].callers, "POST", "/bid/17", KEY);
    }
    thread::sleep(Duration::from_millis(CHANGE_AT_MS));
    let after = if has_trouble { "[]" } else { &tenants };
    deployment.store.put("config", "main", &config(2, after));
    let acknowledged = clients.elapsed();
    let bound = acknowledged + Duration::from_millis(REVOKE_MS);
    thread::sleep(Duration::from_millis(REVOKE_MS + AFTER_MS));
    let unknown: Vec<Exchange> = (0..RELAYS)
        .map(|number| {
            let (id, sent) = (format!("unknown{number:09x}"), clients.elapsed());
            let relay = deployment.relays[number].callers;
            let answer = send(relay, &id, "POST", "/bid/17", Some(UNKNOWN_KEY), b"");
            Exchange { id, path: "/bid/17".to_owned(), sent, answer }
        })
        .collect();
    let exchanges = clients.stop();
    let runs = deployment.runs();
    let has_run = |exchange: &&Exchange| runs.contains_key(&exchange.id);
    let late = exchanges.iter().filter(|exchange| has_trouble && exchange.sent > bound);
    let late = late.filter(has_run);
    let late = late.map(|exchange| {
        let after = (exchange.sent - acknowledged).as_millis();
        format!("CONFIG: ran, sent {after} ms after its key was gone: {}", exchange.describe())
    });
    let foreign = unknown.iter().filter(has_run);
    let foreign =
        foreign.map(|exchange| format!("ROUTE: its key was never held: {}", exchange.describe()));
    let breaches = late.chain(foreign).collect();
    let mut record =
        vec![format!("{} ms the store acknowledged version 2", acknowledged.as_millis())];
    record.extend(exchanges.iter().chain(&unknown).map(|exchange| {
        let ran_at = runs.get(&exchange.id).map_or_else(String::new, |ran_at| ran_at.join(" "));
        format!("{}; run at {ran_at}", exchange.describe())
    }));
    Ok(CaseResult { record, breaches })
}
