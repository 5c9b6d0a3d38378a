//! Prefix-cache affinity with bounded loads.
//!
//! Weighted rendezvous hashing ranks the replicas of the first stage for each prompt prefix of an
//! organisation. The highest-ranked replica whose load is within the bound is chosen. Affinity
//! affects only latency: a replica with a cold cache generates the same completion, later.

use crate::hash::hash_bytes;

/// A replica that the prefix may be assigned to.
#[derive(Clone, Copy, Debug)]
pub struct AffinityCandidate {
    /// Hash of the replica's name.
    pub name_hash: u64,
    /// Relative share of the work that the replica should get, above 0.
    pub weight: f64,
    /// Requests in flight at the replica.
    pub outstanding: u32,
    /// Free slots: further requests that may be sent now.
    pub free: u32,
}

/// Returns the hash of the organisation and the first `len` tokens, by which the cache is keyed.
pub fn prefix_hash(organisation: &str, tokens: &[u32], len: usize) -> u64 {
    let mut hash = hash_bytes(0, organisation.as_bytes());
    for token in tokens.iter().take(len) {
        hash = hash_bytes(hash, &token.to_le_bytes());
    }
    hash
}

/// Returns the index of the highest-ranked candidate with a free slot whose load, including the new
/// request, is within `max_load_percent` of its weighted share of the total load, rounded up. If no
/// candidate is within that bound, returns the highest-ranked one with a free slot; `None` if no
/// candidate has a free slot.
pub fn choose_by_affinity(
    prefix: u64,
    candidates: &[AffinityCandidate],
    max_load_percent: u32,
) -> Option<usize> {
    let total_weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let total_load: f64 =
        candidates.iter().map(|candidate| f64::from(candidate.outstanding)).sum::<f64>() + 1.0;
    let max_load_ratio = f64::from(max_load_percent) / 100.0;
    let is_within_bound = |candidate: &AffinityCandidate| {
        let fair_share = total_load * candidate.weight / total_weight.max(f64::MIN_POSITIVE);
        f64::from(candidate.outstanding) < (fair_share * max_load_ratio).ceil()
    };
    let usable = (0..candidates.len()).filter(|i| candidates[*i].free > 0);
    let score = |i: &usize| rendezvous_score(prefix, &candidates[*i]);
    let by_score = |left: &usize, right: &usize| score(left).total_cmp(&score(right));
    let within_bound = usable.clone().filter(|i| is_within_bound(&candidates[*i])).max_by(by_score);
    within_bound.or_else(|| usable.max_by(by_score))
}

/// Returns the weighted rendezvous score: `-weight / ln(u)` for the hash mapped to `u` in `(0, 1)`.
fn rendezvous_score(prefix: u64, candidate: &AffinityCandidate) -> f64 {
    let hash = hash_bytes(prefix, &candidate.name_hash.to_le_bytes());
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -candidate.weight / uniform.ln()
}
