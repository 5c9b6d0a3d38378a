//! Conversions between protocol messages and the types of `switchfold_core`.

use switchfold_core::{
    Error,
    id::RequestId,
    route::{LayerRange, PipelineRoute, RouteStage},
};

use crate::{engine, link};

impl From<RequestId> for link::RequestId {
    fn from(id: RequestId) -> Self {
        Self { incarnation: id.incarnation, counter: id.counter }
    }
}

impl From<link::RequestId> for RequestId {
    fn from(id: link::RequestId) -> Self {
        Self { incarnation: id.incarnation, counter: id.counter }
    }
}

impl From<RequestId> for engine::CacheKey {
    fn from(id: RequestId) -> Self {
        Self { incarnation: id.incarnation, counter: id.counter }
    }
}

impl From<&RouteStage> for link::Stage {
    fn from(stage: &RouteStage) -> Self {
        Self {
            address: stage.address.clone(),
            first_layer: stage.layers.first(),
            end_layer: stage.layers.end(),
            joined: stage.joined_attempt,
            process: stage.process.clone(),
        }
    }
}

impl TryFrom<&link::Stage> for RouteStage {
    type Error = Error;

    fn try_from(stage: &link::Stage) -> Result<Self, Error> {
        Ok(Self {
            address: stage.address.clone(),
            process: stage.process.clone(),
            layers: LayerRange::new(stage.first_layer, stage.end_layer)?,
            joined_attempt: stage.joined,
        })
    }
}

impl link::Route {
    /// Converts the stages to a pipeline.
    ///
    /// # Errors
    ///
    /// Fails if a range is empty, or if the ranges do not cover the layers from 0 to the end of the
    /// last stage without gap or overlap.
    pub fn pipeline(&self) -> Result<PipelineRoute, Error> {
        let stages: Result<Vec<RouteStage>, Error> =
            self.stages.iter().map(RouteStage::try_from).collect();
        let layers = self.stages.last().map_or(0, |stage| stage.end_layer);
        PipelineRoute::new(stages?, layers)
    }
}
