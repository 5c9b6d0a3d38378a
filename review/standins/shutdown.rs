//! A planned stop of relays beside a plain service whose requests take two seconds.

use std::{
    collections::HashSet,
    io::{self, ErrorKind},
    sync::{Arc, Mutex},
    thread::{sleep, spawn},
    time::Duration,
};

use crate::{
    CaseContext,
    balancer::ZoneBalancer,
    caller::{CallEnd, CallRecord, CallerRequest},
    relay::{GRACE_S, RelayProcess, Signal},
    replica::{PlainReplica, SharedRuns},
    store::PlatformStore,
    wait_until,
};

/// Names of the relays, all in one data centre.
const RELAYS: [&str; 3] = ["edge-hall-1", "edge-hall-2", "edge-hall-3"];

/// Number of relays that are stopped at a time.
const STOPPED_AT_A_TIME: usize = 2;

/// Number of replicas of the service.
const REPLICAS: usize = 3;

/// Number of requests that a replica works on at once.
const SLOTS: usize = 12;

/// Time that a replica works on a request.
const WORK_TIME: Duration = Duration::from_millis(2_000);

/// Deadline of each request, and timeout of its route, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(80);

/// Longest time until all relays are ready.
const START_TIME: Duration = Duration::from_secs(15);

/// Time of traffic before the stop.
const TIME_BEFORE: Duration = Duration::from_secs(5);

/// Time of traffic from the stop on: the grace period, the restart and a few seconds.
const TIME_AFTER: Duration = Duration::from_secs(16);

/// Time after SIGTERM up to which a request that is cut in the last sixth of the grace period is
/// excused, in milliseconds.
const EXCUSED_MS: u64 = 3_000;

/// Time after the last byte of a request from which a connection may not end without a response, in
/// milliseconds.
const LOSS_SLACK_MS: u64 = 200;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"confirm","host":"desk.example","path_prefix":"/confirm/","route_kind":"non_idempotent","timeout_ms":3000,"goal_ms":2500,"priority":2,"service":"desk","max_attempts":1,"public":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"fisher","api_keys":["key-one"],"priority":1}]}"#;

/// Start of the stop of a relay, in milliseconds.
type PlannedStop = (&'static str, u64);

/// Runs the case, and returns the number of lost requests.
///
/// # Errors
///
/// Fails if the relays do not start, or if a request is lost without a disruption.
pub fn run(context: &CaseContext) -> io::Result<usize> {
    let record = &context.record;
    let store = PlatformStore::default();
    let platform = store.start()?;
    let runs = SharedRuns::default();
    store.put("config", "main", CONFIG);
    for number in 1..=REPLICAS {
        let id = format!("i-desk{number}");
        let replica = PlainReplica::new(&id, ("desk", "hall"), (SLOTS, WORK_TIME), record, &runs);
        let address = replica.start()?;
        store.put("servers", &id, &replica.entry(address));
    }
    let mut relays = Vec::new();
    for name in RELAYS {
        let mut relay = RelayProcess::new(name, "hall", platform, &context.folder)?;
        relay.start()?;
        relays.push(relay);
    }
    let addresses: Vec<_> =
        relays.iter().map(|relay| (relay.name, relay.address(), relay.ready_address())).collect();
    let balancer = ZoneBalancer::start(&addresses, record);
    wait_until(START_TIME, || balancer.all_in())?;

    let calls: Arc<Mutex<Vec<CallRecord>>> = Arc::default();
    let mut threads = Vec::new();
    let mut stops: Vec<PlannedStop> = Vec::new();
    let began = record.now();
    let total = TIME_BEFORE + TIME_AFTER;
    let mut number = 0;
    while record.now() - began < total.as_millis() as u64 {
        if context.has_trouble
            && stops.is_empty()
            && record.now() - began >= TIME_BEFORE.as_millis() as u64
        {
            for relay in relays.iter().take(STOPPED_AT_A_TIME) {
                relay.signal(Signal::Terminate);
                stops.push((relay.name, record.write(&format!("SIGTERM to {}", relay.name))));
            }
        }
        end_stops(&mut relays, &stops, context)?;
        number += 1;
        let request = CallerRequest {
            id: format!("{number:016x}"),
            target: "POST /confirm/sale",
            key: "key-one",
            deadline_ms: DEADLINE_MS,
        };
        let relay = balancer.choose(number);
        let (record, calls) = (record.clone(), calls.clone());
        threads.push(spawn(move || {
            let call = request.send(relay, &record);
            calls.lock().expect("no thread panics while it holds this").push(call);
        }));
        sleep(REQUEST_INTERVAL);
    }
    for thread in threads {
        thread.join().map_err(|_| ErrorKind::Other)?;
    }
    let calls = calls.lock().expect("no thread panics while it holds this");
    let runs = runs.lock().expect("no thread panics while it holds this");
    let ran: HashSet<&str> = runs.iter().map(|run| run.id.as_str()).collect();
    let lost: Vec<&CallRecord> =
        calls.iter().filter(|call| is_lost(call, ran.contains(call.id.as_str()), &stops)).collect();
    for call in &lost {
        let CallRecord { id, relay, sent_at, ended_at, .. } = call;
        record.write(&format!(
            "LOST: {id}, sent to {relay} at {sent_at} ms, run by a replica, cut at {ended_at} ms"
        ));
    }
    let answered = calls.iter().filter(|call| call.end == CallEnd::Answered { status: 200 });
    record.write(&format!("{} requests, {} answered with 200", calls.len(), answered.count()));
    Ok(lost.len())
}

/// Starts the relays again that have ended, and kills those whose grace period is over.
fn end_stops(
    relays: &mut [RelayProcess],
    stops: &[PlannedStop],
    context: &CaseContext,
) -> io::Result<()> {
    for (name, stopped_at) in stops {
        let Some(relay) = relays.iter_mut().find(|relay| relay.name == *name) else { continue };
        if relay.is_restarted() {
            continue;
        }
        let is_over = context.record.now() - stopped_at >= GRACE_S * 1_000;
        if relay.has_ended() || is_over {
            let end = if relay.has_ended() { "has ended" } else { "is killed" };
            context.record.write(&format!("{name} {end}, and is started again"));
            relay.kill();
            relay.start()?;
        }
    }
    Ok(())
}

/// Returns whether a request counts as lost around the planned stop of its relay.
fn is_lost(call: &CallRecord, ran: bool, stops: &[PlannedStop]) -> bool {
    if call.end != CallEnd::Cut {
        return false;
    }
    let was_late = call.ended_at > call.sent_at + LOSS_SLACK_MS;
    let reached_deadline = call.ended_at >= call.sent_at + DEADLINE_MS;
    let is_near_stop = stops.iter().any(|(name, at)| {
        let until = at + GRACE_S * 1_000 + 1_000;
        let last_sixth = at + GRACE_S * 1_000 * 5 / 6;
        let is_excused = call.sent_at <= at + EXCUSED_MS && call.ended_at >= last_sixth && ran;
        *name == call.relay && call.sent_at <= until && call.ended_at >= *at && !is_excused
    });
    is_near_stop && !reached_deadline && (ran || was_late)
}
