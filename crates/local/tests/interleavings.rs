//! An entry and its agents under any order of messages, losses, repetitions, kills and restarts.
//!
//! The state machines of the programs are wired together without sockets or clocks. A generator
//! chooses what happens next: a message arrives, arrives twice, or is lost; an engine runs a step; an
//! agent dies, loses its link, or comes back as another run. Whatever it chooses, the answers must be
//! the oracle's, `not-run` must be true, and what must run once must not run twice.

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

/// How rough the run is, in thousandths of the steps.
#[derive(Clone, Copy, Debug)]
struct Roughness {
    lose: u32,
    repeat: u32,
    kill: u32,
    cut: u32,
    /// A message may overtake others of its link.
    overtake: bool,
}

/// An engine: its caches, and the steps that wait.
#[derive(Default)]
struct EngineModel {
    caches: HashMap<RequestId, (LayerCaches, u32)>,
    waiting: VecDeque<StepInput>,
}

struct AgentModel {
    gate: GateState,
    engine: EngineModel,
    incarnation: u64,
    layers: LayerRange,
    alive: bool,
    linked: bool,
}

/// Who a message goes to.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Party {
    Entry,
    Agent(String),
}

struct Outcome {
    tokens: Vec<u32>,
    end: Option<CallerEvent>,
}

struct World {
    random: ChaCha8Rng,
    roughness: Roughness,
    now: u64,
    entry: DispatchState,
    agents: BTreeMap<String, AgentModel>,
    network: BTreeMap<(Party, Party), VecDeque<Body>>,
    outcomes: BTreeMap<RequestId, Outcome>,
    /// Runs of position 0 at the first layer, by request.
    begun: HashMap<RequestId, u32>,
    /// Every (agent run, request, position) that an engine ran, to see one run twice.
    ran: HashSet<(String, u64, RequestId, u32, u32)>,
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

impl World {
    fn new(seed: u64, roughness: Roughness) -> Self {
        let models = vec![ModelConfig { name: MODEL.to_owned(), layers: LAYERS }];
        let mut config = DispatchConfig::new("entry", 1, models);
        config.seed = seed;
        config.stall_timeout = 200;
        config.agent_timeout = 400;
        config.void_timeout = 300;
        config.replacement_timeout = 2_000;
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            roughness,
            now: 1,
            entry: DispatchState::new(config),
            agents: BTreeMap::new(),
            network: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            begun: HashMap::new(),
            ran: HashSet::new(),
            violations: Vec::new(),
        };
        for stage in 0..STAGES {
            for replica in 0..REPLICAS {
                let width = LAYERS / STAGES;
                let layers =
                    LayerRange::new(stage * width, (stage + 1) * width).expect("not empty");
                world.start_agent(&agent_name(stage, replica), 1, layers);
            }
        }
        world
    }

    fn start_agent(&mut self, name: &str, incarnation: u64, layers: LayerRange) {
        let gate = new_gate(name, incarnation, layers);
        let agent = AgentModel {
            gate,
            engine: EngineModel::default(),
            incarnation,
            layers,
            alive: true,
            linked: false,
        };
        self.agents.insert(name.to_owned(), agent);
        self.link(name);
    }

    fn link(&mut self, name: &str) {
        let agent = self.agents.get_mut(name).expect("known");
        if !agent.alive || agent.linked {
            return;
        }
        agent.linked = true;
        let actions = agent.gate.entry_connected(entry_key());
        self.carry_out(name, actions);
    }

    /// Ends the link between the entry and an agent; what was on its way is lost.
    fn cut(&mut self, name: &str) {
        let party = Party::Agent(name.to_owned());
        self.network.remove(&(Party::Entry, party.clone()));
        self.network.remove(&(party, Party::Entry));
        let Some(agent) = self.agents.get_mut(name).filter(|agent| agent.linked) else {
            return;
        };
        agent.linked = false;
        let actions = agent.gate.entry_disconnected(&entry_key());
        self.carry_out(name, actions);
        let actions = self.entry.on_link_lost(self.now, name);
        self.dispatch(actions);
    }

