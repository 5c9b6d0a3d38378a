//! Randomised simulation of an entry and its agents under message loss, duplication and reordering,
//! and under kills and restarts of agents.
//!
//! The state machines of the programs are connected without sockets or clocks. A seeded generator
//! chooses the next event: a message is delivered, duplicated or lost; an engine runs a step; an
//! agent is killed, loses its link, or restarts with a new incarnation. For every order of events,
//! the generated tokens must equal those of the oracle, a request that ended as `not-run` must not
//! have started, and a request that must run at most once must not have started twice.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    sync::Arc,
};

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use switchfold_agent::gate::{
    EngineDescription, EntryKey, GateAction, GateConfig, GateEndpoint, GateState,
};
use switchfold_core::{id::RequestId, route::LayerRange};
use switchfold_entry::dispatch::{
    DispatchAction, DispatchConfig, DispatchState, ModelConfig,
    submission::{CallerEvent, Submission, Work},
};
use switchfold_proto::{
    engine::{StepInput, StepOutput},
    link::message::Body,
};
use switchfold_standin::model::{LayerCaches, embed, model_seed, oracle, token_of};

const MODEL: &str = "lots";
const LAYERS: u32 = 6;
const STAGES: u32 = 3;
const REPLICAS: u32 = 2;
const REQUESTS: u64 = 8;

/// Probabilities of the faults, in thousandths.
#[derive(Clone, Copy, Debug)]
struct FaultRates {
    loss: u32,
    duplication: u32,
    kill: u32,
    disconnect: u32,
    /// A message may be delivered before up to two earlier ones of its link.
    reorder: bool,
}

/// An engine: the caches and the number of cached positions of each request, and the queued steps.
#[derive(Default)]
struct EngineModel {
    caches: HashMap<RequestId, (LayerCaches, u32)>,
    queued: VecDeque<StepInput>,
}

struct AgentModel {
    gate: GateState,
    engine: EngineModel,
    incarnation: u64,
    layers: LayerRange,
    is_alive: bool,
    is_connected: bool,
}

/// Sender or receiver of a message.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Node {
    Entry,
    Agent(String),
}

struct Outcome {
    tokens: Vec<u32>,
    end: Option<CallerEvent>,
}

struct Simulation {
    random: ChaCha8Rng,
    fault_rates: FaultRates,
    now: u64,
    entry: DispatchState,
    agents: BTreeMap<String, AgentModel>,
    network: BTreeMap<(Node, Node), VecDeque<Body>>,
    outcomes: BTreeMap<RequestId, Outcome>,
    /// Number of times that each request was started at the first layer.
    starts: HashMap<RequestId, u32>,
    /// Every (agent, incarnation, request, first layer, position) that an engine ran, to detect a
    /// position that runs twice.
    run_positions: HashSet<(String, u64, RequestId, u32, u32)>,
    violations: Vec<String>,
}

fn entry_key() -> EntryKey {
    EntryKey { name: "entry".to_owned(), incarnation: 1 }
}

fn agent_name(stage: u32, replica: u32) -> String {
    format!("agent-{stage}-{replica}")
}

fn new_gate(name: &str, incarnation: u64, layers: LayerRange) -> GateState {
    GateState::new(GateConfig {
        process: name.to_owned(),
        incarnation,
        address: name.to_owned(),
        data_centre: "here".to_owned(),
        endpoint: GateEndpoint::Engine(EngineDescription {
            model: MODEL.to_owned(),
            layers,
            max_batch: 4,
            slots: 6,
            fixed_micros: 1_000,
            item_micros: 100,
            accelerator: "test".to_owned(),
        }),
        reserve_hundredths: 20,
        target_hundredths: 0,
        log_bytes: 1 << 16,
        ledger_capacity: 1_000,
    })
}

