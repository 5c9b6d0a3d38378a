//! Engines crash or go dark when they begin to answer prompts with a certain part, and are back as
//! new ones after some seconds.

use std::{
    collections::HashSet,
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    CaseResult,
    clients::{ClientGroup, send_prompt},
    deployment::{CHECK_INTERVAL_MS, Deployment, ReplicaProcess, config, entry},
    replica::{DEADLY_PART, DeadlyEnd, ReplicaKind},
};

/// Number of relays.
const RELAYS: usize = 2;

/// Number of engines, as in the site file.
const ENGINES: usize = 39;

/// Time for which such requests come, in milliseconds.
const DEADLY_TIME_MS: u64 = 20_000;

/// Time from the start of the clients to the first of them, in milliseconds.
const DEADLY_AT_MS: u64 = 3_000;

/// Time for which an engine stays away, in milliseconds.
const AWAY_MS: u64 = 5_000;

/// Time of silence after which the store drops an entry, in milliseconds: three heartbeats.
const SILENCE_MS: u64 = 3_600;

/// Time from the fifth crash on in which more requests may reach replicas, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Number of crashes after which the part must be known.
const CRASHES: usize = 5;

/// Largest number of requests that may reach replicas later.
const MAX_LATE: usize = 3;

/// Time for the last answers, in milliseconds.
const LAST_ANSWERS_MS: u64 = 1_000;

const KEY: &str = "key-one";

/// How deadly requests come, and what they do.
#[derive(Clone, Copy, Debug)]
pub struct DeadlyPlan {
    kind: ReplicaKind,
    end: DeadlyEnd,
    /// Pause between two of them, in milliseconds.
    pause_ms: u64,
    /// Number of clients with sound requests, one of some two seconds after the other: so many that
    /// less than 0.03 of all requests are deadly.
    sound_clients: usize,
}

/// Engines whose streams end with their connection are killed.
pub const KILLED_WITHOUT_LENGTH: DeadlyPlan = DeadlyPlan {
    kind: ReplicaKind::Engine,
    end: DeadlyEnd::Kill,
    pause_ms: 1_500,
    sound_clients: 48,
};

/// Engines whose streams have chunks go dark.
pub const DARK: DeadlyPlan = DeadlyPlan {
    kind: ReplicaKind::ChunkedEngine,
    end: DeadlyEnd::Dark,
    pause_ms: 500,
    sound_clients: 144,
};

/// An engine that went down.
struct LostEngine {
    id: String,
    at: Instant,
    is_listed: bool,
    process: Option<ReplicaProcess>,
}

