//! The guarantees that a run is checked against.
//!
//! Each check is a function of what callers and replicas recorded. Guarantees with a time bound are
//! checked only where no fault was near; the bound on removed keys is always checked.

use std::collections::{BTreeMap, HashMap, HashSet};

use derive_more::Display;

use crate::{
    attendance::CONTACT_TIME,
    ends::check_ends,
    record::{
        CallKind, CallOutcome, CallRecord, CallResponse, DisruptionKind, Micros, RunHistory,
        RunRecord, SETTLE_TIME,
    },
    replica::CRASH_PART_PREFIX,
};

/// Number of events in a complete stream.
pub const EVENT_COUNT: u64 = 30;

/// Longest time from the removal of a key to the last request that may run with it, in
/// microseconds.
pub const REVOKE_TIME: Micros = 5_000_000;

/// Time for which a leaving replica may still get requests, in microseconds.
pub const DRAIN_TIME: Micros = 2_000_000;

/// Time for which a relay keeps a connection after a response that did not announce its close, in
/// microseconds.
pub const KEPT_TIME: Micros = 500_000;

/// Time from the beginning of a relay's planned stop in which its connections are kept, in
/// microseconds. Later ones may be cut by the end of the grace period.
pub const STOP_TIME: Micros = 5_500_000;

/// Largest resident memory of a relay, in KB.
pub const MAX_MEMORY_KB: u64 = 128 * 1_024;

/// Largest number of replicas that one request may run on.
const MAX_ATTEMPTS: usize = 2;

/// Number of calls that may exceed [`MAX_ATTEMPTS`]. A replica that fails during a call may cause
/// one more attempt, and the check cannot tell these calls apart.
const TOLERATED_CALLS: usize = 3;

/// Time within which a relay must act on the headers of a replica's response, in microseconds.
/// Requests that arrive earlier may have been sent before.
const PROPAGATION_TIME: Micros = 500_000;

/// Largest number of requests that may arrive while the replica has asked for none.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;

/// Number of replicas that a request may crash before relays must quarantine it.
const CRASHES_BEFORE_QUARANTINE: usize = 3;

/// Number of replicas that requests with a common part may crash before relays must quarantine it.
const CRASHES_BEFORE_PART_QUARANTINE: usize = 5;

/// Largest number of replicas that the request may crash later than [`SETTLE_TIME`] after the last
/// of those.
const MAX_LATE_CRASHES: usize = 3;

/// Retries of a service that replicas may receive in [`RETRY_WINDOW`]: this fraction of its requests,
/// and [`RETRY_ALLOWANCE`] more.
pub const RETRY_RATIO: f64 = 0.2;

/// See [`RETRY_RATIO`]. Small against the requests of a run, so that it is used up.
pub const RETRY_ALLOWANCE: usize = 20;

/// Window over which retries are counted, in microseconds.
pub const RETRY_WINDOW: Micros = 10_000_000;

/// Number of calls of a class from which its share of served calls is compared.
const MIN_CLASS_CALLS: usize = 100;

/// Largest amount by which the share of served calls of a class may be below that of a less urgent
/// one, in percentage points.
pub const MAX_CLASS_DEFICIT_PERCENT: usize = 5;

