//! Limits that replicas name: requests a second that each takes from all relays together.
//!
//! A replica says so in its answers, for as long as it does. Answers overtake each other on different connections, and
//! relays tell each other what they heard, so of two words of a replica the one counts whose request was sent later. What is
//! heard stands under the id of a replica, whatever life: one that starts again under its id keeps its limit until an answer
//! names none. Worst case: a replica that lies names a limit for good, and gets that much for good.

use std::collections::HashMap;

use crate::Millis;

/// Time after which a replica's word is forgotten that binds nobody any more, in milliseconds: answers that were sent for
/// before have come by then.
const FORGET: i64 = 60_000;

/// What a replica said of its limit in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Requests a second that it takes; nothing where it named no limit.
    pub per_second: Option<f64>,
    /// When the request was sent that it answered, by this relay's clock. Another relay may have sent it before this one
    /// started.
    pub sent: i64,
}

/// What a word changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The replica has a limit, or another one.
    Set(f64),
    /// It has none any more.
    Removed,
}

#[derive(Clone, Copy, Debug)]
struct LimitEntry {
    word: LimitReport,
    changed: Millis,
}

/// Limits of replicas, by id.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    words: HashMap<String, LimitEntry>,
}

impl LimitTable {
    /// Takes over a word; gives what it changed. One of an earlier request than what is held changes nothing.
    pub fn update(&mut self, id: &str, word: LimitReport, now: Millis) -> Option<LimitChange> {
        let Some(held) = self.words.get_mut(id) else {
            let limit = word.per_second?;
            self.words.insert(id.to_owned(), LimitEntry { word, changed: now });
            return Some(LimitChange::Set(limit));
        };
        if word.sent < held.word.sent {
            return None;
        }
        let is_same = held.word.per_second == word.per_second;
        held.word = word;
        if is_same {
            return None;
        }
        held.changed = now;
        Some(word.per_second.map_or(LimitChange::Removed, LimitChange::Set))
    }

    /// Limit of a replica; nothing where it has none.
    pub fn limit(&self, id: &str) -> Option<f64> {
        self.words.get(id)?.word.per_second
    }

    /// What is held of a replica.
    pub fn report(&self, id: &str) -> Option<LimitReport> {
        self.words.get(id).map(|held| held.word)
    }

    /// Whether nothing was heard of any limit.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Words that changed since `since`, to tell others.
    pub fn changed_since(&self, since: Millis) -> impl Iterator<Item = (&str, LimitReport)> {
        let changed = self.words.iter().filter(move |(_, held)| held.changed >= since);
        changed.map(|(id, held)| (id.as_str(), held.word))
    }

    /// Up to `most` replicas with limits from the `round`th such part on, so that whoever missed a change hears in turn.
    pub fn page(&self, round: usize, most: usize) -> impl Iterator<Item = (&str, LimitReport)> {
        let limited = || self.words.iter().filter(|(_, held)| held.word.per_second.is_some());
        let parts = limited().count().div_ceil(most).max(1);
        let part = limited().skip(round % parts * most).take(most);
        part.map(|(id, held)| (id.as_str(), held.word))
    }

    /// Drops what says nothing any more: that a replica has no limit, and all of one that is listed no longer.
    pub fn forget(&mut self, is_listed: impl Fn(&str) -> bool, now: Millis) {
        let old = now as i64 - FORGET;
        let binds = |id: &str, held: &LimitEntry| held.word.per_second.is_some() && is_listed(id);
        self.words.retain(|id, held| held.word.sent > old || binds(id, held));
    }
}
