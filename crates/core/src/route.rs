//! Routes: which stage runs which layers of a request.
//!
//! A [`PipelineRoute`] can only be made from stages that tile `[0, layers)` exactly, so a route with
//! a skipped or doubled layer cannot be written down.

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
    /// Makes the range `[first, end)`.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::EmptyRange`] where `end` is not above `first`.
    pub fn new(first: u32, end: u32) -> Result<Self, Error> {
        if end <= first {
            let detail = format!("layers [{first}, {end}): end must be above first");
            return Err(Error::new(ErrorKind::EmptyRange, detail));
        }
        Ok(Self { first, end })
    }

    /// First layer of the range.
    pub fn first(&self) -> u32 {
        self.first
    }

    /// Layer after the last one of the range.
    pub fn end(&self) -> u32 {
        self.end
    }

    /// Number of layers, at least 1.
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
    /// Name of the stage's agent.
    pub process: String,
    /// Layers that the stage runs.
    pub layers: LayerRange,
    /// Attempt in which the stage joined the route.
    pub joined_attempt: u32,
}

/// Stages that tile a model exactly.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PipelineRoute {
    stages: Vec<RouteStage>,
}

impl PipelineRoute {
    /// Makes a route from stages in order.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::NotTiled`] where the stages leave a gap, overlap, or do not end at
    /// layer `layers`.
    pub fn new(stages: Vec<RouteStage>, layers: u32) -> Result<Self, Error> {
        let mut cursor = 0;
        for stage in &stages {
            if stage.layers.first() != cursor {
                let detail =
                    format!("stage {} has {}, expected {cursor}", stage.address, stage.layers);
                return Err(Error::new(ErrorKind::NotTiled, detail));
            }
            cursor = stage.layers.end();
        }
        if cursor != layers || stages.is_empty() {
            let detail = format!("stages end at layer {cursor}, expected {layers}");
            return Err(Error::new(ErrorKind::NotTiled, detail));
        }
        Ok(Self { stages })
    }

    /// Stages in order, at least one.
    pub fn stages(&self) -> &[RouteStage] {
        &self.stages
    }

    /// Position of the stage with an address.
    pub fn position(&self, address: &str) -> Option<usize> {
        self.stages.iter().position(|stage| stage.address == address)
    }

    /// Puts another replica in the place of stage `position`, joining in `attempt`.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::OutOfBounds`] where there is no such stage, or the replica holds
    /// other layers.
    pub fn replace(&mut self, position: usize, place: RouteStage) -> Result<(), Error> {
        let Some(stage) = self.stages.get_mut(position) else {
            return Err(Error::new(ErrorKind::OutOfBounds, format!("no stage {position}")));
        };
        if stage.layers != place.layers {
            let detail = format!("replacement has {}, expected {}", place.layers, stage.layers);
            return Err(Error::new(ErrorKind::OutOfBounds, detail));
        }
        *stage = place;
        Ok(())
    }
}
