//! Probes: whether a replica is there, and when its silence proves that it is not.
//!
//! A probe asks twice, and is over after a tenth of a second. A relay that is late itself cannot tell a
//! silent replica from its own standing still: questions end late together then, some of them later than
//! others. So replicas without an answer are counted together, whatever made each of them end.

use std::{fmt::Display, time::Duration};

use tokio::time::{Instant, timeout};

/// Time that each of a probe's two questions waits for an answer: fifty times what a link takes, and a
/// quarter of the usual longest pause between events, so that a stream can go on elsewhere in time.
pub const PROBE_TIME: Duration = Duration::from_millis(50);

/// Lateness of a probe's own timer from which its silence proves nothing: this process stood still.
const PROBE_LATE: Duration = Duration::from_millis(10);

/// Of replicas probed together, one in so many may be without an answer, and one in any case: where more
/// are, this process or its link is slow, and their silence proves nothing.
const SILENT_ONE_IN: usize = 4;

/// What a probe of a replica showed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// It answered.
    Reached,
    /// Its connection failed.
    Refused(String),
    /// It said nothing.
    Silent,
    /// It said nothing, and this process was late itself.
    Unclear,
}

/// Whether the silence of replicas that were probed together proves that they are lost. Those whose
/// probes ended unclear count as silent here: counted by themselves, a relay that was late during some of the
/// questions took the one or two others for lost, and moved streams off replicas that were well.
pub fn silence_is_conclusive(ends: &[ProbeOutcome]) -> bool {
    let unanswered = ends
        .iter()
        .filter(|end| matches!(end, ProbeOutcome::Silent | ProbeOutcome::Unclear))
        .count();
    unanswered <= (ends.len() / SILENT_ONE_IN).max(1)
}

/// Asks once, and again over a new connection where no answer came: a lost packet is sent again only
/// after 200 ms, and a kept connection may be dead alone. `ask` is told whether the connection is to be new.
pub async fn probe_with_retry<E: Display>(
    ask: impl AsyncFn(bool) -> Result<(), E>,
) -> ProbeOutcome {
    match ask_once(ask(false)).await {
        ProbeOutcome::Reached => ProbeOutcome::Reached,
        _ => ask_once(ask(true)).await,
    }
}

async fn ask_once<E: Display>(asking: impl Future<Output = Result<(), E>>) -> ProbeOutcome {
    let begun = Instant::now();
    match timeout(PROBE_TIME, asking).await {
        Ok(Ok(())) => ProbeOutcome::Reached,
        Ok(Err(error)) => ProbeOutcome::Refused(error.to_string()),
        Err(_) if begun.elapsed() > PROBE_TIME + PROBE_LATE => ProbeOutcome::Unclear,
        Err(_) => ProbeOutcome::Silent,
    }
}
