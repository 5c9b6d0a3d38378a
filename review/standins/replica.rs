//! A replica of a plain service, as PROTOCOL.md describes it.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{HttpMessage, serve},
    record::RunRecord,
};

/// Longest part of the work on a request in which the replica does not notice its own end.
const WORK_STEP: Duration = Duration::from_millis(10);

/// A run of a request.
#[derive(Clone, Debug)]
pub struct ReplicaRun {
    /// Attempt id of the request.
    pub id: String,
    /// Organisation in whose name it ran.
    pub organisation: String,
}

/// Runs of all replicas, in the order of their starts.
pub type SharedRuns = Arc<Mutex<Vec<ReplicaRun>>>;

/// Replica that serves at a loopback address. Clones share the state.
#[derive(Clone, Debug)]
pub struct PlainReplica {
    /// Id under which it lists itself.
    pub id: String,
    service: &'static str,
    data_centre: &'static str,
    slots: usize,
    work_time: Duration,
    born: u128,
    record: RunRecord,
    runs: SharedRuns,
    running: Arc<Mutex<usize>>,
    has_ended: Arc<AtomicBool>,
}

impl PlainReplica {
    /// Creates a replica with `slots` slots that works for `work_time` on each request.
    pub fn new(
        id: &str,
        (service, data_centre): (&'static str, &'static str),
        (slots, work_time): (usize, Duration),
        record: &RunRecord,
        runs: &SharedRuns,
    ) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let (record, runs) = (record.clone(), runs.clone());
        let (running, has_ended) = Default::default();
        Self {
            id: id.into(),
            service,
            data_centre,
            slots,
            work_time,
            born,
            record,
            runs,
            running,
            has_ended,
        }
    }

    /// Starts serving, and returns the address.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn start(&self) -> io::Result<SocketAddr> {
        let replica = self.clone();
        serve(self.has_ended.clone(), move |request| {
            let response = replica.respond(&request);
            (!replica.has_ended.load(Ordering::Relaxed)).then_some(response)
        })
    }

    /// Ends the replica: it refuses connections, and closes those on which it works without an
    /// answer.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    /// Returns its entry in the store.
    pub fn entry(&self, address: SocketAddr) -> String {
        let Self { service, data_centre, slots, born, .. } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{data_centre}","version":"v1","slots":{slots},"state":"ready","cold_left_ms":0,"call_seq":0,"born":{born}}}"#
        )
    }

    fn respond(&self, request: &HttpMessage) -> HttpMessage {
        if request.word(1) == "/healthz" {
            return HttpMessage::new("HTTP/1.1 200 OK", &[("X-Replica-Id", &self.id)], "");
        }
        let Some(id) = request.header("x-attempt-id") else {
            return HttpMessage::new("HTTP/1.1 400 Bad Request", &[("X-Not-Executed", "1")], "");
        };
        if request.header("x-expect-replica").is_some_and(|expected| expected != self.id) {
            let headers = [("X-Attempt-Id", id), ("X-Replica-Id", &self.id)];
            return HttpMessage::new("HTTP/1.1 421 Misdirected Request", &headers, "");
        }
        if !self.take_slot() {
            let headers = [("X-Attempt-Id", id), ("X-Not-Executed", "1")];
            return HttpMessage::new("HTTP/1.1 503 Service Unavailable", &headers, "");
        }
        self.run(id, request.header("x-tenant").unwrap_or("none"));
        let seal = format!("{}.{id}", self.id);
        let headers = [("X-Attempt-Id", id), ("X-Replica-Seal", &seal)];
        HttpMessage::new("HTTP/1.1 200 OK", &headers, &format!("done {id}\n"))
    }

    fn take_slot(&self) -> bool {
        let mut running = self.running.lock().expect("no thread panics while it holds this");
        let is_free = *running < self.slots;
        *running += usize::from(is_free);
        is_free
    }

    fn run(&self, id: &str, organisation: &str) {
        self.record.write(&format!("replica {} runs {id} for {organisation}", self.id));
        let run = ReplicaRun { id: id.to_owned(), organisation: organisation.into() };
        self.runs.lock().expect("no thread panics while it holds this").push(run);
        let until = Instant::now() + self.work_time;
        while Instant::now() < until && !self.has_ended.load(Ordering::Relaxed) {
            sleep(WORK_STEP.min(until.saturating_duration_since(Instant::now())));
        }
        let end = if self.has_ended.load(Ordering::Relaxed) { "ends within" } else { "has run" };
        self.record.write(&format!("replica {} {end} {id}", self.id));
        *self.running.lock().expect("no thread panics while it holds this") -= 1;
    }
}