/// A guarantee of the relay. `Display` is its name in reports.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Guarantee {
    /// A caller gets the response to its own request: signed and as the replica sent it, or an
    /// error of the relay without a signature.
    #[display("own-answer")]
    OwnResponse,
    /// A stream contains each event once, in order.
    #[display("event-order")]
    EventOrder,
    /// A request that is not idempotent runs at most once.
    #[display("at-most-once")]
    AtMostOnce,
    /// A request that the relay refuses as not run did not run.
    #[display("true-refusal")]
    AccurateRefusal,
    /// Replicas run only requests that callers sent, unchanged and for the callers' organisation.
    #[display("as-asked")]
    UnchangedRequest,
    /// No request runs with a key that was removed longer than [`REVOKE_TIME`] before.
    #[display("removed-key")]
    RemovedKey,
    /// A replica whose entry in the store says that it is leaving gets no new requests.
    #[display("leaving-replica")]
    LeavingReplica,
    /// A replica that rejects a request with `Retry-After` gets no requests from that relay until
    /// the time has passed.
    #[display("asked-time")]
    RetryAfter,
    /// A replica that sends `Server-Limit` gets about that many requests a second from all relays
    /// together, and not more.
    #[display("limit")]
    Limit,
    /// A replica that sends `Server-Leaving` gets no new requests from the relays that passed on
    /// such a response.
    #[display("leaving-word")]
    LeavingNotice,
    /// A planned stop of a relay interrupts no request.
    #[display("planned-stop")]
    PlannedStop,
    /// A connection that a relay kept after a response serves the next request.
    #[display("kept-connection")]
    KeptConnection,
    /// No relay says that a valid key is unknown.
    #[display("valid-key")]
    ValidKey,
    /// A request that crashes the replicas that run it is quarantined.
    #[display("bad-request")]
    CrashRequest,
    /// A request is sent to a bounded number of replicas.
    #[display("most-attempts")]
    MaxAttempts,
    /// The requests of a service are sent again only within its retry budget.
    #[display("retry-budget")]
    RetryBudget,
    /// A class is not served less often than a less urgent one by more than
    /// [`MAX_CLASS_DEFICIT_PERCENT`].
    #[display("class-order")]
    ClassOrder,
    /// A request that was read whole ends with an answer, a refusal, or a body that is aborted after
    /// its replica broke off.
    #[display("visible-end")]
    VisibleEnd,
    /// The silence of a sound replica ends no request before its caller's patience does.
    #[display("silence")]
    Silence,
    /// No process exits by itself, or keeps running when told to stop.
    #[display("process-end")]
    ProcessExit,
    /// The memory of each relay does not exceed [`MAX_MEMORY_KB`].
    #[display("memory")]
    Memory,
    /// A relay that says that it is ready responds on a new connection within [`CONTACT_TIME`].
    #[display("attendance")]
    Attendance,
    /// Requests are served again after the last fault.
    #[display("recovery")]
    Recovery,
    /// While most new connections go to one relay, requests are served at the first attempt that is
    /// read at least three quarters as often as before.
    #[display("crowd")]
    Crowd,
}

/// A violated guarantee.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{guarantee}: {detail}")]
pub struct Violation {
    /// The guarantee that was violated.
    pub guarantee: Guarantee,
    /// What was observed.
    pub detail: String,
}

fn violation(guarantee: Guarantee, detail: impl Into<String>) -> Violation {
    Violation { guarantee, detail: detail.into() }
}

/// Checks a run against all guarantees.
pub fn check(history: &RunHistory, organisation: &str) -> Vec<Violation> {
    let mut runs: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
    for run in &history.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    let ran = |call: &CallRecord| runs.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
    let mut violations = Vec::new();
    for call in &history.calls {
        violations.extend(check_response(call));
        violations.extend(check_runs(call, ran(call)));
        violations.extend(check_planned_stop(history, call, ran(call)));
        violations.extend(check_kept_connection(history, call));
        violations.extend(check_valid_key(history, call));
    }
    violations.extend(check_ends(history, &runs));
    violations.extend(check_attempts(history, &runs));
    violations.extend(check_unchanged_requests(history, organisation));
    violations.extend(check_keys(history, &runs));
    violations.extend(check_leaving_entries(history));
    violations.extend(check_retry_after(history));
    violations.extend(check_leaving_notices(history));
    violations.extend(check_limits(history));
    violations.extend(check_crash_requests(history));
    violations.extend(check_retry_budget(history));
    violations.extend(check_classes(history));
    violations.extend(check_processes(history));
    violations
}

fn check_response(call: &CallRecord) -> Option<Violation> {
    let CallOutcome::Responded(response) = &call.outcome else { return None };
    if call.kind.is_stream() && response.status == 200 {
        return check_events(call, response);
    }
    let is_wrong = match response.status {
        200 => !response.signed || response.complete && response.body != response_body(&call.id),
        // Only replicas respond with status 500, and they sign it.
        500 => !response.signed,
        _ => response.signed,
    };
    let detail = || format!("{} got status {} with {:?}", call.id, response.status, response.body);
    is_wrong.then(|| violation(Guarantee::OwnResponse, detail()))
}

