//! Rate limits that replicas report: the requests per second that each accepts from all relays
//! together.
//!
//! A replica reports its limit in its responses, for as long as the limit holds. Responses can
//! overtake each other on different connections, and relays forward to each other the reports that
//! they received, so of two reports of a replica the one whose request was sent later wins. Reports
//! are stored by the replica's id and survive a restart: a replica that restarts under the same id
//! keeps its limit until a response names none. Worst case: a replica that keeps reporting a wrong
//! limit is sent requests at that rate.

use std::collections::HashMap;

use crate::Millis;

/// Age after which a report that imposes no limit is dropped, in milliseconds. Responses to
/// requests sent before that have arrived by then, so no older report can come in and win.
const REPORT_RETENTION: i64 = 60_000;

/// The limit that a replica reported in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Requests per second that the replica accepts; `None` if the response named no limit.
    pub per_second: Option<f64>,
    /// Time at which the request behind this response was sent, by this relay's clock. Negative if
    /// another relay sent it before this relay started.
    pub sent: i64,
}

/// The effect of a report on a replica's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The replica has a new limit, in requests per second.
    Set(f64),
    /// The replica no longer has a limit.
    Removed,
}

#[derive(Clone, Copy, Debug)]
struct LimitEntry {
    report: LimitReport,
    /// Time of the last change of the limit.
    changed: Millis,
}

/// Latest limit reports, by replica id.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    entries: HashMap<String, LimitEntry>,
}

impl LimitTable {
    /// Applies a report and returns the change that it caused, if any. Ignores a report whose
    /// request was sent earlier than that of the stored report.
    pub fn update(&mut self, id: &str, report: LimitReport, now: Millis) -> Option<LimitChange> {
        let Some(entry) = self.entries.get_mut(id) else {
            let limit = report.per_second?;
            self.entries.insert(id.to_owned(), LimitEntry { report, changed: now });
            return Some(LimitChange::Set(limit));
        };
        if report.sent < entry.report.sent {
            return None;
        }
        let is_same = entry.report.per_second == report.per_second;
        entry.report = report;
        if is_same {
            return None;
        }
        entry.changed = now;
        Some(report.per_second.map_or(LimitChange::Removed, LimitChange::Set))
    }

    /// Returns the limit of a replica in requests per second, or `None` if it has none.
    pub fn limit(&self, id: &str) -> Option<f64> {
        self.entries.get(id)?.report.per_second
    }

    /// Returns the latest report of a replica.
    pub fn report(&self, id: &str) -> Option<LimitReport> {
        self.entries.get(id).map(|entry| entry.report)
    }

    /// Returns whether no report is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the reports whose limit changed at `since` or later, to send to other relays.
    pub fn changed_since(&self, since: Millis) -> impl Iterator<Item = (&str, LimitReport)> {
        let changed = self.entries.iter().filter(move |(_, entry)| entry.changed >= since);
        changed.map(|(id, entry)| (id.as_str(), entry.report))
    }

    /// Returns page `round` of the limited replicas, `page_size` per page, wrapping around after
    /// the last page. Sending one page per round lets relays that missed a change catch up.
    pub fn page(
        &self,
        round: usize,
        page_size: usize,
    ) -> impl Iterator<Item = (&str, LimitReport)> {
        let limited = || self.entries.iter().filter(|(_, entry)| entry.report.per_second.is_some());
        let pages = limited().count().div_ceil(page_size).max(1);
        let page = limited().skip(round % pages * page_size).take(page_size);
        page.map(|(id, entry)| (id.as_str(), entry.report))
    }

    /// Drops expired reports that impose no limit, and expired reports of replicas that are no
    /// longer listed.
    pub fn expire(&mut self, is_listed: impl Fn(&str) -> bool, now: Millis) {
        let cutoff = now as i64 - REPORT_RETENTION;
        let is_in_force =
            |id: &str, entry: &LimitEntry| entry.report.per_second.is_some() && is_listed(id);
        self.entries.retain(|id, entry| entry.report.sent > cutoff || is_in_force(id, entry));
    }
}
