//! Settings of an agent.

use serde::{Deserialize, Serialize};
use switchfold_core::window::DEFAULT_TARGET_PERCENT;
use switchfold_kernel::settings::{CheckedSettings, FieldError, FieldKind, FieldRule};

/// Settings of an agent, as in its JSON file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the VM, as in the platform's list.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Where to listen for entries and other agents; also how they reach it.
    pub listen: String,
    /// Where to serve `/healthz` and `/metrics`.
    #[serde(default)]
    pub admin: Option<String>,
    /// Token that every process of the cluster shows.
    pub cluster_token: String,
    /// Address of the engine beside it.
    #[serde(default)]
    pub engine: Option<String>,
    /// The plain service beside it.
    #[serde(default)]
    pub service: Option<ServiceSettings>,
    /// Bytes of activations kept for each request.
    #[serde(default = "default_log_bytes")]
    pub log_bytes: usize,
    /// Share of an engine's slots, in hundredths, that is kept for replacing lost stages.
    #[serde(default = "default_reserve")]
    pub reserve_hundredths: u32,
    /// Steps wanted at the engine, in hundredths of a full batch; 0 means that only memory limits.
    #[serde(default = "default_target")]
    pub target_hundredths: u32,
    /// Milliseconds between offers.
    #[serde(default = "default_offer_ms")]
    pub offer_ms: u64,
    /// Requests that the ledger remembers.
    #[serde(default = "default_ledger")]
    pub ledger: usize,
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name under which callers know it.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Calls that it takes at once.
    pub slots: u32,
    /// Milliseconds that a call may take.
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
        help: "where the service listens",
    },
    FieldRule {
        name: "slots",
        kind: FieldKind::Integer(1, 100_000),
        required: true,
        help: "calls at once",
    },
    FieldRule {
        name: "call_ms",
        kind: FieldKind::Integer(1, 3_600_000),
        required: false,
        help: "longest call",
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
            help: "for entries and agents",
        },
        FieldRule {
            name: "admin",
            kind: FieldKind::Address,
            required: false,
            help: "for /healthz and /metrics",
        },
        FieldRule {
            name: "cluster_token",
            kind: FieldKind::Text,
            required: true,
            help: "the same everywhere",
        },
        FieldRule {
            name: "engine",
            kind: FieldKind::Address,
            required: false,
            help: "where the engine listens",
        },
        FieldRule {
            name: "service",
            kind: FieldKind::Object(SERVICE_RULES),
            required: false,
            help: "a plain service in place of an engine",
        },
        FieldRule {
            name: "log_bytes",
            kind: FieldKind::Integer(0, 1 << 30),
            required: false,
            help: "activations kept for each request",
        },
        FieldRule {
            name: "reserve_hundredths",
            kind: FieldKind::Integer(0, 90),
            required: false,
            help: "hundredths of the slots kept for replacing lost stages",
        },
        FieldRule {
            name: "target_hundredths",
            kind: FieldKind::Integer(0, 10_000),
            required: false,
            help: "steps wanted at the engine, in hundredths of a batch",
        },
        FieldRule {
            name: "offer_ms",
            kind: FieldKind::Integer(10, 10_000),
            required: false,
            help: "milliseconds between offers",
        },
        FieldRule {
            name: "ledger",
            kind: FieldKind::Integer(1_000, 10_000_000),
            required: false,
            help: "requests remembered",
        },
    ];

    fn cross_check(&self) -> Vec<FieldError> {
        if self.engine.is_some() != self.service.is_some() {
            return Vec::new();
        }
        vec![FieldError {
            path: "engine".to_owned(),
            problem: "neither or both of engine and service are set".to_owned(),
            expected: "exactly one of them".to_owned(),
        }]
    }
}