/// Body of a response of the plain service to the request with this id.
pub fn response_body(id: &str) -> String {
    format!("answer to {id}")
}

fn check_events(call: &CallRecord, response: &CallResponse) -> Option<Violation> {
    if !response.signed {
        return Some(violation(
            Guarantee::OwnResponse,
            format!("{}: stream response is not signed", call.id),
        ));
    }
    let mut expected = 0;
    for event in response.body.split_terminator("\n\n") {
        let expected_event = format!("id: {expected}\ndata: piece {expected} of {}", call.id);
        if event != expected_event {
            let detail = format!("{}: {event:?} instead of event {expected}", call.id);
            return Some(violation(Guarantee::EventOrder, detail));
        }
        expected += 1;
    }
    let is_short = response.complete && expected != EVENT_COUNT;
    is_short
        .then(|| violation(Guarantee::EventOrder, format!("{}: ends after {expected}", call.id)))
}

fn check_runs(call: &CallRecord, runs: &[&RunRecord]) -> Vec<Violation> {
    let mut violations = Vec::new();
    if !call.kind.runs_once() && !matches!(call.kind, CallKind::Class(_)) {
        return violations;
    }
    let count = runs.iter().filter(|run| run.ran).count();
    if count > 1 && call.kind.runs_once() {
        violations.push(violation(Guarantee::AtMostOnce, format!("{} ran {count} times", call.id)));
    }
    if let CallOutcome::Responded(response) = &call.outcome
        && matches!(response.status, 408 | 421 | 429 | 503)
        && count > 0
    {
        let detail = format!("{} got status {} and ran", call.id, response.status);
        violations.push(violation(Guarantee::AccurateRefusal, detail));
    }
    violations
}

/// A request that a replica ran through a relay during its planned stop gets a complete response.
fn check_planned_stop(
    history: &RunHistory,
    call: &CallRecord,
    runs: &[&RunRecord],
) -> Option<Violation> {
    let complete = matches!(&call.outcome, CallOutcome::Responded(response) if response.complete);
    let is_stopped = history.disruptions.iter().any(|disruption| {
        disruption.kind == DisruptionKind::PlannedStop(call.relay)
            && disruption.from <= call.ended_at
            && call.sent_at <= disruption.to
    });
    let ran = runs.iter().any(|run| run.ran);
    let is_cut =
        is_stopped && ran && !complete && history.is_free_of_faults(call.sent_at, call.ended_at);
    is_cut.then(|| {
        violation(Guarantee::PlannedStop, format!("{} was cut: {:?}", call.id, call.outcome))
    })
}

/// A request gets a response on a connection that was kept and not idle for [`KEPT_TIME`], unless the
/// relay had a fault or must end.
fn check_kept_connection(history: &RunHistory, call: &CallRecord) -> Option<Violation> {
    let is_kept = call.reused_after.is_some_and(|idle| idle < KEPT_TIME);
    let is_lost = is_kept
        && call.outcome == CallOutcome::NoResponse
        && history.was_serving(call.relay, call.sent_at, call.ended_at, STOP_TIME);
    is_lost.then(|| {
        let detail = format!("{} got no response from relay {}", call.id, call.relay);
        violation(Guarantee::KeptConnection, detail)
    })
}

/// A request with a key that was not removed before its end is not refused for its key.
fn check_valid_key(history: &RunHistory, call: &CallRecord) -> Option<Violation> {
    let is_refused =
        matches!(&call.outcome, CallOutcome::Responded(response) if response.status == 401);
    (is_refused && !history.had_lost_key(call)).then(|| {
        violation(Guarantee::ValidKey, format!("{}: {} was called unknown", call.id, call.key))
    })
}

fn check_attempts(
    history: &RunHistory,
    runs: &HashMap<&str, Vec<&RunRecord>>,
) -> Option<Violation> {
    let excessive = history.calls.iter().filter(|call| {
        // A replica that the request crashed is not counted.
        let counts = |run: &&&RunRecord| run.ran && run.bad.is_none();
        let runs = runs.get(call.id.as_str()).into_iter().flatten().filter(counts);
        let replicas: HashSet<&str> = runs.map(|run| run.replica.as_str()).collect();
        replicas.len() > MAX_ATTEMPTS
    });
    let excessive: Vec<&str> = excessive.map(|call| call.id.as_str()).collect();
    let detail = || format!("{excessive:?} ran on more than {MAX_ATTEMPTS} replicas");
    (excessive.len() > TOLERATED_CALLS).then(|| violation(Guarantee::MaxAttempts, detail()))
}

