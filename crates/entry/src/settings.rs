//! Settings of an entry.

use serde::{Deserialize, Serialize};
use switchfold_core::path::PathPolicy;
use switchfold_kernel::settings::{CheckedSettings, FieldError, FieldKind, FieldRule};

use crate::dispatch::ModelConfig;

/// Settings of an entry, as in its JSON file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the VM, as in the platform's list.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Where to serve callers and operators.
    pub listen: String,
    /// Where to listen for other entries; also how they reach it.
    pub peer_listen: String,
    /// Token that every process of the cluster shows.
    pub cluster_token: String,
    /// Address of the platform's service.
    pub platform: String,
    /// Entries to ask for configuration before the list of VMs is known.
    #[serde(default)]
    pub peers: Vec<String>,
    /// Models and their layers.
    pub models: Vec<ModelConfig>,
    /// SHA-256 of the operators' bearer token, in hexadecimal digits.
    pub operator_token_sha256: String,
    /// How paths are chosen.
    #[serde(default)]
    pub policy: PathPolicy,
    /// Agents to link with; 0 means all.
    #[serde(default)]
    pub agent_links: usize,
    /// Largest body of a request, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: usize,
    /// Most tokens of one answer.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Connections of callers at once.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Milliseconds without progress after which a request is looked into.
    #[serde(default = "default_stall_ms")]
    pub stall_ms: u64,
    /// Milliseconds without an offer after which an agent is taken for lost.
    #[serde(default = "default_silence_ms")]
    pub silence_ms: u64,
    /// Milliseconds without the store and any peer after which readiness goes off.
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

const POLICY_WORDS: &[&str] = &[
    "random",
    "round-robin",
    "least-outstanding",
    "two-choices",
    "flow-weights",
    "flow-corrected",
];

const MODEL_RULES: &[FieldRule] = &[
    FieldRule { name: "name", kind: FieldKind::Text, required: true, help: "name of the model" },
    FieldRule {
        name: "layers",
        kind: FieldKind::Integer(1, 10_000),
        required: true,
        help: "its layers",
    },
];

/// Digits of a SHA-256.
const HASH_DIGITS: usize = 64;

macro_rules! rule {
    ($name:literal, $kind:expr, $required:literal, $help:literal) => {
        FieldRule { name: $name, kind: $kind, required: $required, help: $help }
    };
}

impl CheckedSettings for EntrySettings {
    const RULES: &'static [FieldRule] = &[
        rule!("name", FieldKind::Text, true, "name of the VM"),
        rule!("data_centre", FieldKind::Text, true, "data centre of the VM"),
        rule!("listen", FieldKind::Address, true, "for callers and operators"),
        rule!("peer_listen", FieldKind::Address, true, "for other entries"),
        rule!("cluster_token", FieldKind::Text, true, "the same everywhere"),
        rule!("platform", FieldKind::Address, true, "the platform's service"),
        rule!("peers", FieldKind::Addresses, false, "entries to ask at the start"),
        rule!("models", FieldKind::Objects(MODEL_RULES), true, "models that are served"),
        rule!("operator_token_sha256", FieldKind::Text, true, "64 hexadecimal digits"),
        rule!("policy", FieldKind::OneOf(POLICY_WORDS), false, "how paths are chosen"),
        rule!(
            "agent_links",
            FieldKind::Integer(0, 10_000),
            false,
            "agents to link with, 0 for all"
        ),
        rule!("body_bytes", FieldKind::Integer(1_024, 64 << 20), false, "largest body"),
        rule!("max_tokens", FieldKind::Integer(1, 1_000_000), false, "most tokens of an answer"),
        rule!("connections", FieldKind::Integer(1, 1_000_000), false, "connections of callers"),
        rule!("stall_ms", FieldKind::Integer(50, 600_000), false, "milliseconds without progress"),
        rule!(
            "silence_ms",
            FieldKind::Integer(50, 600_000),
            false,
            "milliseconds without an offer"
        ),
        rule!("cut_off_ms", FieldKind::Integer(100, 600_000), false, "milliseconds out of touch"),
    ];

    fn cross_check(&self) -> Vec<FieldError> {
        let mut faults = Vec::new();
        let hash = &self.operator_token_sha256;
        if hash.len() != HASH_DIGITS || !hash.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            faults.push(FieldError {
                path: "operator_token_sha256".to_owned(),
                problem: format!("found {} characters", hash.len()),
                expected: format!("{HASH_DIGITS} hexadecimal digits"),
            });
        }
        for (index, model) in self.models.iter().enumerate() {
            if self.models[..index].iter().any(|earlier| earlier.name == model.name) {
                faults.push(FieldError {
                    path: format!("models[{index}].name"),
                    problem: format!("{:?} is there twice", model.name),
                    expected: "a name of its own".to_owned(),
                });
            }
        }
        faults
    }
}
