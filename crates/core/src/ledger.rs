//! The memory of an agent about which requests it ran.
//!
//! It answers two questions, and never wrongly: may this request run here, and is it certain that it
//! never did? It is bounded: past its capacity it forgets the oldest finished requests, and from then
//! on treats every id of that entry run up to the forgotten one as *too old to tell*. Such an id is
//! refused, and a void of it is answered [`VoidOutcome::Unknown`], so forgetting can cost a retry
//! elsewhere but never a second run or a false "not run".
//!
//! Worst cases: `capacity` ids of 24 bytes plus the floors of `incarnations` runs of entries.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::id::RequestId;

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerState {
    /// It was let in and is not over.
    Running {
        /// Attempt that runs.
        attempt: u32,
    },
    /// It ran, and is over.
    Finished {
        /// Last attempt that ran.
        attempt: u32,
    },
    /// It never ran here and never will.
    Voided,
}

/// Answer to a request that wants to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerAdmission {
    /// It may run.
    New,
    /// It may run again: a later attempt of a request that may be repeated.
    Retry,
    /// It ran or runs here.
    Duplicate,
    /// It was voided.
    Voided,
    /// Too old to tell whether it ran.
    TooOld,
    /// Every remembered request is running: there is no room.
    Full,
}

/// Answer to a void.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VoidOutcome {
    /// It never ran here and never will.
    NeverRan,
    /// It ran or runs here.
    Ran,
    /// Too old to tell.
    Unknown,
}

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerConfig {
    /// Requests remembered.
    pub capacity: usize,
    /// Runs of entries for which a floor is remembered.
    pub incarnations: usize,
}

impl Default for LedgerConfig {
    fn default() -> Self {
        Self { capacity: 100_000, incarnations: 4_096 }
    }
}

/// Which requests ran here.
#[derive(Debug)]
pub struct RequestLedger {
    config: LedgerConfig,
    states: HashMap<RequestId, LedgerState>,
    closed: VecDeque<RequestId>,
    floors: BTreeMap<u64, u64>,
    oldest_incarnation: u64,
}

impl RequestLedger {
    /// Makes an empty ledger.
    pub fn new(config: LedgerConfig) -> Self {
        Self {
            config,
            states: HashMap::new(),
            closed: VecDeque::new(),
            floors: BTreeMap::new(),
            oldest_incarnation: 0,
        }
    }

    /// Asks to run an attempt of a request; `once` marks one that must not be repeated.
    pub fn admit(&mut self, id: RequestId, attempt: u32, once: bool) -> LedgerAdmission {
        match self.states.get(&id).copied() {
            Some(LedgerState::Voided) => LedgerAdmission::Voided,
            Some(
                LedgerState::Running { attempt: known } | LedgerState::Finished { attempt: known },
            ) => {
                if once || attempt <= known {
                    return LedgerAdmission::Duplicate;
                }
                self.reopen(id, attempt);
                LedgerAdmission::Retry
            }
            None if self.is_forgotten(id) => LedgerAdmission::TooOld,
            None => self.insert_running(id, attempt),
        }
    }

    /// Notes that a request is over.
    pub fn finish(&mut self, id: RequestId) {
        if let Some(state) = self.states.get_mut(&id)
            && let LedgerState::Running { attempt } = *state
        {
            *state = LedgerState::Finished { attempt };
            self.closed.push_back(id);
        }
    }

    /// Notes that a request never runs here, unless it did.
    pub fn void(&mut self, id: RequestId) -> VoidOutcome {
        match self.states.get(&id).copied() {
            Some(LedgerState::Voided) => VoidOutcome::NeverRan,
            Some(_) => VoidOutcome::Ran,
            None if self.is_forgotten(id) => VoidOutcome::Unknown,
            None if !self.make_room() => VoidOutcome::Unknown,
            None => {
                self.states.insert(id, LedgerState::Voided);
                self.closed.push_back(id);
                VoidOutcome::NeverRan
            }
        }
    }

    /// State of a request, where it is remembered.
    pub fn state(&self, id: RequestId) -> Option<LedgerState> {
        self.states.get(&id).copied()
    }

    /// Count of remembered requests, at most the capacity.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Tells whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn insert_running(&mut self, id: RequestId, attempt: u32) -> LedgerAdmission {
        if !self.make_room() {
            return LedgerAdmission::Full;
        }
        // Making room may have raised the floor past this very id.
        if self.is_forgotten(id) {
            return LedgerAdmission::TooOld;
        }
        self.states.insert(id, LedgerState::Running { attempt });
        LedgerAdmission::New
    }

    fn reopen(&mut self, id: RequestId, attempt: u32) {
        self.closed.retain(|closed| *closed != id);
        self.states.insert(id, LedgerState::Running { attempt });
    }

    fn is_forgotten(&self, id: RequestId) -> bool {
        if id.incarnation < self.oldest_incarnation {
            return true;
        }
        let floor = self.floors.get(&id.incarnation);
        floor.is_some_and(|floor| id.counter <= *floor)
    }

    fn make_room(&mut self) -> bool {
        while self.states.len() >= self.config.capacity {
            let Some(oldest) = self.closed.pop_front() else {
                return false;
            };
            self.forget(oldest);
        }
        true
    }

    fn forget(&mut self, id: RequestId) {
        self.states.remove(&id);
        let floor = self.floors.entry(id.incarnation).or_default();
        *floor = (*floor).max(id.counter);
        while self.floors.len() > self.config.incarnations {
            if let Some((incarnation, _)) = self.floors.pop_first() {
                self.oldest_incarnation = self.oldest_incarnation.max(incarnation + 1);
            }
        }
    }
}
