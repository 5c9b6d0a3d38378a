//! Queueing model for comparing path policies with the same seeds.
//!
//! The model has batch servers in three stages; it does not simulate the whole system. Each request
//! passes through its path once per token, engines run batches, and links add a delay. Paths are
//! chosen by [`choose_replica`] of the core crate; entries see the load of each replica as of the
//! last report, plus the requests that they sent since. Time is simulated, so that runs are
//! deterministic.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use switchfold_core::{
    flow::{FlowReplica, flow_bound},
    path::{PathCandidate, PathCursor, PathPolicy, choose_replica},
    route::LayerRange,
};

/// Number of stages of every path.
const STAGES: usize = 3;

/// Number of layers of one stage.
const STAGE_LAYERS: u32 = 16;

/// Accelerator types: maximum sequences of a batch, microseconds for each batch, microseconds for
/// each sequence. The fastest has eight times the throughput of the slowest.
const ACCELERATORS: [(usize, u64, u64); 4] =
    [(16, 2_400, 100), (12, 3_200, 200), (8, 4_000, 400), (4, 4_500, 875)];

/// Number of generated tokens of every request.
const TOKENS: u32 = 32;

/// Parameters of a model run.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ModelSetup {
    /// Path policy of all entries.
    pub policy: PathPolicy,
    /// Number of entries.
    pub entries: usize,
    /// Interval of the load reports in milliseconds; 0 means that entries always see the current
    /// load.
    pub lag_ms: u64,
    /// Offered load in percent of the throughput bound.
    pub offered_hundredths: u64,
    /// Whether one replica of the middle stage is three times as slow as it advertises.
    #[serde(rename = "slow_stage")]
    pub slow_replica: bool,
    /// Number of replicas of each stage.
    pub replicas: usize,
    /// Simulated duration in seconds.
    pub seconds: u64,
    /// Seed of the arrivals, the accelerator types, the link delays and the path choices.
    pub seed: u64,
}

/// Result of a model run; the first second is left out.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ModelResult {
    /// Throughput divided by its upper bound.
    pub share_of_bound: f64,
    /// 95th percentile of the time from dispatch to the first token, in milliseconds.
    pub first_token_p95_ms: f64,
    /// 95th percentile of the time between two tokens of a request, in milliseconds.
    pub between_tokens_p95_ms: f64,
}

#[derive(Debug)]
struct ModelReplica {
    max_batch: usize,
    fixed_micros: u64,
    item_micros: u64,
    link_micros: u64,
    waiting: VecDeque<usize>,
    running: Vec<usize>,
    outstanding: u32,
    /// `outstanding` as of the last report.
    reported_outstanding: u32,
    /// Requests that each entry sent since the last report.
    sent_since: Vec<u32>,
    weight: f64,
}

#[derive(Clone, Debug)]
struct ModelRequest {
    path: [usize; STAGES],
    stage: usize,
    tokens: u32,
    /// Time of the last token, or of the dispatch if there is none yet.
    last_progress_at: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ModelEvent {
    BatchEnd(usize),
    StageArrival(usize),
    RequestOffered,
    LoadReported,
}

struct Model {
    setup: ModelSetup,
    random: ChaCha8Rng,
    /// Simulated time in microseconds.
    now: u64,
    /// Future events as (time, sequence number, event), earliest first.
    events: BinaryHeap<Reverse<(u64, u64, ModelEvent)>>,
    event_sequence: u64,
    replicas: Vec<ModelReplica>,
    requests: Vec<ModelRequest>,
    /// Indices of `requests` that can be reused.
    free_requests: Vec<usize>,
    cursors: Vec<PathCursor>,
    /// Requests that wait for dispatch.
    backlog: u64,
    in_flight: usize,
    max_in_flight: usize,
    bound: f64,
    first_token_micros: Vec<u64>,
    between_tokens_micros: Vec<u64>,
    counted_tokens: u64,
}

/// Runs the model over its simulated duration.
pub fn run_model(setup: ModelSetup) -> ModelResult {
    let mut model = Model::new(setup);
    model.schedule(0, ModelEvent::RequestOffered);
    model.schedule(0, ModelEvent::LoadReported);
    let end = setup.seconds * 1_000_000;
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        if at > end {
            break;
        }
        model.now = at;
        model.handle(event);
    }
    model.result()
}