impl Simulation {
    fn new(seed: u64, fault_rates: FaultRates) -> Self {
        let models = vec![ModelConfig { name: MODEL.to_owned(), layers: LAYERS }];
        let mut config = DispatchConfig::new("entry", 1, models);
        config.seed = seed;
        config.stall_timeout = 200;
        config.agent_timeout = 400;
        config.void_timeout = 300;
        config.replacement_timeout = 2_000;
        let mut simulation = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            fault_rates,
            now: 1,
            entry: DispatchState::new(config),
            agents: BTreeMap::new(),
            network: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            starts: HashMap::new(),
            run_positions: HashSet::new(),
            violations: Vec::new(),
        };
        for stage in 0..STAGES {
            for replica in 0..REPLICAS {
                let width = LAYERS / STAGES;
                let layers =
                    LayerRange::new(stage * width, (stage + 1) * width).expect("not empty");
                simulation.start_agent(&agent_name(stage, replica), 1, layers);
            }
        }
        simulation
    }

    fn start_agent(&mut self, name: &str, incarnation: u64, layers: LayerRange) {
        let gate = new_gate(name, incarnation, layers);
        let agent = AgentModel {
            gate,
            engine: EngineModel::default(),
            incarnation,
            layers,
            is_alive: true,
            is_connected: false,
        };
        self.agents.insert(name.to_owned(), agent);
        self.connect(name);
    }

    fn connect(&mut self, name: &str) {
        let agent = self.agents.get_mut(name).expect("known agent");
        if !agent.is_alive || agent.is_connected {
            return;
        }
        agent.is_connected = true;
        let actions = agent.gate.entry_connected(entry_key());
        self.execute(name, actions);
    }

    /// Closes the link between the entry and an agent; messages in transit are lost.
    fn disconnect(&mut self, name: &str) {
        let node = Node::Agent(name.to_owned());
        self.network.remove(&(Node::Entry, node.clone()));
        self.network.remove(&(node, Node::Entry));
        let Some(agent) = self.agents.get_mut(name).filter(|agent| agent.is_connected) else {
            return;
        };
        agent.is_connected = false;
        let actions = agent.gate.entry_disconnected(&entry_key());
        self.execute(name, actions);
        let actions = self.entry.on_link_lost(self.now, name);
        self.execute_entry_actions(actions);
    }

    fn kill(&mut self, name: &str) {
        let node = Node::Agent(name.to_owned());
        self.network.retain(|(from, to), _| *from != node && *to != node);
        if let Some(agent) = self.agents.get_mut(name) {
            agent.is_alive = false;
            agent.is_connected = false;
        }
        let actions = self.entry.on_link_lost(self.now, name);
        self.execute_entry_actions(actions);
        let others: Vec<String> =
            self.agents.keys().filter(|other| *other != name).cloned().collect();
        for other in others {
            let agent = self.agents.get_mut(&other).expect("known agent");
            if agent.is_alive {
                let actions = agent.gate.stage_disconnected(name);
                self.execute(&other, actions);
            }
        }
    }

    fn submit(&mut self, counter: u64) {
        let id = self.entry.issue_id();
        let prompt: Vec<u32> =
            (0..3 + counter as u32 % 3).map(|token| token * 31 + counter as u32).collect();
        let submission = Submission {
            id,
            organisation: Arc::from("org"),
            weight: 1,
            class: Arc::from("class"),
            target: MODEL.to_owned(),
            priority: 1,
            deadline: self.now + 3_000,
            once: counter.is_multiple_of(3),
            work: Work::Completion { prompt, max_tokens: 4 },
        };
        self.outcomes.insert(id, Outcome { tokens: Vec::new(), end: None });
        let actions = self.entry.submit(self.now, submission);
        self.execute_entry_actions(actions);
    }

    fn enqueue(&mut self, from: Node, to: Node, body: Body) {
        self.network.entry((from, to)).or_default().push_back(body);
    }

    fn execute_entry_actions(&mut self, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Send { process, body } => {
                    if self.agents.get(&process).is_some_and(|agent| agent.is_connected) {
                        self.enqueue(Node::Entry, Node::Agent(process), body);
                    }
                }
                DispatchAction::Notify { request, event } => self.record_event(request, event),
                DispatchAction::ResetLink { process } => self.disconnect(&process),
                DispatchAction::Observe(_) => {}
            }
        }
    }

    fn record_event(&mut self, request: RequestId, event: CallerEvent) {
        let outcome = self.outcomes.get_mut(&request).expect("submitted");
        match event {
            CallerEvent::Tokens(tokens) => outcome.tokens.extend(tokens),
            end => {
                if outcome.end.replace(end).is_some() {
                    self.violations.push(format!("{request} ended twice"));
                }
            }
        }
    }

    fn execute(&mut self, name: &str, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::ToEntry { body, .. } => {
                    if self.agents.get(name).is_some_and(|agent| agent.is_connected) {
                        self.enqueue(Node::Agent(name.to_owned()), Node::Entry, body);
                    }
                }
                GateAction::ToStage { address, body } => {
                    if self.agents.get(&address).is_some_and(|agent| agent.is_alive) {
                        self.enqueue(Node::Agent(name.to_owned()), Node::Agent(address), body);
                    } else {
                        let agent = self.agents.get_mut(name).expect("known agent");
                        let actions = agent.gate.stage_disconnected(&address);
                        self.execute(name, actions);
                    }
                }
                GateAction::RunStep(step) => {
                    self.agents.get_mut(name).expect("known agent").engine.queued.push_back(step)
                }
                GateAction::ReleaseCache(id) => {
                    let engine = &mut self.agents.get_mut(name).expect("known agent").engine;
                    engine.caches.remove(&id);
                    engine.queued.retain(|step| step_id(step) != id);
                }
                GateAction::CallService(_) | GateAction::LoadLayers(_) => {}
            }
        }
    }

    fn deliver(&mut self) {
        let nonempty_links: Vec<(Node, Node)> = self
            .network
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(link, _)| link.clone())
            .collect();
        if nonempty_links.is_empty() {
            return;
        }
        let link = nonempty_links[self.random.random_range(0..nonempty_links.len())].clone();
        let queue = self.network.get_mut(&link).expect("chosen above");
        let index = if self.fault_rates.reorder {
            self.random.random_range(0..queue.len().min(3))
        } else {
            0
        };
        let body = queue.remove(index).expect("not empty");
        let roll = self.random.random_range(0..1_000);
        if roll < self.fault_rates.loss {
            return;
        }
        if roll < self.fault_rates.loss + self.fault_rates.duplication {
            self.network.get_mut(&link).expect("chosen above").push_back(body.clone());
        }
        self.receive(link, body);
    }

    fn receive(&mut self, (from, to): (Node, Node), body: Body) {
        match to {
            Node::Entry => {
                if let Node::Agent(name) = from {
                    let actions = self.entry.on_message(self.now, &name, &name, body);
                    self.execute_entry_actions(actions);
                }
            }
            Node::Agent(name) => {
                let Some(agent) = self.agents.get_mut(&name).filter(|agent| agent.is_alive) else {
                    return;
                };
                let actions = match from {
                    Node::Entry => agent.gate.on_entry_message(&entry_key(), body),
                    Node::Agent(_) => agent.gate.on_stage_message(body),
                };
                self.execute(&name, actions);
            }
        }
    }

    fn run_engine(&mut self) {
        let busy: Vec<String> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.is_alive && !agent.engine.queued.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        if busy.is_empty() {
            return;
        }
        let name = busy[self.random.random_range(0..busy.len())].clone();
        let agent = self.agents.get_mut(&name).expect("chosen above");
        let step = agent.engine.queued.pop_front().expect("not empty");
        let id = step_id(&step);
        let layers = agent.layers;
        if step.reset {
            agent.engine.caches.remove(&id);
            self.run_positions.retain(|(other, incarnation, request, ..)| {
                *other != name || *incarnation != agent.incarnation || *request != id
            });
            if layers.first() == 0 {
                *self.starts.entry(id).or_default() += 1;
            }
        }
        let empty_caches = || (LayerCaches::new(layers.first(), layers.end()), 0);
        let (caches, next) = agent.engine.caches.entry(id).or_insert_with(empty_caches);
        if *next != step.first_position {
            self.violations
                .push(format!("{name}: {id} at {next}, step starts at {}", step.first_position));
            return;
        }
        let inputs: Vec<u64> = if layers.first() == 0 {
            step.tokens.iter().map(|token| embed(*token)).collect()
        } else {
            let chunks = step.activations.chunks_exact(8);
            chunks.map(|chunk| u64::from_le_bytes(chunk.try_into().expect("8 bytes"))).collect()
        };
        let mut activations = Vec::new();
        let mut last = 0;
        for input in inputs {
            last = caches.run(model_seed(MODEL), *next, input);
            activations.extend_from_slice(&last.to_le_bytes());
            if !self.run_positions.insert((
                name.clone(),
                agent.incarnation,
                id,
                layers.first(),
                *next,
            )) {
                self.violations.push(format!("{name}: {id} ran position {next} twice"));
            }
            *next += 1;
        }
        let token = if step.want_token { token_of(last) } else { 0 };
        let output = StepOutput {
            ticket: step.ticket,
            activations: activations.into(),
            token,
            error: String::new(),
        };
        let actions = agent.gate.on_output(&output);
        self.execute(&name, actions);
    }

    fn inject_fault(&mut self) {
        let names: Vec<String> = self.agents.keys().cloned().collect();
        let name = names[self.random.random_range(0..names.len())].clone();
        let roll = self.random.random_range(0..1_000);
        if roll < self.fault_rates.kill {
            self.kill(&name);
        } else if roll < self.fault_rates.kill + self.fault_rates.disconnect {
            self.disconnect(&name);
        }
    }

    /// Restarts killed agents with a new incarnation and reopens closed links.
    fn recover(&mut self) {
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            let agent = &self.agents[&name];
            if !agent.is_alive {
                let (incarnation, layers) = (agent.incarnation + 1, agent.layers);
                self.start_agent(&name, incarnation, layers);
            } else if !agent.is_connected {
                self.connect(&name);
            }
        }
    }

    fn tick(&mut self) {
        self.now += 10;
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            let agent = self.agents.get_mut(&name).expect("known agent");
            if agent.is_alive && agent.is_connected {
                let actions = agent.gate.make_offers();
                self.execute(&name, actions);
            }
        }
        let actions = self.entry.tick(self.now);
        self.execute_entry_actions(actions);
    }

    fn run(&mut self) {
        for counter in 0..REQUESTS {
            self.submit(counter);
            for _ in 0..40 {
                self.step();
            }
        }
        let mut rounds = 0;
        while self.outcomes.values().any(|outcome| outcome.end.is_none()) && rounds < 40_000 {
            rounds += 1;
            // From this round on no faults are injected, so that every request must end.
            if rounds == 3_000 {
                self.fault_rates =
                    FaultRates { loss: 0, duplication: 0, kill: 0, disconnect: 0, reorder: false };
            }
            self.step();
        }
    }

    fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..=54 => self.deliver(),
            55..=84 => self.run_engine(),
            85..=89 => self.inject_fault(),
            90..=91 => self.recover(),
            _ => self.tick(),
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.violations.is_empty(), "{:?}", self.violations);
        for (id, outcome) in &self.outcomes {
            let counter = id.counter - 1;
            let prompt: Vec<u32> =
                (0..3 + counter as u32 % 3).map(|token| token * 31 + counter as u32).collect();
            let expected = oracle(MODEL, LAYERS, &prompt, 4);
            prop_assert!(expected.starts_with(&outcome.tokens), "{id}: {:?}", outcome.tokens);
            let starts = self.starts.get(id).copied().unwrap_or(0);
            match &outcome.end {
                Some(CallerEvent::Done { .. }) => prop_assert_eq!(&outcome.tokens, &expected),
                Some(CallerEvent::NotRun { .. }) => {
                    prop_assert_eq!(starts, 0, "{} started and ended as not-run", id)
                }
                Some(_) => {}
                None => prop_assert!(false, "{id} never ended"),
            }
            if counter % 3 == 0 {
                prop_assert!(starts <= 1, "{id} must run at most once and started {starts} times");
            }
        }
        Ok(())
    }
}

