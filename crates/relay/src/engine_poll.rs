//! Asking engines how slow they are.
//!
//! In each data centre the first relay by name asks the engines there in turn, while its own requests
//! are quiet for longer than usual, and tells the others which are slow. The rate is bounded, so a large
//! data centre is asked less often instead of more.

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

/// Least time between two questions to one engine: a slow one shows within two seconds or so, and each
/// question has a price.
const SURVEY_EVERY: Duration = Duration::from_millis(2_000);

/// Least time between two questions.
const LEAST_STEP: Duration = Duration::from_millis(50);

/// Time between two looks at whether to ask.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Time after a request was quiet for which engines are asked, in milliseconds. On a calm day no request
/// is, and nothing is asked.
const QUIET_SIGN: Millis = 4_000;

/// Surveys the engines of the data centre for good.
pub async fn poll_engines(relay: Rc<Relay>) {
    loop {
        let engines = own_engines(&relay);
        if engines.is_empty() || !is_surveyor(&relay) || !has_sign(&relay) {
            sleep(LOOK_EVERY).await;
            continue;
        }
        let step = (SURVEY_EVERY / engines.len() as u32).max(LEAST_STEP);
        for engine in engines {
            sleep(step).await;
            ask(&relay, &engine).await;
        }
    }
}

fn is_surveyor(relay: &Relay) -> bool {
    let RelaySettings { name, data_centre, .. } = &relay.settings;
    relay.state.borrow().peers.is_data_centre_leader(name, data_centre, now_millis())
}

/// Whether a request was quiet lately.
fn has_sign(relay: &Relay) -> bool {
    let now = now_millis();
    relay.reports.last_probe().is_some_and(|probe| now.saturating_sub(probe) < QUIET_SIGN)
}

/// Engines of the data centre that hold layers.
fn own_engines(relay: &Relay) -> Vec<ReplicaInstance> {
    let Some(config) = relay.config() else { return Vec::new() };
    let state = relay.state.borrow();
    let services = config.engines().flat_map(|(service, _)| state.fleet.view.of_service(service));
    let own = services.filter(|replica| {
        replica.data_centre == relay.settings.data_centre && replica.layers.is_some()
    });
    own.map(|replica| replica.instance.clone()).collect()
}

async fn ask(relay: &Relay, engine: &ReplicaInstance) {
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
