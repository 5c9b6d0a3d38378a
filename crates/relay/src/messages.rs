//! Messages between relays, and their format on the wire.
//!
//! Messages are datagrams in the postcard format, which is compact: traffic between data centres is
//! charged by the byte. The first byte is the version of the format. Datagrams of another version
//! are dropped, so that two versions can run side by side.
//!
//! The format is positional: the order of fields and variants is part of it, their names are not.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use switchfold_router::{
    Millis,
    fingerprint::{FINGERPRINT_BYTES, RequestFingerprint},
    fleet::{EntryState, LayerRange, ReplicaEntry, ReplicaUpdate},
    grants::GrantRequest,
    instance::ReplicaInstance,
    issuer::IssuedGrants,
    limits::LimitReport,
    membership::{PeerStamp, ReportKind},
    quarantine::{CrashEvidence, CrashReport, CrashRun},
};

/// Version of the wire format, written as the first byte of each datagram.
const FORM: u8 = 8;

/// A message from one relay to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// State of the sender, sent regularly.
    State(Box<StateMessage>),
    /// Replicas that changed, sent at once within a data centre.
    Fleet(FleetMessage),
    /// Requests for grants, to the relay that coordinates the limits.
    #[serde(rename = "Asks")]
    GrantRequests(GrantRequestMessage),
    /// Grants from that relay.
    Grants(GrantMessage),
    /// Request for a loan of retries.
    LoanRequest(LoanMessage),
    /// Loan of retries.
    Loan(LoanMessage),
    /// Replicas whose entries did not reappear after an outage of the store. A relay that drops it
    /// as unknown learns of the same removals from its next list.
    Expiry(FleetMessage),
}

/// Request for a loan of retries, or the loan that answers it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoanMessage {
    /// Name of the sender.
    pub name: String,
    /// Service whose requests are retried.
    pub service: String,
    /// Incarnation of the relay that asks, and time of its request by its clock.
    pub stamp: (u32, Millis),
    /// Millionths of a retry that are asked for or lent.
    pub millionths: u32,
}

/// State of a relay.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StateMessage {
    /// Name of the sender.
    pub name: String,
    /// Data centre of the sender.
    pub data_centre: String,
    /// Incarnation of the sender and time by its clock, for the receiver to echo.
    pub stamp: (u32, Millis),
    /// Newest stamp of the receiver, and the time in milliseconds for which the sender held it.
    pub echo: Option<((u32, Millis), Millis)>,
    /// Whether the sender's list of replicas is recent.
    pub fleet_is_fresh: bool,
    /// Whether its last read of the list failed.
    pub fleet_is_lost: bool,
    /// Age of its proof of the list, in milliseconds.
    pub fleet_age: Option<Millis>,
    /// Milliseconds since the last known answer of the store to a read of the list; `None` while
    /// entries are awaited.
    pub fleet_answer_age: Option<Millis>,
    /// Milliseconds since the sender itself last read the list from the store; `None` if another
    /// relay reads on its behalf.
    pub fleet_read_age: Option<Millis>,
    /// Digest of the list.
    pub fleet_digest: u64,
    /// Version of its configuration, or 0.
    pub config_version: u64,
    /// Whether its last read of the configuration failed.
    pub config_is_lost: bool,
    /// Age of its proof of the configuration, in milliseconds.
    pub config_age: Option<Millis>,
    /// Milliseconds since the last known answer of the store to a read of the configuration.
    pub config_answer_age: Option<Millis>,
    /// Whether it can coordinate the limits of replicas.
    #[serde(rename = "keeps_limits")]
    pub coordinates_limits: bool,
    /// Whether it is a member, that is, reports to speakers.
    pub is_member: bool,
    /// Whether it reports to the receiver.
    pub report: ReportRecord,
    /// Name hashes of the live relays that can coordinate limits; sent to members.
    #[serde(rename = "keepers")]
    pub coordinators: Vec<u32>,
    /// Name hash of the relay of the data centre that reads the list of replicas; sent to members.
    pub reader: Option<u32>,
    /// Name hashes of its members; sent to the speakers of its data centre in some rounds.
    pub members: Vec<u32>,
    /// Limits that replicas reported.
    pub limits: Vec<LimitRecord>,
    /// Reservations at replicas.
    #[serde(rename = "load")]
    pub reservations: ReservationReport,
    /// Suspected replicas, with the remaining time of the suspicion in milliseconds.
    pub suspects: Vec<(InstanceRecord, u32)>,
    /// First replicas that accept requests but start no responses, with the milliseconds for which
    /// others should keep away.
    #[serde(rename = "mutes")]
    pub stalls: Vec<(InstanceRecord, u32)>,
    /// Slow engines, with their slowdown in hundredths.
    #[serde(rename = "paces")]
    pub slowdowns: Vec<(InstanceRecord, u32)>,
    /// Requests whose replicas ended while running them.
    pub crashes: Vec<CrashRecord>,
    /// Fingerprints of such requests that have completed since, with the milliseconds since then.
    pub cleared: Vec<([u8; FINGERPRINT_BYTES], u32)>,
}

