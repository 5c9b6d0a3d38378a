//! One run of a seed.

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use switchfold_kernel::clock::epoch_micros;
use switchfold_platform::REPLICA_KIND;
use switchfold_platform_standin::{StoreBehaviour, samples::ORGANISATION};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    caller::{run_bad_caller, run_caller},
    checks::{Violation, check},
    notices::{NAMES_LIMIT, TURNS_AWAY},
    plan::{
        Fault, OUT_OF_REACH, PlannedFault, make_copies, make_harm, make_limits, make_notices,
        make_plan,
    },
    proxy::LinkMood,
    record::{CallEnd, CallKind, CallRecord, DisruptionKind},
    site::{GRACE_S, SiteConfig, SoakSite},
};

/// Time after the last fault until service must be back.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Time for which service is counted after that.
const COUNTED_TIME: Duration = Duration::from_secs(3);

/// Time that a killed process is down at least.
const LEAST_DOWN: Duration = Duration::from_millis(300);

/// Time that a restarted process may need until it serves, counted to the fault that ended it.
const START_TIME: Duration = Duration::from_millis(1_500);

/// What a run showed.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Its seed.
    pub seed: u64,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// How calls ended, by kind and status.
    pub ends: BTreeMap<String, usize>,
    /// Faults that were injected.
    pub faults: usize,
    /// Calls after the last fault, and those that succeeded.
    pub after_faults: (usize, usize),
}

/// Runs a seed for `length`, plus the time that service has to come back.
///
/// # Errors
///
/// Fails where the site does not start.
pub async fn run_seed(seed: u64, length: Duration, config: SiteConfig) -> io::Result<SoakReport> {
    let shape = config.shape;
    let site = SoakSite::start(config).await?;
    let callers: Vec<_> = (0..shape.callers)
        .map(|number| {
            let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + number as u64);
            tokio::spawn(run_caller(format!("s{seed}c{number}"), site.clone(), random))
        })
        .collect();
    let random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + shape.callers as u64);
    let bad_caller = run_bad_caller(format!("s{seed}bad"), site.clone(), random);
    let bad_caller = tokio::spawn(bad_caller);
    let mut plan = make_plan(seed, &shape, length);
    plan.extend(make_harm(seed, &shape, length));
    plan.extend(make_notices(seed, &shape, length));
    plan.extend(make_copies(seed, length));
    plan.extend(make_limits(seed, &shape, length));
    plan.sort_by_key(|planned| planned.at);
    inject(&site, &plan, length).await;
    sleep(CALM_TIME).await;
    leave_unheard(&site, seed).await;
    sleep(RECOVERY_TIME).await;
    let counted_from = epoch_micros();
    sleep(COUNTED_TIME).await;
    site.end_calls();
    let mut calls = Vec::new();
    for caller in callers {
        calls.extend(caller.await.map_err(io::Error::other)?);
    }
    let bad_calls = bad_caller.await.map_err(io::Error::other)?;
    site.end().await;
    Ok(conclude(&site, seed, plan.len(), (calls, bad_calls), counted_from))
}

fn conclude(
    site: &SoakSite,
    seed: u64,
    faults: usize,
    (mut calls, bad_calls): (Vec<CallRecord>, Vec<CallRecord>),
    counted_from: u64,
) -> SoakReport {
    let counted = calls.iter().filter(|call| call.sent >= counted_from && site.is_valid(&call.key));
    let (mut count, mut served) = (0, 0);
    for call in counted {
        count += 1;
        served += usize::from(is_served(call));
    }
    let mut ends = BTreeMap::new();
    for call in &calls {
        *ends.entry(describe_end(call)).or_default() += 1;
    }
    for call in &bad_calls {
        *ends.entry(format!("bad {}", describe_end(call))).or_default() += 1;
    }
    calls.extend(bad_calls);
    let mut history = site.history();
    history.calls = calls;
    history.after_faults = (count, served);
    let violations = check(&history, ORGANISATION);
    SoakReport { seed, violations, ends, faults, after_faults: (count, served) }
}

fn is_served(call: &CallRecord) -> bool {
    matches!(&call.end, CallEnd::Answered(answer) if answer.sealed && answer.whole)
}

