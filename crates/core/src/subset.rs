//! Subsetting of replicas, and assignment of keys and push trees to members.
//!
//! With hundreds of entries and thousands of replicas, a link from every entry to every replica
//! would exceed the budget for control traffic. Each entry therefore connects to a subset of the
//! replicas of every layer range. There are two algorithms, so that they can be compared by
//! measurement: [`rendezvous_subset`], which changes least when members change, and
//! [`balanced_subset`], which assigns every replica to nearly the same number of entries: the
//! numbers differ by at most one.

use crate::hash::{hash_bytes, hash_pair};

/// Returns the member that owns a key, by rendezvous hashing, or `None` if there are no members.
///
/// Processes that know the same members agree on the owner, whatever the order of the members.
pub fn rendezvous_owner<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    members.into_iter().max_by_key(|member| (hash_pair(key, member), *member))
}

/// Returns the `count` members with the highest rendezvous weights for a key, highest first.
pub fn rendezvous_subset<'a>(key: &str, members: &[&'a str], count: usize) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> =
        members.iter().map(|member| (hash_pair(key, member), *member)).collect();
    let count = count.min(ranked.len());
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, |left, right| right.cmp(left));
    }
    ranked.truncate(count);
    ranked.sort_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Returns the `count` members that an entry uses, by deterministic subsetting. `entry` is the
/// index of the entry in the sorted list of entries.
///
/// Consecutive entries take consecutive slices of a shuffled list of the members. Each round
/// through the members uses a different shuffle, so that no member is assigned twice before all are
/// assigned once. Members keep their relative order in a shuffle when others leave, so one lost
/// member changes each subset by at most one or two.
pub fn balanced_subset<'a>(entry: usize, members: &[&'a str], count: usize) -> Vec<&'a str> {
    let count = count.min(members.len());
    if count == 0 {
        return Vec::new();
    }
    let assigned = entry * count;
    let mut chosen = Vec::with_capacity(count);
    let mut round = assigned / members.len();
    let mut offset = assigned % members.len();
    while chosen.len() < count {
        let shuffled = shuffle(round as u64, members);
        for member in shuffled.into_iter().skip(offset) {
            if chosen.len() < count && !chosen.contains(&member) {
                chosen.push(member);
            }
        }
        round += 1;
        offset = 0;
    }
    chosen
}

fn shuffle<'a>(round: u64, members: &[&'a str]) -> Vec<&'a str> {
    let mut order: Vec<&str> = members.to_vec();
    order.sort_by_cached_key(|member| (hash_bytes(round, member.as_bytes()), *member));
    order
}

/// Returns the children of the process `own` in a push tree with bounded fan-out and root `root`.
///
/// The order of the members in the tree depends on the root, which spreads the load of inner nodes.
/// `members` need not be sorted; processes that know the same members agree on the tree.
pub fn tree_children<'a>(
    root: &str,
    own: &str,
    members: &[&'a str],
    fan_out: usize,
) -> Vec<&'a str> {
    let mut order: Vec<&str> = members.iter().copied().filter(|member| *member != root).collect();
    order.sort_by_cached_key(|member| (hash_pair(root, member), *member));
    let index = match order.iter().position(|member| *member == own) {
        Some(position) => position + 1,
        None if own == root => 0,
        None => return Vec::new(),
    };
    let first = index * fan_out;
    let last = (first + fan_out).min(order.len());
    order.get(first..last).map(<[&str]>::to_vec).unwrap_or_default()
}
