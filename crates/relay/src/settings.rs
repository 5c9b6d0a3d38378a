//! Settings of a relay.

use std::net::SocketAddr;

use serde::Deserialize;
use switchfold_kernel::settings::{CheckedSettings, FieldError, FieldKind, FieldRule};
use switchfold_router::Millis;

/// Settings of a relay, as in its JSON file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of the VM.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Region of the VM.
    pub region: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where readiness is asked.
    pub ready_listen: SocketAddr,
    /// Where other relays send their figures, by UDP.
    pub peer_listen: SocketAddr,
    /// Where metrics are served.
    pub metrics_listen: SocketAddr,
    /// Address of the platform's object store.
    pub platform: SocketAddr,
    /// Whether the whole system starts for the first time: relays then let one of each data centre read the
    /// store first.
    #[serde(default)]
    pub first_start: bool,
    /// Part of a core that the process has.
    #[serde(default)]
    pub processor_share: Option<f64>,
    /// Bounds that the platform sets.
    pub bounds: BoundSettings,
}

impl RelaySettings {
    /// These settings with the name by which relays know each other. It begins with the class of the VM's processor, each
    /// with half of the one before: what the first relays by name do for the others then falls to the strongest VMs.
    pub fn with_ranked_name(self) -> Self {
        let Some(share) = self.processor_share else { return self };
        let class = (1.0 / share.max(f64::MIN_POSITIVE)).log2().ceil().clamp(0.0, WEAKEST_CLASS);
        Self { name: format!("p{class}-{}", self.name), ..self }
    }
}

/// The last class of processors: a five-hundredth of a core.
const WEAKEST_CLASS: f64 = 9.0;

/// Bounds that the platform sets, with their units in the names. All of them are amounts and may have
/// fractions: the platform sets some of them in proportion to a deployment's size.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Time from a key's removal to the last request that may run with it.
    pub revoke_ms: f64,
    /// Time without trouble after which a relay counts as in touch.
    #[serde(default = "least_contact")]
    pub contact_ms: f64,
    /// Time for which a replica serves on once it says that it leaves.
    #[serde(default = "least_old_state")]
    pub drain_ms: f64,
    /// Time after which a configuration must be in force.
    #[serde(default = "least_old_state")]
    pub config_apply_ms: f64,
    /// Time from SIGTERM to SIGKILL.
    pub grace_s: f64,
    /// Repeats allowed for each request.
    pub retry_ratio: f64,
    /// Window of the repeats.
    pub retry_window_s: f64,
    /// Repeats allowed beside the ratio, over all entries.
    pub retry_allowance: f64,
}

/// Contact time where the platform names none, in milliseconds: the least of those seen.
fn least_contact() -> f64 {
    3_000.0
}

/// Bounds on old state where the platform names none, in milliseconds: the least of those seen.
fn least_old_state() -> f64 {
    2_000.0
}

impl BoundSettings {
    /// Time from a key's removal to the last request that may run with it; rounded to the strict side, as
    /// the others are.
    pub fn revoke(&self) -> Millis {
        self.revoke_ms.floor() as Millis
    }

    /// Time without trouble after which a relay counts as in touch.
    pub fn contact(&self) -> Millis {
        self.contact_ms.floor() as Millis
    }

    /// Time after which no state of the store may be acted on that is older.
    pub fn max_state_age(&self) -> Millis {
        self.drain_ms.min(self.config_apply_ms).floor() as Millis
    }

    /// Time from SIGTERM to SIGKILL.
    pub fn grace(&self) -> Millis {
        (self.grace_s * 1_000.0).floor() as Millis
    }

    /// Window of the repeats.
    pub fn retry_window(&self) -> Millis {
        (self.retry_window_s * 1_000.0).ceil() as Millis
    }
}

/// Shortest window of repeats in seconds: below it, one bucket of the budget is longer than the window.
const LEAST_WINDOW_S: f64 = 0.5;

const BOUND_RULES: &[FieldRule] = &[
    rule("revoke_ms", FieldKind::Decimal(0.0, 3_600_000.0), "time until a removed key is refused"),
    optional("contact_ms", FieldKind::Decimal(0.0, 3_600_000.0), "time until a VM is in touch"),
    optional(
        "drain_ms",
        FieldKind::Decimal(0.0, 3_600_000.0),
        "time that a leaving replica serves",
    ),
    optional(
        "config_apply_ms",
        FieldKind::Decimal(0.0, 3_600_000.0),
        "time until a change is in force",
    ),
    rule("grace_s", FieldKind::Decimal(0.0, 3_600.0), "time from SIGTERM to SIGKILL"),
    rule("retry_ratio", FieldKind::Decimal(0.0, 10.0), "repeats for each request"),
    rule("retry_window_s", FieldKind::Decimal(LEAST_WINDOW_S, 3_600.0), "window of the repeats"),
    rule("retry_allowance", FieldKind::Decimal(0.0, 1_000_000.0), "repeats beside the ratio"),
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
        rule("listen", FieldKind::Address, "where callers connect"),
        rule("ready_listen", FieldKind::Address, "where readiness is asked"),
        rule("peer_listen", FieldKind::Address, "where other relays send their figures"),
        rule("metrics_listen", FieldKind::Address, "where metrics are served"),
        rule("platform", FieldKind::Address, "the platform's object store"),
        optional("first_start", FieldKind::Bool, "whether the whole system starts"),
        optional(
            "processor_share",
            FieldKind::Decimal(0.0, 1_024.0),
            "part of a core that the process has",
        ),
        rule("bounds", FieldKind::Object(BOUND_RULES), "bounds that the platform sets"),
    ];

    fn cross_check(&self) -> Vec<FieldError> {
        if self.listen != self.ready_listen {
            return Vec::new();
        }
        vec![FieldError {
            path: "ready_listen".to_owned(),
            problem: "same address as listen".to_owned(),
            expected: "an address of its own".to_owned(),
        }]
    }
}
