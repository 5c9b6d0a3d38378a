//! How scarce memory for requests is, layer by layer.
//!
//! A path is as wide as its narrowest layer, so what counts is not the sum of memory but the sum over
//! the layers of one over the memory that each has.

use crate::placement::{LayerHolder, ModelShape};

/// Memory for requests that the holders of each layer have for it, in MB.
pub(super) fn room_by_layer(holders: &[LayerHolder], model: ModelShape) -> Vec<f64> {
    let mut room = vec![0.0; model.layers as usize];
    for holder in holders {
        let range = holder.range.filter(|range| !range.is_empty());
        let Some(range) = range else { continue };
        let len = f64::from(range.len());
        let free = (holder.memory_mb - len * model.layer_mb).max(0.0) / len;
        for layer in range.from..range.to.min(model.layers) {
            room[layer as usize] += free;
        }
    }
    room
}

/// How scarce room for requests is at a replica that holds so many layers: the sum over them of one
/// over the room for one layer, in 1/MB.
pub(super) fn scarcity(memory_mb: f64, layer_mb: f64, layers: u32) -> f64 {
    let len = f64::from(layers);
    let room = (memory_mb - len * layer_mb) / len;
    len / room.max(1.0)
}
