//! The relay: the entry of platforms whose engines chain pipelines themselves.
//!
//! It takes callers' requests, chooses the whole path of each over the engines that hold the model's
//! layers, hands the request to the first of them and passes the answer on. Every choice is made by
//! `switchfold-router`; every name of the platform stands in `switchfold-platform`; this crate moves
//! bytes between them. It runs on one thread: at the size of an entry VM, a second one costs more than
//! it brings, and what the relay knows needs no lock.
//!
//! | module | job |
//! |---|---|
//! | [`serve`], [`request`], [`admit`] | callers, and what the configuration lets them do |
//! | [`plain`] | requests to plain services |
//! | [`stream`], [`response_head`], [`forward`], [`paths`] | requests over engines: opening, running, paths |
//! | [`run_tracker`] | runs of requests at replicas, and what is left of lost ones |
//! | [`pool`], [`engines`] | connections and calls to replicas |
//! | [`watch`], [`replicas`], [`peers`], [`messages`] | what the relay knows, from the store and from other relays |
//! | [`restore`] | what the store lost when it came back from a copy |
//! | [`notices`] | what replicas say of themselves in their answers |
//! | [`quarantine`] | requests that end the replicas that run them |
//! | [`engine_poll`] | which engines are slow |
//! | [`placer`] | orders to engines to hold layers |
//! | [`shutdown`], [`run`], [`reload`], [`settings`], [`logs`], [`counts`], [`metrics`] | the process |

pub mod admit;
pub mod counts;
pub mod engine_poll;
pub mod engines;
pub mod forward;
pub mod gossip;
pub mod limits;
pub mod logs;
pub mod messages;
pub mod metrics;
pub mod notices;
pub mod paths;
pub mod peers;
pub mod placer;
pub mod plain;
pub mod pool;
pub mod probes;
pub mod quarantine;
pub mod registry;
pub mod reload;
pub mod replicas;
pub mod request;
pub mod response_head;
pub mod responses;
pub mod restore;
pub mod run;
pub mod run_tracker;
pub mod serve;
pub mod settings;
pub mod shutdown;
pub mod snapshot;
pub mod state;
pub mod store_calls;
pub mod stream;
pub mod watch;
