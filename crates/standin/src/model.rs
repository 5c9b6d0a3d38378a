//! A deterministic model whose layers are hash functions.
//!
//! The cache of a layer is one number for each request, which every position updates. The
//! activation of a position depends on the caches of all preceding layers. If a layer is skipped,
//! runs twice, runs out of order, or runs with the cache of another request, all following tokens
//! change.

use switchfold_core::hash::hash_bytes;

/// Number of tokens in the vocabulary.
pub const VOCABULARY: u32 = 50_000;

/// Size of the activation of one position.
pub const ACTIVATION_BYTES: usize = 8;

/// Caches of a range of layers, for one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerCaches {
    first_layer: u32,
    caches: Vec<u64>,
}

impl LayerCaches {
    /// Creates empty caches for the layers `[first, end)`.
    pub fn new(first: u32, end: u32) -> Self {
        Self { first_layer: first, caches: vec![0; (end - first) as usize] }
    }

    /// Runs all layers of the range on one position. Returns the activation of the last layer.
    pub fn run(&mut self, model: u64, position: u32, activation: u64) -> u64 {
        let mut hidden = activation;
        for (offset, cache) in self.caches.iter_mut().enumerate() {
            let layer = self.first_layer + offset as u32;
            let location = (u64::from(layer) << 32) | u64::from(position);
            *cache = mix(*cache ^ model, hidden, location);
            hidden = mix(hidden, *cache, location);
        }
        hidden
    }

    /// Serializes the caches for export.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.caches.iter().flat_map(|cache| cache.to_le_bytes()).collect()
    }

    /// Restores exported caches; returns `None` if the size does not match the layers
    /// `[first, end)`.
    pub fn from_bytes(first: u32, end: u32, bytes: &[u8]) -> Option<Self> {
        let chunks = bytes.chunks_exact(8);
        let caches: Vec<u64> =
            chunks.filter_map(|chunk| Some(u64::from_le_bytes(chunk.try_into().ok()?))).collect();
        let fits = caches.len() == (end - first) as usize && bytes.len() == caches.len() * 8;
        fits.then_some(Self { first_layer: first, caches })
    }
}

/// Returns the number that stands in for the weights of a model.
pub fn model_seed(model: &str) -> u64 {
    hash_bytes(7, model.as_bytes())
}

/// Returns the input activation of the first layer for a token.
pub fn embed(token: u32) -> u64 {
    hash_bytes(11, &token.to_le_bytes())
}

/// Returns the token for an activation of the last layer.
pub fn token_of(activation: u64) -> u32 {
    (activation % u64::from(VOCABULARY)) as u32
}

/// Computes the expected completion of a prompt by running all layers locally.
pub fn oracle(model: &str, layers: u32, prompt: &[u32], max_tokens: u32) -> Vec<u32> {
    let seed = model_seed(model);
    let mut caches = LayerCaches::new(0, layers);
    let mut completion = Vec::with_capacity(max_tokens as usize);
    let mut last = 0;
    for (position, token) in prompt.iter().enumerate() {
        last = caches.run(seed, position as u32, embed(*token));
    }
    for index in 0..max_tokens {
        let token = token_of(last);
        completion.push(token);
        last = caches.run(seed, prompt.len() as u32 + index, embed(token));
    }
    completion
}

fn mix(left: u64, right: u64, location: u64) -> u64 {
    let folded =
        (left ^ location.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(right.rotate_left(23));
    let product = u128::from(folded) * 0xa076_1d64_78bd_642f;
    (product as u64) ^ ((product >> 64) as u64)
}
