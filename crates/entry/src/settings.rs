//! Settings of an entry.

use serde::{Deserialize, Serialize};
use switchfold_core::path::PathPolicy;
use switchfold_kernel::settings::{CheckedSettings, FieldError, FieldKind, FieldRule};

use crate::dispatch::ModelConfig;

/// Settings of an entry, as read from its JSON file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the VM in the platform's list.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Address on which callers and operators are served.
    pub listen: String,
    /// Address on which other entries are served, and under which they reach this one.
    pub peer_listen: String,
    /// Shared secret that processes of the cluster present to each other.
    pub cluster_token: String,
    /// Address of the platform's service.
    pub platform: String,
    /// Addresses of entries to fetch the configuration from before the list of VMs is known.
    #[serde(default)]
    pub peers: Vec<String>,
    /// Models that are served, with their number of layers.
    pub models: Vec<ModelConfig>,
    /// SHA-256 of the operators' bearer token, in hexadecimal digits.
    pub operator_token_sha256: String,
    /// Policy by which paths over replicas are chosen.
    #[serde(default)]
    pub policy: PathPolicy,
    /// Number of agents to open links to; 0 means all.
    #[serde(default)]
    pub agent_links: usize,
    /// Largest request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// Largest `max_tokens` of a completion.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Largest number of concurrent connections of callers.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Milliseconds without progress after which a request counts as stalled and its recovery
    /// starts.
    #[serde(default = "default_stall_ms")]
    pub stall_ms: u64,
    /// Milliseconds without a message after which an agent that runs requests of this entry counts
    /// as lost. An idle agent is given at least 3,500 ms.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
    /// Milliseconds without contact to the store or any other entry after which the entry reports
    /// that it is not ready.
    #[serde(default = "default_cut_off_ms")]
    pub cut_off_ms: u64,
}

fn default_body_bytes() -> usize {
    1 << 20
}

fn default_max_tokens() -> u32 {
    4_096
}

fn default_connections() -> usize {
    10_000
}

fn default_stall_ms() -> u64 {
    1_000
}

fn default_silence_ms() -> u64 {
    700
}

fn default_cut_off_ms() -> u64 {
    8_000
}

/// Values of the setting `policy`.
const POLICY_NAMES: &[&str] = &[
    "random",
    "round-robin",
    "least-outstanding",
    "two-choices",
    "flow-weights",
    "flow-corrected",
];

/// Fields of an element of `models`.
const MODEL_RULES: &[FieldRule] = &[
    FieldRule { name: "name", kind: FieldKind::Text, required: true, help: "name of the model" },
    FieldRule {
        name: "layers",
        kind: FieldKind::Integer(1, 10_000),
        required: true,
        help: "number of layers of the model",
    },
];

/// Hexadecimal digits of a SHA-256 hash.
const SHA256_HEX_DIGITS: usize = 64;

macro_rules! rule {
    ($name:literal, $kind:expr, $required:literal, $help:literal) => {
        FieldRule { name: $name, kind: $kind, required: $required, help: $help }
    };
}

impl CheckedSettings for EntrySettings {
    const RULES: &'static [FieldRule] = &[
        rule!("name", FieldKind::Text, true, "name of the VM"),
        rule!("data_centre", FieldKind::Text, true, "data centre of the VM"),
        rule!("listen", FieldKind::Address, true, "address for callers and operators"),
        rule!("peer_listen", FieldKind::Address, true, "address for other entries"),
        rule!(
            "cluster_token",
            FieldKind::Text,
            true,
            "shared secret, the same in every process of the cluster"
        ),
        rule!("platform", FieldKind::Address, true, "address of the platform's service"),
        rule!(
            "peers",
            FieldKind::Addresses,
            false,
            "addresses of entries to fetch the configuration from at startup"
        ),
        rule!("models", FieldKind::Objects(MODEL_RULES), true, "models that are served"),
        rule!(
            "operator_token_sha256",
            FieldKind::Text,
            true,
            "SHA-256 of the operators' token, 64 hexadecimal digits"
        ),
        rule!("policy", FieldKind::OneOf(POLICY_NAMES), false, "how paths are chosen"),
        rule!(
            "agent_links",
            FieldKind::Integer(0, 10_000),
            false,
            "number of agents to open links to, 0 for all"
        ),
        rule!(
            "body_bytes",
            FieldKind::Integer(1_024, 64 << 20),
            false,
            "largest request body, in bytes"
        ),
        rule!(
            "max_tokens",
            FieldKind::Integer(1, 1_000_000),
            false,
            "largest max_tokens of a completion"
        ),
        rule!(
            "connections",
            FieldKind::Integer(1, 1_000_000),
            false,
            "largest number of concurrent connections of callers"
        ),
        rule!(
            "stall_ms",
            FieldKind::Integer(50, 600_000),
            false,
            "milliseconds without progress after which a request counts as stalled"
        ),
        rule!(
            "silence_ms",
            FieldKind::Integer(50, 600_000),
            false,
            "milliseconds without a message after which an agent counts as lost"
        ),
        rule!(
            "cut_off_ms",
            FieldKind::Integer(100, 600_000),
            false,
            "milliseconds without the store and other entries until not ready"
        ),
    ];

    fn cross_check(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let hash = &self.operator_token_sha256;
        if hash.len() != SHA256_HEX_DIGITS || !hash.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            errors.push(FieldError {
                path: "operator_token_sha256".to_owned(),
                problem: format!("found {} characters", hash.len()),
                expected: format!("{SHA256_HEX_DIGITS} hexadecimal digits"),
            });
        }
        for (index, model) in self.models.iter().enumerate() {
            if self.models[..index].iter().any(|earlier| earlier.name == model.name) {
                errors.push(FieldError {
                    path: format!("models[{index}].name"),
                    problem: format!("duplicate name {:?}", model.name),
                    expected: "a unique name".to_owned(),
                });
            }
        }
        errors
    }
}
