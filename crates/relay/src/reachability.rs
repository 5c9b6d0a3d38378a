//! Whether replicas accept connections.
//!
//! A replica that refuses connections has crashed. One that gives no response may be well: sound
//! replicas are silent for a second or so.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use switchfold_kernel::clock::now_millis;
use switchfold_router::{Millis, instance::ReplicaInstance};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::state::Relay;

/// Time for which a request whose attempt broke off waits for [`check_reachable`]: thirty times
/// what opening a connection takes.
const REACHABILITY_TIMEOUT: Duration = Duration::from_millis(20);

/// Interval between two checks of one replica on behalf of different requests, in milliseconds.
const CHECK_INTERVAL: Millis = 100;

/// Checks whether a replica still accepts connections, before a request that it broke off is sent
/// to another replica. Without this check, a request that crashes replicas is sent to a fourth one
/// before the crash of the third is known.
pub async fn check_reachable(relay: &Rc<Relay>, instance: &ReplicaInstance, address: SocketAddr) {
    let (relay, instance) = (relay.clone(), instance.clone());
    let check = spawn_local(async move {
        if let Err(error) = relay.pool.open_idle(address).await {
            relay.record_unreachable(&instance, &error);
        }
    });
    // A check that takes longer goes on in the background.
    let _in_time = timeout(REACHABILITY_TIMEOUT, check).await;
}

/// Time from the end of a connection to the check whether its replica has ended: a process that is
/// killed may close its listener after its connections.
const END_CHECK_DELAY: Duration = Duration::from_millis(2);

/// Returns whether a replica is still there after the end of a connection that alone tells that a
/// response is complete. A killed process ends its connections in the same way. Only a refused
/// connection shows that it is gone.
pub async fn confirm_end(relay: &Relay, instance: &ReplicaInstance, address: SocketAddr) -> bool {
    sleep(END_CHECK_DELAY).await;
    match relay.pool.open_idle(address).await {
        Err(error) if error.is_refused() => {
            relay.record_unreachable(instance, &error);
            false
        }
        _ => true,
    }
}

/// Like [`check_reachable`], for a replica that a report names: all requests that wait for it find
/// it at the same time, so one of them checks it.
pub async fn check_named(relay: &Rc<Relay>, instance: &ReplicaInstance, address: SocketAddr) {
    if relay.reports.begin_check(address, CHECK_INTERVAL, now_millis()) {
        check_reachable(relay, instance, address).await;
    }
}

/// Checks in the background those of these replicas that only other relays suspect and at which
/// runs of this relay were lost: a suspicion does not say whether the replica refused connections.
pub fn check_heard_suspects(relay: &Rc<Relay>, instances: &[ReplicaInstance]) {
    let now = now_millis();
    let due: Vec<(ReplicaInstance, SocketAddr)> = {
        let state = relay.state.borrow();
        let is_due = |instance: &&ReplicaInstance| {
            state.suspects.is_suspect(instance, now)
                && !state.suspects.is_local(instance, now)
                && state.quarantine.has_lost_run(instance)
        };
        let replicas = instances.iter().filter(is_due);
        replicas
            .filter_map(|instance| state.fleet.view.get_current(instance))
            .map(|replica| (replica.instance.clone(), replica.address))
            .collect()
    };
    for (instance, address) in due {
        let relay = relay.clone();
        spawn_local(async move { check_named(&relay, &instance, address).await });
    }
}
