//! Predefined deployments: two small ones for tests and local use, and models of the two current
//! users.

use switchfold_core::{
    config::{ClassConfig, EventConfig, EventState},
    flow::{FlowReplica, flow_bound},
    path::PathPolicy,
    route::LayerRange,
    window::DEFAULT_TARGET_PERCENT,
};
use switchfold_entry::dispatch::ModelConfig;
use switchfold_load::{ClassLoad, FaultKind, PlannedFault, WorkKind, Workload};
use switchfold_standin::engine::EngineConfig;

/// A VM with an agent and an engine.
#[derive(Clone, Debug)]
pub struct EngineVm {
    /// Name of the VM.
    pub name: String,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Configuration of its engine.
    pub engine: EngineConfig,
}

/// A VM with an agent and a replica of a service.
#[derive(Clone, Debug)]
pub struct ServiceVm {
    /// Name of the VM.
    pub name: String,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Name of the service.
    pub service: String,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Duration of a call in milliseconds.
    pub work_ms: u64,
}

/// A deployment with its workload and planned faults.
#[derive(Clone, Debug)]
pub struct LocalProfile {
    /// Name, one of [`PROFILES`].
    pub name: String,
    /// Model that the engines serve.
    pub model: ModelConfig,
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Number of entries, which are distributed over the data centres in turn.
    pub entries: usize,
    /// VMs with engines.
    pub engines: Vec<EngineVm>,
    /// VMs with services.
    pub services: Vec<ServiceVm>,
    /// Configuration of the event to which all requests belong.
    pub event: EventConfig,
    /// Requests to send.
    pub workload: Workload,
    /// Faults to inject, in the order of their times.
    pub faults: Vec<PlannedFault>,
    /// Parameters that experiments can override.
    pub tuning: LocalTuning,
}

/// Parameters of a deployment that experiments can override.
#[derive(Clone, Copy, Debug)]
pub struct LocalTuning {
    /// Policy by which entries choose paths.
    pub policy: PathPolicy,
    /// Share of each engine's slots, in percent, that is reserved for replacing lost stages.
    pub reserve_hundredths: u32,
    /// Target number of steps at each engine, in percent of a full batch; 0 means that only the
    /// memory of the engine limits them.
    pub target_hundredths: u32,
    /// Milliseconds without a message after which an entry treats a busy agent as lost.
    pub silence_ms: u64,
    /// Milliseconds without contact to the store or a peer after which an entry is not ready.
    pub cut_off_ms: u64,
}

impl Default for LocalTuning {
    fn default() -> Self {
        Self {
            policy: PathPolicy::default(),
            reserve_hundredths: 20,
            target_hundredths: DEFAULT_TARGET_PERCENT,
            silence_ms: 700,
            cut_off_ms: 8_000,
        }
    }
}

/// Names of all profiles.
pub const PROFILES: [&str; 4] = ["tiny", "small", "northcatch", "customs"];

/// A type of accelerator; a batch lasts `fixed_micros + item_micros * sequences` microseconds.
#[derive(Clone, Copy, Debug)]
struct AcceleratorType {
    name: &'static str,
    max_batch: u32,
    fixed_micros: u64,
    item_micros: u64,
}

/// Types of accelerators, fastest first.
const ACCELERATORS: [AcceleratorType; 4] = [
    AcceleratorType { name: "large", max_batch: 16, fixed_micros: 2_400, item_micros: 100 },
    AcceleratorType { name: "medium", max_batch: 12, fixed_micros: 3_200, item_micros: 200 },
    AcceleratorType { name: "small", max_batch: 8, fixed_micros: 4_000, item_micros: 400 },
    AcceleratorType { name: "old", max_batch: 6, fixed_micros: 4_500, item_micros: 600 },
];

/// Number of stages into which the layers of each model are split.
const STAGES: u32 = 3;

/// Request slots of an engine for each sequence of a full batch. A request is at only one stage at
/// a time, so keeping all stages busy takes several times as many requests as fit in one batch.
const SLOTS_PER_SEQUENCE: u32 = 10;

/// Returns the profile of this name, or `None` if it is not one of [`PROFILES`].
pub fn profile(name: &str) -> Option<LocalProfile> {
    match name {
        "tiny" => Some(tiny()),
        "small" => Some(small()),
        "northcatch" => Some(northcatch()),
        "customs" => Some(customs()),
        _ => None,
    }
}

fn engine(model: &ModelConfig, stage: u32, accelerator: AcceleratorType) -> EngineConfig {
    EngineConfig {
        model: model.name.clone(),
        layers: model.layers,
        first_layer: model.layers * stage / STAGES,
        end_layer: model.layers * (stage + 1) / STAGES,
        accelerator: accelerator.name.to_owned(),
        max_batch: accelerator.max_batch,
        slots: accelerator.max_batch * SLOTS_PER_SEQUENCE,
        fixed_micros: accelerator.fixed_micros,
        item_micros: accelerator.item_micros,
        fenced: false,
        load_micros_per_layer: 0,
    }
}

