//! Progress of a start, and what keeps the relay from being ready.
//!
//! Each step of a start is logged and exported with its age when it is reached. A relay that is not
//! ready logs once a second what it waits for.

use std::{cell::Cell, rc::Rc, time::Duration};

use derive_more::Display;
use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    placement::{layer_counts, widest_gap},
};
use tokio::time::sleep;

use crate::{
    admit::{ConfigDoubt, config_doubt},
    logs::LineInterval,
    state::Relay,
};

/// Interval at which the steps of a start are checked until the relay is ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Age of the relay below which it is not logged that it is not ready, in milliseconds.
const USUAL_START_TIME: Millis = 1_000;

/// A step of the start of a relay.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StartStep {
    /// The settings were read.
    #[display("settings")]
    Settings,
    /// All sockets are bound.
    #[display("sockets")]
    Sockets,
    /// The store answered a call.
    #[display("store-answer")]
    StoreAnswer,
    /// There is a configuration.
    #[display("configuration")]
    Configuration,
    /// There is a list of replicas.
    #[display("replicas")]
    Replicas,
    /// The quarantined requests are known, or no longer waited for.
    #[display("quarantine")]
    Quarantine,
    /// A message of another relay arrived.
    #[display("peer-heard")]
    PeerHeard,
    /// The relay is ready.
    #[display("ready")]
    Ready,
    /// The engines of the data centre hold all layers of a model.
    #[display("layers")]
    Layers,
    /// A caller sent a request.
    #[display("first-request")]
    FirstRequest,
    /// A request got the response of a replica.
    #[display("first-answer")]
    FirstAnswer,
}

impl StartStep {
    /// All steps, in the usual order.
    pub const ALL: [Self; 11] = [
        Self::Settings,
        Self::Sockets,
        Self::StoreAnswer,
        Self::Configuration,
        Self::Replicas,
        Self::Quarantine,
        Self::PeerHeard,
        Self::Ready,
        Self::Layers,
        Self::FirstRequest,
        Self::FirstAnswer,
    ];
}

/// The steps that a start has reached, with the age of the process at each.
#[derive(Debug, Default)]
pub struct StartProgress {
    reached: [Cell<Option<Millis>>; StartStep::ALL.len()],
    missing_lines: LineInterval,
}

impl StartProgress {
    /// Records that a step is reached; only the first time counts.
    pub fn record(&self, step: StartStep) {
        self.record_at(step, now_millis());
    }

    /// Like [`StartProgress::record`], for a step that was reached at the age `age_ms`.
    pub fn record_at(&self, step: StartStep, age_ms: Millis) {
        let reached = &self.reached[step as usize];
        if reached.get().is_none() {
            reached.set(Some(age_ms));
            tracing::info!(event = "start-step", %step, age_ms);
        }
    }

    /// Returns the age of the process when it reached a step, in milliseconds.
    pub fn age(&self, step: StartStep) -> Option<Millis> {
        self.reached[step as usize].get()
    }
}

/// Something that keeps the relay from being ready.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ReadinessGap {
    /// The relay shuts down.
    #[display("stopping")]
    Stopping,
    /// Callers are better served by another relay.
    #[display("redirecting")]
    Redirecting,
    /// There is no configuration.
    #[display("configuration")]
    Configuration,
    /// There is no list of replicas.
    #[display("replicas")]
    Replicas,
    /// The quarantined requests are not known yet.
    #[display("quarantine")]
    Quarantine,
    /// The configuration may not be the one in force.
    #[display("{_0}")]
    ConfigDoubt(ConfigDoubt),
}

/// Returns what keeps the relay from admitting requests. A relay without contact to the store stays
/// ready for as long as it may admit keys, unless other relays still have contact: the load balancer
/// needs two seconds to move new callers to them.
pub fn readiness_gaps(relay: &Relay, now: Millis) -> Vec<ReadinessGap> {
    let (has_config, has_replicas) = {
        let state = relay.state.borrow();
        (state.config.get().is_some(), state.has_replicas(now))
    };
    let gaps = [
        relay.shutdown.is_stopping().then_some(ReadinessGap::Stopping),
        relay.should_redirect_callers(now).then_some(ReadinessGap::Redirecting),
        (!has_config).then_some(ReadinessGap::Configuration),
        (!has_replicas).then_some(ReadinessGap::Replicas),
        (!relay.knows_quarantine.get()).then_some(ReadinessGap::Quarantine),
        config_doubt(relay, now).filter(|_| has_config).map(ReadinessGap::ConfigDoubt),
    ];
    gaps.into_iter().flatten().collect()
}

/// Returns whether the relay can admit requests.
pub fn is_ready(relay: &Relay) -> bool {
    let now = now_millis();
    let gaps = readiness_gaps(relay, now);
    relay.record_redirecting(gaps.contains(&ReadinessGap::Redirecting), now);
    gaps.is_empty()
}

/// Records the steps of the start until the relay is ready.
pub async fn watch_start(relay: Rc<Relay>) {
    while relay.start.age(StartStep::Ready).is_none() {
        check_readiness(&relay);
        sleep(CHECK_INTERVAL).await;
    }
}

/// Returns whether the engines of this data centre hold all layers of a model.
fn holds_all_layers(relay: &Relay) -> bool {
    let Some(config) = relay.config() else { return false };
    let state = relay.state.borrow();
    config.engines().any(|(service, engine)| {
        let engines = state.fleet.view.of_service(service);
        let engines = engines.filter(|entry| entry.data_centre == relay.settings.data_centre);
        let counts = layer_counts(engines.filter_map(|entry| entry.layers), engine.layers);
        engine.layers > 0 && widest_gap(&counts).is_none()
    })
}

/// Records the steps that the start has reached since the last check, and logs what keeps the relay
/// from being ready.
pub fn check_readiness(relay: &Relay) {
    let now = now_millis();
    if relay.start.age(StartStep::Layers).is_none() && holds_all_layers(relay) {
        relay.start.record(StartStep::Layers);
    }
    {
        let state = relay.state.borrow();
        let reached = [
            (StartStep::StoreAnswer, relay.calls.has_answer()),
            (StartStep::Configuration, state.config.get().is_some()),
            (StartStep::Replicas, state.has_replicas(now)),
            (StartStep::Quarantine, relay.knows_quarantine.get()),
            (StartStep::PeerHeard, state.peers.live_count(now) > 0),
        ];
        let reached = reached.into_iter().filter(|(_, is_reached)| *is_reached);
        reached.for_each(|(step, _)| relay.start.record(step));
    }
    let gaps = readiness_gaps(relay, now);
    if gaps.is_empty() {
        relay.start.record(StartStep::Ready);
        return;
    }
    let is_usual = relay.shutdown.is_stopping() || now - relay.started_at < USUAL_START_TIME;
    if !is_usual && relay.start.missing_lines.admit(now) {
        let missing: Vec<String> = gaps.iter().map(ToString::to_string).collect();
        let state = relay.state.borrow();
        tracing::warn!(
            event = "not-ready",
            missing = missing.join(", "),
            age_ms = now,
            config_age = state.config_lease.age(now),
            replicas = state.fleet.view.len(),
            relays_heard = state.peers.live_count(now),
        );
    }
}
