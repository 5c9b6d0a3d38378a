//! Runtime support shared by all processes of switchfold.
//!
//! A process is a set of services, each an [`xtra`] actor, that find each other by name in a
//! [`ServiceRegistry`](registry::ServiceRegistry). This crate provides what all processes need:
//! validated settings, logs, metrics, HTTP, clocks and graceful shutdown.
//!
//! ```
//! use switchfold_kernel::registry::{ServiceName, ServiceRegistry};
//!
//! #[derive(xtra::Actor)]
//! struct Counter;
//!
//! # let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
//! # runtime.block_on(async {
//! const COUNTER: ServiceName = ServiceName("counter");
//! let registry = ServiceRegistry::new();
//! registry.register(COUNTER, xtra::spawn_tokio(Counter, xtra::Mailbox::unbounded())).unwrap();
//! assert!(registry.find::<Counter>(COUNTER).is_ok());
//! # });
//! ```

pub mod clock;
pub mod connection;
pub mod exit;
pub mod http;
pub mod listen;
pub mod logs;
pub mod metrics;
pub mod registry;
pub mod settings;
pub mod shutdown;