    fn kill(&mut self, name: &str) {
        let party = Party::Agent(name.to_owned());
        self.network.retain(|(from, to), _| *from != party && *to != party);
        if let Some(agent) = self.agents.get_mut(name) {
            agent.alive = false;
            agent.linked = false;
        }
        let actions = self.entry.on_link_lost(self.now, name);
        self.dispatch(actions);
        let others: Vec<String> =
            self.agents.keys().filter(|other| *other != name).cloned().collect();
        for other in others {
            let agent = self.agents.get_mut(&other).expect("known");
            if agent.alive {
                let actions = agent.gate.stage_disconnected(name);
                self.carry_out(&other, actions);
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
        self.dispatch(actions);
    }

    fn post(&mut self, from: Party, to: Party, body: Body) {
        self.network.entry((from, to)).or_default().push_back(body);
    }

    fn dispatch(&mut self, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Send { process, body } => {
                    if self.agents.get(&process).is_some_and(|agent| agent.linked) {
                        self.post(Party::Entry, Party::Agent(process), body);
                    }
                }
                DispatchAction::Notify { request, event } => self.tell(request, event),
                DispatchAction::ResetLink { process } => self.cut(&process),
                DispatchAction::Observe(_) => {}
            }
        }
    }

    fn tell(&mut self, request: RequestId, event: CallerEvent) {
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

    fn carry_out(&mut self, name: &str, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::ToEntry { body, .. } => {
                    if self.agents.get(name).is_some_and(|agent| agent.linked) {
                        self.post(Party::Agent(name.to_owned()), Party::Entry, body);
                    }
                }
                GateAction::ToStage { address, body } => {
                    if self.agents.get(&address).is_some_and(|agent| agent.alive) {
                        self.post(Party::Agent(name.to_owned()), Party::Agent(address), body);
                    } else {
                        let agent = self.agents.get_mut(name).expect("known");
                        let actions = agent.gate.stage_disconnected(&address);
                        self.carry_out(name, actions);
                    }
                }
                GateAction::RunStep(step) => {
                    self.agents.get_mut(name).expect("known").engine.waiting.push_back(step)
                }
                GateAction::ReleaseCache(id) => {
                    let engine = &mut self.agents.get_mut(name).expect("known").engine;
                    engine.caches.remove(&id);
                    engine.waiting.retain(|step| step_id(step) != id);
                }
                GateAction::CallService(_) | GateAction::LoadLayers(_) => {}
            }
        }
    }

    fn deliver(&mut self) {
        let routes: Vec<(Party, Party)> = self
            .network
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(route, _)| route.clone())
            .collect();
        if routes.is_empty() {
            return;
        }
        let route = routes[self.random.random_range(0..routes.len())].clone();
        let queue = self.network.get_mut(&route).expect("chosen");
        let place = if self.roughness.overtake {
            self.random.random_range(0..queue.len().min(3))
        } else {
            0
        };
        let body = queue.remove(place).expect("not empty");
        let dice = self.random.random_range(0..1_000);
        if dice < self.roughness.lose {
            return;
        }
        if dice < self.roughness.lose + self.roughness.repeat {
            self.network.get_mut(&route).expect("chosen").push_back(body.clone());
        }
        self.arrive(route, body);
    }

    fn arrive(&mut self, (from, to): (Party, Party), body: Body) {
        match to {
            Party::Entry => {
                if let Party::Agent(name) = from {
                    let actions = self.entry.on_message(self.now, &name, &name, body);
                    self.dispatch(actions);
                }
            }
            Party::Agent(name) => {
                let Some(agent) = self.agents.get_mut(&name).filter(|agent| agent.alive) else {
                    return;
                };
                let actions = match from {
                    Party::Entry => agent.gate.on_entry_message(&entry_key(), body),
                    Party::Agent(_) => agent.gate.on_stage_message(body),
                };
                self.carry_out(&name, actions);
            }
        }
    }

    fn run_engine(&mut self) {
        let busy: Vec<String> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.alive && !agent.engine.waiting.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        if busy.is_empty() {
            return;
        }
        let name = busy[self.random.random_range(0..busy.len())].clone();
        let agent = self.agents.get_mut(&name).expect("chosen");
        let step = agent.engine.waiting.pop_front().expect("not empty");
        let id = step_id(&step);
        let layers = agent.layers;
        if step.reset {
            agent.engine.caches.remove(&id);
            self.ran.retain(|(ran, run, request, ..)| {
                *ran != name || *run != agent.incarnation || *request != id
            });
            if layers.first() == 0 {
                *self.begun.entry(id).or_default() += 1;
            }
        }
        let fresh = || (LayerCaches::new(layers.first(), layers.end()), 0);
        let (caches, next) = agent.engine.caches.entry(id).or_insert_with(fresh);
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
            if !self.ran.insert((name.clone(), agent.incarnation, id, layers.first(), *next)) {
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
        self.carry_out(&name, actions);
    }

    fn disturb(&mut self) {
        let names: Vec<String> = self.agents.keys().cloned().collect();
        let name = names[self.random.random_range(0..names.len())].clone();
        let dice = self.random.random_range(0..1_000);
        if dice < self.roughness.kill {
            self.kill(&name);
        } else if dice < self.roughness.kill + self.roughness.cut {
            self.cut(&name);
        }
    }

    /// Dead agents come back as another run, cut links are opened again.
    fn mend(&mut self) {
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            let agent = &self.agents[&name];
            if !agent.alive {
                let (incarnation, layers) = (agent.incarnation + 1, agent.layers);
                self.start_agent(&name, incarnation, layers);
            } else if !agent.linked {
                self.link(&name);
            }
        }
    }

    fn tick(&mut self) {
        self.now += 10;
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            let agent = self.agents.get_mut(&name).expect("known");
            if agent.alive && agent.linked {
                let actions = agent.gate.make_offers();
                self.carry_out(&name, actions);
            }
        }
        let actions = self.entry.tick(self.now);
        self.dispatch(actions);
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
            // In the end the network calms down, so that everything must come to its end.
            if rounds == 3_000 {
                self.roughness = Roughness { lose: 0, repeat: 0, kill: 0, cut: 0, overtake: false };
            }
            self.step();
        }
    }

    fn step(&mut self) {
        match self.random.random_range(0..100) {
            0..=54 => self.deliver(),
            55..=84 => self.run_engine(),
            85..=89 => self.disturb(),
            90..=91 => self.mend(),
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
            let begun = self.begun.get(id).copied().unwrap_or(0);
            match &outcome.end {
                Some(CallerEvent::Done { .. }) => prop_assert_eq!(&outcome.tokens, &expected),
                Some(CallerEvent::NotRun { .. }) => {
                    prop_assert_eq!(begun, 0, "{} was called not run", id)
                }
                Some(_) => {}
                None => prop_assert!(false, "{id} never ended"),
            }
            if counter % 3 == 0 {
                prop_assert!(begun <= 1, "{id} must run once and was begun {begun} times");
            }
        }
        Ok(())
    }
}

