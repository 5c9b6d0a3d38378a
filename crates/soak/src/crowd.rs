//! Crowds: the load balancer hands most new connections to one relay, while callers open new ones more
//! often.
//!
//! What is measured is the share of requests that are served at the first attempt which a relay read,
//! in each second. Retries go to other relays.

use std::{
    collections::{BTreeMap, HashSet},
    fmt, io,
    net::SocketAddr,
    ops::Range,
    sync::Arc,
    time::Duration,
};

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use switchfold_kernel::clock::epoch_micros;
use switchfold_platform_standin::samples::ORGANISATION;
use tokio::time::sleep;

use crate::{
    attendance::CONTACT_TIME,
    caller::{
        CALL_TIMEOUT, CallSpec, CallerConnection, CallerContext, SHARED_PART, connect, make_call,
    },
    checks::{Violation, check, check_crowd},
    cluster::{ClusterConfig, SoakCluster},
    record::{CallKind, CallOutcome, CallRecord, Micros, PATIENCE},
    replica::request_body,
};

/// Time for which engines load their layers before callers call.
const LOAD_TIME: Duration = Duration::from_secs(24);

/// Time of calling before the crowd, and its last part, with which the crowd is compared.
const WARM_UP_TIME: Duration = Duration::from_secs(8);
const COMPARED_TIME: Micros = 4_000_000;

/// Time for which the callers go on after the crowd.
const COOL_DOWN_TIME: Duration = Duration::from_secs(4);

/// Range of the pause between two requests of a caller, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u64> = 2..60;

/// Attempts of a request.
const MAX_TRIES: usize = 3;

/// Longest delay that a caller honours, as a part of its deadline.
const MAX_RETURN_DELAY: Duration = Duration::from_millis(2_600);

/// Time after which a connection without a response counts as one whose request was read.
const MAX_UNREAD_TIME: Micros = 1_500_000;

/// Nine of ten requests are streams.
const KINDS: [CallKind; 10] = [
    CallKind::Stream,
    CallKind::Stream,
    CallKind::Stream,
    CallKind::StreamOnce,
    CallKind::StreamOnce,
    CallKind::Stream,
    CallKind::Stream,
    CallKind::Stream,
    CallKind::Stream,
    CallKind::Safe,
];

/// Size of a crowd.
#[derive(Clone, Copy, Debug)]
pub struct CrowdSize {
    /// Callers that call during the crowd only.
    pub callers: usize,
    /// Length of the crowd.
    pub length: Duration,
    /// Share of a core that each relay gets; `None` for as much as it uses.
    pub processor_share: Option<f64>,
}

/// A request with all its attempts.
#[derive(Clone, Debug, Default)]
pub struct CrowdRequest {
    /// The attempts, in order.
    pub tries: Vec<CallRecord>,
}

impl CrowdRequest {
    /// Returns the first attempt that a relay read, if there is one; otherwise the last one.
    fn first_read(&self, arrived: &HashSet<&str>) -> Option<&CallRecord> {
        self.tries.iter().find(|call| !is_unread(call, arrived)).or(self.tries.last())
    }

    /// Whether its first attempt that was read was served.
    fn is_served_at_first(&self, arrived: &HashSet<&str>) -> bool {
        self.first_read(arrived).is_some_and(CallRecord::is_served)
    }
}

/// Whether the connection of a call was refused, or soon closed without a response, and no replica got
/// its request. `arrived` has the ids of those that did.
fn is_unread(call: &CallRecord, arrived: &HashSet<&str>) -> bool {
    matches!(call.outcome, CallOutcome::NotConnected | CallOutcome::NoResponse)
        && call.ended_at - call.sent_at < MAX_UNREAD_TIME
        && !arrived.contains(call.id.as_str())
}

/// What a run of a crowd showed.
#[derive(Clone, Debug)]
pub struct CrowdReport {
    /// Seed of the run.
    pub seed: u64,
    /// Requests, and those that were served at the first attempt which was read, before the crowd.
    pub before: (usize, usize),
    /// The same of each second of the crowd.
    pub during: Vec<(usize, usize)>,
    /// How the others of the crowd ended, by the relay that got most connections or another one.
    pub unserved: BTreeMap<String, usize>,
    /// Requests of the crowd that were served at any attempt.
    pub served_at_last: (usize, usize),
    /// Connections that were closed unread.
    pub unread: usize,
    /// Median and longest time to the first event, in milliseconds.
    pub first_event_ms: (Micros, Micros),
    /// Longest time in which a ready relay did not respond on a new connection.
    pub longest_unattended: Duration,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
}

