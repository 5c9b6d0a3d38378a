//! Settings of a relay.

use std::net::SocketAddr;

use serde::Deserialize;
use switchfold_kernel::settings::{CheckedSettings, FieldError, FieldKind, FieldRule};
use switchfold_router::{Millis, buffers::POOL_BYTES, connections::max_connections};

/// Settings of a relay, as read from its JSON file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of the VM.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Region of the VM.
    pub region: String,
    /// Address on which requests of callers are served.
    pub listen: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready_listen: SocketAddr,
    /// Address on which this relay exchanges state with other relays: messages by UDP, snapshots of
    /// the store by TCP.
    pub peer_listen: SocketAddr,
    /// Address on which metrics are served.
    pub metrics_listen: SocketAddr,
    /// Address of the platform's object store.
    pub platform: SocketAddr,
    /// Whether the whole system starts for the first time. The relays of a data centre then let one
    /// of them read the store first.
    #[serde(default)]
    pub first_start: bool,
    /// Share of a processor core that the process gets.
    #[serde(default)]
    pub processor_share: Option<f64>,
    /// Memory that the process may use, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Number of descriptors that the process may have open.
    #[serde(default = "default_descriptors")]
    pub max_descriptors: f64,
    /// How requests beyond the capacity are treated.
    #[serde(default)]
    pub overload_control: OverloadControl,
    /// Whether paths follow the present load of engines and data centres.
    #[serde(default)]
    pub load_aware_paths: bool,
    /// Bounds set by the platform.
    pub bounds: BoundSettings,
}

/// Default memory of a process, in MB: that of the smallest VMs.
fn default_memory_mb() -> f64 {
    160.0
}

/// Default number of descriptors of a process.
fn default_descriptors() -> f64 {
    4_096.0
}

/// Smallest size of a pool for bodies, in bytes. It has room for the largest request body that
/// configurations allow.
const MIN_POOL_BYTES: usize = 8 << 20;

/// Part of the memory that each pool for request bodies may use.
const REQUEST_POOL_FRACTION: f64 = 1.0 / 16.0;

/// Part of the memory that each pool for responses may use.
const RESPONSE_POOL_FRACTION: f64 = 1.0 / 8.0;

/// How a relay treats requests beyond the capacity.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum OverloadControl {
    /// Requests of ranked services wait in a queue by rank, are refused early with scheduled
    /// returns, and move within the free capacity.
    #[default]
    Ranked,
    /// Requests of all services are treated as those of services without ranks.
    Off,
}

/// Values of the setting `overload_control`.
const OVERLOAD_CONTROL_NAMES: &[&str] = &["ranked", "off"];

impl RelaySettings {
    /// Returns whether this relay listens on an address itself.
    pub fn is_own_address(&self, address: SocketAddr) -> bool {
        let own = [self.listen, self.ready_listen, self.peer_listen, self.metrics_listen];
        own.contains(&address)
    }

    /// Returns the number of connections of callers that may be open.
    pub fn max_connections(&self) -> usize {
        max_connections(self.memory_mb, self.max_descriptors as usize)
    }

    /// Returns the size of each pool for request bodies, in bytes.
    pub fn request_pool_bytes(&self) -> usize {
        self.pool_bytes(REQUEST_POOL_FRACTION)
    }

    /// Returns the size of each pool for responses, in bytes.
    pub fn response_pool_bytes(&self) -> usize {
        self.pool_bytes(RESPONSE_POOL_FRACTION)
    }

    fn pool_bytes(&self, fraction: f64) -> usize {
        let bytes = self.memory_mb * fraction * f64::from(1 << 20);
        (bytes as usize).clamp(MIN_POOL_BYTES, POOL_BYTES)
    }

    /// Returns these settings with the name that the relay uses towards other relays. It begins
    /// with the class of the VM's processor share; each class has half the share of the one before.
    /// Work that falls to the first relays by name thereby goes to the strongest VMs.
    pub fn with_ranked_name(self) -> Self {
        let Some(share) = self.processor_share else { return self };
        let class =
            (1.0 / share.max(f64::MIN_POSITIVE)).log2().ceil().clamp(0.0, MAX_PROCESSOR_CLASS);
        Self { name: format!("p{class}-{}", self.name), ..self }
    }
}

/// The weakest processor class: about a five-hundredth of a core, or less.
const MAX_PROCESSOR_CLASS: f64 = 9.0;

/// Bounds set by the platform, with their units in the names. All of them may have fractions, since
/// the platform computes some of them in proportion to the size of a deployment.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Time after the removal of a key within which requests may still run with it.
    pub revoke_ms: f64,
    /// Time without failures after which a relay counts as being in contact.
    #[serde(default = "least_contact")]
    pub contact_ms: f64,
    /// Time for which a replica continues to serve after it announces that it is leaving.
    #[serde(default = "least_old_state")]
    pub drain_ms: f64,
    /// Time within which a configuration must take effect.
    #[serde(default = "least_old_state")]
    pub config_apply_ms: f64,
    /// Time from SIGTERM to SIGKILL.
    pub grace_s: f64,
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// Time window over which retries are counted.
    pub retry_window_s: f64,
    /// Retries allowed on top of the ratio, over all relays.
    pub retry_allowance: f64,
}