/// Creates `count` engine VMs and assigns stages, accelerator types and data centres in turn, so
/// that each stage gets a mix of accelerators.
fn engines(model: &ModelConfig, data_centres: &[String], count: usize) -> Vec<EngineVm> {
    let assign = |index: usize| {
        let stage = index as u32 % STAGES;
        let round = index / STAGES as usize;
        let accelerator = ACCELERATORS[round % ACCELERATORS.len()];
        // Spreads the replicas of each stage over all data centres, so that the loss of one data
        // centre leaves replicas of every layer.
        let data_centre = (index + round) % data_centres.len();
        EngineVm {
            name: format!("engine-{index}"),
            data_centre: data_centres[data_centre].clone(),
            engine: engine(model, stage, accelerator),
        }
    };
    (0..count).map(assign).collect()
}

fn services(service: &str, data_centres: &[String], count: usize, work_ms: u64) -> Vec<ServiceVm> {
    let assign = |index: usize| ServiceVm {
        name: format!("service-{index}"),
        data_centre: data_centres[index % data_centres.len()].clone(),
        service: service.to_owned(),
        slots: 32,
        work_ms,
    };
    (0..count).map(assign).collect()
}

fn class(name: &str, priority: u8, deadline_ms: u64, once: bool) -> ClassConfig {
    ClassConfig { name: name.to_owned(), priority, deadline_ms, once }
}

fn event(name: &str, classes: Vec<ClassConfig>) -> EventConfig {
    EventConfig {
        name: name.to_owned(),
        state: EventState::Open,
        start_ms: 0,
        organisations: Vec::new(),
        services: Vec::new(),
        expected_per_s: 0,
        classes,
        command: String::new(),
    }
}

fn completion(class: &str, share: f64, prompt: (u32, u32), tokens: (u32, u32)) -> ClassLoad {
    let work = WorkKind::Completion {
        min_prompt: prompt.0,
        max_prompt: prompt.1,
        min_output: tokens.0,
        max_output: tokens.1,
    };
    ClassLoad { class: class.to_owned(), share, work, once: false, keyed: false }
}

/// Calls of a service; those that must run at most once carry an idempotency key.
fn call(class: &str, service: &str, share: f64, once: bool) -> ClassLoad {
    let work = WorkKind::Call { service: service.to_owned() };
    ClassLoad { class: class.to_owned(), share, work, once, keyed: once }
}

/// Returns a profile with two replicas for each stage and a light load, for tests.
fn tiny() -> LocalProfile {
    let mut profile = small();
    profile.name = "tiny".to_owned();
    profile.entries = 2;
    profile.engines.truncate(6);
    profile.workload.duration_ms = 2_500;
    profile.workload.surge_ms = 2_500;
    profile.workload.surge_per_s = 50.0;
    profile.faults.clear();
    // Longer timeouts: on a busy test machine an agent must not be treated as lost and requests
    // must not exceed their deadlines.
    profile.tuning.silence_ms = 5_000;
    for class in &mut profile.event.classes {
        class.deadline_ms = 20_000;
    }
    profile
}

fn small() -> LocalProfile {
    let model = ModelConfig { name: "lots".to_owned(), layers: 24 };
    let data_centres = vec!["hall-a".to_owned(), "hall-b".to_owned(), "hall-c".to_owned()];
    let classes = vec![
        class("bid", 9, 3_000, true),
        class("summary", 5, 3_000, false),
        class("note", 3, 6_000, true),
    ];
    let note = completion("note", 0.1, (16, 48), (8, 24));
    let workload = Workload {
        event: "dawn".to_owned(),
        model: model.name.clone(),
        seed: 7,
        duration_ms: 10_000,
        surge_ms: 7_000,
        surge_per_s: 300.0,
        steady_per_s: 60.0,
        organisations: 10,
        classes: vec![
            completion("summary", 0.8, (16, 64), (16, 48)),
            ClassLoad { once: true, keyed: true, ..note },
            call("bid", "bidding", 0.1, true),
        ],
    };
    LocalProfile {
        name: "small".to_owned(),
        entries: 3,
        tuning: LocalTuning::default(),
        engines: engines(&model, &data_centres, 12),
        services: services("bidding", &data_centres, 2, 5),
        model,
        data_centres,
        event: event("dawn", classes),
        workload,
        faults: vec![PlannedFault {
            at_ms: 4_000,
            fault: FaultKind::Kill { vm: "engine-4".to_owned() },
        }],
    }
}

