//! Settings of an agent.

use serde::{Deserialize, Serialize};
use switchfold_core::window::DEFAULT_TARGET_PERCENT;
use switchfold_kernel::settings::{CheckedSettings, FieldError, FieldKind, FieldRule};

/// Settings of an agent, as in its JSON file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the VM, as in the platform's VM list. Also the name of the process.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address for links from entries and other agents: it is bound, and they connect to it.
    pub listen: String,
    /// Address for `/healthz` and `/metrics`; they are not served without it.
    #[serde(default)]
    pub admin: Option<String>,
    /// Shared secret by which the processes of the cluster authenticate.
    pub cluster_token: String,
    /// Address of the engine on this VM. Exactly one of `engine` and `service` is set.
    #[serde(default)]
    pub engine: Option<String>,
    /// The plain service on this VM.
    #[serde(default)]
    pub service: Option<ServiceSettings>,
    /// Maximum size of the activation log of each request, in bytes.
    #[serde(default = "default_log_bytes")]
    pub log_bytes: usize,
    /// Share of an engine's slots reserved for replacing lost stages, in hundredths.
    #[serde(default = "default_reserve")]
    pub reserve_hundredths: u32,
    /// Target for the number of steps at the engine, in hundredths of a full batch. With 0 only the
    /// engine's memory limits the number of requests.
    #[serde(default = "default_target")]
    pub target_hundredths: u32,
    /// Interval at which heartbeats are considered and the concurrency limit is adjusted, in
    /// milliseconds.
    #[serde(default = "default_offer_ms")]
    pub offer_ms: u64,
    /// Maximum number of requests in the ledger.
    #[serde(default = "default_ledger")]
    pub ledger: usize,
}

/// Settings of a plain service, one that runs no model.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name by which callers address it.
    pub name: String,
    /// Address at which it listens.
    pub address: String,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Timeout of a call, in milliseconds.
    #[serde(default = "default_call_ms")]
    pub call_ms: u64,
}

fn default_log_bytes() -> usize {
    4 << 20
}

fn default_reserve() -> u32 {
    20
}

fn default_target() -> u32 {
    DEFAULT_TARGET_PERCENT
}

fn default_offer_ms() -> u64 {
    100
}

fn default_ledger() -> usize {
    100_000
}

fn default_call_ms() -> u64 {
    30_000
}

const SERVICE_RULES: &[FieldRule] = &[
    FieldRule { name: "name", kind: FieldKind::Text, required: true, help: "name of the service" },
    FieldRule {
        name: "address",
        kind: FieldKind::Address,
        required: true,
        help: "address of the service",
    },
    FieldRule {
        name: "slots",
        kind: FieldKind::Integer(1, 100_000),
        required: true,
        help: "maximum number of concurrent calls",
    },
    FieldRule {
        name: "call_ms",
        kind: FieldKind::Integer(1, 3_600_000),
        required: false,
        help: "timeout of a call in milliseconds",
    },
];

impl CheckedSettings for AgentSettings {
    const RULES: &'static [FieldRule] = &[
        FieldRule { name: "name", kind: FieldKind::Text, required: true, help: "name of the VM" },
        FieldRule {
            name: "data_centre",
            kind: FieldKind::Text,
            required: true,
            help: "data centre of the VM",
        },
        FieldRule {
            name: "listen",
            kind: FieldKind::Address,
            required: true,
            help: "address for links from entries and other agents",
        },
        FieldRule {
            name: "admin",
            kind: FieldKind::Address,
            required: false,
            help: "address for /healthz and /metrics",
        },
        FieldRule {
            name: "cluster_token",
            kind: FieldKind::Text,
            required: true,
            help: "shared secret, the same for all processes of the cluster",
        },
        FieldRule {
            name: "engine",
            kind: FieldKind::Address,
            required: false,
            help: "address of the engine",
        },
        FieldRule {
            name: "service",
            kind: FieldKind::Object(SERVICE_RULES),
            required: false,
            help: "plain service instead of an engine",
        },
        FieldRule {
            name: "log_bytes",
            kind: FieldKind::Integer(0, 1 << 30),
            required: false,
            help: "maximum size of the activation log of each request in bytes",
        },
        FieldRule {
            name: "reserve_hundredths",
            kind: FieldKind::Integer(0, 90),
            required: false,
            help: "share of the slots reserved for replacing lost stages, in hundredths",
        },
        FieldRule {
            name: "target_hundredths",
            kind: FieldKind::Integer(0, 10_000),
            required: false,
            help: "target number of steps at the engine, in hundredths of a full batch",
        },
        FieldRule {
            name: "offer_ms",
            kind: FieldKind::Integer(10, 10_000),
            required: false,
            help: "interval between heartbeat checks in milliseconds",
        },
        FieldRule {
            name: "ledger",
            kind: FieldKind::Integer(1_000, 10_000_000),
            required: false,
            help: "maximum number of requests in the ledger",
        },
    ];

    fn cross_check(&self) -> Vec<FieldError> {
        if self.engine.is_some() != self.service.is_some() {
            return Vec::new();
        }
        vec![FieldError {
            path: "engine".to_owned(),
            problem: "both or neither of engine and service are set".to_owned(),
            expected: "exactly one of engine and service".to_owned(),
        }]
    }
}