fn step_id(step: &StepInput) -> RequestId {
    let key = step.key.expect("every step has a key");
    RequestId { incarnation: key.incarnation, counter: key.counter }
}

fn run(seed: u64, roughness: Roughness) -> Result<World, TestCaseError> {
    let mut world = World::new(seed, roughness);
    world.run();
    world.check()?;
    Ok(world)
}

const CALM: Roughness = Roughness { lose: 0, repeat: 0, kill: 0, cut: 0, overtake: false };

#[test]
fn without_faults_everything_is_done_and_nothing_runs_twice() {
    let world = run(1, CALM).expect("no promise is broken");
    assert!(
        world
            .outcomes
            .values()
            .all(|outcome| matches!(outcome.end, Some(CallerEvent::Done { .. })))
    );
    assert!(world.begun.values().all(|begun| *begun == 1));
    assert_eq!(world.entry.counts().stages_replaced, 0);
}

#[test]
fn a_repeatable_request_outlives_the_loss_of_any_one_stage() {
    for stage in 0..STAGES {
        for moment in 0..60 {
            let mut world = World::new(u64::from(stage * 100 + moment), CALM);
            for _ in 0..50 {
                world.step();
            }
            // The first identifier is that of a request that must run once.
            let _passed_over = world.entry.issue_id();
            world.submit(1);
            for _ in 0..moment * 4 {
                world.step();
            }
            world.kill(&agent_name(stage, 0));
            let mut rounds = 0;
            while world.outcomes.values().any(|outcome| outcome.end.is_none()) && rounds < 40_000 {
                rounds += 1;
                match world.random.random_range(0..100) {
                    0..=54 => world.deliver(),
                    55..=89 => world.run_engine(),
                    _ => world.tick(),
                }
            }
            world.check().expect("no promise is broken");
            let end = world.outcomes.values().next().and_then(|outcome| outcome.end.as_ref());
            assert!(
                matches!(end, Some(CallerEvent::Done { .. })),
                "stage {stage}, moment {moment}: {end:?}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    /// Links as TCP makes them: in order, whole or cut. Agents die and come back.
    #[test]
    fn kills_and_cuts_break_no_promise(seed in any::<u64>(), kill in 0_u32..120, cut in 0_u32..120) {
        run(seed, Roughness { kill, cut, ..CALM })?;
    }

    /// Beyond what TCP does: messages are lost, repeated, and overtake each other.
    #[test]
    fn losses_and_repetitions_break_no_promise(
        seed in any::<u64>(), lose in 0_u32..60, repeat in 0_u32..100, kill in 0_u32..60, overtake in any::<bool>()
    ) {
        run(seed, Roughness { lose, repeat, kill, cut: kill, overtake })?;
    }
}