impl fmt::Display for CrowdReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (requests, served) = self.before;
        write!(formatter, "seed {}: before {served}/{requests}, during", self.seed)?;
        self.during
            .iter()
            .try_for_each(|(requests, served)| write!(formatter, " {served}/{requests}"))?;
        let (requests, served) = self.served_at_last;
        let (median, longest) = self.first_event_ms;
        write!(
            formatter,
            "\n    served at any attempt {served}/{requests}, closed unread {}, first event {median} ms \
             (median), {longest} ms (longest), a ready relay did not respond for {} ms at most",
            self.unread,
            self.longest_unattended.as_millis(),
        )?;
        self.unserved
            .iter()
            .try_for_each(|(end, count)| write!(formatter, "\n    not served: {count} {end}"))?;
        self.violations.iter().try_for_each(|violation| write!(formatter, "\n    {violation}"))
    }
}

/// Runs a crowd.
///
/// # Errors
///
/// Fails if the cluster does not start or a caller panics.
pub async fn run_crowd(
    seed: u64,
    crowd: CrowdSize,
    config: ClusterConfig,
) -> io::Result<CrowdReport> {
    let (callers, is_large) = (config.size.callers, config.shape.model.is_some());
    let cluster = SoakCluster::start(config).await?;
    if is_large {
        sleep(LOAD_TIME).await;
    }
    cluster.begin_use();
    if let Some(share) = crowd.processor_share {
        cluster.throttle_relays(share);
    }
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let start = |count: usize, prefix: &str| -> Vec<_> {
        let start = |number: usize| {
            let random = ChaCha8Rng::seed_from_u64(seed.rotate_left(36) ^ number as u64);
            let name = format!("s{seed}{prefix}{number}");
            tokio::spawn(run_crowd_caller(name, cluster.clone(), random))
        };
        (0..count).map(start).collect()
    };
    let steady = start(callers, "c");
    sleep(WARM_UP_TIME).await;
    let from = epoch_micros();
    let hot = random.random_range(0..cluster.relay_count());
    cluster.begin_crowd(hot);
    let added = start(crowd.callers, "o");
    sleep(crowd.length).await;
    let to = epoch_micros();
    cluster.end_crowd();
    sleep(COOL_DOWN_TIME).await;
    cluster.stop_callers();
    let mut requests = Vec::new();
    for caller in steady.into_iter().chain(added) {
        requests.extend(caller.await.map_err(io::Error::other)?);
    }
    cluster.shut_down().await;
    Ok(build_report(&cluster, seed, requests, hot, from..to))
}

