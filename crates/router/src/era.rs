//! Revisions of the platform's store that stay ordered when it is restored from a backup.
//!
//! The store numbers every change by a revision. It may be restored from a backup of itself that is
//! some seconds old: the revision then goes back, and its numbers are reused for other changes. The
//! store counts these restores as its *era*. So a revision alone identifies no state; two states
//! may have the same one. The pair of era and revision does, and it is used wherever a revision is
//! kept or compared: in entries, tombstones, digests, proofs, watches and messages.
//!
//! Both are packed into one number whose order is that of the pair, so that messages between relays
//! keep their format, and a revision without an era reads as before. After 65,535 restores the
//! adapter can read no newer era, and reports that.

/// Bits of a packed revision that hold the revision: at 3,600 changes a second enough for 2,400
/// years.
const REVISION_BITS: u32 = 48;

/// Largest era that a packed revision holds.
pub const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

/// Packs an era and a revision into one number.
pub const fn pack_revision(era: u64, revision: u64) -> u64 {
    (era << REVISION_BITS) | (revision & ((1 << REVISION_BITS) - 1))
}

/// Returns the era of a packed revision.
pub const fn era_of(packed: u64) -> u64 {
    packed >> REVISION_BITS
}

/// Returns the revision within its era of a packed revision.
pub const fn revision_of(packed: u64) -> u64 {
    packed & ((1 << REVISION_BITS) - 1)
}