/// Whether the sender reports to the receiver; see [`ReportKind`].
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReportRecord {
    /// It does not.
    #[default]
    None,
    /// It reports, and another speaker counts its reservations.
    Spare,
    /// It reports, and the receiver counts its reservations.
    Counted,
}

impl From<ReportKind> for ReportRecord {
    fn from(kind: ReportKind) -> Self {
        match kind {
            ReportKind::None => Self::None,
            ReportKind::Spare => Self::Spare,
            ReportKind::Counted => Self::Counted,
        }
    }
}

impl From<ReportRecord> for ReportKind {
    fn from(record: ReportRecord) -> Self {
        match record {
            ReportRecord::None => Self::None,
            ReportRecord::Spare => Self::Spare,
            ReportRecord::Counted => Self::Counted,
        }
    }
}

/// Reservations in a message of state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub enum ReservationReport {
    /// Not part of this message.
    #[default]
    #[serde(rename = "Untold")]
    Omitted,
    /// Reservations of the sender and its members.
    #[serde(rename = "Gathered")]
    Group(ReservationRecord),
    /// Reservations of all relays but the receiver; sent to a member.
    Sums {
        /// At replicas of the data centre.
        #[serde(rename = "near")]
        same_data_centre: ReservationRecord,
        /// At all other replicas; `None` if not part of this message.
        #[serde(rename = "far")]
        other_data_centres: Option<ReservationRecord>,
    },
}

/// Reservations by replica.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ReservationRecord {
    /// Reserved memory, in tokens times layers.
    #[serde(rename = "room")]
    pub memory: Vec<(InstanceRecord, u32)>,
    /// Running requests, by the first replica of their path.
    #[serde(rename = "places")]
    pub slots: Vec<(InstanceRecord, u32)>,
}

/// What a replica reported about its rate limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitRecord {
    /// Id of the replica.
    pub id: String,
    /// Limit in requests per second; `None` if the replica no longer has one.
    per_second: Option<f64>,
    /// Milliseconds since the request was sent whose response carried the report.
    age: i64,
}

impl LimitRecord {
    /// Converts a report to a record that is sent at `now`.
    pub fn new(id: &str, report: LimitReport, now: Millis) -> Self {
        let LimitReport { per_second, sent } = report;
        Self { id: id.to_owned(), per_second, age: now as i64 - sent }
    }

    /// Returns the report of a record that was sent at `written`, by the receiver's clock.
    pub fn report(&self, written: i64) -> LimitReport {
        // Guards against damaged messages: NaN and negative limits become 0.
        let per_second = self.per_second.map(|limit| limit.max(0.0));
        LimitReport { per_second, sent: written.saturating_sub(self.age) }
    }
}

/// Requests for grants.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantRequestMessage {
    /// Name of the sender.
    pub name: String,
    /// Incarnation of the sender and time by its clock.
    pub stamp: (u32, Millis),
    /// One request for each replica.
    #[serde(rename = "asks")]
    pub requests: Vec<GrantRequestRecord>,
}

/// Request for grants of one replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantRequestRecord {
    /// The limit of the replica as the sender knows it.
    pub limit: LimitRecord,
    /// Number of grants.
    #[serde(rename = "wanted")]
    pub count: u32,
    /// Milliseconds for which the request is valid.
    #[serde(rename = "lasts")]
    pub valid_for_ms: u32,
}

