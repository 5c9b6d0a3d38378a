//! What callers and replicas recorded.
//!
//! Times are in microseconds since the Unix epoch. All processes of a soak run on one machine and
//! share its clock.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Microseconds since the Unix epoch, or a time span in microseconds.
pub type Micros = u64;

/// Kind of a call, which is the kind of its route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallKind {
    /// Idempotent: may run any number of times.
    Safe,
    /// Not idempotent: runs at most once.
    Once,
    /// A stream that may be resumed at another replica.
    Stream,
    /// A stream that runs at most once.
    StreamOnce,
    /// A stream that may be resumed, and that outlives most of a relay's planned stop.
    LongStream,
    /// Not idempotent, and takes seconds.
    SlowOnce,
    /// Idempotent; its route is moved between two services, and split.
    Moved,
    /// A stream of a class, that may be resumed. Classes compete for the same engines; 0 is the most
    /// urgent.
    Class(u8),
}

/// Path prefixes of the routes of the classes, the most urgent first.
const CLASS_PREFIXES: [&str; 3] = ["/class-0/", "/class-1/", "/class-2/"];

impl CallKind {
    /// The kinds without a class.
    pub const ALL: [Self; 4] = [Self::Safe, Self::Once, Self::Stream, Self::StreamOnce];

    /// The kinds of callers that send the next request the moment a long stream ends.
    pub const REUSING: [Self; 2] = [Self::LongStream, Self::Safe];

    /// The kinds of callers while sound replicas are silent.
    pub const SILENCE: [Self; 7] = [
        Self::Safe,
        Self::Moved,
        Self::Once,
        Self::Stream,
        Self::StreamOnce,
        Self::LongStream,
        Self::Class(1),
    ];

    /// The classes, the most urgent first.
    pub const CLASSES: [Self; CLASS_PREFIXES.len()] =
        [Self::Class(0), Self::Class(1), Self::Class(2)];

    /// Path prefix of the route.
    ///
    /// # Panics
    ///
    /// Panics if there is no such class.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Safe => "/safe/",
            Self::Once => "/once/",
            Self::Stream => "/stream/",
            Self::StreamOnce => "/stream-once/",
            Self::LongStream => "/long-stream/",
            Self::SlowOnce => "/slow-once/",
            Self::Moved => "/moved/",
            Self::Class(number) => CLASS_PREFIXES[usize::from(number)],
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::StreamOnce | Self::LongStream | Self::Class(_))
    }

    /// Whether a request may run at most once.
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Once | Self::StreamOnce | Self::SlowOnce)
    }
}

/// Outcome of a call for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The connection could not be opened.
    NotConnected,
    /// The connection was closed without a response, or the call timed out.
    NoResponse,
    /// The caller left, since no event of a stream had come for [`PATIENCE`].
    Left,
    /// A response arrived, completely or in part.
    Responded(CallResponse),
}

/// Time without an event after which a patient caller leaves a stream.
pub const PATIENCE: Duration = Duration::from_secs(2);

/// When the parts of a call were sent and received.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallTiming {
    /// Time from the sending of the request's first byte to that of its last one.
    pub sending: Micros,
    /// Time from the sending of the request to the first event, or to the whole response.
    pub first_event: Option<Micros>,
    /// Longest pause between two parts of the response.
    pub longest_pause: Micros,
    /// Duration of the silence within the response that the caller asked the replica for.
    pub silence: Option<Micros>,
}

/// The received part of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Whether it carries a replica's signature.
    pub signed: bool,
    /// Whether its body was received completely.
    pub complete: bool,
    /// Received part of the body.
    pub body: String,
    /// Time after which the caller is told to come back.
    pub retry_after: Option<Duration>,
}

/// A call, as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Request id.
    pub id: String,
    /// Kind of the call.
    pub kind: CallKind,
    /// Key that the request was sent with.
    pub key: String,
    /// Number of the relay that it was sent to.
    pub relay: usize,
    /// Time of sending.
    pub sent_at: Micros,
    /// Time of the outcome.
    pub ended_at: Micros,
    /// Outcome.
    pub outcome: CallOutcome,
    /// Time for which its connection had been idle; `None` if the connection was new.
    pub reused_after: Option<Micros>,
    /// Times within the call.
    pub timing: CallTiming,
}

impl CallRecord {
    /// Whether the caller got a replica's complete response.
    pub fn is_served(&self) -> bool {
        matches!(&self.outcome, CallOutcome::Responded(response) if response.signed && response.complete)
    }
}

