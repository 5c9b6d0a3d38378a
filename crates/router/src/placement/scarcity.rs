//! Measures how scarce memory for requests is, layer by layer.
//!
//! The layer with the least memory limits the requests on a path. Layouts are therefore not
//! compared by their total free memory, but by the sum, over all layers, of the reciprocal of each
//! layer's free memory.

use crate::placement::{LayerHolder, ModelShape};

/// Returns the free memory for requests of each layer, in MB, summed over the replicas that hold
/// it.
pub(super) fn free_mb_by_layer(holders: &[LayerHolder], model: ModelShape) -> Vec<f64> {
    let mut free_mb = vec![0.0; model.layers as usize];
    for holder in holders {
        let range = holder.range.filter(|range| !range.is_empty());
        let Some(range) = range else { continue };
        let len = f64::from(range.len());
        let layer_free_mb = (holder.memory_mb - len * model.layer_mb).max(0.0) / len;
        for layer in range.from..range.to.min(model.layers) {
            free_mb[layer as usize] += layer_free_mb;
        }
    }
    free_mb
}

/// Returns how scarce memory for requests is at a replica that holds `layers` layers: the sum over
/// them of the reciprocal of the free memory for one layer, in 1/MB.
pub(super) fn scarcity(memory_mb: f64, layer_mb: f64, layers: u32) -> f64 {
    let len = f64::from(layers);
    let layer_free_mb = (memory_mb - len * layer_mb) / len;
    len / layer_free_mb.max(1.0)
}
