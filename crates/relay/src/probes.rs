//! Probes: whether a replica is reachable, and when its silence proves that it is lost.
//!
//! A probe makes up to two requests and ends within 100 ms. If this process itself was delayed, it
//! cannot tell a silent replica from its own pause: requests then time out together, some of them
//! later than others. The replicas probed together are therefore judged together, and every one
//! without a response counts as silent, however its probe ended.

use std::{fmt::Display, time::Duration};

use tokio::time::{Instant, timeout};

/// Timeout of each of the two requests of a probe: fifty times the delay of a link, and a quarter
/// of the usual limit for the pause between events, so that a stream can continue elsewhere in
/// time.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// Delay of the probe's own timer beyond which its silence proves nothing, since this process was
/// paused.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(10);

/// At most one in this many of the replicas probed together may be silent for their silence to
/// prove anything; a single silent one always may. If more are silent, this process or its link is
/// slow.
const MAX_SILENT_ONE_IN: usize = 4;

/// The result of probing a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The replica responded.
    Reached,
    /// The connection failed, with this error.
    Refused(String),
    /// The replica did not respond.
    Silent,
    /// The replica did not respond, but this process was delayed as well.
    Unclear,
}

/// Returns whether the silence of replicas that were probed together proves that they are lost.
/// Unclear outcomes count as silent here. Otherwise a relay that was delayed during some of the
/// requests would take the one or two other silent replicas for lost, and move streams away from
/// healthy replicas.
pub fn silence_is_conclusive(outcomes: &[ProbeOutcome]) -> bool {
    let silent = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, ProbeOutcome::Silent | ProbeOutcome::Unclear))
        .count();
    silent <= (outcomes.len() / MAX_SILENT_ONE_IN).max(1)
}

/// Probes a replica, and if that fails, probes it again over a new connection: a lost packet is
/// retransmitted only after 200 ms, and a pooled connection may be dead although the replica is
/// not. `send` makes one request; its argument says whether to open a new connection.
pub async fn probe_with_retry<E: Display>(
    send: impl AsyncFn(bool) -> Result<(), E>,
) -> ProbeOutcome {
    match probe_once(send(false)).await {
        ProbeOutcome::Reached => ProbeOutcome::Reached,
        _ => probe_once(send(true)).await,
    }
}

async fn probe_once<E: Display>(request: impl Future<Output = Result<(), E>>) -> ProbeOutcome {
    let started = Instant::now();
    match timeout(PROBE_TIMEOUT, request).await {
        Ok(Ok(())) => ProbeOutcome::Reached,
        Ok(Err(error)) => ProbeOutcome::Refused(error.to_string()),
        Err(_) if started.elapsed() > PROBE_TIMEOUT + MAX_TIMER_DELAY => ProbeOutcome::Unclear,
        Err(_) => ProbeOutcome::Silent,
    }
}
