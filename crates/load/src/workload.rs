//! Workloads and planned faults, as they are read from experiment files.

use serde::{Deserialize, Serialize};

/// Kind of work that the requests of a class do.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum WorkKind {
    /// A streamed completion.
    Completion {
        /// Minimum length of a prompt in tokens.
        #[serde(rename = "least_prompt")]
        min_prompt: u32,
        /// Maximum length of a prompt in tokens.
        #[serde(rename = "most_prompt")]
        max_prompt: u32,
        /// Minimum number of tokens to generate.
        #[serde(rename = "least_tokens")]
        min_output: u32,
        /// Maximum number of tokens to generate.
        #[serde(rename = "most_tokens")]
        max_output: u32,
    },
    /// A call of a service.
    Call {
        /// Name of the service.
        service: String,
    },
}

/// A class of requests of a workload.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    /// Name of the class.
    pub class: String,
    /// Relative frequency of the class; the shares of all classes need not sum to 1.
    pub share: f64,
    /// Work that its requests do.
    pub work: WorkKind,
    /// Whether its requests must run at most once.
    #[serde(default)]
    pub once: bool,
    /// Whether its requests carry an idempotency key; some of them are then sent a second time.
    #[serde(default)]
    pub keyed: bool,
}

/// Requests of a run.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name of the event to which the requests belong.
    pub event: String,
    /// Name of the model for completions.
    pub model: String,
    /// Seed of the arrival times and the contents of the requests.
    pub seed: u64,
    /// Time over which requests are sent, in milliseconds.
    pub duration_ms: u64,
    /// Duration of the initial surge, in milliseconds.
    pub surge_ms: u64,
    /// Requests per second during the surge.
    pub surge_per_s: f64,
    /// Requests per second after the surge.
    pub steady_per_s: f64,
    /// Number of organisations; the requests are distributed over them by Zipf's law.
    pub organisations: u32,
    /// Classes of requests.
    pub classes: Vec<ClassLoad>,
}

/// A fault or planned change to inject.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum FaultKind {
    /// Kill a VM.
    Kill {
        /// Name of the VM.
        vm: String,
    },
    /// Pause a VM; its sockets stay open.
    Freeze {
        /// Name of the VM.
        vm: String,
        /// Duration of the pause in milliseconds.
        ms: u64,
    },
    /// Shut a VM down gracefully.
    Stop {
        /// Name of the VM.
        vm: String,
    },
    /// Mark a VM as leaving in the platform's VM list.
    Leave {
        /// Name of the VM.
        vm: String,
    },
    /// Slow an engine down.
    Slow {
        /// Name of the VM.
        vm: String,
        /// Duration of a batch in percent of the usual one.
        hundredths: u64,
    },
    /// Start a new VM with an engine.
    Join {
        /// Name of the VM whose configuration is copied.
        like: String,
        /// Name of the new VM.
        vm: String,
    },
    /// Make the platform's store unavailable.
    StoreOutage {
        /// Duration of the outage in milliseconds.
        ms: u64,
    },
    /// Lose the responses of store writes that took effect.
    #[serde(rename = "lose-answers")]
    LoseResponses {
        /// Number of lost responses.
        count: u32,
    },
    /// Send an operator's statement to the first entry.
    Statement {
        /// Text of the statement.
        text: String,
    },
}

impl FaultKind {
    /// Returns whether it is a planned change, which must not interrupt any request.
    pub fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::Stop { .. } | Self::Leave { .. } | Self::Join { .. } | Self::Statement { .. }
        )
    }

    /// Returns a short description for reports.
    pub fn label(&self) -> String {
        match self {
            Self::Kill { vm } => format!("kill {vm}"),
            Self::Freeze { vm, ms } => format!("freeze {vm} {ms} ms"),
            Self::Stop { vm } => format!("stop {vm}"),
            Self::Leave { vm } => format!("leave {vm}"),
            Self::Slow { vm, hundredths } => format!("slow {vm} {hundredths}%"),
            Self::Join { like, vm } => format!("join {vm} like {like}"),
            Self::StoreOutage { ms } => format!("store outage {ms} ms"),
            Self::LoseResponses { count } => format!("lose {count} answers of the store"),
            Self::Statement { text } => text.clone(),
        }
    }
}

/// A fault and the time at which to inject it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// Time of the injection, in milliseconds after the start of the load.
    pub at_ms: u64,
    /// Fault to inject.
    pub fault: FaultKind,
}