fn describe_end(call: &CallRecord) -> String {
    let kind = match call.kind {
        CallKind::Safe => "safe",
        CallKind::Once => "once",
        CallKind::Stream => "stream",
        CallKind::StreamOnce => "stream-once",
    };
    match &call.end {
        CallEnd::NotConnected => format!("{kind} not connected"),
        CallEnd::NoAnswer => format!("{kind} no answer"),
        CallEnd::Answered(answer) if answer.whole => format!("{kind} {}", answer.status),
        CallEnd::Answered(answer) => format!("{kind} {} cut", answer.status),
    }
}

/// Injects a plan, and waits until everything is well again.
async fn inject(site: &Arc<SoakSite>, plan: &[PlannedFault], length: Duration) {
    let begun = Instant::now();
    let mut running = Vec::new();
    for planned in plan {
        sleep_until(begun + planned.at).await;
        running.push(tokio::spawn(carry_out(site.clone(), *planned)));
    }
    sleep_until(begun + length).await;
    for fault in running {
        // A fault that panicked has left its mark in the site; the checks go on.
        if let Err(error) = fault.await {
            eprintln!("a fault was not carried out: {error}");
        }
    }
}

async fn carry_out(site: Arc<SoakSite>, planned: PlannedFault) {
    let lasts = planned.lasts;
    let down = lasts.max(LEAST_DOWN);
    match planned.fault {
        Fault::KillRelay(number) => {
            site.note_disruption(DisruptionKind::RelayFault(number), down + START_TIME);
            site.kill_relay(number, down);
        }
        Fault::KillRelays => {
            site.note_disruption(DisruptionKind::Fault, LEAST_DOWN + START_TIME);
            (0..site.relay_count()).for_each(|number| {
                site.note_disruption(DisruptionKind::RelayFault(number), LEAST_DOWN + START_TIME);
                site.kill_relay(number, LEAST_DOWN);
            });
        }
        Fault::StopRelay(number) => {
            let grace = Duration::from_secs(GRACE_S + 1);
            site.note_disruption(DisruptionKind::PlannedStop(number), grace);
            site.stop_relay(number);
        }
        Fault::PauseRelay(number) => {
            site.note_disruption(DisruptionKind::RelayFault(number), lasts);
            site.signal_relay(number, Signal::SIGSTOP);
            sleep(lasts).await;
            site.signal_relay(number, Signal::SIGCONT);
        }
        Fault::HangUpRelay(number) => {
            site.note_disruption(DisruptionKind::PlannedWork, lasts);
            site.signal_relay(number, Signal::SIGHUP);
        }
        Fault::KillReplica(number) => {
            site.note_disruption(DisruptionKind::Fault, down + START_TIME);
            site.kill_replica(number, down);
        }
        Fault::PauseReplica(number) => {
            site.note_disruption(DisruptionKind::Fault, lasts);
            site.note_disruption(DisruptionKind::Standstill(number), lasts);
            site.signal_replica(number, Signal::SIGSTOP);
            sleep(lasts).await;
            site.signal_replica(number, Signal::SIGCONT);
        }
        Fault::DrainReplica(number) => {
            site.note_disruption(DisruptionKind::PlannedWork, lasts);
            site.drain_replica(number);
        }
        Fault::DisturbReplica(number, mood) => {
            site.note_disruption(DisruptionKind::Fault, lasts);
            site.note_disruption(DisruptionKind::LinkFault(number), lasts);
            site.replica_link(number).set_mood(mood);
            sleep(lasts).await;
            site.replica_link(number).set_mood(LinkMood::Well);
        }
        Fault::DisturbStore(number, mood) => {
            site.note_disruption(DisruptionKind::RelayFault(number), lasts);
            site.store_link(number).set_mood(mood);
            sleep(lasts).await;
            site.store_link(number).set_mood(LinkMood::Well);
        }
        Fault::StoreBusy => disturb_store(&site, StoreBehaviour::Unavailable, lasts).await,
        Fault::StoreSilent => disturb_store(&site, StoreBehaviour::Unresponsive, lasts).await,
        Fault::StoreForgets => {
            site.note_disruption(DisruptionKind::StoreFault, Duration::ZERO);
            site.store().compact();
        }
        Fault::NewVersion => {
            site.note_disruption(DisruptionKind::PlannedWork, lasts);
            site.write_config(2);
        }
        Fault::RemoveKey => {
            site.note_disruption(DisruptionKind::PlannedWork, lasts);
            site.remove_key();
        }
        Fault::BadRequest(kind, way) => site.begin_bad(kind, way),
        Fault::FreezeRelay(number) => freeze_relay(&site, number, lasts).await,
        Fault::StoreCopy => copy_store(&site, lasts).await,
        Fault::TurnAway(number) => {
            // Callers are refused meanwhile, whatever else happens.
            site.note_disruption(DisruptionKind::Fault, TURNS_AWAY);
            site.notify_replica(number, Signal::SIGUSR1);
        }
        Fault::NameLimit(number) => {
            // Callers are refused meanwhile.
            site.note_disruption(DisruptionKind::Fault, NAMES_LIMIT);
            site.notify_replica(number, Signal::SIGHUP);
        }
        Fault::SayLeaving(number) => {
            site.note_disruption(DisruptionKind::PlannedWork, lasts);
            site.notify_replica(number, Signal::SIGUSR2);
            sleep(lasts).await;
            site.note_disruption(DisruptionKind::Fault, LEAST_DOWN + START_TIME);
            site.kill_replica(number, LEAST_DOWN);
        }
    }
}

