//! Shapes of clusters: data centres, intervals, and what engines load.

use std::time::Duration;

use serde_json::{Value, json};
use switchfold_platform_standin::samples::{ENTRY_SLOTS, KIND, LAYERS};

use crate::weights::WeightLimits;

/// A kind of accelerator: its name, its memory in MB, and its step factor.
type AcceleratorKind = (&'static str, f64, f64);

/// Engines of one kind in a data centre.
type EngineCount = (&'static str, &'static str, usize);

/// The engines' model, and the store of its weights.
#[derive(Clone, Copy, Debug)]
pub struct ModelScale {
    /// Number of layers.
    pub layers: u32,
    /// Number of requests that an engine runs at once.
    pub slots: u32,
    /// Memory of a layer in MB.
    layer_mb: f64,
    kinds: &'static [AcceleratorKind],
    engines: &'static [EngineCount],
    /// The store of the weights.
    pub weights: WeightLimits,
}

/// The shape of a cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterShape {
    /// Data centres that replicas and relays are assigned to in turn.
    pub data_centres: &'static [&'static str],
    /// Interval between two writes of a replica's entry to the store.
    pub heartbeat: Duration,
    /// Age of an entry when it is written.
    pub list_lag: Duration,
    /// Interval at which the load balancer checks the readiness of relays.
    pub ready_interval: Duration,
    /// Model of the engines; `None` for the sample model, of which each engine loads a layer in some
    /// milliseconds.
    pub model: Option<ModelScale>,
}

/// A small model whose layers load at once.
pub const QUICK_SHAPE: ClusterShape = ClusterShape {
    data_centres: &["hall", "far"],
    heartbeat: Duration::from_millis(300),
    list_lag: Duration::ZERO,
    ready_interval: Duration::from_millis(300),
    model: None,
};

/// A large model on three kinds of accelerators, with load times of seconds.
pub const LARGE_SHAPE: ClusterShape = ClusterShape {
    data_centres: &["east", "middle", "west"],
    heartbeat: Duration::from_millis(1_200),
    list_lag: Duration::from_millis(800),
    ready_interval: Duration::from_millis(1_000),
    model: Some(ModelScale {
        layers: 80,
        slots: 192,
        layer_mb: 1_750.0,
        kinds: &[("a100", 72_000.0, 2.4), ("v100", 14_000.0, 5.3), ("l4", 22_000.0, 16.0)],
        engines: &[
            ("east", "a100", 2),
            ("east", "v100", 9),
            ("east", "l4", 10),
            ("middle", "a100", 1),
            ("middle", "v100", 14),
            ("middle", "l4", 5),
            ("west", "a100", 2),
            ("west", "v100", 6),
            ("west", "l4", 7),
        ],
        weights: WeightLimits { layer_time: Duration::from_millis(175), max_parallel: 9 },
    }),
};

impl ClusterShape {
    /// Returns the data centre of a relay or a replica of a plain service.
    pub fn data_centre(&self, number: usize) -> &'static str {
        self.data_centres[number % self.data_centres.len()]
    }

    /// Returns the data centre and the kind of accelerator of one of `count` engines.
    pub fn engine(&self, number: usize, count: usize) -> (&'static str, &'static str) {
        let Some(model) = self.model else { return (self.data_centre(number), KIND) };
        let all = model.engines.iter().flat_map(|(data_centre, kind, count)| {
            std::iter::repeat_n((*data_centre, *kind), *count)
        });
        let all: Vec<_> = all.collect();
        all[number * all.len() / count.max(1) % all.len()]
    }

    /// Returns the number of requests that an engine runs at once.
    pub fn slots(&self) -> u32 {
        self.model.map_or(ENTRY_SLOTS, |model| model.slots)
    }

    /// Returns the number of layers of the model.
    pub fn layers(&self) -> u32 {
        self.model.map_or(LAYERS, |model| model.layers)
    }
}

impl ModelScale {
    /// Changes the engine of the model service in a configuration.
    pub fn describe(&self, config: &mut Value) {
        let services = config["services"].as_array_mut().into_iter().flatten();
        for engine in services.map(|service| &mut service["engine"]).filter(|it| it.is_object()) {
            let kinds = self.kinds.iter().map(
                |(name, mb, pace)| json!({"name": name, "mb": mb, "pace": pace, "read_x": pace}),
            );
            engine["kinds"] = kinds.collect();
            engine["layers"] = json!(self.layers);
            engine["layer_mb"] = json!(self.layer_mb);
            engine["loads_at_once"] = json!(self.weights.max_parallel);
            let load_time = self.weights.layer_time * self.layers;
            engine["models"][0]["load_s"] = json!(load_time.as_secs_f64());
            engine["slots"] = json!(self.slots);
            engine["kv_capacity"] = json!(100_000);
        }
    }
}
