//! How often a relay tells the others its state.
//!
//! Every relay tells every other, so that what each hears grows with their count: 300 relays in three data centres hear
//! 1,000 messages a second each, of which a VM with 0.09 of a core reads some 40 in a millisecond of its share. What
//! is told is needed at two speeds. Relays of the data centre need that of the one that reads the store for them every
//! 200 ms, whatever their count; figures of promised room may be older where they are sums over many. Relays of other
//! data centres need it to know who lives.
//!
//! Limits: a relay is taken for gone after 1.6 s of silence, and figures of room count for 2 s, so that no message is
//! rarer than 0.8 s, nor one with room than 1.6 s.

/// Relays of the data centre up to which each tells the others in each round.
const MOST_NEAR: usize = 48;

/// Relays beyond it up to which each is told in every other round.
const MOST_FAR: usize = 96;

/// Rounds between two messages.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TellPace {
    near: u64,
    far: u64,
    /// Messages to other data centres for each that tells promised room.
    far_room: u64,
}

/// Decides how often a relay tells `near` others of its data centre and `far` others; `reads` tells that it reads the
/// store for its data centre.
pub fn tell_pace(near: usize, far: usize, reads: bool) -> TellPace {
    let near = if near > MOST_NEAR && !reads { 2 } else { 1 };
    match far > MOST_FAR {
        true => TellPace { near, far: 4, far_room: 2 },
        false => TellPace { near, far: 2, far_room: 3 },
    }
}

impl TellPace {
    /// Whether anyone is told in a round.
    pub fn is_due(self, round: u64) -> bool {
        round.is_multiple_of(self.near)
    }

    /// Whether relays of other data centres are told as well.
    pub fn is_due_far(self, round: u64) -> bool {
        round.is_multiple_of(self.far)
    }

    /// Whether these are told the promised room.
    pub fn is_due_room(self, round: u64) -> bool {
        round.is_multiple_of(self.far * self.far_room)
    }
}