/// Freezes a relay for longer than the bound on removed keys, takes a key away meanwhile, and keeps the store out of its
/// reach for a while after: it must know by its own clocks that what it holds is too old.
async fn freeze_relay(site: &SoakSite, number: usize, lasts: Duration) {
    site.note_disruption(DisruptionKind::RelayFault(number), lasts + OUT_OF_REACH);
    site.store_link(number).set_mood(LinkMood::Dead);
    site.freeze_relay(number);
    let begun = Instant::now();
    site.remove_key();
    sleep(lasts).await;
    site.thaw_relay(number, begun.elapsed());
    sleep(OUT_OF_REACH).await;
    site.store_link(number).set_mood(LinkMood::Well);
}

/// Time that the store is away before it comes back from a copy, and from then until the operator has written again.
const COPY_AWAY: Duration = Duration::from_millis(300);
const OPERATOR_TIME: Duration = Duration::from_millis(500);

/// Objects that others write between the copy and the return, and their kind.
const OTHER_WRITES: u64 = 500;
const OTHER_KIND: &str = "others";

/// Lets the store come back from a copy that is `age` old, and the operator write again. Replicas write anew with each
/// heartbeat.
async fn copy_store(site: &SoakSite, age: Duration) {
    site.store().take_backup();
    // What others write is lost as well, so that it takes long until revisions have caught up with those that entries had.
    for number in 0..OTHER_WRITES {
        site.store().put(OTHER_KIND, &number.to_string(), number.into());
    }
    site.store().touch(REPLICA_KIND);
    sleep(age).await;
    site.note_disruption(DisruptionKind::StoreFault, COPY_AWAY + OPERATOR_TIME);
    disturb_store(site, StoreBehaviour::Unavailable, COPY_AWAY).await;
    site.store().restore_backup();
    sleep(OPERATOR_TIME).await;
    site.write_config(0);
}

async fn disturb_store(site: &SoakSite, mood: StoreBehaviour, lasts: Duration) {
    site.note_disruption(DisruptionKind::StoreFault, lasts);
    site.store().set_behaviour(mood);
    sleep(lasts).await;
    site.store().set_behaviour(StoreBehaviour::Healthy);
}

/// Time after the drawn faults until all relays are in touch again, and the store is stable.
const CALM_TIME: Duration = Duration::from_millis(3_500);

/// Time from the relays' loss of the store to a replica's leaving, and from that to the store's loss for all:
/// a replica says within a heartbeat that it leaves.
const UNHEARD_STEP: Duration = Duration::from_millis(500);

/// Time for which the store is then away for all: entries lapse after three heartbeats.
const UNHEARD_OUTAGE: Duration = Duration::from_millis(1_500);

/// Lets a replica of the plain service leave while the relays of a data centre are turned away by the store, and its entry lapse in
/// an outage before they are back: they must know once they are in touch.
async fn leave_unheard(site: &SoakSite, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let relays = site.relays_beside(random.random_range(0..site.relay_count()));
    let replica = site.lingering_desk();
    let lasts = UNHEARD_STEP * 2 + UNHEARD_OUTAGE;
    for relay in &relays {
        site.note_disruption(DisruptionKind::RelayFault(*relay), lasts);
        site.store_link(*relay).set_mood(LinkMood::Dead);
    }
    sleep(UNHEARD_STEP).await;
    site.drain_replica(replica);
    sleep(UNHEARD_STEP).await;
    disturb_store(site, StoreBehaviour::Unresponsive, UNHEARD_OUTAGE).await;
    relays.iter().for_each(|relay| site.store_link(*relay).set_mood(LinkMood::Well));
}