/// Default contact time, in milliseconds: the smallest value that platforms use.
fn least_contact() -> f64 {
    3_000.0
}

/// Default bound on the age of state, in milliseconds: the smallest value that platforms use.
fn least_old_state() -> f64 {
    2_000.0
}

impl BoundSettings {
    /// Returns the time after the removal of a key within which requests may still run with it.
    /// Like the other bounds, it is rounded to the stricter side.
    pub fn revoke(&self) -> Millis {
        self.revoke_ms.floor() as Millis
    }

    /// Returns the time without failures after which a relay counts as being in contact.
    pub fn contact(&self) -> Millis {
        self.contact_ms.floor() as Millis
    }

    /// Returns the maximum age of state of the store that may be acted on.
    pub fn max_state_age(&self) -> Millis {
        self.drain_ms.min(self.config_apply_ms).floor() as Millis
    }

    /// Returns the time within which a configuration takes effect everywhere.
    pub fn config_apply(&self) -> Millis {
        self.config_apply_ms.ceil() as Millis
    }

    /// Returns the time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Millis {
        (self.grace_s * 1_000.0).floor() as Millis
    }

    /// Returns the time window over which retries are counted.
    pub fn retry_window(&self) -> Millis {
        (self.retry_window_s * 1_000.0).ceil() as Millis
    }
}

/// Minimum retry window, in seconds. One bucket of the retry budget would be longer than a shorter
/// window.
const MIN_RETRY_WINDOW_S: f64 = 0.5;

const BOUND_RULES: &[FieldRule] = &[
    rule("revoke_ms", FieldKind::Decimal(0.0, 3_600_000.0), "time until a removed key is rejected"),
    optional(
        "contact_ms",
        FieldKind::Decimal(0.0, 3_600_000.0),
        "time without failures until a VM is in contact",
    ),
    optional(
        "drain_ms",
        FieldKind::Decimal(0.0, 3_600_000.0),
        "time for which a leaving replica serves",
    ),
    optional(
        "config_apply_ms",
        FieldKind::Decimal(0.0, 3_600_000.0),
        "time until a change takes effect",
    ),
    rule("grace_s", FieldKind::Decimal(0.0, 3_600.0), "time from SIGTERM to SIGKILL"),
    rule("retry_ratio", FieldKind::Decimal(0.0, 10.0), "retries per request"),
    rule(
        "retry_window_s",
        FieldKind::Decimal(MIN_RETRY_WINDOW_S, 3_600.0),
        "time window of the retries",
    ),
    rule("retry_allowance", FieldKind::Decimal(0.0, 1_000_000.0), "retries on top of the ratio"),
];

const fn rule(name: &'static str, kind: FieldKind, help: &'static str) -> FieldRule {
    FieldRule { name, kind, required: true, help }
}

const fn optional(name: &'static str, kind: FieldKind, help: &'static str) -> FieldRule {
    FieldRule { name, kind, required: false, help }
}

impl CheckedSettings for RelaySettings {
    const RULES: &'static [FieldRule] = &[
        rule("name", FieldKind::Text, "name of the VM"),
        rule("data_centre", FieldKind::Text, "data centre of the VM"),
        rule("region", FieldKind::Text, "region of the VM"),
        rule("listen", FieldKind::Address, "address for callers"),
        rule("ready_listen", FieldKind::Address, "address of the readiness endpoint"),
        rule("peer_listen", FieldKind::Address, "address for messages of other relays"),
        rule("metrics_listen", FieldKind::Address, "address of the metrics endpoint"),
        rule("platform", FieldKind::Address, "address of the platform's object store"),
        optional(
            "first_start",
            FieldKind::Bool,
            "whether the whole system starts for the first time",
        ),
        optional("processor_share", FieldKind::Decimal(0.0, 1_024.0), "share of a processor core"),
        optional(
            "memory_mb",
            FieldKind::Decimal(0.0, 1_048_576.0),
            "memory that the process may use",
        ),
        optional(
            "max_descriptors",
            FieldKind::Decimal(0.0, 1_048_576.0),
            "descriptors that the process may have open",
        ),
        optional(
            "overload_control",
            FieldKind::OneOf(OVERLOAD_CONTROL_NAMES),
            "how requests beyond the capacity are treated",
        ),
        optional(
            "load_aware_paths",
            FieldKind::Bool,
            "whether paths follow the present load of engines and data centres",
        ),
        rule("bounds", FieldKind::Object(BOUND_RULES), "bounds set by the platform"),
    ];

    fn cross_check(&self) -> Vec<FieldError> {
        if self.listen != self.ready_listen {
            return Vec::new();
        }
        vec![FieldError {
            path: "ready_listen".to_owned(),
            problem: "same address as listen".to_owned(),
            expected: "a different address".to_owned(),
        }]
    }
}
