//! Polls engines for how slow they are.
//!
//! In each data centre, the first relay by name polls the engines there in turn while its own
//! requests wait unusually long for responses or events, and reports slow engines to the other
//! relays. The rate is limited, so in a large data centre each engine is polled less often.

use std::{rc::Rc, time::Duration};

use switchfold_kernel::clock::now_millis;
use switchfold_router::{Millis, instance::ReplicaInstance};
use tokio::time::sleep;

use crate::{
    engines::fetch_report,
    gossip::{SendScope, send_state},
    settings::RelaySettings,
    state::Relay,
};

/// Minimum interval of polls of one engine. A slow engine is detected within some two seconds; each
/// poll costs time of the engine.
const ENGINE_INTERVAL: Duration = Duration::from_millis(2_000);

/// Minimum time between two polls.
const MIN_POLL_GAP: Duration = Duration::from_millis(50);

/// Interval at which this relay checks whether it should poll.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time in milliseconds for which engines are polled after this relay last probed replicas, which
/// it does when a request gets no response or events for too long.
const POLL_DURATION: Millis = 4_000;

/// Polls the engines of the data centre for as long as the process runs.
pub async fn poll_engines(relay: Rc<Relay>) {
    loop {
        let engines = local_engines(&relay);
        if engines.is_empty() || !is_leader(&relay) || !has_probed_recently(&relay) {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let gap = (ENGINE_INTERVAL / engines.len() as u32).max(MIN_POLL_GAP);
        for engine in engines {
            sleep(gap).await;
            poll(&relay, &engine).await;
        }
    }
}

fn is_leader(relay: &Relay) -> bool {
    let RelaySettings { name, data_centre, .. } = &relay.settings;
    relay.state.borrow().peers.is_data_centre_leader(name, data_centre, now_millis())
}

/// Returns whether this relay probed replicas within the last [`POLL_DURATION`].
fn has_probed_recently(relay: &Relay) -> bool {
    let now = now_millis();
    relay.reports.last_probe().is_some_and(|probe| now.saturating_sub(probe) < POLL_DURATION)
}

/// Returns the engines of this data centre that hold layers.
fn local_engines(relay: &Relay) -> Vec<ReplicaInstance> {
    let Some(config) = relay.config() else { return Vec::new() };
    let state = relay.state.borrow();
    let services = config.engines().flat_map(|(service, _)| state.fleet.view.of_service(service));
    let local = services.filter(|replica| {
        replica.data_centre == relay.settings.data_centre && replica.layers.is_some()
    });
    local.map(|replica| replica.instance.clone()).collect()
}

async fn poll(relay: &Relay, engine: &ReplicaInstance) {
    let address =
        relay.state.borrow().fleet.view.get_current(engine).map(|replica| replica.address);
    let Some(address) = address else { return };
    let Some(report) = fetch_report(relay, address).await else { return };
    let changed = relay.state.borrow_mut().slowdowns.record(engine, report.slowdown, now_millis());
    if changed {
        tracing::info!(event = "engine-pace", replica = %engine, factor = report.slowdown);
        send_state(relay, SendScope::All);
    }
}
