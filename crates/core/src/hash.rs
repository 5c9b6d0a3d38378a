//! Seeded hash function whose results are identical on every VM and in every version of the
//! program.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the 64-bit XXH3 hash of the bytes with a seed.
pub fn hash_bytes(seed: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, seed)
}

/// Returns the hash of a pair of texts. Pairs with the same concatenation but another boundary hash
/// differently.
pub fn hash_pair(left: &str, right: &str) -> u64 {
    hash_bytes(hash_bytes(0, left.as_bytes()), right.as_bytes())
}
