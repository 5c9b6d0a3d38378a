//! How many connections of callers a relay keeps open, and which one it closes for a new one.
//!
//! Each open connection takes a descriptor and memory, whatever its caller sends. If there are too many,
//! those go first from which no whole request has come for the longest time. A request that was read
//! whole is served.

use std::collections::{BTreeSet, HashMap};

use crate::Millis;

/// Descriptors that are kept for files, the store and other relays.
const KEPT_DESCRIPTORS: usize = 200;

/// Connections for each MB of memory.
const CONNECTIONS_PER_MB: f64 = 6.0;

/// Time for which a response may stay unsent before its connection may be closed, in milliseconds.
const MAX_UNSENT_TIME: Millis = 2_000;

/// Smallest limit.
const MIN_CONNECTIONS: usize = 16;

/// Returns the number of connections of callers that a VM has memory and descriptors for. Each may need
/// another one to a replica.
pub fn max_connections(memory_mb: f64, descriptors: usize) -> usize {
    let by_memory = (memory_mb * CONNECTIONS_PER_MB) as usize;
    let by_descriptors = descriptors.saturating_sub(KEPT_DESCRIPTORS) / 2;
    by_memory.min(by_descriptors).max(MIN_CONNECTIONS)
}

/// What a connection is used for. Those of the first phases are closed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ConnectionPhase {
    /// No whole request has arrived, or not the whole body of one.
    Receiving,
    /// Its caller does not read the response.
    Unsent,
    /// The last response is complete.
    Resting,
    /// A request that was read whole is served.
    Serving,
}

/// Identifies a connection.
pub type ConnectionId = u64;

/// Open connections. `T` closes one.
#[derive(Debug)]
pub struct ConnectionTable<T> {
    limit: usize,
    next: ConnectionId,
    open: HashMap<ConnectionId, (ConnectionPhase, Millis, T)>,
    /// The same by phase and its beginning.
    order: BTreeSet<(ConnectionPhase, Millis, ConnectionId)>,
}

impl<T> ConnectionTable<T> {
    /// Creates an empty table for at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self { limit, next: 0, open: HashMap::new(), order: BTreeSet::new() }
    }

    /// Adds a connection that was opened at `now`.
    pub fn open(&mut self, close: T, now: Millis) -> ConnectionId {
        let id = self.next;
        self.next += 1;
        self.open.insert(id, (ConnectionPhase::Receiving, now, close));
        self.order.insert((ConnectionPhase::Receiving, now, id));
        id
    }

    /// Records that a phase of a connection begins, unless it already has.
    pub fn set_phase(&mut self, id: ConnectionId, phase: ConnectionPhase, now: Millis) {
        let Some((former, since, _)) = self.open.get_mut(&id).filter(|it| it.0 != phase) else {
            return;
        };
        self.order.remove(&(*former, *since, id));
        (*former, *since) = (phase, now);
        self.order.insert((phase, now, id));
    }

    /// Returns the phase of a connection.
    pub fn phase(&self, id: ConnectionId) -> Option<ConnectionPhase> {
        self.open.get(&id).map(|(phase, ..)| *phase)
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: ConnectionId) {
        // Its owner knows that it has ended.
        self.take(id);
    }

    fn take(&mut self, id: ConnectionId) -> Option<T> {
        let (phase, since, close) = self.open.remove(&id)?;
        self.order.remove(&(phase, since, id));
        Some(close)
    }

    /// Makes room for one more connection. Returns what closes another one for it, if there is no room.
    ///
    /// # Errors
    ///
    /// Fails if there is no room, and all connections serve requests.
    pub fn make_room(&mut self, now: Millis) -> Result<Option<T>, ConnectionsFull> {
        if self.open.len() < self.limit {
            return Ok(None);
        }
        let may_close = |(phase, since, _): &&(ConnectionPhase, Millis, ConnectionId)| match phase {
            ConnectionPhase::Receiving | ConnectionPhase::Resting => true,
            ConnectionPhase::Unsent => now.saturating_sub(*since) >= MAX_UNSENT_TIME,
            ConnectionPhase::Serving => false,
        };
        let first_of = |phase| self.order.range((phase, 0, 0)..).next();
        let phases =
            [ConnectionPhase::Receiving, ConnectionPhase::Unsent, ConnectionPhase::Resting];
        let mut oldest = phases.into_iter().filter_map(first_of);
        let (_, _, id) = *oldest.find(may_close).ok_or(ConnectionsFull)?;
        Ok(self.take(id))
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether there are no open connections.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

/// All connections serve requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionsFull;
