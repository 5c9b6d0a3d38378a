//! Places in the history of the platform's store.
//!
//! The store counts every change by one number. It may come back from a copy of itself that is some seconds old: then
//! the number goes back, and is given out again for other changes. How often that happened it tells as its *era*. So a
//! revision alone names nothing: two of one number may be two states. What counts is the era, and within one the
//! revision, and that pair is what stands for a revision wherever this project keeps or compares one: in entries, marks
//! of what is gone, digests, proofs, watches and messages.
//!
//! Both stand in one number whose order is that of places, so that messages between relays have the form that they had,
//! and what knows no era reads as before. Worst case: after 65,535 returns the adapter reads no newer era, and says so.

/// Bits of a place that hold the revision: at 3,600 changes a second enough for 2,400 years.
const REVISION_BITS: u32 = 48;

/// Largest era that a place holds.
pub const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

/// A place by era and revision.
pub const fn pack_revision(era: u64, revision: u64) -> u64 {
    (era << REVISION_BITS) | (revision & ((1 << REVISION_BITS) - 1))
}

/// Era of a place.
pub const fn era_of(place: u64) -> u64 {
    place >> REVISION_BITS
}

/// Revision of a place, within its era.
pub const fn revision_of(place: u64) -> u64 {
    place & ((1 << REVISION_BITS) - 1)
}
