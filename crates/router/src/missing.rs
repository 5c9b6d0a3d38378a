//! Entries that are missing from the list after an outage of the store.
//!
//! During an outage, entries of live replicas may expire; they reappear within about two seconds of
//! the store's return. So a replica that is missing from the first list after an outage is kept for
//! that long, and counts as gone only if it is still missing then. Relays probe the replicas that
//! they keep: one that does not answer need not be awaited.
//!
//! The entry that is kept is the one from before the outage; the replica may have announced
//! meanwhile that it will leave. So the time limit also counts from the earliest moment at which
//! the store may have been back, which is when the last read without an answer was sent. An entry
//! that reappears later joins anew.

use std::collections::HashMap;

use crate::{Millis, era::era_of};

/// Shortest outage in which entries may expire, in milliseconds: a replica may miss three
/// heartbeats, and an outage of one second leaves it more than one of them.
const MIN_OUTAGE: Millis = 1_000;

/// Time after the first answered read for which a missing entry is awaited, in milliseconds: two
/// seconds in which entries reappear, and the transmission of their updates.
pub const REAPPEAR_GRACE: Millis = 2_100;

/// Longest time for which a missing entry is awaited after the last unanswered read was sent, in
/// milliseconds. The smallest contact time that users can set is 3 s, and overdue entries are
/// looked for every 200 ms.
pub const MAX_MISSING_TIME: Millis = 2_700;

/// An entry that may reappear.
#[derive(Clone, Copy, Debug)]
struct AwaitedEntry {
    until: Millis,
    /// Revision of the first list that it was missing from.
    missing_at: u64,
}

/// Missing entries that may reappear.
#[derive(Clone, Debug, Default)]
pub struct MissingEntries {
    /// When the first unanswered read of the present outage was sent; `None` while the store
    /// answers.
    outage_start: Option<Millis>,
    /// When the last unanswered read was sent.
    last_lost: Millis,
    /// When the first answered read after the last outage was sent.
    returned: Option<Millis>,
    /// When the list was requested that showed the last restore of the store from a backup.
    restored: Option<Millis>,
    awaited: HashMap<String, AwaitedEntry>,
}

impl MissingEntries {
    /// Records that a read sent at `sent` got no answer.
    pub fn record_loss(&mut self, sent: Millis) {
        self.outage_start = self.outage_start.or(Some(sent));
        self.last_lost = sent;
    }

    /// Records that a read sent at `sent`, by this relay or another one, was answered. A read sent
    /// before the last unanswered one says nothing about the store's return.
    pub fn record_answer(&mut self, sent: Millis) {
        if self.outage_start.is_some() && sent <= self.last_lost {
            return;
        }
        let Some(outage_start) = self.outage_start.take() else { return };
        if sent.saturating_sub(outage_start) >= MIN_OUTAGE {
            self.returned = Some(sent);
        }
    }

    /// Records that the store was restored from a backup, as shown by a list requested at `sent`:
    /// entries written since the backup are missing until they are written again.
    pub fn record_restore(&mut self, sent: Millis) {
        self.restored = Some(sent);
    }

    /// Returns whether an entry that is missing from a list, requested at `sent` and read at the
    /// revision `at`, is to be kept for now.
    pub fn should_keep(&mut self, id: &str, at: u64, sent: Millis) -> bool {
        self.keep(id, at, self.kept_after_outage(sent))
    }

    /// Like [`MissingEntries::should_keep`], for an entry that was last written before the restore
    /// of the store, whose backup may lack it.
    pub fn should_keep_after_restore(&mut self, id: &str, at: u64, sent: Millis) -> bool {
        let restored = self.restored.map(|restored| restored + REAPPEAR_GRACE);
        let until = restored.filter(|until| sent < *until).max(self.kept_after_outage(sent));
        self.keep(id, at, until)
    }

    /// Returns whether entries may be missing because of an outage, present or recent.
    pub fn is_in_outage(&self, now: Millis) -> bool {
        self.kept_after_outage(now).is_some()
    }

    /// Returns until when an outage keeps the entries that are missing from a list requested at
    /// `sent`; `None` without a recent outage.
    fn kept_after_outage(&self, sent: Millis) -> Option<Millis> {
        let is_outage = self
            .outage_start
            .is_some_and(|outage_start| sent.saturating_sub(outage_start) >= MIN_OUTAGE);
        let returned = self.returned.filter(|returned| sent < self.kept_until(*returned));
        let returned = returned.or(is_outage.then_some(sent));
        returned.map(|returned| self.kept_until(returned))
    }

    /// Keeps a missing entry until a time, if any; returns whether it is kept.
    fn keep(&mut self, id: &str, at: u64, until: Option<Millis>) -> bool {
        if let Some(until) = until {
            let entry = AwaitedEntry { until, missing_at: at };
            let awaited = self.awaited.entry(id.to_owned()).or_insert(entry);
            if era_of(awaited.missing_at) < era_of(at) {
                awaited.missing_at = at;
            }
        }
        self.awaited.contains_key(id)
    }

    /// Returns until when missing entries are kept if the first answered read was sent at
    /// `returned`.
    fn kept_until(&self, returned: Millis) -> Millis {
        (returned + REAPPEAR_GRACE).min(self.last_lost + MAX_MISSING_TIME)
    }

    /// Returns whether an entry is missing and may reappear.
    pub fn is_awaited(&self, id: &str) -> bool {
        self.awaited.contains_key(id)
    }

    /// Returns whether any entry is missing and may reappear.
    pub fn awaits_any(&self) -> bool {
        !self.awaited.is_empty()
    }

    /// Records that an entry was listed at a revision; it has reappeared if that is newer than the
    /// list that it was missing from.
    pub fn record_listed(&mut self, id: &str, revision: u64) {
        if self.awaited.get(id).is_some_and(|entry| entry.missing_at < revision) {
            self.awaited.remove(id);
        }
    }

    /// Records that an entry is gone.
    pub fn record_gone(&mut self, id: &str) {
        self.awaited.remove(id);
    }

    /// Removes the entries that have been missing for too long; returns each with the revision of
    /// the first list that it was missing from.
    pub fn take_overdue(&mut self, now: Millis) -> Vec<(String, u64)> {
        let overdue = self.awaited.extract_if(|_, entry| now >= entry.until);
        overdue.map(|(id, entry)| (id, entry.missing_at)).collect()
    }
}