/// The arrivals beyond the first of each request stay within the budget of their service in any
/// window. Windows with arrivals that a fault had delayed are skipped.
fn check_retry_budget(history: &RunHistory) -> Vec<Violation> {
    let is_stream = |kind: CallKind| kind.is_stream();
    let calls = calls_by_id(history);
    let mut violations = Vec::new();
    for service in [true, false] {
        // The route of the moved kind has two services, each with its own budget.
        let counts = |kind: CallKind| is_stream(kind) == service && kind != CallKind::Moved;
        let sent = history.calls.iter().filter(|call| counts(call.kind));
        let mut sent: Vec<Micros> = sent.map(|call| call.sent_at).collect();
        let mut runs: Vec<&RunRecord> =
            history.runs.iter().filter(|run| run.bad.is_none()).collect();
        runs.retain(|run| calls.get(run.id.as_str()).is_some_and(|call| counts(call.kind)));
        runs.sort_by_key(|run| run.at);
        sent.sort_unstable();
        let mut seen = HashSet::new();
        let retries: Vec<&RunRecord> =
            runs.into_iter().filter(|run| !seen.insert(run.id.as_str())).collect();
        for (index, first) in retries.iter().enumerate() {
            let window = &retries[index..];
            let count = window.partition_point(|run| run.at < first.at + RETRY_WINDOW);
            let requests = |from: Micros| {
                let before = |time: Micros| sent.partition_point(|sent| *sent < time);
                before(from + RETRY_WINDOW) - before(from)
            };
            let earlier = [RETRY_WINDOW, RETRY_WINDOW / 2, 0];
            let most = earlier.map(|by| requests(first.at.saturating_sub(by))).into_iter().max();
            let allowed = most.unwrap_or_default() as f64 * RETRY_RATIO + RETRY_ALLOWANCE as f64;
            let is_delayed = |run: &&RunRecord| {
                !history.had_no_delays(replica_number(&run.replica), run.at, run.at)
            };
            if count as f64 > allowed && !window[..count].iter().any(is_delayed) {
                let detail =
                    format!("{count} retries in 10 s from {}, {allowed} allowed", first.at);
                violations.push(violation(Guarantee::RetryBudget, detail));
                break;
            }
        }
    }
    violations
}

fn check_unchanged_requests(history: &RunHistory, organisation: &str) -> Vec<Violation> {
    let known: HashSet<&str> = history.calls.iter().map(|call| call.id.as_str()).collect();
    let ran = history.runs.iter().filter(|run| run.ran);
    let changed = ran.filter(|run| {
        !known.contains(run.id.as_str()) || !run.intact || run.organisation != organisation
    });
    changed.map(|run| violation(Guarantee::UnchangedRequest, format!("{run:?}"))).collect()
}

fn check_keys(history: &RunHistory, runs: &HashMap<&str, Vec<&RunRecord>>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (key, at) in &history.revoked {
        let late =
            history.calls.iter().filter(|call| call.key == *key && call.sent_at > at + REVOKE_TIME);
        let ran = late.filter(|call| {
            let runs = runs.get(call.id.as_str());
            runs.is_some_and(|runs| runs.iter().any(|run| run.ran))
        });
        violations.extend(ran.map(|call| {
            let after_ms = (call.sent_at - at) / 1_000;
            let detail =
                format!("{} ran with {key}, sent {after_ms} ms after its removal", call.id);
            violation(Guarantee::RemovedKey, detail)
        }));
    }
    violations
}

