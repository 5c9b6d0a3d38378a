//! How many bytes of bodies a relay buffers at a time, of responses and, apart from them, of requests.
//!
//! A limit for each body does not bound the memory of the process, since many may be large at once. All
//! buffered bytes together are bounded by two pools. Bodies that declare their length reserve it. The
//! others may not end at all: each of them may use at most a part of what its
//! pool has left, so that the limit falls the more of them there are, and a new one always has room.

/// Bytes of each body that are not counted: small bodies need no room in a pool.
pub const FREE_BYTES: usize = 16 << 10;

/// Size of each pool by default, in bytes.
pub const POOL_BYTES: usize = 20 << 20;

/// Whether a body declares its length.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LengthKind {
    /// It does.
    Declared,
    /// It ends when the sender says so.
    Open,
}

/// Bytes that are buffered at the moment.
#[derive(Clone, Copy, Debug)]
pub struct BufferLedger {
    pool_bytes: usize,
    declared: usize,
    open: usize,
}

impl Default for BufferLedger {
    fn default() -> Self {
        Self::new(POOL_BYTES)
    }
}

impl BufferLedger {
    /// Creates two empty pools of this size.
    pub fn new(pool_bytes: usize) -> Self {
        Self { pool_bytes, declared: 0, open: 0 }
    }

    /// Changes the size of one body's buffer from `held` to `wanted` bytes. Returns whether that
    /// is allowed; if not, nothing changes. A smaller size always is.
    pub fn resize(&mut self, kind: LengthKind, held: usize, wanted: usize) -> bool {
        let held = held.saturating_sub(FREE_BYTES);
        let wanted = wanted.saturating_sub(FREE_BYTES);
        let used = match kind {
            LengthKind::Declared => &mut self.declared,
            LengthKind::Open => &mut self.open,
        };
        let others = *used - held;
        let left = self.pool_bytes.saturating_sub(others);
        let limit = match kind {
            LengthKind::Declared => left,
            LengthKind::Open => left / 5 * 4,
        };
        let is_allowed = wanted <= held.max(limit);
        if is_allowed {
            *used = others + wanted;
        }
        is_allowed
    }

    /// Returns the number of counted bytes in both pools.
    pub fn counted_bytes(&self) -> usize {
        self.declared + self.open
    }
}