impl GrantRequestRecord {
    /// Converts the record to a request for the issuer.
    pub fn request(&self) -> GrantRequest {
        let (count, valid_for) = (self.count as usize, Millis::from(self.valid_for_ms));
        GrantRequest { id: self.limit.id.clone(), count, valid_for }
    }
}

/// Grants from the relay that coordinates the limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantMessage {
    /// Name of the sender.
    pub name: String,
    /// Incarnation of the sender and time by its clock.
    pub stamp: (u32, Millis),
    /// One record for each replica.
    pub grants: Vec<GrantRecord>,
}

/// Grants of one replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GrantRecord {
    /// The limit of the replica as the sender knows it.
    pub limit: LimitRecord,
    /// Stamp of the request, and the time in milliseconds for which the issuer held it.
    #[serde(rename = "ask")]
    request: (u32, Millis, Millis),
    /// Number of grants.
    count: u32,
    /// Grants per second that the receiver can expect.
    share: f64,
}

impl GrantRecord {
    /// Converts issued grants to a record.
    pub fn new(limit: LimitRecord, issued: &IssuedGrants) -> Self {
        let IssuedGrants { stamp, held_for, count, share, .. } = issued;
        let request = (stamp.incarnation, stamp.time, *held_for);
        Self { limit, request, count: *count as u32, share: *share }
    }

    /// Returns the grants as they were issued, without the name of the relay that they are for.
    pub fn issued_grants(&self) -> IssuedGrants {
        let (incarnation, time, held_for) = self.request;
        IssuedGrants {
            relay: String::new(),
            stamp: PeerStamp { incarnation, time },
            held_for,
            count: self.count as usize,
            share: self.share,
        }
    }
}

/// Report about a request whose replicas ended while running it.
///
/// Times are sent as ages, so that clocks of different relays are never compared.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashRecord {
    /// Fingerprint of the request.
    pub fingerprint: [u8; FINGERPRINT_BYTES],
    /// Remaining milliseconds of its quarantine; `None` if it is not quarantined.
    #[serde(rename = "left")]
    pub remaining_ms: Option<u32>,
    /// Runs that were lost with their replicas.
    pub runs: Vec<CrashRunRecord>,
}

/// A run that was lost with its replica.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashRunRecord {
    /// The replica instance.
    #[serde(rename = "life")]
    pub instance: InstanceRecord,
    /// Milliseconds since the request was sent there.
    pub sent_age: u32,
    /// Milliseconds since the run was lost.
    pub lost_age: u32,
    /// Whether the run had started and produced nothing, which is strong evidence against the
    /// request.
    pub is_strong: bool,
}

impl CrashRecord {
    /// Converts a report to a record that is sent at `now`.
    pub fn new(report: &CrashReport, now: Millis) -> Self {
        Self {
            fingerprint: report.fingerprint.bytes(),
            remaining_ms: report.remaining.map(|remaining| remaining as u32),
            runs: report.runs.iter().map(|run| CrashRunRecord::new(run, now)).collect(),
        }
    }

    /// Returns the report of a record that was received at `now`.
    pub fn report(&self, now: Millis) -> CrashReport {
        CrashReport {
            fingerprint: RequestFingerprint::from_bytes(self.fingerprint),
            remaining: self.remaining_ms.map(Millis::from),
            runs: self.runs.iter().map(|run| run.crash_run(now)).collect(),
        }
    }
}

impl CrashRunRecord {
    fn new(run: &CrashRun, now: Millis) -> Self {
        let age = |at: i64| u32::try_from(now as i64 - at).unwrap_or_default();
        Self {
            instance: (&run.instance).into(),
            sent_age: age(run.sent),
            lost_age: age(run.lost),
            is_strong: run.evidence == CrashEvidence::Strong,
        }
    }

    fn crash_run(&self, now: Millis) -> CrashRun {
        CrashRun {
            instance: (&self.instance).into(),
            sent: now as i64 - i64::from(self.sent_age),
            lost: now as i64 - i64::from(self.lost_age),
            evidence: if self.is_strong { CrashEvidence::Strong } else { CrashEvidence::Weak },
        }
    }
}

