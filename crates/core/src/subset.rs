//! Which replicas an entry keeps links to, and who does a shared job.
//!
//! With hundreds of entries and thousands of replicas, every entry holding a link to every replica
//! would cost each of them more than it may spend on control. Each entry takes a subset of the
//! replicas of every layer range. Two ways are kept, to be measured against each other: rendezvous
//! hashing, which moves least when members change, and [`balanced_subset`], which deals replicas so that
//! every one is used by the same number of entries, give or take one.

use crate::hash::{hash_bytes, hash_pair};

/// Position of the member with the highest rendezvous weight for a key.
///
/// Every process that knows the same members agrees on it, whatever their order.
pub fn rendezvous_owner<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    members.into_iter().max_by_key(|member| (hash_pair(key, member), *member))
}

/// The `count` members with the highest rendezvous weights for a key, highest first.
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

/// The members that entry number `entry` of `entries` uses, `count` of them, dealt evenly.
///
/// Entries form rounds; each round deals its own shuffle of the members, so that within a round no
/// member is dealt twice before all are dealt once. `entry` is the entry's place in the sorted list
/// of entries. Members keep their place in a shuffle when others go, so one lost member changes each
/// subset by at most one or two.
pub fn balanced_subset<'a>(entry: usize, members: &[&'a str], count: usize) -> Vec<&'a str> {
    let count = count.min(members.len());
    if count == 0 {
        return Vec::new();
    }
    let dealt = entry * count;
    let mut chosen = Vec::with_capacity(count);
    let mut round = dealt / members.len();
    let mut offset = dealt % members.len();
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

/// Children of a process in a push tree of bounded fan-out rooted at `root`.
///
/// The tree is laid over the members in an order that depends on the root, so the load of inner
/// nodes goes round. `members` need not be sorted; all processes that know the same members agree.
pub fn tree_children<'a>(
    root: &str,
    own: &str,
    members: &[&'a str],
    fan_out: usize,
) -> Vec<&'a str> {
    let mut order: Vec<&str> = members.iter().copied().filter(|member| *member != root).collect();
    order.sort_by_cached_key(|member| (hash_pair(root, member), *member));
    let place = match order.iter().position(|member| *member == own) {
        Some(position) => position + 1,
        None if own == root => 0,
        None => return Vec::new(),
    };
    let first = place * fan_out;
    let last = (first + fan_out).min(order.len());
    order.get(first..last).map(<[&str]>::to_vec).unwrap_or_default()
}
