//! Ready-made deployments: a small default, and the two users' of today.

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

/// A VM with an engine.
#[derive(Clone, Debug)]
pub struct EngineVm {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// The engine.
    pub engine: EngineConfig,
}

/// A VM with a plain service.
#[derive(Clone, Debug)]
pub struct ServiceVm {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Name of the service.
    pub service: String,
    /// Calls at once.
    pub slots: u32,
    /// Milliseconds that a call takes.
    pub work_ms: u64,
}

/// A deployment with its load and faults.
#[derive(Clone, Debug)]
pub struct LocalProfile {
    /// Name.
    pub name: String,
    /// The model.
    pub model: ModelConfig,
    /// Data centres.
    pub data_centres: Vec<String>,
    /// Entries, dealt to the data centres in turn.
    pub entries: usize,
    /// VMs with engines.
    pub engines: Vec<EngineVm>,
    /// VMs with services.
    pub services: Vec<ServiceVm>,
    /// The event.
    pub event: EventConfig,
    /// What is offered.
    pub workload: Workload,
    /// What goes wrong.
    pub faults: Vec<PlannedFault>,
    /// Bounds that experiments vary.
    pub tuning: LocalTuning,
}

/// Bounds of a deployment that experiments vary.
#[derive(Clone, Copy, Debug)]
pub struct LocalTuning {
    /// How entries choose paths.
    pub policy: PathPolicy,
    /// Share of each engine's slots, in hundredths, that is kept for replacing lost stages.
    pub reserve_hundredths: u32,
    /// Steps wanted at each engine, in hundredths of a full batch; 0 means that only memory limits.
    pub target_hundredths: u32,
    /// Milliseconds of silence after which an entry takes a busy agent for lost.
    pub silence_ms: u64,
    /// Milliseconds out of touch after which an entry is not ready.
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

/// A kind of accelerator: its name and the times of its batches.
#[derive(Clone, Copy, Debug)]
struct AcceleratorKind {
    name: &'static str,
    max_batch: u32,
    fixed_micros: u64,
    item_micros: u64,
}

/// Kinds of accelerators, fastest first.
const KINDS: [AcceleratorKind; 4] = [
    AcceleratorKind { name: "large", max_batch: 16, fixed_micros: 2_400, item_micros: 100 },
    AcceleratorKind { name: "medium", max_batch: 12, fixed_micros: 3_200, item_micros: 200 },
    AcceleratorKind { name: "small", max_batch: 8, fixed_micros: 4_000, item_micros: 400 },
    AcceleratorKind { name: "old", max_batch: 6, fixed_micros: 4_500, item_micros: 600 },
];

/// Stages of each model.
const STAGES: u32 = 3;

/// Requests that an engine holds, for each sequence of a batch: every request is at one stage at a
/// time, so all stages are busy only where each holds several batches' worth.
const SLOTS_PER_SEQUENCE: u32 = 10;

/// Finds a profile by name.
pub fn profile(name: &str) -> Option<LocalProfile> {
    match name {
        "tiny" => Some(tiny()),
        "small" => Some(small()),
        "northcatch" => Some(northcatch()),
        "customs" => Some(customs()),
        _ => None,
    }
}

fn engine(model: &ModelConfig, stage: u32, kind: AcceleratorKind) -> EngineConfig {
    EngineConfig {
        model: model.name.clone(),
        layers: model.layers,
        first_layer: model.layers * stage / STAGES,
        end_layer: model.layers * (stage + 1) / STAGES,
        accelerator: kind.name.to_owned(),
        max_batch: kind.max_batch,
        slots: kind.max_batch * SLOTS_PER_SEQUENCE,
        fixed_micros: kind.fixed_micros,
        item_micros: kind.item_micros,
        fenced: false,
        load_micros_per_layer: 0,
    }
}

/// Deals VMs to stages and kinds so that every stage gets a mix.
fn engines(model: &ModelConfig, data_centres: &[String], count: usize) -> Vec<EngineVm> {
    let deal = |index: usize| {
        let stage = index as u32 % STAGES;
        let round = index / STAGES as usize;
        let kind = KINDS[round % KINDS.len()];
        // Every data centre has replicas of every stage: none takes a whole range with it.
        let data_centre = (index + round) % data_centres.len();
        EngineVm {
            name: format!("engine-{index}"),
            data_centre: data_centres[data_centre].clone(),
            engine: engine(model, stage, kind),
        }
    };
    (0..count).map(deal).collect()
}

fn services(service: &str, data_centres: &[String], count: usize, work_ms: u64) -> Vec<ServiceVm> {
    let deal = |index: usize| ServiceVm {
        name: format!("service-{index}"),
        data_centre: data_centres[index % data_centres.len()].clone(),
        service: service.to_owned(),
        slots: 32,
        work_ms,
    };
    (0..count).map(deal).collect()
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
        least_prompt: prompt.0,
        most_prompt: prompt.1,
        least_tokens: tokens.0,
        most_tokens: tokens.1,
    };
    ClassLoad { class: class.to_owned(), share, work, once: false, keyed: false }
}

/// Calls of a plain service; those that must run once carry a key.
fn call(class: &str, service: &str, share: f64, once: bool) -> ClassLoad {
    let work = WorkKind::Call { service: service.to_owned() };
    ClassLoad { class: class.to_owned(), share, work, once, keyed: once }
}

/// Two replicas for each stage and a light load, for tests.
fn tiny() -> LocalProfile {
    let mut profile = small();
    profile.name = "tiny".to_owned();
    profile.entries = 2;
    profile.engines.truncate(6);
    profile.workload.duration_ms = 2_500;
    profile.workload.surge_ms = 2_500;
    profile.workload.surge_per_s = 50.0;
    profile.faults.clear();
    // A busy test machine must not look like a lost VM, or like too much load.
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

/// Northcatch: three halls, forty model replicas, three bidding-service replicas, ten organisations.
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

/// The customs agency: three data centres, forty review replicas, three portal replicas.
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

/// A prompt's position costs this fraction of a sequence, at the stand-in engines.
const PREFILL_DISCOUNT: f64 = 16.0;

/// The most tokens a second that the engines could deliver of this mix: the maximum flow, each engine
/// at full batches, prompts counted at their cost.
pub fn bound(engines: &[EngineVm], workload: &Workload, layers: u32) -> f64 {
    let prompt_share = prompt_per_token(workload);
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

/// Positions of prompts beyond the first, for each token of an answer, over the mix.
fn prompt_per_token(workload: &Workload) -> f64 {
    let (mut positions, mut tokens) = (0.0, 0.0);
    for class in &workload.classes {
        if let WorkKind::Completion { least_prompt, most_prompt, least_tokens, most_tokens } =
            class.work
        {
            positions += class.share * (f64::from(least_prompt + most_prompt) / 2.0 - 1.0);
            tokens += class.share * f64::from(least_tokens + most_tokens) / 2.0;
        }
    }
    if tokens > 0.0 { positions / tokens } else { 0.0 }
}