/// A replica instance: its id, and the unix time of its start in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceRecord(pub String, pub Millis);

impl From<&ReplicaInstance> for InstanceRecord {
    fn from(instance: &ReplicaInstance) -> Self {
        Self(instance.id().to_owned(), instance.started_at())
    }
}

impl From<&InstanceRecord> for ReplicaInstance {
    fn from(record: &InstanceRecord) -> Self {
        Self::new(&record.0, record.1)
    }
}

/// Replicas that changed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FleetMessage {
    /// The newest known update of each replica.
    pub changes: Vec<ReplicaRecord>,
}

/// Entry of a replica at a revision of the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaRecord {
    id: String,
    revision: u64,
    /// `None` if the replica is no longer listed.
    entry: Option<EntryRecord>,
}

/// Entry of a replica; see [`ReplicaEntry`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct EntryRecord {
    #[serde(rename = "born")]
    started_at: Millis,
    service: String,
    address: SocketAddr,
    data_centre: String,
    slots: u32,
    state: StateRecord,
    kind: String,
    layers: Option<(u32, u32)>,
}

/// State of an entry; see [`EntryState`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
enum StateRecord {
    Ready,
    Draining,
    Overwritten,
}

impl From<EntryState> for StateRecord {
    fn from(state: EntryState) -> Self {
        match state {
            EntryState::Ready => Self::Ready,
            EntryState::Draining => Self::Draining,
            EntryState::Overwritten => Self::Overwritten,
        }
    }
}

impl From<StateRecord> for EntryState {
    fn from(record: StateRecord) -> Self {
        match record {
            StateRecord::Ready => Self::Ready,
            StateRecord::Draining => Self::Draining,
            StateRecord::Overwritten => Self::Overwritten,
        }
    }
}

impl From<ReplicaUpdate> for ReplicaRecord {
    fn from(update: ReplicaUpdate) -> Self {
        let ReplicaUpdate { id, revision, entry } = update;
        Self { id, revision, entry: entry.map(EntryRecord::from) }
    }
}

impl From<ReplicaRecord> for ReplicaUpdate {
    fn from(record: ReplicaRecord) -> Self {
        let ReplicaRecord { id, revision, entry } = record;
        let entry = entry.map(|entry| entry.into_entry(&id));
        Self { id, revision, entry }
    }
}

impl From<ReplicaEntry> for EntryRecord {
    fn from(entry: ReplicaEntry) -> Self {
        Self {
            started_at: entry.instance.started_at(),
            service: entry.service,
            address: entry.address,
            data_centre: entry.data_centre,
            slots: entry.slots,
            state: entry.state.into(),
            kind: entry.kind,
            layers: entry.layers.map(|range| (range.from, range.to)),
        }
    }
}

impl EntryRecord {
    fn into_entry(self, id: &str) -> ReplicaEntry {
        ReplicaEntry {
            instance: ReplicaInstance::new(id, self.started_at),
            service: self.service,
            address: self.address,
            data_centre: self.data_centre,
            slots: self.slots,
            state: self.state.into(),
            kind: self.kind,
            layers: self.layers.map(|(from, to)| LayerRange { from, to }),
        }
    }
}

impl PeerMessage {
    /// Encodes the message, with the version of the format as first byte.
    ///
    /// # Panics
    ///
    /// Never: messages are plain data, which postcard can always serialize.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![FORM]).expect("messages can be serialized")
    }

    /// Decodes a datagram. Returns `None` if it is damaged or has another format version.
    pub fn decode(datagram: &[u8]) -> Option<Self> {
        let (version, message) = datagram.split_first()?;
        (*version == FORM).then(|| postcard::from_bytes(message).ok()).flatten()
    }
}

/// [`PeerMessage::State`] with borrowed contents; the wire format is the same.
#[derive(Serialize)]
enum BorrowedMessage<'a> {
    State(&'a StateMessage),
}

/// Encodes a message of state without taking it, since it is sent to many relays with few changes.
///
/// # Panics
///
/// As [`PeerMessage::encode`].
pub fn encode_state(message: &StateMessage) -> Vec<u8> {
    postcard::to_extend(&BorrowedMessage::State(message), vec![FORM])
        .expect("messages can be serialized")
}