/// A request as a replica saw it. The replica writes it as a line of JSON before it responds.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunRecord {
    /// Request id.
    pub id: String,
    /// Id of the replica instance.
    pub replica: String,
    /// Whether the replica ran it; otherwise the replica rejected it.
    pub ran: bool,
    /// Whether method, path and body are as the caller sent them.
    pub intact: bool,
    /// Organisation that the relay forwarded it for.
    pub organisation: String,
    /// Path of replicas that the relay sent it over, as in the header `Path`; empty at plain
    /// services.
    #[serde(default)]
    pub path: String,
    /// Time of arrival.
    pub at: Micros,
    /// Name of the request, if it crashed the replica.
    #[serde(default)]
    pub bad: Option<String>,
    /// Milliseconds without requests that the replica asked for when it rejected this one; `None`
    /// if it asked for none or the header was malformed.
    #[serde(default)]
    pub asked: Option<u64>,
    /// Whether the response has the header `Server-Leaving`.
    #[serde(default)]
    pub leaving: bool,
    /// Limit in the response: the requests a second that the replica accepts from all relays
    /// together.
    #[serde(default)]
    pub limit: Option<f64>,
}

/// Kind of a disruption.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DisruptionKind {
    /// Planned stop of a relay, by number.
    PlannedStop(usize),
    /// Other planned work: a change of the configuration, or a replica that leaves.
    PlannedWork,
    /// Crash of a replica by a request.
    ReplicaCrash,
    /// Fault of a relay or of its link to the store, by relay number.
    RelayFault(usize),
    /// Fault of the link to a replica, by replica number. Recorded in addition to another kind.
    LinkFault(usize),
    /// Pause of a replica, by number. Recorded in addition to another kind.
    ReplicaPause(usize),
    /// Silence of a sound replica, by number.
    ReplicaSilence(usize),
    /// Fault of the store.
    StoreFault,
    /// Any other fault.
    Fault,
}

impl DisruptionKind {
    /// Whether it is a fault of any kind, and not planned work.
    pub fn is_fault(self) -> bool {
        !matches!(self, Self::PlannedStop(_) | Self::PlannedWork)
    }

    /// Whether it makes the store unreliable.
    fn affects_store(self) -> bool {
        matches!(self, Self::StoreFault | Self::Fault)
    }

    /// Whether it makes a relay, its link to the store, or the store unreliable.
    fn affects_relay(self, relay: usize) -> bool {
        self.affects_store() || [Self::RelayFault(relay), Self::PlannedStop(relay)].contains(&self)
    }
}

/// A disruption with its time span.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    /// Kind.
    pub kind: DisruptionKind,
    /// Time of the beginning.
    pub from: Micros,
    /// Time of the end.
    pub to: Micros,
}

/// Everything that was recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct RunHistory {
    /// Calls, as callers saw them.
    pub calls: Vec<CallRecord>,
    /// Requests, as replicas saw them.
    pub runs: Vec<RunRecord>,
    /// Removed keys, with the time at which the removal was in the store.
    pub revoked: Vec<(String, Micros)>,
    /// Ids of replicas that announced in the store that they are leaving, with the time at which
    /// the announcement was in the store.
    pub leaving: Vec<(String, Micros)>,
    /// Faults and planned work.
    pub disruptions: Vec<Disruption>,
    /// Time span in which sound replicas fall silent, and no faults are injected.
    pub silence_span: Option<(Micros, Micros)>,
    /// Ids of the requests whose stream a replica cut, since another one of its path stalled it.
    pub cuts: HashSet<String>,
    /// Addresses of the replicas, by number.
    pub addresses: Vec<String>,
    /// Idle limits of callers' connections in microseconds, with the time of their writing.
    pub idle_limits: Vec<(Micros, Micros)>,
    /// Processes that exited unexpectedly, or did not exit after a signal to stop.
    pub unexpected_exits: Vec<String>,
    /// Longest time in which a relay that was ready throughout left connections without a response, by
    /// relay.
    pub longest_unattended: BTreeMap<usize, Duration>,
    /// Resident memory of each relay at the end, in KB.
    pub memory_kb: Vec<u64>,
    /// Number of calls made after all faults were over, and of those that were served.
    pub after_faults: (usize, usize),
}

impl RunHistory {
    /// Whether no fault occurred in a time span or within [`SETTLE_TIME`] before it. Planned work
    /// may have.
    pub fn is_free_of_faults(&self, from: Micros, to: Micros) -> bool {
        !self.any_near(from, to, DisruptionKind::is_fault)
    }

    /// Whether the key of a call was removed before the call had ended.
    pub fn had_lost_key(&self, call: &CallRecord) -> bool {
        self.revoked.iter().any(|(key, at)| *key == call.key && *at <= call.ended_at)
    }

