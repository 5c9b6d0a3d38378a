//! Preferring the replica whose prefix cache is warm, under a load bound.
//!
//! The prefix of an organisation's prompts has a home among the replicas of the first stage, by
//! weighted rendezvous. The home is preferred while it carries no more than the bound allows; then
//! the next one in rank is, and so on. A hint never decides correctness: a cold replica gives the
//! same answer, later.

use crate::hash::hash_bytes;

/// A replica that could hold the prefix.
#[derive(Clone, Copy, Debug)]
pub struct AffinityCandidate {
    /// Hash of its name.
    pub name_hash: u64,
    /// Share of the work that it should bear, above 0.
    pub weight: f64,
    /// Requests there now.
    pub outstanding: u32,
    /// Further requests that may be sent now.
    pub free: u32,
}

/// Hash of what the cache is keyed by: the organisation and the first tokens.
pub fn prefix_hash(organisation: &str, tokens: &[u32], len: usize) -> u64 {
    let mut hash = hash_bytes(0, organisation.as_bytes());
    for token in tokens.iter().take(len) {
        hash = hash_bytes(hash, &token.to_le_bytes());
    }
    hash
}

/// Chooses the highest-ranked candidate whose load is within `max_load_percent` of the mean for its
/// share; nothing where none has a free slot.
pub fn choose_by_affinity(
    prefix: u64,
    candidates: &[AffinityCandidate],
    max_load_percent: u32,
) -> Option<usize> {
    let weights: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    let total: f64 =
        candidates.iter().map(|candidate| f64::from(candidate.outstanding)).sum::<f64>() + 1.0;
    let bound = f64::from(max_load_percent) / 100.0;
    let allowed = |candidate: &AffinityCandidate| {
        let due = total * candidate.weight / weights.max(f64::MIN_POSITIVE);
        f64::from(candidate.outstanding) < (due * bound).ceil()
    };
    let usable = (0..candidates.len()).filter(|i| candidates[*i].free > 0);
    let rank = |i: &usize| rendezvous_score(prefix, &candidates[*i]);
    let best = |left: &usize, right: &usize| rank(left).total_cmp(&rank(right));
    let within = usable.clone().filter(|i| allowed(&candidates[*i])).max_by(best);
    within.or_else(|| usable.max_by(best))
}

/// Weighted rendezvous: `-weight / ln(u)` for a hash mapped to `u` in `(0, 1)`.
fn rendezvous_score(prefix: u64, candidate: &AffinityCandidate) -> f64 {
    let hash = hash_bytes(prefix, &candidate.name_hash.to_le_bytes());
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -candidate.weight / unit.ln()
}