fn step_id(step: &StepInput) -> RequestId {
    let key = step.key.expect("every step has a key");
    RequestId { incarnation: key.incarnation, counter: key.counter }
}

fn run(seed: u64, fault_rates: FaultRates) -> Result<Simulation, TestCaseError> {
    let mut simulation = Simulation::new(seed, fault_rates);
    simulation.run();
    simulation.check()?;
    Ok(simulation)
}

const NO_FAULTS: FaultRates =
    FaultRates { loss: 0, duplication: 0, kill: 0, disconnect: 0, reorder: false };

#[test]
fn without_faults_all_requests_complete_and_start_once() {
    let simulation = run(1, NO_FAULTS).expect("guarantees hold");
    assert!(
        simulation
            .outcomes
            .values()
            .all(|outcome| matches!(outcome.end, Some(CallerEvent::Done { .. })))
    );
    assert!(simulation.starts.values().all(|starts| *starts == 1));
    assert_eq!(simulation.entry.counts().stages_replaced, 0);
}

#[test]
fn repeatable_requests_complete_after_the_loss_of_any_stage() {
    for stage in 0..STAGES {
        for moment in 0..60 {
            let mut simulation = Simulation::new(u64::from(stage * 100 + moment), NO_FAULTS);
            for _ in 0..50 {
                simulation.step();
            }
            // The first identifier is skipped: `check` requires its request to run at most once.
            let _skipped = simulation.entry.issue_id();
            simulation.submit(1);
            for _ in 0..moment * 4 {
                simulation.step();
            }
            simulation.kill(&agent_name(stage, 0));
            let mut rounds = 0;
            while simulation.outcomes.values().any(|outcome| outcome.end.is_none())
                && rounds < 40_000
            {
                rounds += 1;
                match simulation.random.random_range(0..100) {
                    0..=54 => simulation.deliver(),
                    55..=89 => simulation.run_engine(),
                    _ => simulation.tick(),
                }
            }
            simulation.check().expect("guarantees hold");
            let end = simulation.outcomes.values().next().and_then(|outcome| outcome.end.as_ref());
            assert!(
                matches!(end, Some(CallerEvent::Done { .. })),
                "stage {stage}, moment {moment}: {end:?}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    /// Links behave like TCP connections: messages arrive in order and once until the link is
    /// closed. Agents are killed and restarted.
    #[test]
    fn guarantees_hold_under_kills_and_disconnects(seed in any::<u64>(), kill in 0_u32..120, disconnect in 0_u32..120) {
        run(seed, FaultRates { kill, disconnect, ..NO_FAULTS })?;
    }

    /// Links are less reliable than TCP: messages are lost, duplicated and reordered.
    #[test]
    fn guarantees_hold_under_loss_duplication_and_reordering(
        seed in any::<u64>(), loss in 0_u32..60, duplication in 0_u32..100, kill in 0_u32..60, reorder in any::<bool>()
    ) {
        run(seed, FaultRates { loss, duplication, kill, disconnect: kill, reorder })?;
    }
}
