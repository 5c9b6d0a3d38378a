//! Where an update between relays comes from, which decides to whom a relay forwards it.
//!
//! Each relay forwards only updates from its own level of the hierarchy and below: its own and its
//! members' go to all relays that it sends to, those of other speakers to its members alone. So no
//! update returns to where it came from, and none is kept alive by relays that repeat it to each
//! other.

/// Where an update comes from, in increasing order of precedence.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum UpdateOrigin {
    /// A relay that does not report to this one.
    #[default]
    Peer,
    /// A relay that reports to this one.
    Member,
    /// This relay itself.
    Local,
}

/// Relays that an update is sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateAudience {
    /// Speakers, which receive the updates of other speakers from these directly.
    Speakers,
    /// Members, which receive all updates from this relay.
    Members,
}

impl UpdateAudience {
    /// Returns whether updates of an origin are sent to this audience.
    pub fn includes(self, origin: UpdateOrigin) -> bool {
        match self {
            Self::Speakers => origin >= UpdateOrigin::Member,
            Self::Members => true,
        }
    }
}