impl Model {
    fn new(setup: ModelSetup) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut replicas: Vec<ModelReplica> = (0..STAGES * setup.replicas)
            .map(|number| {
                let (max_batch, fixed_micros, item_micros) = ACCELERATORS
                    [(number / STAGES + random.random_range(0..2)) % ACCELERATORS.len()];
                // Link delays from 50 to 5000 microseconds, log-uniformly distributed.
                let link_micros = (50.0 * 100.0_f64.powf(random.random())) as u64;
                ModelReplica {
                    max_batch,
                    fixed_micros,
                    item_micros,
                    link_micros,
                    waiting: VecDeque::new(),
                    running: Vec::new(),
                    outstanding: 0,
                    reported_outstanding: 0,
                    sent_since: vec![0; setup.entries],
                    weight: 0.0,
                }
            })
            .collect();
        let bound = set_weights(&mut replicas);
        let max_in_flight = replicas.iter().map(|replica| 2 * replica.max_batch).sum();
        if setup.slow_replica {
            replicas[1].fixed_micros *= 3;
            replicas[1].item_micros *= 3;
        }
        Self {
            cursors: vec![PathCursor::default(); setup.entries],
            setup,
            random,
            now: 0,
            events: BinaryHeap::new(),
            event_sequence: 0,
            replicas,
            requests: Vec::new(),
            free_requests: Vec::new(),
            backlog: 0,
            in_flight: 0,
            max_in_flight,
            bound,
            first_token_micros: Vec::new(),
            between_tokens_micros: Vec::new(),
            counted_tokens: 0,
        }
    }

    fn schedule(&mut self, at: u64, event: ModelEvent) {
        self.event_sequence += 1;
        self.events.push(Reverse((at, self.event_sequence, event)));
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::RequestOffered => {
                self.backlog += 1;
                self.dispatch();
                let requests_per_s =
                    self.bound * self.setup.offered_hundredths as f64 / 100.0 / f64::from(TOKENS);
                let unit: f64 = self.random.random();
                let wait = -(1.0 - unit).ln() / requests_per_s * 1e6;
                self.schedule(self.now + wait as u64, ModelEvent::RequestOffered);
            }
            ModelEvent::LoadReported => {
                for replica in &mut self.replicas {
                    replica.reported_outstanding = replica.outstanding;
                    replica.sent_since.fill(0);
                }
                let interval = (self.setup.lag_ms * 1_000).max(1_000);
                self.schedule(self.now + interval, ModelEvent::LoadReported);
            }
            ModelEvent::StageArrival(request) => {
                let replica = self.requests[request].path[self.requests[request].stage];
                self.replicas[replica].waiting.push_back(request);
                self.start_batch(replica);
            }
            ModelEvent::BatchEnd(replica) => self.end_batch(replica),
        }
    }

    fn dispatch(&mut self) {
        while self.backlog > 0 && self.in_flight < self.max_in_flight {
            self.backlog -= 1;
            self.in_flight += 1;
            let entry = self.random.random_range(0..self.setup.entries);
            let path = [0, 1, 2].map(|stage| self.choose(entry, stage));
            let request = ModelRequest { path, stage: 0, tokens: 0, last_progress_at: self.now };
            let index = match self.free_requests.pop() {
                Some(index) => {
                    self.requests[index] = request;
                    index
                }
                None => {
                    self.requests.push(request);
                    self.requests.len() - 1
                }
            };
            self.schedule(self.now, ModelEvent::StageArrival(index));
        }
    }

    fn choose(&mut self, entry: usize, stage: usize) -> usize {
        let stage_replicas = (0..self.replicas.len()).filter(|index| index % STAGES == stage);
        let candidates: Vec<PathCandidate> = stage_replicas
            .map(|index| {
                let replica = &self.replicas[index];
                let reported = if self.setup.lag_ms == 0 {
                    replica.outstanding
                } else {
                    replica.reported_outstanding
                };
                let sent = if self.setup.lag_ms == 0 { 0 } else { replica.sent_since[entry] };
                PathCandidate { weight: replica.weight, outstanding: reported + sent, free: 1 }
            })
            .collect();
        let cursor = &mut self.cursors[entry];
        let chosen = choose_replica(self.setup.policy, &candidates, cursor, &mut self.random);
        let index = chosen.unwrap_or(0) * STAGES + stage;
        self.replicas[index].sent_since[entry] += 1;
        self.replicas[index].outstanding += 1;
        index
    }

    fn start_batch(&mut self, index: usize) {
        let replica = &mut self.replicas[index];
        if !replica.running.is_empty() || replica.waiting.is_empty() {
            return;
        }
        let len = replica.waiting.len().min(replica.max_batch);
        replica.running = replica.waiting.drain(..len).collect();
        let ends = self.now + replica.fixed_micros + replica.item_micros * len as u64;
        self.schedule(ends, ModelEvent::BatchEnd(index));
    }

    fn end_batch(&mut self, index: usize) {
        let link_micros = self.replicas[index].link_micros;
        for request in std::mem::take(&mut self.replicas[index].running) {
            let stage = self.requests[request].stage;
            self.requests[request].stage = (stage + 1) % STAGES;
            if stage + 1 < STAGES || !self.record_token(request) {
                self.schedule(self.now + link_micros, ModelEvent::StageArrival(request));
            }
        }
        self.start_batch(index);
    }

    /// Records a token of a request; returns whether it was the last one.
    fn record_token(&mut self, index: usize) -> bool {
        const RAMP_MICROS: u64 = 1_000_000;
        let request = &mut self.requests[index];
        let gap = self.now - request.last_progress_at;
        request.last_progress_at = self.now;
        request.tokens += 1;
        if self.now >= RAMP_MICROS {
            self.counted_tokens += 1;
            let times = if request.tokens == 1 {
                &mut self.first_token_micros
            } else {
                &mut self.between_tokens_micros
            };
            times.push(gap);
        }
        if request.tokens < TOKENS {
            return false;
        }
        for replica in request.path {
            self.replicas[replica].outstanding -= 1;
        }
        self.in_flight -= 1;
        self.free_requests.push(index);
        self.dispatch();
        true
    }

    fn result(mut self) -> ModelResult {
        let seconds = (self.setup.seconds - 1) as f64;
        ModelResult {
            share_of_bound: self.counted_tokens as f64 / seconds / self.bound,
            first_token_p95_ms: p95_ms(&mut self.first_token_micros),
            between_tokens_p95_ms: p95_ms(&mut self.between_tokens_micros),
        }
    }
}

