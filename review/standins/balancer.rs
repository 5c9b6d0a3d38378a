//! The platform's balancer, as PROTOCOL.md describes it: each new connection goes to a relay of the
//! caller's data centre, chosen by a hash of the caller.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread::{sleep, spawn},
    time::Duration,
};

use crate::{record::RunRecord, relay::is_ready};

/// Interval between two readiness checks of a relay.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of failed checks in a row after which a relay gets no new connections.
const MAX_MISSES: u32 = 2;

/// A relay behind the balancer.
#[derive(Clone, Copy, Debug)]
struct BalancedRelay {
    name: &'static str,
    address: SocketAddr,
    misses: u32,
}

/// Balancer of one data centre. Clones share the state.
#[derive(Clone, Debug)]
pub struct ZoneBalancer {
    relays: Arc<Mutex<Vec<BalancedRelay>>>,
}

impl ZoneBalancer {
    /// Starts to check relays, each given by its name, its address for callers and its address of
    /// readiness checks.
    pub fn start(relays: &[(&'static str, SocketAddr, SocketAddr)], record: &RunRecord) -> Self {
        let known = relays.iter().map(|(name, address, _)| BalancedRelay {
            name,
            address: *address,
            misses: MAX_MISSES,
        });
        let balancer = Self { relays: Arc::new(Mutex::new(known.collect())) };
        for (index, (_, _, ready)) in relays.iter().enumerate() {
            let (balancer, record, ready) = (balancer.clone(), record.clone(), *ready);
            spawn(move || {
                loop {
                    balancer.record_check(index, is_ready(ready), &record);
                    sleep(CHECK_INTERVAL);
                }
            });
        }
        balancer
    }

    fn record_check(&self, index: usize, is_ready: bool, record: &RunRecord) {
        let mut relays = self.relays.lock().expect("no thread panics while it holds this");
        let relay = &mut relays[index];
        let was_in = relay.misses < MAX_MISSES;
        relay.misses = if is_ready { 0 } else { relay.misses.saturating_add(1) };
        let is_in = relay.misses < MAX_MISSES;
        if was_in != is_in {
            let state = if is_in { "in" } else { "out" };
            record.write(&format!("balancer counts {} as {state}", relay.name));
        }
    }

    /// Returns whether all relays are in.
    pub fn all_in(&self) -> bool {
        let relays = self.relays.lock().expect("no thread panics while it holds this");
        relays.iter().all(|relay| relay.misses < MAX_MISSES)
    }

    /// Chooses the relay for a new connection of a caller. If fewer than half of the relays are in,
    /// all of them are used.
    pub fn choose(&self, caller: usize) -> (&'static str, SocketAddr) {
        let relays = self.relays.lock().expect("no thread panics while it holds this");
        let in_use: Vec<_> = relays.iter().filter(|relay| relay.misses < MAX_MISSES).collect();
        let candidates =
            if in_use.len() * 2 < relays.len() { relays.iter().collect() } else { in_use };
        let chosen = candidates[caller % candidates.len()];
        (chosen.name, chosen.address)
    }
}