fn build_report(
    cluster: &SoakCluster,
    seed: u64,
    requests: Vec<CrowdRequest>,
    hot: usize,
    crowd: Range<Micros>,
) -> CrowdReport {
    let runs = cluster.history().runs.clone();
    let arrived: HashSet<&str> = runs.iter().map(|run| run.id.as_str()).collect();
    let sent_within = |from: Micros, to: Micros| {
        let requests = requests.iter();
        requests.filter(move |request| {
            request.tries.first().is_some_and(|first| (from..to).contains(&first.sent_at))
        })
    };
    let count = |from: Micros, to: Micros| {
        sent_within(from, to).fold((0, 0), |(count, served), request| {
            (count + 1, served + usize::from(request.is_served_at_first(&arrived)))
        })
    };
    let before = count(crowd.start - COMPARED_TIME, crowd.start);
    let seconds = (crowd.end - crowd.start) / 1_000_000;
    let starts = (0..seconds).map(|second| crowd.start + second * 1_000_000);
    let during: Vec<(usize, usize)> = starts.map(|from| count(from, from + 1_000_000)).collect();
    let mut unserved = BTreeMap::new();
    for request in sent_within(crowd.start, crowd.end) {
        let Some(first) = request.first_read(&arrived).filter(|first| !first.is_served()) else {
            continue;
        };
        let place = if first.relay == hot { "there" } else { "elsewhere" };
        let end = match &first.outcome {
            CallOutcome::Responded(response) if response.complete => response.status.to_string(),
            CallOutcome::Responded(response) => format!("{} cut", response.status),
            other => format!("{other:?}"),
        };
        *unserved.entry(format!("{end} {place}")).or_default() += 1;
    }
    let served_at_last =
        sent_within(crowd.start, crowd.end).fold((0, 0), |(count, served), request| {
            (count + 1, served + usize::from(request.tries.iter().any(CallRecord::is_served)))
        });
    let tries = || sent_within(crowd.start, crowd.end).flat_map(|request| &request.tries);
    let unread = tries().filter(|call| is_unread(call, &arrived)).count();
    let mut first_events: Vec<Micros> =
        tries().filter_map(|call| call.timing.first_event).map(|time| time / 1_000).collect();
    first_events.sort_unstable();
    let median = first_events.get(first_events.len() / 2).copied().unwrap_or_default();
    let longest = first_events.last().copied().unwrap_or_default();
    let mut history = cluster.history();
    history.calls = requests.iter().flat_map(|request| request.tries.clone()).collect();
    let contact = CONTACT_TIME.as_secs() as usize;
    let mut violations = check(&history, ORGANISATION);
    violations.extend(check_crowd(before, during.get(contact..).unwrap_or_default()));
    CrowdReport {
        seed,
        before,
        during,
        unserved,
        served_at_last,
        unread,
        first_event_ms: (median, longest),
        longest_unattended: history.longest_unattended.values().max().copied().unwrap_or_default(),
        violations,
    }
}

/// Sends requests until the cluster stops its callers. A request that was refused, or whose connection
/// was closed unread, is sent again, to another relay and with a new id.
async fn run_crowd_caller(
    name: String,
    cluster: Arc<SoakCluster>,
    mut random: ChaCha8Rng,
) -> Vec<CrowdRequest> {
    let mut requests: Vec<CrowdRequest> = Vec::new();
    let mut idle: Option<CallerConnection> = None;
    while cluster.is_running() {
        sleep(Duration::from_millis(random.random_range(THINK_TIME_MS))).await;
        let kind = *KINDS.choose(&mut random).expect("there are kinds");
        let mut request = CrowdRequest::default();
        idle =
            idle.filter(|connection| connection.sender.is_ready() && !cluster.opens_connections());
        while request.tries.len() < MAX_TRIES {
            let id = format!("{name}x{}t{}", requests.len(), request.tries.len());
            let target = match request.tries.last() {
                None => cluster.choose_relay(&mut random),
                Some(last) => cluster.choose_other_relay(last.relay, &mut random),
            };
            let (record, kept) = make_try(&cluster, idle.take(), target, kind, id).await;
            idle = kept;
            let is_repeated = must_repeat(&record);
            request.tries.push(record);
            let Some(delay) = is_repeated else { break };
            sleep(delay).await;
        }
        requests.push(request);
    }
    requests
}

/// Returns the time after which a request is sent again; `None` if it is not.
fn must_repeat(call: &CallRecord) -> Option<Duration> {
    match &call.outcome {
        CallOutcome::NotConnected | CallOutcome::NoResponse => Some(Duration::ZERO),
        CallOutcome::Responded(response) if response.status == 503 => {
            Some(response.retry_after.unwrap_or_default().min(MAX_RETURN_DELAY))
        }
        _ => None,
    }
}

async fn make_try(
    cluster: &SoakCluster,
    reusable: Option<CallerConnection>,
    target: (usize, SocketAddr),
    kind: CallKind,
    id: String,
) -> (CallRecord, Option<CallerConnection>) {
    let key = cluster.valid_key();
    let sent_at = epoch_micros();
    let connected = match reusable {
        Some(connection) => Ok(connection),
        None => connect(target).await,
    };
    let patience = if kind.is_stream() { PATIENCE } else { CALL_TIMEOUT };
    let body = request_body(&id);
    let parts = format!("{SHARED_PART}:40,{sent_at:x}:30");
    let spec = CallSpec { silence: None, kind, id: &id, key: &key, name: &id, body, parts };
    let (record, kept) = make_call(connected, &spec, sent_at, patience, Duration::ZERO).await;
    if record.reused_after.is_none() && matches!(record.outcome, CallOutcome::Responded(_)) {
        cluster.record_response(record.relay);
    }
    (record, kept)
}
