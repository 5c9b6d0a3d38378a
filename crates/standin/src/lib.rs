//! Stand-ins (test doubles) for the systems that switchfold works with: the platform, model engines
//! and services.
//!
//! They speak the same protocols as the real systems and can inject failures. The model of the
//! stand-in engine ([`model`]) is a chain of hashes through all layers, so that the generated
//! tokens are correct only if every layer ran exactly once, in order, and on the right caches.
//! [`model::oracle`] computes the expected tokens independently.

pub mod engine;
pub mod model;
pub mod platform;
pub mod service;
