//! Checks that a request which was read whole has an end that its caller can see, and that the
//! silence of a sound replica ends none.

use std::collections::HashMap;

use crate::{
    checks::{Guarantee, Violation},
    cluster::GRACE_PERIOD_S,
    config::ROUTE_TIMEOUT_MS,
    record::{
        CallOutcome, CallRecord, CallResponse, DisruptionKind, Micros, PATIENCE, RunHistory,
        RunRecord,
    },
};

/// Time after the last byte of a request within which a connection may end without an answer, if no
/// replica got the request: it may have been on its way when the relay closed the connection.
const LOSS_SLACK: Micros = 500_000;

/// Time by which the pause that a caller sees may exceed the silence of the replica: what the
/// replica and the relay need to continue.
const RESUME_TIME: Micros = 300_000;

/// Time from the start of a call in which its deadline and the time-out of its route have surely not
/// been reached.
const MIN_DEADLINE: Micros = ROUTE_TIMEOUT_MS * 1_000 * 19 / 20;

/// Time from the beginning of a planned stop from which responses may be cut, if the replica is
/// still at work: the last sixth of the grace period.
const STOP_CUT_TIME: Micros = GRACE_PERIOD_S * 1_000_000 * 5 / 6;

/// Statuses of a relay that cannot tell how a request ended, or that gave it up.
const GIVEN_UP: [u16; 2] = [502, 504];

/// Checks the ends of the calls during which every replica was sound.
pub(crate) fn check_ends(
    history: &RunHistory,
    runs: &HashMap<&str, Vec<&RunRecord>>,
) -> Vec<Violation> {
    let sound = history.calls.iter().filter(|call| {
        call.ended_at < call.sent_at + MIN_DEADLINE
            && history.all_were_sound(call.sent_at, call.ended_at)
            && !is_cut_by_stop(history, call)
    });
    sound
        .filter_map(|call| {
            let runs = runs.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
            check_visible_end(history, call, runs).or_else(|| check_silence(history, call, runs))
        })
        .collect()
}

/// Whether a call ended when the grace period of its relay had almost passed.
fn is_cut_by_stop(history: &RunHistory, call: &CallRecord) -> bool {
    history.disruptions.iter().any(|stop| {
        stop.kind == DisruptionKind::PlannedStop(call.relay)
            && (stop.from + STOP_CUT_TIME..=stop.to).contains(&call.ended_at)
    })
}

fn is_stopping(history: &RunHistory, call: &CallRecord) -> bool {
    history.disruptions.iter().any(|stop| {
        stop.kind == DisruptionKind::PlannedStop(call.relay)
            && stop.from <= call.ended_at
            && call.sent_at <= stop.to
    })
}

fn violation(guarantee: Guarantee, call: &CallRecord, runs: &[&RunRecord], end: &str) -> Violation {
    let ran_at: Vec<&str> = runs.iter().map(|run| run.replica.as_str()).collect();
    let detail = format!(
        "{} ({:?}) {end} after {} ms, ran at {ran_at:?}, idle for {:?}, sent in {} ms, silence {:?}",
        call.id,
        call.kind,
        (call.ended_at - call.sent_at) / 1_000,
        call.reused_after,
        call.timing.sending / 1_000,
        call.timing.silence,
    );
    Violation { guarantee, detail }
}

/// A request that was read whole ends neither with a closed connection nor with an aborted body.
fn check_visible_end(
    history: &RunHistory,
    call: &CallRecord,
    runs: &[&RunRecord],
) -> Option<Violation> {
    let report = |end| Some(violation(Guarantee::VisibleEnd, call, runs, end));
    match &call.outcome {
        CallOutcome::NoResponse => {
            let was_sent_on = !runs.is_empty();
            let is_late = call.ended_at > call.sent_at + call.timing.sending + LOSS_SLACK;
            let is_within_limits = call.timing.sending > 0
                && !is_stopping(history, call)
                && rested_within_limit(history, call);
            (was_sent_on || is_late || is_within_limits).then_some(())?;
            report("got no response")
        }
        CallOutcome::Responded(response)
            if !response.complete && !history.cuts.contains(&call.id) =>
        {
            report("was aborted")
        }
        _ => None,
    }
}

/// Whether the connection of a call had rested for at most four fifths of every limit that may have
/// been in force.
fn rested_within_limit(history: &RunHistory, call: &CallRecord) -> bool {
    call.reused_after.is_none_or(|rested| {
        let from = call.sent_at.saturating_sub(rested);
        rested <= history.idle_limit_between(from, call.sent_at) * 4 / 5
    })
}

/// One silence that is shorter than the caller's patience ends no request, whatever the relay does
/// meanwhile.
fn check_silence(
    history: &RunHistory,
    call: &CallRecord,
    runs: &[&RunRecord],
) -> Option<Violation> {
    // A request whose key is removed meanwhile is not sent again, so that its end may stay unknown.
    let has_lost_key = history.had_lost_key(call);
    let silences = silences(history, call, runs);
    let [silence] = silences[..] else { return None };
    let is_short = silence + RESUME_TIME < PATIENCE.as_micros() as Micros;
    match &call.outcome {
        CallOutcome::Left if is_short => {
            Some(violation(Guarantee::Silence, call, runs, "was left by its caller"))
        }
        CallOutcome::Responded(CallResponse { status, signed: false, .. })
            if GIVEN_UP.contains(status) && !has_lost_key =>
        {
            Some(violation(Guarantee::Silence, call, runs, &format!("got status {status}")))
        }
        _ => None,
    }
}

/// Returns the durations of the silences that a call met at the replicas which it was first sent to.
fn silences(history: &RunHistory, call: &CallRecord, runs: &[&RunRecord]) -> Vec<Micros> {
    let Some(first) = runs.iter().min_by_key(|run| run.at) else { return Vec::new() };
    let path = first.path.split(',').filter_map(|stage| Some(stage.split_once('=')?.0));
    let by_address = |address| history.addresses.iter().position(|known| known == address);
    let mut numbers: Vec<usize> = path.filter_map(by_address).collect();
    numbers.extend(first.replica.split('-').nth(1).and_then(|number| number.parse::<usize>().ok()));
    numbers.sort_unstable();
    numbers.dedup();
    let met = history.disruptions.iter().filter(|disruption| {
        matches!(disruption.kind, DisruptionKind::ReplicaSilence(number) if numbers.contains(&number))
            && disruption.from <= call.ended_at
            && call.sent_at.saturating_sub(RESUME_TIME) <= disruption.to
    });
    let met = met.map(|disruption| disruption.to - disruption.from);
    met.chain(call.timing.silence).collect()
}

/// Whether a call counts as in time: by its first event and its longest pause for streams, and by
/// its whole response otherwise.
pub fn is_in_time(call: &CallRecord) -> bool {
    const MAX_FIRST_EVENT: Micros = 500_000;
    const MAX_PAUSE: Micros = 200_000;
    const MAX_RESPONSE: Micros = 300_000;
    let max_first = if call.kind.is_stream() { MAX_FIRST_EVENT } else { MAX_RESPONSE };
    call.is_served()
        && call.timing.first_event.is_some_and(|first| first <= max_first)
        && (!call.kind.is_stream() || call.timing.longest_pause <= MAX_PAUSE)
}