/// A leaving replica gets no requests from a relay that is stable when it sends, whatever faults
/// came before: a relay that missed the change must learn of it once it follows the store again.
fn check_leaving_entries(history: &RunHistory) -> Vec<Violation> {
    let relays: HashMap<&str, usize> =
        history.calls.iter().map(|call| (call.id.as_str(), call.relay)).collect();
    let mut violations = Vec::new();
    for (replica, at) in &history.leaving {
        let late = history.runs.iter().filter(|run| {
            let relay = relays.get(run.id.as_str());
            run.replica == *replica
                && run.at > at + DRAIN_TIME
                && history.is_store_stable(*at)
                && relay.is_some_and(|relay| history.is_relay_stable(*relay, run.at))
        });
        violations.extend(late.map(|run| {
            let after_ms = (run.at - at) / 1_000;
            let detail = format!(
                "{} reached {replica} {after_ms} ms after its announcement to leave",
                run.id
            );
            violation(Guarantee::LeavingReplica, detail)
        }));
    }
    violations
}

/// Returns the calls by request id.
fn calls_by_id(history: &RunHistory) -> HashMap<&str, &CallRecord> {
    history.calls.iter().map(|call| (call.id.as_str(), call)).collect()
}

/// Parses the replica's number from its id.
fn replica_number(id: &str) -> usize {
    let number = id.split('-').nth(1).and_then(|number| number.parse().ok());
    number.unwrap_or_else(|| panic!("replica id without a number: {id:?}"))
}

