//! Operator configuration, as stored objects.
//!
//! 13,000 organisations do not fit into one object, so they are sharded by a hash of their name.
//! Each event and each draining VM has an object of its own. Every object contains the id of the
//! command that wrote it: if the response to a write is lost, reading the object back shows whether
//! the write succeeded.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Error, ErrorKind, Millis, hash::hash_bytes, version::ObjectKey};

/// Kind of objects that hold an [`EventConfig`].
pub const EVENT_KIND: &str = "event";
/// Kind of objects that hold an [`OrganisationShard`].
pub const ORGANISATION_KIND: &str = "organisations";
/// Kind of objects that hold a [`DrainOrder`].
pub const DRAIN_KIND: &str = "drain";
/// Kind of objects that hold segments of claims.
pub const CLAIM_KIND: &str = "claims";
/// Kind of objects that hold a placement plan.
pub const PLAN_KIND: &str = "plan";

/// Number of shards that organisations are distributed over.
pub const ORGANISATION_SHARDS: u64 = 16;

/// State of an event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventState {
    /// The event is declared; requests are refused until it opens.
    Planned,
    /// Requests are accepted.
    Open,
    /// New requests are refused; those in flight continue.
    Paused,
    /// The event has ended.
    Closed,
}

impl EventState {
    /// Returns the keyword of the state in the operator command language.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Planned => "planned",
            Self::Open => "open",
            Self::Paused => "paused",
            Self::Closed => "closed",
        }
    }
}

/// A class of requests within an event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassConfig {
    /// Name of the class, as in the `Switchfold-Class` header.
    pub name: String,
    /// Priority; higher values are dispatched first.
    pub priority: u8,
    /// Time from arrival within which the request must start, in milliseconds.
    pub deadline_ms: Millis,
    /// Whether requests of this class must never be repeated.
    #[serde(default)]
    pub once: bool,
}

/// An event: a period in which organisations may send requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EventConfig {
    /// Name of the event, as in the `Switchfold-Event` header.
    pub name: String,
    /// Current state.
    pub state: EventState,
    /// Start time, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub start_ms: Millis,
    /// Organisations that take part; empty means all.
    #[serde(default)]
    pub organisations: Vec<String>,
    /// Models and services that the event uses; empty means all.
    #[serde(default)]
    pub services: Vec<String>,
    /// Expected requests per second when the event opens.
    #[serde(default)]
    pub expected_per_s: u32,
    /// Classes of requests, at least one.
    pub classes: Vec<ClassConfig>,
    /// Id of the command that wrote this version.
    #[serde(default)]
    pub command: String,
}

impl EventConfig {
    /// Returns the class with a name, or `None` if the event does not define it.
    pub fn class(&self, name: &str) -> Option<&ClassConfig> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns whether the organisation takes part.
    pub fn admits(&self, organisation: &str) -> bool {
        self.organisations.is_empty() || self.organisations.iter().any(|name| name == organisation)
    }

    /// Returns whether the event uses the model or service.
    pub fn uses(&self, service: &str) -> bool {
        self.services.is_empty() || self.services.iter().any(|name| name == service)
    }
}

/// An organisation whose callers send requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationConfig {
    /// Name of the organisation.
    pub name: String,
    /// SHA-256 of its bearer token, in hexadecimal digits.
    pub token_sha256: String,
    /// Weight in the fair sharing between organisations, at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum requests per second over all entries; 0 means no limit.
    #[serde(default)]
    pub limit_per_s: u32,
}

/// One shard of the organisations, as stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationShard {
    /// Organisations of this shard.
    pub organisations: Vec<OrganisationConfig>,
    /// Id of the command that wrote this version.
    #[serde(default)]
    pub command: String,
}

/// An operator's order to drain a VM: it gets no new work.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainOrder {
    /// Name or address of the VM.
    pub vm: String,
    /// Id of the command that wrote this version.
    #[serde(default)]
    pub command: String,
}

fn default_weight() -> u32 {
    1
}

/// Returns the key of the shard that contains an organisation.
pub fn organisation_key(name: &str) -> ObjectKey {
    let shard = hash_bytes(0, name.as_bytes()) % ORGANISATION_SHARDS;
    ObjectKey::new(ORGANISATION_KIND, shard.to_string())
}

/// Returns the key of an event.
pub fn event_key(name: &str) -> ObjectKey {
    ObjectKey::new(EVENT_KIND, name)
}

/// Returns the key of the drain order for a VM.
pub fn drain_key(vm: &str) -> ObjectKey {
    ObjectKey::new(DRAIN_KIND, vm)
}

/// Parses a stored object from JSON.
///
/// # Errors
///
/// Returns [`ErrorKind::MalformedObject`] if the value is not valid JSON or a field is wrong. The
/// error names the object and the field.
pub fn parse_object<T: DeserializeOwned>(key: &ObjectKey, value: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(value).map_err(|error| {
        let detail = format!("{} {:?}: {error}", key.kind, key.name);
        Error::new(ErrorKind::MalformedObject, detail)
    })
}

/// Serializes an object to JSON, as it is stored.
///
/// # Panics
///
/// Panics if the value cannot be represented as JSON. The types of this module all can.
pub fn render_object<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("configuration can be represented as JSON")
}
