//! Whose word a piece of news is, which decides to whom a relay tells it on.
//!
//! Each relay tells on only what comes from farther down: its own news and its members' go to all whom it tells, the speakers'
//! news go to its members alone. So no news returns to where it was told, and none is kept alive by those that repeat it.

/// Whose word something is, the weakest first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum UpdateOrigin {
    /// That of a relay that tells this one on its own account.
    #[default]
    Told,
    /// That of a relay that reports to this one.
    Member,
    /// This relay's own.
    Own,
}

/// Whom news are told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateAudience {
    /// Relays that hear the others' news from these themselves.
    Speakers,
    /// Relays that hear all news from this one.
    Members,
}

impl UpdateAudience {
    /// Whether news of an origin go there.
    pub fn includes(self, origin: UpdateOrigin) -> bool {
        match self {
            Self::Speakers => origin >= UpdateOrigin::Member,
            Self::Members => true,
        }
    }
}