/// Groups the runs by relay and replica.
fn runs_by_relay_and_replica<'a>(
    history: &'a RunHistory,
    calls: &HashMap<&str, &CallRecord>,
) -> BTreeMap<(usize, &'a str), Vec<&'a RunRecord>> {
    let mut grouped: BTreeMap<(usize, &str), Vec<&RunRecord>> = BTreeMap::new();
    for run in &history.runs {
        let Some(call) = calls.get(run.id.as_str()) else { continue };
        grouped.entry((call.relay, run.replica.as_str())).or_default().push(run);
    }
    grouped
}

/// Between [`PROPAGATION_TIME`] after a replica asked a relay for time without requests and the end
/// of that time, at most [`MAX_REQUESTS_IN_BACKOFF`] of the relay's requests arrive. Not checked
/// across a start, stop or pause of the relay or a fault of the link between the two, nor if the
/// relay gave up the request before the replica read it (because the replica was paused): the relay
/// then did not get the response.
fn check_retry_after(history: &RunHistory) -> Vec<Violation> {
    let mut violations = Vec::new();
    let calls = calls_by_id(history);
    for ((relay, replica), runs) in runs_by_relay_and_replica(history, &calls) {
        for rejected in &runs {
            let Some(wait_ms) = rejected.asked else { continue };
            let (from, to) = (rejected.at + PROPAGATION_TIME, rejected.at + wait_ms * 1_000);
            let was_received = rejected.at < calls[rejected.id.as_str()].ended_at;
            let is_excused = !was_received
                || !history.ran_throughout(relay, rejected.at, to)
                || !history.link_was_healthy(replica_number(replica), rejected.at, to);
            let arrived = runs.iter().filter(|run| run.at > from && run.at < to).count();
            if arrived > MAX_REQUESTS_IN_BACKOFF && !is_excused {
                let detail = format!(
                    "{replica} asked relay {relay} for {wait_ms} ms ({}), and got {arrived} requests",
                    rejected.id
                );
                violations.push(violation(Guarantee::RetryAfter, detail));
            }
        }
    }
    violations
}

/// A request that was sent more than [`DRAIN_TIME`] after a relay passed on a response with
/// `Server-Leaving` does not reach that replica through that relay. A start, stop or pause of the
/// relay since then excuses it.
fn check_leaving_notices(history: &RunHistory) -> Vec<Violation> {
    let calls = calls_by_id(history);
    let mut violations = Vec::new();
    for ((relay, replica), runs) in runs_by_relay_and_replica(history, &calls) {
        let announces_leaving = |run: &&&RunRecord| run.leaving && run.ran && run.bad.is_none();
        let passed_on = runs.iter().filter(announces_leaving).filter_map(|run| {
            let call = calls[run.id.as_str()];
            let is_signed =
                matches!(&call.outcome, CallOutcome::Responded(response) if response.signed);
            // A paused replica may read a request that another one has answered meanwhile.
            (is_signed && run.at < call.ended_at).then_some((call.ended_at, run))
        });
        let Some((passed_on_at, notice)) = passed_on.min_by_key(|(ended_at, _)| *ended_at) else {
            continue;
        };
        // A replica that restarted under the same id no longer sends the header.
        let is_late = |run: &&&RunRecord| {
            run.leaving && calls[run.id.as_str()].sent_at > passed_on_at + DRAIN_TIME
        };
        let late = runs.iter().find(is_late);
        if let Some(late) = late.filter(|late| history.ran_throughout(relay, passed_on_at, late.at))
        {
            let after_ms = (calls[late.id.as_str()].sent_at - passed_on_at) / 1_000;
            let detail = format!(
                "{} by relay {relay} reached {replica}, sent {after_ms} ms after the end of {}, \
                 which had arrived there at {} and ended at {passed_on_at}",
                late.id, notice.id, notice.at
            );
            violations.push(violation(Guarantee::LeavingNotice, detail));
        }
    }
    violations
}

/// Time span over which requests are counted against a limit, in microseconds.
const LIMIT_WINDOW: Micros = 4_000_000;

/// Factor by which the requests in one [`LIMIT_WINDOW`] may exceed the limit.
const LIMIT_TOLERANCE: f64 = 1.5;

/// Number of requests that may arrive in one [`LIMIT_WINDOW`] in addition to that.
const LIMIT_ALLOWANCE: f64 = 5.0;

/// From [`SETTLE_TIME`] after a replica first sends a limit, it gets no more requests than the
/// tolerance allows from the relays that passed on a response with a limit at least
/// [`PROPAGATION_TIME`] before. A start, stop or pause of a relay excuses that relay. Time spans in
/// which the replica was paused or its link disrupted are skipped, since delayed requests arrive
/// all at once.
fn check_limits(history: &RunHistory) -> Vec<Violation> {
    let calls = calls_by_id(history);
    let mut replicas: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for run in history.runs.iter().filter(|run| run.bad.is_none()) {
        if calls.contains_key(run.id.as_str()) {
            replicas.entry(&run.replica).or_default().push(run);
        }
    }
    let mut violations = Vec::new();
    for (replica, mut runs) in replicas {
        runs.sort_by_key(|run| run.at);
        violations.extend(check_limit(history, &calls, replica, &runs));
    }
    violations
}

fn check_limit(
    history: &RunHistory,
    calls: &HashMap<&str, &CallRecord>,
    replica: &str,
    runs: &[&RunRecord],
) -> Option<Violation> {
    let relay = |run: &RunRecord| calls[run.id.as_str()].relay;
    let has_limit = |run: &&&RunRecord| run.limit.is_some() && run.ran;
    let counts_against_limit = |index: usize| {
        let run = runs[index];
        let earlier = runs[..index].iter().rev().filter(has_limit);
        let mut known_limits = earlier.filter(|earlier| earlier.at + PROPAGATION_TIME <= run.at);
        let last = known_limits.find(|earlier| relay(earlier) == relay(run));
        last.is_some_and(|last| history.ran_throughout(relay(run), last.at, run.at))
    };
    let mut limited_since = None;
    for (index, run) in runs.iter().enumerate() {
        limited_since = run.limit.and(limited_since.or(Some(run.at)));
        let (from, to) = (run.at, run.at + LIMIT_WINDOW);
        let counts = limited_since.is_some_and(|since| from >= since + SETTLE_TIME);
        if !counts || !history.had_no_delays(replica_number(replica), from, to) {
            continue;
        }
        let window_end = runs.partition_point(|run| run.at < to);
        // Relays know of a lowered limit only after the propagation time.
        let before = runs[..index].iter().rev().find(|run| run.at + PROPAGATION_TIME <= from);
        let limits_in_window =
            before.into_iter().chain(&runs[index..window_end]).map(|run| run.limit);
        let Some(limits) = limits_in_window.collect::<Option<Vec<f64>>>() else { continue };
        let allowed =
            limits.into_iter().fold(0.0, f64::max) * LIMIT_TOLERANCE * 4.0 + LIMIT_ALLOWANCE;
        let arrived = (index..window_end).filter(|index| counts_against_limit(*index)).count();
        if arrived as f64 > allowed {
            let detail =
                format!("{replica} got {arrived} requests in 4 s from {from}, {allowed} allowed");
            return Some(violation(Guarantee::Limit, detail));
        }
    }
    None
}

/// A request that has crashed [`CRASHES_BEFORE_QUARANTINE`] replicas, or a part of prompts that has
/// crashed [`CRASHES_BEFORE_PART_QUARANTINE`], crashes at most
/// [`MAX_LATE_CRASHES`] more after [`SETTLE_TIME`]. Only crashes through stable relays count.
fn check_crash_requests(history: &RunHistory) -> Vec<Violation> {
    let relays: HashMap<&str, usize> =
        history.calls.iter().map(|call| (call.id.as_str(), call.relay)).collect();
    let mut crashes: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for run in &history.runs {
        let name = run.bad.as_deref().into_iter();
        name.for_each(|name| crashes.entry(name).or_default().push(run));
    }
    let mut violations = Vec::new();
    for (name, mut runs) in crashes {
        runs.sort_by_key(|run| run.at);
        let allowed = match name.starts_with(CRASH_PART_PREFIX) {
            true => CRASHES_BEFORE_PART_QUARANTINE,
            false => CRASHES_BEFORE_QUARANTINE,
        };
        let Some(last_allowed) = runs.get(allowed - 1) else { continue };
        let late = runs.iter().filter(|run| {
            let relay = relays.get(run.id.as_str());
            let is_stable = relay.is_some_and(|relay| history.is_relay_stable(*relay, run.at));
            run.at > last_allowed.at + SETTLE_TIME && is_stable
        });
        let late = late.count();
        if late > MAX_LATE_CRASHES {
            let detail = format!("{name} crashed {} replicas, {late} of them late", runs.len());
            violations.push(violation(Guarantee::CrashRequest, detail));
        }
    }
    violations
}

/// Calls of a class, and those of them that were served.
struct ClassCalls {
    class: CallKind,
    calls: usize,
    served: usize,
}

impl ClassCalls {
    /// Counts the calls of a class without those whose key was refused, which no class changes.
    fn count(history: &RunHistory, class: CallKind) -> Self {
        const KEY_REFUSED: u16 = 401;
        let has_key = |call: &&CallRecord| !matches!(&call.outcome, CallOutcome::Responded(response) if response.status == KEY_REFUSED);
        let calls = history.calls.iter().filter(|call| call.kind == class).filter(has_key);
        let calls: Vec<&CallRecord> = calls.collect();
        let served = calls.iter().filter(|call| call.is_served()).count();
        Self { class, calls: calls.len(), served }
    }

    /// Whether the share of served calls is too far below that of a less urgent class. Computed in
    /// integers, so that a difference of exactly the bound is none.
    fn is_behind(&self, other: &Self) -> bool {
        let allowed = MAX_CLASS_DEFICIT_PERCENT * self.calls * other.calls;
        other.served * self.calls * 100 > self.served * other.calls * 100 + allowed
    }
}

/// Compares the shares of served calls of each two classes that have enough calls.
fn check_classes(history: &RunHistory) -> Vec<Violation> {
    let classes = CallKind::CLASSES.map(|class| ClassCalls::count(history, class));
    let compared: Vec<&ClassCalls> =
        classes.iter().filter(|class| class.calls >= MIN_CLASS_CALLS).collect();
    let mut violations = Vec::new();
    for (index, urgent) in compared.iter().enumerate() {
        for other in compared[index + 1..].iter().filter(|other| urgent.is_behind(other)) {
            let describe = |class: &ClassCalls| {
                format!("{:?} was served in {} of {} calls", class.class, class.served, class.calls)
            };
            let detail = format!("{}, {}", describe(urgent), describe(other));
            violations.push(violation(Guarantee::ClassOrder, detail));
        }
    }
    violations
}

/// Seconds after the return of everything within which as many calls must be served as before.
pub const RECOVERY_SECONDS: usize = 3;

/// From [`RECOVERY_SECONDS`] on, each second's share of served calls is at least three quarters of
/// that before a loss. `before` and the elements of `after` are numbers of calls and of served ones.
pub fn check_recovery(before: (usize, usize), after: &[(usize, usize)]) -> Option<Violation> {
    let (calls_before, served_before) = before;
    let is_below = |(calls, served): &(usize, usize)| {
        4 * served * calls_before < 3 * served_before * calls || *calls == 0
    };
    if served_before == 0 {
        return Some(violation(Guarantee::Recovery, "no call was served before the loss"));
    }
    let late = after.iter().enumerate().skip(RECOVERY_SECONDS).find(|(_, second)| is_below(second));
    let describe = |(second, (calls, served)): (usize, &(usize, usize))| {
        format!(
            "{served} of {calls} served {second} s after the return, {served_before} of \
             {calls_before} before"
        )
    };
    late.map(|late| violation(Guarantee::Recovery, describe(late)))
}

/// Seconds after the return of everything, and the share of the former service in percent that is
/// served from then on although all engines came back without layers.
pub const LOAD_RECOVERY: [(usize, usize); 2] = [(5, 50), (8, 90)];

/// From each time of [`LOAD_RECOVERY`] on, at least its share of the calls served in a second before is
/// served in each second, or of the share of calls that was served: refused callers call more often,
/// and the number of calls varies. `before` are the calls of `seconds_before` and those of them that
/// were served, `after` the same of each second.
pub fn check_load_recovery(
    before: (usize, usize),
    seconds_before: usize,
    after: &[(usize, usize)],
) -> Option<Violation> {
    let (calls_before, served_before) = before;
    if served_before == 0 {
        return Some(violation(Guarantee::Recovery, "no call was served before the loss"));
    }
    let is_below = |(calls, served): &(usize, usize), percent: usize| {
        let is_rare = served * seconds_before * 100 < served_before * percent;
        let is_smaller = served * calls_before * 100 < served_before * calls * percent;
        is_rare && (is_smaller || *calls == 0)
    };
    let late = LOAD_RECOVERY.iter().find_map(|(from, percent)| {
        let mut seconds = after.iter().enumerate().skip(*from);
        seconds.find(|(_, second)| is_below(second, *percent))
    });
    let describe = |(second, (calls, served)): (usize, &(usize, usize))| {
        format!(
            "{served} of {calls} served {second} s after the return, {served_before} of \
             {calls_before} before"
        )
    };
    late.map(|late| violation(Guarantee::Recovery, describe(late)))
}

/// In each second of a crowd the share of requests that are served at the first attempt which was read
/// is at least three quarters of that before. A second with few requests does not count.
pub fn check_crowd(before: (usize, usize), during: &[(usize, usize)]) -> Option<Violation> {
    const MIN_REQUESTS: usize = 20;
    let (calls_before, served_before) = before;
    if served_before == 0 {
        return Some(violation(Guarantee::Crowd, "no request was served before the crowd"));
    }
    let is_below = |(calls, served): &&(usize, usize)| {
        *calls >= MIN_REQUESTS && 4 * served * calls_before < 3 * served_before * calls
    };
    let late: Vec<String> = during
        .iter()
        .filter(is_below)
        .map(|(calls, served)| format!("{served} of {calls}"))
        .collect();
    let detail =
        || format!("{} in a second, {served_before} of {calls_before} before", late.join(", "));
    (!late.is_empty()).then(|| violation(Guarantee::Crowd, detail()))
}

fn check_processes(history: &RunHistory) -> Vec<Violation> {
    let exits = history
        .unexpected_exits
        .iter()
        .map(|exit| violation(Guarantee::ProcessExit, exit.as_str()));
    let over_limit = history.memory_kb.iter().filter(|kb| **kb > MAX_MEMORY_KB);
    let over_limit = over_limit
        .map(|kb| violation(Guarantee::Memory, format!("a relay uses {kb} KB of memory")));
    let (calls, served) = history.after_faults;
    let not_recovered = calls > 0 && served * 4 < calls;
    let not_recovered = not_recovered
        .then(|| violation(Guarantee::Recovery, format!("{served} of {calls} served")));
    let unattended = history.longest_unattended.iter().filter(|(_, time)| **time >= CONTACT_TIME);
    let unattended = unattended.map(|(relay, _)| {
        violation(Guarantee::Attendance, format!("relay {relay} is ready and does not respond"))
    });
    exits.chain(over_limit).chain(unattended).chain(not_recovered).collect()
}
