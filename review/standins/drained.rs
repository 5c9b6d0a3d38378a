//! A drill in which the store comes back from a copy that still lists a replica that has left.

use std::{
    io::{self, ErrorKind},
    sync::{Arc, Mutex},
    thread::{sleep, spawn},
    time::Duration,
};

use crate::{
    CaseContext,
    balancer::ZoneBalancer,
    caller::{CallRecord, CallerRequest},
    record::RunRecord,
    relay::{CONTACT_MS, DRAIN_MS, RelayProcess},
    replica::{PlainReplica, SharedRuns},
    store::PlatformStore,
    wait_until,
};

/// Time that a replica works on a request.
const WORK_TIME: Duration = Duration::from_millis(200);

/// Number of requests that a replica works on at once.
const SLOTS: usize = 12;

/// Deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Longest time until all relays are ready.
const START_TIME: Duration = Duration::from_secs(15);

/// Time from the copy to the removal of the replica's entry.
const COPY_LEAD: Duration = Duration::from_millis(500);

/// Time from the removal of the entry until the store is away.
const TIME_BEFORE_DRILL: Duration = Duration::from_millis(3_000);

/// Time for which the store is away.
const AWAY_TIME: Duration = Duration::from_millis(300);

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time from the return of the store until it removes the entry of a silent replica: three
/// heartbeats, and the delay of the list in the site file.
const LAPSE_TIME: Duration = Duration::from_millis(3 * 1_200 + 800);

/// Time of traffic after that.
const TIME_AFTER: Duration = Duration::from_secs(3);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"confirm","host":"desk.example","path_prefix":"/confirm/","route_kind":"non_idempotent","timeout_ms":1500,"goal_ms":300,"priority":2,"service":"desk","max_attempts":1,"public":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"fisher","api_keys":["key-one"],"priority":1}]}"#;

/// Id of the replica that leaves.
const LEAVING: &str = "i-desk3";

/// Runs the case, and returns the number of requests that reached the replica too late.
///
/// # Errors
///
/// Fails if the relays do not start.
pub fn run(context: &CaseContext) -> io::Result<usize> {
    let record = &context.record;
    let store = PlatformStore::default();
    let platform = store.start()?;
    let runs = SharedRuns::default();
    store.put("config", "main", CONFIG);
    for (id, data_centre) in [("i-desk1", "hall-a"), ("i-desk2", "hall-b")] {
        let replica =
            PlainReplica::new(id, ("desk", data_centre), (SLOTS, WORK_TIME), record, &runs);
        let entry = replica.entry(replica.start()?);
        let store = store.clone();
        store.put("servers", id, &entry);
        spawn(move || {
            loop {
                sleep(HEARTBEAT);
                store.put("servers", id, &entry);
            }
        });
    }
    let leaving = PlainReplica::new(LEAVING, ("desk", "hall-a"), (SLOTS, WORK_TIME), record, &runs);
    store.put("servers", LEAVING, &leaving.entry(leaving.start()?));
    let mut relays = Vec::new();
    for (name, data_centre) in [("edge-hall-a-1", "hall-a"), ("edge-hall-b-1", "hall-b")] {
        let mut relay = RelayProcess::new(name, data_centre, platform, &context.folder)?;
        relay.start()?;
        relays.push(relay);
    }
    let balancers: Vec<ZoneBalancer> = relays
        .iter()
        .map(|relay| {
            ZoneBalancer::start(&[(relay.name, relay.address(), relay.ready_address())], record)
        })
        .collect();
    wait_until(START_TIME, || balancers.iter().all(ZoneBalancer::all_in))?;

    let total = COPY_LEAD + TIME_BEFORE_DRILL + AWAY_TIME + LAPSE_TIME + TIME_AFTER;
    let calls: Arc<Mutex<Vec<CallRecord>>> = Arc::default();
    let traffic = {
        let (record, calls) = (record.clone(), calls.clone());
        spawn(move || send_requests(total, &balancers, &record, &calls))
    };
    store.take_copy();
    record.write("a copy of the store is taken");
    sleep(COPY_LEAD);
    store.remove("servers", LEAVING);
    let removed_at = record.write("the entry of i-desk3 is gone; it serves on for a while");
    sleep(TIME_BEFORE_DRILL);
    if context.has_trouble {
        store.go_away();
        record.write("the store is away");
    }
    sleep(AWAY_TIME);
    if context.has_trouble {
        store.come_back();
    }
    let returned_at = record.write("the store is back from the copy, or was never away");
    sleep(LAPSE_TIME);
    leaving.end();
    store.remove("servers", LEAVING);
    record.write("i-desk3 has ended, and its entry is gone");
    traffic.join().map_err(|_| ErrorKind::Other)?;
    let mut broken = 0;
    for run in runs.lock().expect("no thread panics while it holds this").iter() {
        let is_late = run.began_at > removed_at + DRAIN_MS;
        let is_in_touch = run.began_at > returned_at + CONTACT_MS;
        if run.replica == LEAVING && is_late && is_in_touch {
            broken += 1;
            let late = run.began_at - removed_at;
            let end = {
                let calls = calls.lock().expect("no thread panics while it holds this");
                calls.iter().find(|call| call.id == run.id).map(|call| call.end.clone())
            };
            let id = &run.id;
            record
                .write(&format!("DRAIN: {id} reached it {late} ms after; its caller saw {end:?}"));
        }
    }
    Ok(broken)
}

/// Sends requests at a fixed rate for `total`, and waits for their ends.
fn send_requests(
    total: Duration,
    balancers: &[ZoneBalancer],
    record: &RunRecord,
    calls: &Arc<Mutex<Vec<CallRecord>>>,
) {
    let count = total.as_millis() / REQUEST_INTERVAL.as_millis();
    let mut threads = Vec::new();
    for number in 0..count as usize {
        let request = CallerRequest {
            id: format!("{number:016x}"),
            target: "POST /confirm/sale",
            key: "key-one",
            deadline_ms: DEADLINE_MS,
        };
        let (relay, record, calls) =
            (balancers[number % balancers.len()].choose(number), record.clone(), calls.clone());
        threads.push(spawn(move || {
            let call = request.send(relay, &record);
            calls.lock().expect("no thread panics while it holds this").push(call);
        }));
        sleep(REQUEST_INTERVAL);
    }
    for thread in threads {
        if thread.join().is_err() {
            record.write("a caller failed");
        }
    }
}
