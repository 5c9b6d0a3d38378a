//! Relays that are killed, and replicas that crash one after the other, while callers ask for the
//! same.

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread::{sleep, spawn},
    time::Duration,
};

use crate::{
    CaseContext,
    balancer::ZoneBalancer,
    caller::{CallEnd, CallRecord, CallerRequest},
    record::RunRecord,
    relay::{RECOVERY_MS, RelayProcess},
    replica::{PlainReplica, SharedRuns},
    store::PlatformStore,
    wait_until,
};

/// Names of the relays, all in one data centre.
const RELAYS: [&str; 2] = ["edge-hall-1", "edge-hall-2"];

/// Number of replicas of the service.
const REPLICAS: usize = 5;

/// Time that a replica works on a request.
const WORK_TIME: Duration = Duration::from_millis(1_500);

/// Number of requests that a replica works on at once.
const SLOTS: usize = 12;

/// Deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 3_000;

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// Longest time until all relays are ready.
const START_TIME: Duration = Duration::from_secs(15);

/// Time of traffic before the final fault.
const TIME_BEFORE: Duration = Duration::from_secs(8);

/// Time after which the killed relays are started again.
const RELAY_DOWN_TIME: Duration = Duration::from_millis(300);

/// Time from the start of the relays to the crash of the first replica, and between two crashes.
const CRASH_DELAY: Duration = Duration::from_millis(500);
const CRASH_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which the replicas are down.
const REPLICA_DOWN_TIME: Duration = Duration::from_millis(2_800);

/// Time of traffic that is counted, once the time for the recovery has passed.
const COUNTED_TIME: Duration = Duration::from_secs(10);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"status","host":"desk.example","path_prefix":"/status/","route_kind":"idempotent","timeout_ms":3000,"goal_ms":2000,"priority":2,"service":"desk","max_attempts":2,"public":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"fisher","api_keys":["key-one"],"priority":1}]}"#;

/// Replicas of the service. Each start of one has an id of its own.
struct ReplicaSet<'a> {
    record: &'a RunRecord,
    store: &'a PlatformStore,
    runs: SharedRuns,
    running: Vec<PlainReplica>,
    starts: usize,
}

impl ReplicaSet<'_> {
    fn start(&mut self) -> io::Result<SocketAddr> {
        self.starts += 1;
        let id = format!("i-desk{}", self.starts);
        let (limits, runs) = ((SLOTS, WORK_TIME), &self.runs);
        let replica = PlainReplica::new(&id, ("desk", "hall"), limits, self.record, runs);
        let address = replica.start()?;
        self.store.put("servers", &id, &replica.entry(address));
        self.running.push(replica);
        self.record.write(&format!("{id} is up"));
        Ok(address)
    }

    /// Ends the replica that has run for the longest time. Its entry goes later, by its silence.
    fn crash(&mut self) -> String {
        let replica = self.running.remove(0);
        replica.end();
        self.record.write(&format!("{} crashes", replica.id));
        replica.id
    }
}

/// Runs the case, and returns 1 if too few requests are served after the recovery, or else 0.
///
/// # Errors
///
/// Fails if the relays do not start, or serve too little before the final fault.
pub fn run(context: &CaseContext) -> io::Result<usize> {
    let record = &context.record;
    let store = PlatformStore::default();
    let platform = store.start()?;
    store.put("config", "main", CONFIG);
    let (runs, running) = Default::default();
    let mut replicas = ReplicaSet { record, store: &store, runs, running, starts: 0 };
    for _ in 0..REPLICAS {
        replicas.start()?;
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

    let crash_time = RELAY_DOWN_TIME + CRASH_DELAY + CRASH_INTERVAL * REPLICAS as u32;
    let recovery_time = Duration::from_millis(RECOVERY_MS);
    let total = TIME_BEFORE + crash_time + REPLICA_DOWN_TIME + recovery_time + COUNTED_TIME;
    let calls: Arc<Mutex<Vec<CallRecord>>> = Arc::default();
    let traffic = {
        let (record, calls) = (record.clone(), calls.clone());
        spawn(move || send_requests(total, &balancer, &record, &calls))
    };
    sleep(TIME_BEFORE);
    let fault_at = record.write("final fault");
    if context.has_trouble {
        relays.iter_mut().for_each(RelayProcess::kill);
        record.write("all relays are killed");
        sleep(RELAY_DOWN_TIME);
        for relay in &mut relays {
            relay.start()?;
        }
        record.write("the relays are started again");
        sleep(CRASH_DELAY);
        let mut crashed = Vec::new();
        for _ in 0..REPLICAS {
            crashed.push(replicas.crash());
            sleep(CRASH_INTERVAL);
        }
        sleep(REPLICA_DOWN_TIME);
        for id in crashed {
            store.remove("servers", &id);
            replicas.start()?;
        }
    }
    let back_at = record.write("all machines and replicas are back");
    traffic.join().map_err(|_| ErrorKind::Other)?;
    let calls = calls.lock().expect("no thread panics while it holds this");
    // Requests that were under way at the fault do not count.
    let before = count_served(&calls, 0, fault_at - DEADLINE_MS);
    let after = count_served(&calls, back_at + RECOVERY_MS, u64::MAX);
    for (when, (served, sent)) in [("before the final fault", before), ("after", after)] {
        record.write(&format!("{served} of {sent} requests were served {when}"));
    }
    match before.0 * 4 >= before.1 {
        true => Ok(usize::from(after.0 * 4 < after.1)),
        false => Err(ErrorKind::Other.into()),
    }
}

/// Returns the number of requests sent in a period that were served, and of all of them.
fn count_served(calls: &[CallRecord], from: u64, to: u64) -> (usize, usize) {
    let sent: Vec<_> = calls.iter().filter(|call| (from..to).contains(&call.sent_at)).collect();
    let served = sent.iter().filter(|call| call.end == CallEnd::Answered { status: 200 });
    (served.count(), sent.len())
}

/// Sends the same request at a fixed rate for `total`, and waits for the ends.
fn send_requests(
    total: Duration,
    balancer: &ZoneBalancer,
    record: &RunRecord,
    calls: &Arc<Mutex<Vec<CallRecord>>>,
) {
    let count = total.as_millis() / REQUEST_INTERVAL.as_millis();
    let mut threads = Vec::new();
    for number in 0..count as usize {
        let request = CallerRequest {
            id: format!("{number:016x}"),
            target: "GET /status/auction",
            key: "key-one",
            deadline_ms: DEADLINE_MS,
        };
        let (relay, record, calls) = (balancer.choose(number), record.clone(), calls.clone());
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
