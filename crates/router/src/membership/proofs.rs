//! What messages between relays prove.
//!
//! What a follower is told is worth as much as a read of its own only where its age is bounded. Clocks
//! of two VMs are not compared for that. A relay stamps what it sends; the other returns the newest
//! stamp with how long it held it, and how old its proof is by its own clock. The proof is then at
//! least as young, by the first one's clock, as [`proof_time`] says, however long messages took.

use super::{PeerState, PeerTable};
use crate::Millis;

/// A relay's clock at some moment, as it stamps its messages.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerStamp {
    /// Number drawn at the relay's start: the clock begins anew with each.
    pub incarnation: u32,
    /// The relay's clock.
    pub time: Millis,
}

impl PeerStamp {
    /// Whether it was made before another one of the same start. Stamps of two starts have no order; a
    /// relay that is heard again soon sets that right.
    pub fn is_before(self, other: Self) -> bool {
        self.incarnation == other.incarnation && self.time < other.time
    }
}

/// What a relay holds itself, to be compared with what another one proves.
#[derive(Clone, Copy, Debug)]
pub struct OwnState<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its data centre.
    pub data_centre: &'a str,
    /// Number drawn at its start.
    pub incarnation: u32,
    /// Version of its configuration.
    pub config_version: u64,
    /// Digest of its list of replicas.
    pub fleet_digest: u64,
}

/// Times, by a relay's own clock, that another one proves of something that both hold alike.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerProof {
    /// As of when it held.
    pub proved: Option<i64>,
    /// When the store last answered for it.
    pub answered: Option<Millis>,
}

impl PeerProof {
    /// What an answer proves to a question asked at `asked`, with ages by the clock of whoever answered.
    pub fn from_response(asked: Millis, proved_age: Millis, answered_age: Millis) -> Self {
        let proved = Some(asked as i64 - proved_age as i64);
        Self { proved, answered: asked.checked_sub(answered_age) }
    }
}

/// What a message of another relay proves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerProofs {
    /// Of the configuration.
    pub config: PeerProof,
    /// Of the list of replicas.
    pub fleet: PeerProof,
}

/// The time, by this relay's clock, since which a peer's proof has held at least: `stamp` is this
/// relay's own stamp that the peer returned, `held` how long the peer held it, `age` the proof's age.
/// Nothing where the stamp is of an earlier start, whose clock says nothing of this one's. A clock begins at 0 with each
/// start, so that times before are negative: taken for 0, an old proof would count as a young one at a relay that has
/// just started, which tells it to the others as such; taken for none, relays refuse keys for seconds after a stop of
/// all.
pub fn proof_time(stamp: PeerStamp, incarnation: u32, held: Millis, age: Millis) -> Option<i64> {
    let own = stamp.incarnation == incarnation;
    own.then(|| (stamp.time + held) as i64 - age as i64)
}

impl PeerTable {
    /// Reads the proofs in a message of a relay of the same data centre: `echo` is this relay's own stamp
    /// that the message returned, with how long it was held. Only what this relay holds itself is proved.
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

    /// Notes when the store answered another relay for the configuration and for the list of replicas.
    pub fn record_answers(&mut self, config: Option<Millis>, fleet: Option<Millis>) {
        self.config_answered = self.config_answered.max(config);
        self.fleet_answered = self.fleet_answered.max(fleet);
    }
}

/// A time by this relay's clock, where it is not before its start.
fn after_start(time: Option<i64>) -> Option<Millis> {
    time.and_then(|time| Millis::try_from(time).ok())
}
