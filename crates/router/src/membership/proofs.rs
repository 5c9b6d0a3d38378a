//! Proofs of freshness in messages between relays.
//!
//! State that another relay reports is worth as much as a read of one's own only if its age is
//! bounded. Clocks of two VMs are not compared for that. A relay stamps its messages; the receiver
//! returns the newest stamp with the time since it arrived and the age of its own proof by its own
//! clock. By the first relay's clock the proof is then at least as young as [`proof_time`] says,
//! however long the messages took.

use super::{PeerState, PeerTable};
use crate::Millis;

/// A reading of a relay's clock, which it puts into its messages.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerStamp {
    /// Random number drawn at the relay's start; its clock starts at 0 with each.
    pub incarnation: u32,
    /// Time since the relay's start, in milliseconds.
    pub time: Millis,
}

impl PeerStamp {
    /// Returns whether it was made before another stamp of the same incarnation. Stamps of two
    /// incarnations have no order; the next message of the relay resolves that.
    pub fn is_before(self, other: Self) -> bool {
        self.incarnation == other.incarnation && self.time < other.time
    }
}

/// State that this relay holds itself, to be compared with what another relay proves.
#[derive(Clone, Copy, Debug)]
pub struct OwnState<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Random number drawn at its start.
    pub incarnation: u32,
    /// Version of its configuration.
    pub config_version: u64,
    /// Digest of its list of replicas.
    pub fleet_digest: u64,
}

/// What another relay proves of state that both hold, by this relay's own clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerProof {
    /// Time at which the state was in force; negative before this relay's start.
    pub proved: Option<i64>,
    /// Time at which the store last answered a read of it.
    pub answered: Option<Millis>,
}

impl PeerProof {
    /// Returns what a response proves to a request sent at `asked`; the ages are by the clock of
    /// the responder.
    pub fn from_response(asked: Millis, proved_age: Millis, answered_age: Millis) -> Self {
        let proved = Some(asked as i64 - proved_age as i64);
        Self { proved, answered: asked.checked_sub(answered_age) }
    }
}

/// What a message of another relay proves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerProofs {
    /// Proof of the configuration.
    pub config: PeerProof,
    /// Proof of the list of replicas.
    pub fleet: PeerProof,
}

/// Returns the time, by this relay's clock, at or after which a peer's state was proved.
///
/// `stamp` is this relay's own stamp as the peer returned it, `held` the time for which the peer
/// held it, and `age` the age of the peer's proof. Returns `None` for a stamp of an earlier
/// incarnation, whose clock is unrelated to the present one. Since a clock starts at 0, times
/// before the start are negative. If they were clamped to 0, a relay that has just started would
/// take an old proof for a young one and pass it on as such; if they were dropped, relays would
/// refuse keys for seconds after all of them were restarted.
pub fn proof_time(stamp: PeerStamp, incarnation: u32, held: Millis, age: Millis) -> Option<i64> {
    // The times in a message may be damaged; saturated ones prove nothing.
    let signed = |time: Millis| i64::try_from(time).unwrap_or(i64::MAX);
    let own = stamp.incarnation == incarnation;
    own.then(|| signed(stamp.time.saturating_add(held)).saturating_sub(signed(age)))
}

impl PeerTable {
    /// Reads the proofs in a message of a relay of the same data centre.
    ///
    /// `echo` is this relay's own stamp as the message returned it, with the time for which the
    /// peer held it. A proof counts only for state that this relay holds itself.
    pub fn read_proofs(
        &mut self,
        own: OwnState<'_>,
        state: &PeerState,
        echo: Option<(PeerStamp, Millis)>,
        now: Millis,
    ) -> PeerProofs {
        self.compare_digest(own.name, own.data_centre, own.fleet_digest, now);
        let Some((stamp, held)) = echo else { return PeerProofs::default() };
        let time = |age: Option<Millis>| proof_time(stamp, own.incarnation, held, age?);
        let mut proofs = PeerProofs::default();
        if own.config_version >= state.config_version {
            let (proved, answered) =
                (time(state.config_age), after_start(time(state.config_answer_age)));
            proofs.config = PeerProof { proved, answered };
        }
        if state.fleet_is_fresh && own.fleet_digest == state.fleet_digest {
            let (proved, answered) =
                (time(state.fleet_age), after_start(time(state.fleet_answer_age)));
            proofs.fleet = PeerProof { proved, answered };
        }
        self.record_answers(proofs.config.answered, proofs.fleet.answered);
        proofs
    }

    /// Records when the store answered another relay's reads of the configuration and of the list
    /// of replicas.
    pub fn record_answers(&mut self, config: Option<Millis>, fleet: Option<Millis>) {
        self.config_answered = self.config_answered.max(config);
        self.fleet_answered = self.fleet_answered.max(fleet);
    }
}

/// Converts a time by this relay's clock; `None` if it lies before its start.
fn after_start(time: Option<i64>) -> Option<Millis> {
    time.and_then(|time| Millis::try_from(time).ok())
}
