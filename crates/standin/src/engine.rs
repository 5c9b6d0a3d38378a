//! Model engine with a range of layers and continuous batching.
//!
//! A batch takes `fixed + item * sequences` microseconds, plus the cost of prompt positions. The
//! start of a batch is computed from the end of the previous one and not from the time at which the
//! timer fired, so that timer delays do not lower the throughput under load. The engine counts the
//! positions that it runs, by which tests detect repeated work.

use std::{
    collections::{HashMap, VecDeque},
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use switchfold_core::{hash::hash_bytes, route::LayerRange};
use switchfold_proto::engine::{
    CacheKey, CacheState, DescribeRequest, Description, LoadOrder, OrderAnswer, StepInput,
    StepOutput,
    engine_server::{Engine, EngineServer},
};
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc},
    time::{Instant, sleep_until},
};
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use crate::model::{ACTIVATION_BYTES, LayerCaches, embed, model_seed, token_of};

/// Divisor of the cost of a sequence that gives the cost of one additional prompt position.
const PREFILL_DISCOUNT: u64 = 16;

/// Configuration of an engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineConfig {
    /// Name of the model.
    pub model: String,
    /// Number of layers of the complete model.
    pub layers: u32,
    /// First layer that the engine holds.
    pub first_layer: u32,
    /// End of the held layers, exclusive.
    pub end_layer: u32,
    /// Type of accelerator, as reported to the agent.
    pub accelerator: String,
    /// Maximum number of sequences in a batch.
    pub max_batch: u32,
    /// Number of requests whose caches fit in memory.
    pub slots: u32,
    /// Duration of a batch regardless of its size, in microseconds.
    pub fixed_micros: u64,
    /// Additional duration of a batch for each sequence, in microseconds.
    pub item_micros: u64,
    /// Whether the engine rejects load orders whose plan version is not newer than the last one;
    /// otherwise its agent has to check this.
    #[serde(default)]
    pub fenced: bool,
    /// Time to load one layer, in microseconds.
    #[serde(default)]
    pub load_micros_per_layer: u64,
}

impl EngineConfig {
    /// Returns the steps per second at full batches, without prompts.
    pub fn steps_per_s(&self) -> f64 {
        let batch = u64::from(self.max_batch);
        let micros = self.fixed_micros + self.item_micros * batch;
        batch as f64 * 1e6 / micros as f64
    }
}

/// Counters of the work that an engine did.
#[derive(Debug, Default)]
pub struct RunLog {
    steps: AtomicU64,
    positions: AtomicU64,
    batches: AtomicU64,
    step_errors: AtomicU64,
    started_requests: AtomicU64,
    /// Number of starts for each hash of a prompt.
    prompts: Mutex<HashMap<u64, u32>>,
}

impl RunLog {
    /// Returns the number of failed steps, such as those whose first position does not continue the
    /// request's cache.
    pub fn step_errors(&self) -> u64 {
        self.step_errors.load(Ordering::Relaxed)
    }

    /// Returns how often this engine started a prompt; 0 if it does not hold the first layer.
    pub fn prompt_runs(&self, prompt: &[u32]) -> u32 {
        self.lock_prompts().get(&prompt_hash(prompt)).copied().unwrap_or(0)
    }

    /// Returns the number of requests that were started at this engine, at any layer.
    pub fn started_requests(&self) -> u64 {
        self.started_requests.load(Ordering::Relaxed)
    }