    /// Whether the store had no fault at that time or within [`SETTLE_TIME`] before it.
    pub fn is_store_stable(&self, at: Micros) -> bool {
        !self.any_near(at, at, DisruptionKind::affects_store)
    }

    /// Whether the store, a relay and its link to the store had no fault, and the relay no planned
    /// stop, at that time or within [`SETTLE_TIME`] before it.
    pub fn is_relay_stable(&self, relay: usize, at: Micros) -> bool {
        !self.any_near(at, at, |kind| kind.affects_relay(relay))
    }

    /// Whether a relay ran throughout a time span, without a start, a stop or a pause.
    pub fn ran_throughout(&self, relay: usize, from: Micros, to: Micros) -> bool {
        let counts = |kind| {
            [DisruptionKind::RelayFault(relay), DisruptionKind::PlannedStop(relay)].contains(&kind)
        };
        !self.any_between(from, to, counts)
    }

    /// Whether a relay had no fault in a time span or within [`SETTLE_TIME`] before it, and no planned
    /// stop of it began longer than `stop_time` before the span.
    pub fn was_serving(&self, relay: usize, from: Micros, to: Micros, stop_time: Micros) -> bool {
        let is_late = |stop: &Disruption| {
            stop.kind == DisruptionKind::PlannedStop(relay)
                && stop.from + stop_time < from
                && from <= stop.to
        };
        !self.any_near(from, to, |kind| kind == DisruptionKind::RelayFault(relay))
            && !self.disruptions.iter().any(is_late)
    }

    /// Whether the link to a replica had no fault in a time span.
    pub fn link_was_healthy(&self, replica: usize, from: Micros, to: Micros) -> bool {
        !self.any_between(from, to, |kind| kind == DisruptionKind::LinkFault(replica))
    }

    /// Whether requests reached a replica without delay in a time span. Requests that are delayed
    /// by a fault of the link or a pause arrive all at once after it, so that [`SETTLE_TIME`]
    /// before the time span is included.
    pub fn had_no_delays(&self, replica: usize, from: Micros, to: Micros) -> bool {
        let delaying = [
            DisruptionKind::LinkFault(replica),
            DisruptionKind::ReplicaPause(replica),
            DisruptionKind::ReplicaSilence(replica),
        ];
        !self.any_between(from.saturating_sub(SETTLE_TIME), to, |kind| delaying.contains(&kind))
    }

    /// The lowest idle limit of callers' connections that was in force in [`SETTLE_TIME`] before a
    /// time.
    pub fn idle_limit(&self, at: Micros) -> Micros {
        self.idle_limit_between(at, at)
    }

    /// The lowest idle limit that was in force in a time span or in [`SETTLE_TIME`] before it.
    pub fn idle_limit_between(&self, from: Micros, to: Micros) -> Micros {
        let from = from.saturating_sub(SETTLE_TIME);
        let written = self.idle_limits.iter().filter(|(at, _)| *at <= to);
        let last_before = written.clone().rev().find(|(at, _)| *at <= from);
        let in_force = written.filter(|(at, _)| *at > from).chain(last_before);
        in_force.map(|(_, limit)| *limit).min().unwrap_or_default()
    }

    /// Whether a time span belongs to the one in which sound replicas fall silent, and all replicas,
    /// links and relays were sound in it and for [`SETTLE_TIME`] before it.
    pub fn all_were_sound(&self, from: Micros, to: Micros) -> bool {
        let is_silence = |kind| matches!(kind, DisruptionKind::ReplicaSilence(_));
        self.silence_span.is_some_and(|(begin, end)| begin <= from && to <= end)
            && !self.any_near(from, to, |kind| kind.is_fault() && !is_silence(kind))
    }

    fn any_between(
        &self,
        from: Micros,
        to: Micros,
        counts: impl Fn(DisruptionKind) -> bool,
    ) -> bool {
        let mut counted = self.disruptions.iter().filter(|disruption| counts(disruption.kind));
        counted.any(|disruption| disruption.from <= to && from <= disruption.to)
    }

    fn any_near(&self, from: Micros, to: Micros, counts: impl Fn(DisruptionKind) -> bool) -> bool {
        let counted = self.disruptions.iter().filter(|disruption| counts(disruption.kind));
        let mut near = counted
            .filter(|disruption| disruption.from <= to && from <= disruption.to + SETTLE_TIME);
        near.next().is_some()
    }
}

/// Time after a fault in which guarantees with a time bound are not checked, in microseconds.
pub const SETTLE_TIME: Micros = 3_000_000;