/// Returns a profile like the user Northcatch: three data centres, 40 model replicas, three
/// replicas of the bidding service, ten organisations.
fn northcatch() -> LocalProfile {
    let model = ModelConfig { name: "auction".to_owned(), layers: 48 };
    let halls = ["winnipeg-hall", "brandon-hall", "selkirk-hall"];
    let data_centres: Vec<String> = halls.iter().map(|hall| (*hall).to_owned()).collect();
    let classes = vec![
        class("bid", 9, 2_000, true),
        class("lot-summary", 7, 2_000, false),
        class("buyer-question", 5, 4_000, false),
        class("settlement-note", 3, 10_000, true),
    ];
    let settlement = completion("settlement-note", 0.1, (32, 96), (24, 64));
    let workload = Workload {
        event: "dawn-auction".to_owned(),
        model: model.name.clone(),
        seed: 11,
        duration_ms: 15_000,
        surge_ms: 10_000,
        surge_per_s: 900.0,
        steady_per_s: 200.0,
        organisations: 10,
        classes: vec![
            completion("lot-summary", 0.5, (32, 96), (24, 64)),
            completion("buyer-question", 0.3, (16, 64), (16, 48)),
            ClassLoad { once: true, keyed: true, ..settlement },
            call("bid", "bidding", 0.1, true),
        ],
    };
    LocalProfile {
        name: "northcatch".to_owned(),
        entries: 3,
        tuning: LocalTuning::default(),
        engines: engines(&model, &data_centres, 40),
        services: services("bidding", &data_centres, 3, 5),
        model,
        data_centres,
        event: event("dawn-auction", classes),
        workload,
        faults: vec![
            PlannedFault { at_ms: 5_000, fault: FaultKind::Kill { vm: "engine-7".to_owned() } },
            PlannedFault {
                at_ms: 7_000,
                fault: FaultKind::Freeze { vm: "engine-11".to_owned(), ms: 3_000 },
            },
            PlannedFault { at_ms: 11_500, fault: FaultKind::Stop { vm: "engine-3".to_owned() } },
        ],
    }
}

/// Returns a profile like the customs agency: three data centres, 40 replicas of the review model,
/// three replicas of the portal service.
fn customs() -> LocalProfile {
    let model = ModelConfig { name: "review".to_owned(), layers: 48 };
    let sites = ["sejong-a", "sejong-b", "sejong-c"];
    let data_centres: Vec<String> = sites.iter().map(|site| (*site).to_owned()).collect();
    let classes = vec![
        class("status", 8, 2_000, false),
        class("review", 6, 8_000, false),
        class("classification-note", 4, 15_000, true),
        class("clearance", 9, 2_000, true),
    ];
    let note = completion("classification-note", 0.15, (48, 128), (32, 96));
    let workload = Workload {
        event: "morning-filing".to_owned(),
        model: model.name.clone(),
        seed: 13,
        duration_ms: 15_000,
        surge_ms: 10_000,
        surge_per_s: 500.0,
        steady_per_s: 120.0,
        organisations: 10,
        classes: vec![
            completion("review", 0.55, (48, 128), (32, 96)),
            ClassLoad { once: true, keyed: true, ..note },
            call("status", "portal", 0.2, false),
            call("clearance", "portal", 0.1, true),
        ],
    };
    LocalProfile {
        name: "customs".to_owned(),
        entries: 3,
        tuning: LocalTuning::default(),
        engines: engines(&model, &data_centres, 40),
        services: services("portal", &data_centres, 3, 8),
        model,
        data_centres,
        event: event("morning-filing", classes),
        workload,
        faults: vec![
            PlannedFault { at_ms: 4_000, fault: FaultKind::StoreOutage { ms: 4_000 } },
            PlannedFault { at_ms: 5_000, fault: FaultKind::Kill { vm: "engine-8".to_owned() } },
            PlannedFault { at_ms: 9_000, fault: FaultKind::Leave { vm: "engine-5".to_owned() } },
        ],
    }
}

/// Divisor of the cost of a sequence that gives the cost of one additional prompt position; the
/// same value as in the stand-in engine.
const PREFILL_DISCOUNT: f64 = 16.0;

/// Returns the upper bound of the throughput for this workload in tokens per second: the maximum
/// flow through the engines at full batches, including the cost of the prompts.
pub fn throughput_bound(engines: &[EngineVm], workload: &Workload, layers: u32) -> f64 {
    let prompt_share = prompt_positions_per_token(workload);
    let replica = |vm: &EngineVm| {
        let engine = &vm.engine;
        let item = engine.item_micros as f64;
        let micros = engine.fixed_micros as f64 / f64::from(engine.max_batch) + item;
        let rate = 1e6 / (micros + item / PREFILL_DISCOUNT * prompt_share);
        let layers = LayerRange::new(engine.first_layer, engine.end_layer).ok()?;
        Some(FlowReplica {
            name: vm.name.clone(),
            data_centre: 0,
            layers,
            milli_rate: (rate * 1e3) as u64,
        })
    };
    let replicas: Vec<FlowReplica> = engines.iter().filter_map(replica).collect();
    flow_bound(&replicas, &[], layers).milli_rate as f64 / 1e3
}

/// Returns the mean number of prompt positions beyond the first per generated token, over all
/// classes.
fn prompt_positions_per_token(workload: &Workload) -> f64 {
    let (mut positions, mut tokens) = (0.0, 0.0);
    for class in &workload.classes {
        if let WorkKind::Completion { min_prompt, max_prompt, min_output, max_output } = class.work
        {
            positions += class.share * (f64::from(min_prompt + max_prompt) / 2.0 - 1.0);
            tokens += class.share * f64::from(min_output + max_output) / 2.0;
        }
    }
    if tokens > 0.0 { positions / tokens } else { 0.0 }
}