/// Runs the case.
pub fn run(folder: &Path, has_trouble: bool, plan: DeadlyPlan) -> io::Result<CaseResult> {
    let end = if has_trouble { plan.end } else { DeadlyEnd::None };
    let plan = DeadlyPlan { end, ..plan };
    let tenants = format!(r#"[{{"name":"fisher","api_keys":["{KEY}"],"priority":1}}]"#);
    let mut deployment = Deployment::start(folder, RELAYS, 1, 0, &config(1, &tenants))?;
    for number in 0..ENGINES {
        start_engine(&mut deployment, folder, &format!("i-model-{number}"), plan)?;
    }
    thread::sleep(Duration::from_millis(DEADLY_AT_MS));
    let mut clients = ClientGroup::new();
    for number in 0..plan.sound_clients {
        clients.add(deployment.relays[number % RELAYS].callers, "POST", "/note/17", KEY);
    }
    thread::sleep(Duration::from_millis(DEADLY_AT_MS));
    let began = Instant::now();
    let relays: Vec<_> = deployment.relays.iter().map(|relay| relay.callers).collect();
    let deadly = thread::spawn(move || {
        let count = DEADLY_TIME_MS / plan.pause_ms;
        let senders = (0..count).map(|number| {
            let relay = relays[number as usize % relays.len()];
            let sender = thread::spawn(move || {
                let prompt = format!("91bd3f06:40,{DEADLY_PART}:50,{:08x}:10", number + 1);
                send_prompt(relay, &deadly_id(number), "POST", "/note/17", Some(KEY), &prompt, b"")
            });
            thread::sleep(Duration::from_millis(plan.pause_ms));
            sender
        });
        let senders: Vec<_> = senders.collect();
        senders
            .into_iter()
            .map(|sender| sender.join().expect("no client panics"))
            .collect::<Vec<_>>()
    });
    let mut lost: Vec<LostEngine> = Vec::new();
    let mut ended = Vec::new();
    let until = began + Duration::from_millis(DEADLY_TIME_MS + LAST_ANSWERS_MS);
    while Instant::now() < until {
        if end != DeadlyEnd::None {
            collect_lost(&mut deployment, &mut lost);
            replace_lost(&mut deployment, folder, &mut lost, &mut ended, plan)?;
        }
        thread::sleep(Duration::from_millis(CHECK_INTERVAL_MS));
    }
    let exchanges = clients.stop();
    let mut arrivals = deadly_runs(deployment.engines.iter().chain(&ended));
    arrivals.extend(deadly_runs(lost.iter().filter_map(|lost| lost.process.as_ref())));
    arrivals.sort_by_key(|(at, _)| *at);
    // Paused engines are killed before the last answers are waited for.
    drop((deployment, lost, ended));
    let answers = deadly.join().expect("no client panics");
    let mut record: Vec<String> = arrivals
        .iter()
        .map(|(at, id)| format!("{} ms {id} reached an engine", (*at - began).as_millis()))
        .collect();
    record.extend(answers.iter().enumerate().map(|(number, answer)| {
        format!("{} got {} {:?}", deadly_id(number as u64), answer.status, answer.broken)
    }));
    record.extend(exchanges.iter().map(|exchange| exchange.describe()));
    let late = late_arrivals(&arrivals, end);
    let breach = format!(
        "BUDGET: {late} requests with the part reached engines later than {CONTACT_MS} ms after crash {CRASHES}"
    );
    Ok(CaseResult { record, breaches: (late > MAX_LATE).then_some(breach).into_iter().collect() })
}

fn deadly_id(number: u64) -> String {
    format!("dead{number:012x}")
}

fn start_engine(
    deployment: &mut Deployment,
    folder: &Path,
    id: &str,
    plan: DeadlyPlan,
) -> io::Result<()> {
    let engine = ReplicaProcess::start(folder, id, plan.kind, plan.end)?;
    deployment.store.put("servers", id, &entry("model", engine.address));
    deployment.engines.push(engine);
    Ok(())
}

/// Moves the engines that a deadly request reached to those that are lost.
fn collect_lost(deployment: &mut Deployment, lost: &mut Vec<LostEngine>) {
    let is_hit = |engine: &ReplicaProcess| !deadly_runs([engine].into_iter()).is_empty();
    while let Some(index) = deployment.engines.iter().position(is_hit) {
        let process = deployment.engines.swap_remove(index);
        let id = process.id.clone();
        lost.push(LostEngine { id, at: Instant::now(), is_listed: true, process: Some(process) });
    }
}

/// Drops the entries of engines that have been silent for three heartbeats, and starts new engines
/// for those that have been away for long enough.
fn replace_lost(
    deployment: &mut Deployment,
    folder: &Path,
    lost: &mut Vec<LostEngine>,
    ended: &mut Vec<ReplicaProcess>,
    plan: DeadlyPlan,
) -> io::Result<()> {
    for engine in lost.iter_mut() {
        if engine.is_listed && engine.at.elapsed() >= Duration::from_millis(SILENCE_MS) {
            deployment.store.remove("servers", &engine.id);
            engine.is_listed = false;
        }
        if engine.at.elapsed() >= Duration::from_millis(AWAY_MS)
            && let Some(mut process) = engine.process.take()
        {
            process.kill()?;
            start_engine(deployment, folder, &format!("{}n", engine.id), plan)?;
            ended.push(process);
        }
    }
    lost.retain(|engine| engine.process.is_some());
    Ok(())
}

/// Returns the time and the attempt id of each run of a deadly request.
fn deadly_runs<'a>(engines: impl Iterator<Item = &'a ReplicaProcess>) -> Vec<(Instant, String)> {
    let runs = engines.flat_map(|engine| {
        let log = engine.runs();
        log.times.into_iter().zip(log.runs).map(|(at, (id, _))| (at, id)).collect::<Vec<_>>()
    });
    runs.filter(|(_, id)| id.starts_with("dead")).collect()
}

/// Returns how many requests reached engines too late. Each arrival ends its engine.
fn late_arrivals(arrivals: &[(Instant, String)], end: DeadlyEnd) -> usize {
    let Some((fifth, _)) = arrivals.get(CRASHES - 1).filter(|_| end != DeadlyEnd::None) else {
        return 0;
    };
    let bound = *fifth + Duration::from_millis(CONTACT_MS);
    let late = arrivals.iter().filter(|(at, _)| *at > bound);
    late.map(|(_, id)| id).collect::<HashSet<_>>().len()
}
