//! A drill in which the store comes back from a copy that is older than the removal of a key,
//! beside the planned restart of one of two relays.

use std::{
    collections::HashMap,
    io::{self, ErrorKind},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{sleep, spawn},
    time::Duration,
};

use crate::{
    CaseContext,
    balancer::ZoneBalancer,
    caller::{CallRecord, CallerRequest},
    relay::{GRACE_S, REVOKE_MS, RelayProcess, Signal},
    replica::{PlainReplica, SharedRuns},
    store::PlatformStore,
    wait_until,
};

/// Time that a replica works on a request.
const WORK_TIME: Duration = Duration::from_millis(60);

/// Number of requests that a replica works on at once.
const SLOTS: usize = 6;

/// Deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Interval between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Longest time until all relays are ready.
const START_TIME: Duration = Duration::from_secs(15);

/// Time from the copy to the removal of the key.
const COPY_LEAD: Duration = Duration::from_millis(500);

/// Time from the removal of the key to SIGTERM.
const TIME_BEFORE_STOP: Duration = Duration::from_millis(3_000);

/// Time for which the store is away.
const AWAY_TIME: Duration = Duration::from_millis(300);

/// Time from the return of the store to the start of the relay that was stopped.
const START_DELAY: Duration = Duration::from_millis(300);

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time from the return of the store until the operator has written the configuration again: that
/// in which entries that lapsed are back.
const REWRITE_TIME: Duration = Duration::from_millis(2_000);

/// Time of traffic after that.
const TIME_AFTER: Duration = Duration::from_secs(4);

/// Key that stays.
const KEPT_KEY: &str = "key-kept";

/// Key that is removed.
const REMOVED_KEY: &str = "key-removed";

fn config(version: u64, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"confirm","host":"desk.example","path_prefix":"/confirm/","route_kind":"non_idempotent","timeout_ms":1500,"goal_ms":300,"priority":2,"service":"desk","max_attempts":1,"public":false}}],"services":[{{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"fisher","api_keys":[{keys}],"priority":1}}]}}"#
    )
}

/// Runs the case, and returns the number of requests that ran with the removed key too late.
///
/// # Errors
///
/// Fails if the relays do not start or do not stop.
pub fn run(context: &CaseContext) -> io::Result<usize> {
    let record = &context.record;
    let store = PlatformStore::default();
    let platform = store.start()?;
    let runs = SharedRuns::default();
    let with_both = config(1, &format!(r#""{KEPT_KEY}","{REMOVED_KEY}""#));
    let with_one = config(2, &format!(r#""{KEPT_KEY}""#));
    store.put("config", "main", &with_both);
    for id in ["i-desk1", "i-desk2"] {
        let replica = PlainReplica::new(id, ("desk", "hall"), (SLOTS, WORK_TIME), record, &runs);
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
    let mut stays = RelayProcess::new("edge-hall-1", "hall", platform, &context.folder)?;
    let mut restarts = RelayProcess::new("edge-hall-2", "hall", platform, &context.folder)?;
    stays.start()?;
    restarts.start()?;
    let addresses =
        [&stays, &restarts].map(|relay| (relay.name, relay.address(), relay.ready_address()));
    let balancer = ZoneBalancer::start(&addresses, record);
    wait_until(START_TIME, || balancer.all_in())?;

    let calls: Arc<Mutex<Vec<CallRecord>>> = Arc::default();
    let has_ended = Arc::new(AtomicBool::new(false));
    let callers = [KEPT_KEY, REMOVED_KEY].map(|key| {
        let (record, calls, has_ended) = (record.clone(), calls.clone(), has_ended.clone());
        let balancer = balancer.clone();
        spawn(move || {
            let mut number = 0;
            while !has_ended.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("{key}-{number:04x}");
                let target = "POST /confirm/sale";
                let request = CallerRequest { id, target, key, deadline_ms: DEADLINE_MS };
                let call = request.send(balancer.choose(number), &record);
                calls.lock().expect("no thread panics while it holds this").push(call);
                sleep(REQUEST_INTERVAL);
            }
        })
    });
    store.take_copy();
    record.write("a copy of the store is taken");
    sleep(COPY_LEAD);
    store.put("config", "main", &with_one);
    let removed_at = record.write("version 2, without the removed key, is acknowledged");
    sleep(TIME_BEFORE_STOP);
    restarts.signal(Signal::Terminate);
    record.write("SIGTERM to edge-hall-2");
    wait_until(Duration::from_secs(GRACE_S), || restarts.has_ended())?;
    record.write("edge-hall-2 has ended");
    if context.has_trouble {
        store.go_away();
        record.write("the store is away");
        sleep(AWAY_TIME);
        store.come_back();
        record.write("the store is back from the copy");
    }
    sleep(START_DELAY);
    restarts.kill();
    restarts.start()?;
    record.write("edge-hall-2 is started again");
    sleep(REWRITE_TIME.saturating_sub(START_DELAY));
    store.put("config", "main", &with_one);
    record.write("version 2 is in the store, written again if it was lost");
    sleep(TIME_AFTER);
    has_ended.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().map_err(|_| ErrorKind::Other)?;
    }
    let sent: HashMap<String, u64> = calls
        .lock()
        .expect("no thread panics while it holds this")
        .iter()
        .map(|call| (call.id.clone(), call.sent_at))
        .collect();
    let mut broken = 0;
    for run in runs.lock().expect("no thread panics while it holds this").iter() {
        let Some(sent_at) = sent.get(&run.id).filter(|_| run.id.starts_with(REMOVED_KEY)) else {
            continue;
        };
        if *sent_at > removed_at + REVOKE_MS {
            broken += 1;
            let late = sent_at - removed_at;
            let (id, organisation) = (&run.id, &run.organisation);
            record.write(&format!(
                "CONFIG: {id} ran for {organisation}, sent {late} ms after the acknowledgement"
            ));
        }
    }
    Ok(broken)
}