fn p95_ms(micros: &mut [u64]) -> f64 {
    micros.sort_unstable();
    let index = micros.len().saturating_sub(1) * 95 / 100;
    micros.get(index).copied().unwrap_or(0) as f64 / 1e3
}

/// Sets the weight of each replica to its share of the maximum flow. Returns the upper bound of the
/// throughput in tokens per second.
fn set_weights(replicas: &mut [ModelReplica]) -> f64 {
    let to_flow_replica = |(index, replica): (usize, &ModelReplica)| {
        let first = (index % STAGES) as u32 * STAGE_LAYERS;
        let layers = LayerRange::new(first, first + STAGE_LAYERS).ok()?;
        let batch = replica.max_batch as u64;
        let milli_rate =
            batch * 1_000_000_000 / (replica.fixed_micros + replica.item_micros * batch);
        Some(FlowReplica { name: index.to_string(), data_centre: 0, layers, milli_rate })
    };
    let flow: Vec<FlowReplica> = replicas.iter().enumerate().filter_map(to_flow_replica).collect();
    let bound = flow_bound(&flow, &[], STAGE_LAYERS * STAGES as u32);
    for (replica, share) in replicas.iter_mut().zip(&bound.shares) {
        replica.weight = *share as f64;
    }
    bound.milli_rate as f64 / 1e3
}
