//! Routes: the stages that run the layers of a request.
//!
//! A [`PipelineRoute`] can only be constructed from stages that tile `[0, layers)` exactly, so no
//! route skips or repeats a layer.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Error, ErrorKind};

/// A non-empty range of layers `[first, end)`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LayerRange {
    first: u32,
    end: u32,
}

impl LayerRange {
    /// Creates the range of layers from `first` up to, but not including, `end`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::EmptyRange`] if `end` is not above `first`.
    pub fn new(first: u32, end: u32) -> Result<Self, Error> {
        if end <= first {
            let detail = format!("layers [{first}, {end}): end must be above first");
            return Err(Error::new(ErrorKind::EmptyRange, detail));
        }
        Ok(Self { first, end })
    }

    /// Returns the first layer of the range.
    pub fn first(&self) -> u32 {
        self.first
    }

    /// Returns the layer after the last one of the range.
    pub fn end(&self) -> u32 {
        self.end
    }

    /// Returns the number of layers, at least 1.
    pub fn count(&self) -> u32 {
        self.end - self.first
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}, {})", self.first, self.end)
    }
}

/// One stage of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteStage {
    /// Address of the stage's agent.
    pub address: String,
    /// Process name of the stage's agent.
    pub process: String,
    /// Layers that the stage runs.
    pub layers: LayerRange,
    /// Attempt of the request in which this stage was added to the route.
    pub joined_attempt: u32,
}

/// Stages that together run every layer of a model once, in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PipelineRoute {
    stages: Vec<RouteStage>,
}

impl PipelineRoute {
    /// Creates a route from the stages of a model with `layers` layers, in order.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NotTiled`] if the stages leave a gap, overlap, or do not end at layer
    /// `layers`.
    pub fn new(stages: Vec<RouteStage>, layers: u32) -> Result<Self, Error> {
        let mut next_layer = 0;
        for stage in &stages {
            if stage.layers.first() != next_layer {
                let detail = format!(
                    "stage {} has layers {}, expected to start at {next_layer}",
                    stage.address, stage.layers
                );
                return Err(Error::new(ErrorKind::NotTiled, detail));
            }
            next_layer = stage.layers.end();
        }
        if next_layer != layers || stages.is_empty() {
            let detail = format!("stages end at layer {next_layer}, expected {layers}");
            return Err(Error::new(ErrorKind::NotTiled, detail));
        }
        Ok(Self { stages })
    }

    /// Returns the stages in order, at least one.
    pub fn stages(&self) -> &[RouteStage] {
        &self.stages
    }

    /// Returns the position of the stage at an address, or `None` if the route does not use it.
    pub fn position(&self, address: &str) -> Option<usize> {
        self.stages.iter().position(|stage| stage.address == address)
    }

    /// Replaces the stage at `position` by another replica of the same layers.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::OutOfBounds`] if there is no such stage, or the layers of the
    /// replacement differ.
    pub fn replace(&mut self, position: usize, replacement: RouteStage) -> Result<(), Error> {
        let Some(stage) = self.stages.get_mut(position) else {
            return Err(Error::new(
                ErrorKind::OutOfBounds,
                format!("no stage at position {position}"),
            ));
        };
        if stage.layers != replacement.layers {
            let detail =
                format!("replacement has layers {}, expected {}", replacement.layers, stage.layers);
            return Err(Error::new(ErrorKind::OutOfBounds, detail));
        }
        *stage = replacement;
        Ok(())
    }
}