    fn lock_prompts(&self) -> MutexGuard<'_, HashMap<u64, u32>> {
        self.prompts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, step: &StepInput, output: &StepOutput) {
        self.steps.fetch_add(1, Ordering::Relaxed);
        self.positions.fetch_add(u64::from(step_len(step)), Ordering::Relaxed);
        if !output.error.is_empty() {
            self.step_errors.fetch_add(1, Ordering::Relaxed);
            return;
        }
        if step.first_position == 0 {
            self.started_requests.fetch_add(1, Ordering::Relaxed);
            if !step.tokens.is_empty() {
                *self.lock_prompts().entry(prompt_hash(&step.tokens)).or_default() += 1;
            }
        }
    }

    /// Returns the number of steps, failed ones included.
    pub fn steps(&self) -> u64 {
        self.steps.load(Ordering::Relaxed)
    }

    /// Returns the number of positions of all steps, prompts included.
    pub fn positions(&self) -> u64 {
        self.positions.load(Ordering::Relaxed)
    }

    /// Returns the number of batches.
    pub fn batches(&self) -> u64 {
        self.batches.load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
struct EngineState {
    config: EngineConfig,
    plan_version: u64,
    /// End of the last loading of layers, before which no batch starts.
    ready_at: Instant,
    caches: HashMap<RequestKey, LayerCaches>,
    /// Number of cached positions of each request.
    positions: HashMap<RequestKey, u32>,
    queued: VecDeque<StepInput>,
    running: Vec<StepInput>,
    outputs: Option<mpsc::UnboundedSender<StepOutput>>,
    slowdown_percent: u64,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct RequestKey {
    incarnation: u64,
    counter: u64,
}

impl From<CacheKey> for RequestKey {
    fn from(key: CacheKey) -> Self {
        Self { incarnation: key.incarnation, counter: key.counter }
    }
}

/// Stand-in for a model engine.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    state: Arc<Mutex<EngineState>>,
    wake: Arc<Notify>,
    log: Arc<RunLog>,
}

impl EngineStandin {
    /// Creates an engine, which runs batches while [`EngineStandin::serve`] runs.
    pub fn new(config: EngineConfig) -> Self {
        let state = EngineState {
            config,
            plan_version: 0,
            ready_at: Instant::now(),
            caches: HashMap::new(),
            positions: HashMap::new(),
            queued: VecDeque::new(),
            running: Vec::new(),
            outputs: None,
            slowdown_percent: 100,
        };
        Self { state: Arc::new(Mutex::new(state)), wake: Arc::default(), log: Arc::default() }
    }

    /// Returns the counters of the work done so far.
    pub fn log(&self) -> &Arc<RunLog> {
        &self.log
    }

    /// Sets the duration of batches in percent of the configured one: 300 makes the engine three
    /// times as slow.
    pub fn set_slowdown(&self, percent: u64) {
        self.state().slowdown_percent = percent;
    }

    /// Serves the gRPC interface and runs batches until the task is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the server fails.
    pub async fn serve(self, listener: TcpListener) -> Result<(), tonic::transport::Error> {
        let batches = tokio::spawn(self.clone().run_batches());
        let _stop = AbortOnDrop(batches);
        let incoming = switchfold_link::bind_incoming(listener);
        let server = tonic::transport::Server::builder().add_service(EngineServer::new(self));
        server.serve_with_incoming(incoming).await
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run_batches(self) {
        let mut available_at = Instant::now();
        loop {
            let Some(ends_at) = self.start_next_batch(available_at) else {
                self.wake.notified().await;
                available_at = available_at.max(Instant::now());
                continue;
            };
            available_at = ends_at;
            sleep_until(ends_at).await;
            self.finish_batch();
        }
    }

    /// Starts the next batch and returns its end time, or `None` if no step is queued.
    fn start_next_batch(&self, available_at: Instant) -> Option<Instant> {
        let mut state = self.state();
        if state.queued.is_empty() {
            return None;
        }
        let max_batch = state.config.max_batch as usize;
        let mut batch: Vec<StepInput> = state.queued.drain(..).collect();
        batch.sort_by_key(|step| std::cmp::Reverse(step.priority));
        let rest = batch.split_off(batch.len().min(max_batch));
        state.queued.extend(rest);
        let positions: u64 = batch.iter().map(|step| u64::from(step_len(step))).sum();
        let sequences = batch.len() as u64;
        let prefill_micros = (positions - sequences) * state.config.item_micros / PREFILL_DISCOUNT;
        let unscaled_micros =
            state.config.fixed_micros + state.config.item_micros * sequences + prefill_micros;
        let micros = unscaled_micros * state.slowdown_percent / 100;
        let starts_at = available_at.max(state.ready_at);
        state.running = batch;
        Some(starts_at + Duration::from_micros(micros))
    }

    fn finish_batch(&self) {
        let mut state = self.state();
        for step in std::mem::take(&mut state.running) {
            let output = run_step(&mut state, &step);
            self.log.record(&step, &output);
            let Some(outputs) = &state.outputs else {
                continue;
            };
            // If the agent has closed the stream, the output is dropped; a new stream clears all
            // state.
            let _sent = outputs.send(output);
        }
        self.log.batches.fetch_add(1, Ordering::Relaxed);
    }

    fn accept_step(&self, step: StepInput) {
        let mut state = self.state();
        if step.release {
            if let Some(key) = step.key {
                state.caches.remove(&key.into());
                state.positions.remove(&key.into());
                state.queued.retain(|step| step.key != Some(key));
                state.running.retain(|step| step.key != Some(key));
            }
            return;
        }
        state.queued.push_back(step);
        drop(state);
        self.wake.notify_one();
    }
}

struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn prompt_hash(tokens: &[u32]) -> u64 {
    let bytes: Vec<u8> = tokens.iter().flat_map(|token| token.to_le_bytes()).collect();
    hash_bytes(13, &bytes)
}

/// Returns the number of positions of a step, which is at least 1.
fn step_len(step: &StepInput) -> u32 {
    let from_bytes = step.activations.len() / ACTIVATION_BYTES;
    (step.tokens.len().max(from_bytes) as u32).max(1)
}

fn error_output(ticket: u64, error: &str) -> StepOutput {
    StepOutput { ticket, activations: Bytes::new(), token: 0, error: error.to_owned() }
}

fn run_step(state: &mut EngineState, step: &StepInput) -> StepOutput {
    let Some(key) = step.key.map(RequestKey::from) else {
        return error_output(step.ticket, "step has no key");
    };
    let (first, end) = (state.config.first_layer, state.config.end_layer);
    if step.reset {
        state.caches.remove(&key);
        state.positions.remove(&key);
    }
    let cached = state.positions.entry(key).or_default();
    if *cached != step.first_position {
        let error =
            format!("cache holds {cached} positions, step starts at {}", step.first_position);
        return error_output(step.ticket, &error);
    }
    let caches = state.caches.entry(key).or_insert_with(|| LayerCaches::new(first, end));
    let seed = model_seed(&state.config.model);
    let inputs: Vec<u64> = if first == 0 {
        step.tokens.iter().map(|token| embed(*token)).collect()
    } else {
        let chunks = step.activations.chunks_exact(ACTIVATION_BYTES);
        chunks.filter_map(|chunk| Some(u64::from_le_bytes(chunk.try_into().ok()?))).collect()
    };
    let mut outputs = Vec::with_capacity(inputs.len() * ACTIVATION_BYTES);
    let mut last = 0;
    for (offset, input) in inputs.iter().enumerate() {
        last = caches.run(seed, step.first_position + offset as u32, *input);
        outputs.extend_from_slice(&last.to_le_bytes());
    }
    *cached += inputs.len() as u32;
    let token = if step.want_token { token_of(last) } else { 0 };
    StepOutput { ticket: step.ticket, activations: outputs.into(), token, error: String::new() }
}

#[tonic::async_trait]
impl Engine for EngineStandin {
    type RunStream = Pin<Box<dyn Stream<Item = Result<StepOutput, Status>> + Send>>;

    async fn run(
        &self,
        request: Request<Streaming<StepInput>>,
    ) -> Result<Response<Self::RunStream>, Status> {
        let (sender, receiver) = mpsc::unbounded_channel();
        {
            let mut state = self.state();
            state.outputs = Some(sender);
            state.caches.clear();
            state.positions.clear();
            state.queued.clear();
            state.running.clear();
        }
        let engine = self.clone();
        let mut steps = request.into_inner();
        tokio::spawn(async move {
            while let Ok(Some(step)) = steps.message().await {
                engine.accept_step(step);
            }
        });
        Ok(Response::new(Box::pin(UnboundedReceiverStream::new(receiver).map(Ok))))
    }

    async fn describe(&self, _: Request<DescribeRequest>) -> Result<Response<Description>, Status> {
        let state = self.state();
        let config = &state.config;
        Ok(Response::new(Description {
            model: config.model.clone(),
            first_layer: config.first_layer,
            end_layer: config.end_layer,
            max_batch: config.max_batch,
            slots: config.slots,
            fixed_micros: config.fixed_micros as u32,
            item_micros: config.item_micros as u32,
            accelerator: config.accelerator.clone(),
            layers: config.layers,
        }))
    }

    async fn order(&self, request: Request<LoadOrder>) -> Result<Response<OrderAnswer>, Status> {
        let order = request.into_inner();
        let mut state = self.state();
        if state.config.fenced && order.plan_version <= state.plan_version {
            let reason = format!("plan {} is not above {}", order.plan_version, state.plan_version);
            return Ok(Response::new(OrderAnswer { accepted: false, reason }));
        }
        let Ok(range) = LayerRange::new(order.first_layer, order.end_layer) else {
            let reason = "empty layer range".to_owned();
            return Ok(Response::new(OrderAnswer { accepted: false, reason }));
        };
        state.plan_version = order.plan_version;
        state.config.model = order.model;
        state.config.first_layer = range.first();
        state.config.end_layer = range.end();
        let load = state.config.load_micros_per_layer * u64::from(range.count());
        state.ready_at = Instant::now() + Duration::from_micros(load);
        state.caches.clear();
        state.positions.clear();
        Ok(Response::new(OrderAnswer { accepted: true, reason: String::new() }))
    }

    async fn export_cache(
        &self,
        request: Request<CacheKey>,
    ) -> Result<Response<CacheState>, Status> {
        let key = request.into_inner();
        let state = self.state();
        let caches = state.caches.get(&key.into());
        let caches = caches.ok_or_else(|| Status::not_found("no cache for this request"))?;
        let next_position = state.positions.get(&key.into()).copied().unwrap_or_default();
        Ok(Response::new(CacheState {
            key: Some(key),
            next_position,
            state: caches.to_bytes().into(),
        }))
    }

    async fn import_cache(
        &self,
        request: Request<CacheState>,
    ) -> Result<Response<OrderAnswer>, Status> {
        let import = request.into_inner();
        let key = import.key.ok_or_else(|| Status::invalid_argument("cache has no key"))?;
        let mut state = self.state();
        let (first, end) = (state.config.first_layer, state.config.end_layer);
        let Some(caches) = LayerCaches::from_bytes(first, end, &import.state) else {
            let reason = "cache belongs to other layers".to_owned();
            return Ok(Response::new(OrderAnswer { accepted: false, reason }));
        };
        state.caches.insert(key.into(), caches);
        state.positions.insert(key.into(), import.next_position);
        Ok(Response::new(OrderAnswer { accepted: true, reason: String::new() }))
    }
}
