//! Collects the log lines of each attempt, and finds the cause of its outcome.

use crate::logs::{LogLine, millis_of_day};

/// Objective for the time to the response's head, if the `dispatch` line has none, in milliseconds.
const DEFAULT_OBJECTIVE_MS: u64 = 500;

/// Longest allowed pause between events, if the `dispatch` line has none, in milliseconds.
const DEFAULT_GAP_MS: u64 = 200;

/// Share of the objective, in percent, from which waiting for capacity is the cause of a late
/// response.
const LONG_WAIT_PERCENT: u64 = 40;

/// Data of one attempt, collected from its log lines.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptSummary {
    /// Time of its first log line, in milliseconds since midnight.
    pub(super) began_at: u64,
    /// Name of the process that wrote its first log line.
    pub(super) source: String,
    pub(super) route: Option<String>,
    pub(super) organisation: Option<String>,
    pub(super) rank: Option<u64>,
    refusal: Option<String>,
    stream_broken: bool,
    status: Option<u64>,
    head_ms: Option<u64>,
    longest_pause_ms: Option<u64>,
    waited_ms: Option<u64>,
    objective_ms: Option<u64>,
    gap_ms: Option<u64>,
    failed_attempts: u32,
    is_stream: bool,
    resumed: bool,
    path_changed: bool,
}

impl AttemptSummary {
    /// Starts the summary of an attempt whose first log line is `line`.
    pub(super) fn starting_with(line: &LogLine) -> Self {
        let began_at = millis_of_day(&line.time);
        Self { began_at, source: line.source.clone(), ..Self::default() }
    }

    /// Takes in a log line of the attempt.
    pub(super) fn record(&mut self, line: &LogLine) {
        let text = |name: &str| line.text(name).map(str::to_owned);
        self.route = self.route.take().or_else(|| text("route"));
        self.organisation = self.organisation.take().or_else(|| text("organisation"));
        self.rank = self.rank.or_else(|| line.number("rank"));
        match line.event.as_str() {
            "dispatch" => {
                self.waited_ms = self.waited_ms.or(line.number("waited_ms"));
                self.objective_ms = line.number("objective");
                self.gap_ms = line.number("gap");
                self.is_stream |= line.text("path").is_some();
            }
            "attempt-failed" => self.failed_attempts += 1,
            "refused" => self.refusal = line.text("reason").map(str::to_owned),
            "answered" => {
                self.status = line.number("status");
                self.head_ms = line.number("took_ms");
            }
            "stream-ended" => self.longest_pause_ms = line.number("longest_pause_ms"),
            "stream-broken" => self.stream_broken = true,
            "stream-resumed" => self.resumed = true,
            "repath" => self.path_changed = true,
            _ => {}
        }
    }
}

/// Returns the cause of an attempt's outcome.
pub(super) fn cause_of(summary: &AttemptSummary) -> String {
    if let Some(reason) = &summary.refusal {
        return format!("refused: {reason}");
    }
    if summary.stream_broken {
        return "stream broken".to_owned();
    }
    let (Some(status), Some(head_ms)) = (summary.status, summary.head_ms) else {
        return "no answer: the caller left, or the relay ended".to_owned();
    };
    if status >= 400 {
        return format!("answered with status {status}");
    }
    if summary.is_stream && summary.longest_pause_ms.is_none() {
        return "stream not ended: the caller left, or the relay ended".to_owned();
    }
    let objective_ms = summary.objective_ms.unwrap_or(DEFAULT_OBJECTIVE_MS);
    let waited_long = summary.waited_ms.unwrap_or(0) * 100 >= objective_ms * LONG_WAIT_PERCENT;
    if head_ms > objective_ms {
        return match summary.failed_attempts {
            0 if waited_long => "late: waited for room",
            0 => "late: slow to begin",
            _ => "late: after a failed attempt",
        }
        .to_owned();
    }
    if summary.longest_pause_ms.unwrap_or(0) > summary.gap_ms.unwrap_or(DEFAULT_GAP_MS) {
        return match (summary.resumed, summary.path_changed) {
            (true, _) => "pause: taken up at another replica",
            (false, true) => "pause: moved to another path",
            (false, false) => "pause: slow engines",
        }
        .to_owned();
    }
    IN_TIME.to_owned()
}

/// Cause of attempts that were served in time.
pub(super) const IN_TIME: &str = "in time";
