//! Decisions for pipelines that the engines chain themselves, and for plain services.
//!
//! On platforms whose engines pass activations to each other, an entry chooses the whole path of a
//! request and hands it to the first engine. This crate holds every choice that this takes, as
//! deterministic functions: time is a [`Millis`] argument, there is no I/O and no task. The processes
//! around it move bytes and decide nothing, so that tests reach each decision without a socket.
//!
//! | module | decides |
//! |---|---|
//! | [`routing`] | which route, service and organisation a request has, by the configuration in force |
//! | [`attempt`] | what follows from the outcome of one attempt |
//! | [`backoff`] | which replicas asked this VM to stay away for a time |
//! | [`budget`] | how many repeats a service may still get |
//! | [`path`] | the path of a request over the layers |
//! | [`clocks`] | as of when a message tells what it tells |
//! | [`placement`] | which layers each replica should hold |
//! | [`fingerprint`] | which requests are one and the same, whatever their ids |
//! | [`follow`] | what a relay reads next from the store |
//! | [`freshness`] | whether the configuration is recent enough to let keys in |
//! | [`grants`] | which requests may go to replicas that named a limit |
//! | [`groups`] | which replicas are planned together, and by which relays |
//! | [`issuer`] | which relay gets the next grant of such a replica |
//! | [`coordinator`] | which relay hands these grants out |
//! | [`missing`] | which entries that are missing after an outage are waited for |
//! | [`instance`] | which life of a replica something is known of |
//! | [`limits`] | how many requests a second each replica takes, by its own word |
//! | [`membership`] | which relays tell each other, which gives orders, and which follows the store for others |
//! | [`stall`] | which first replicas begin no answers, and when a request goes elsewhere |
//! | [`origin`] | to whom news of other relays are told on |
//! | [`slowdown`] | how slow each engine is at the moment |
//! | [`bandwidth`] | how many paths may cross from one data centre to another |
//! | [`era`] | which of two states of the store is the newer one, also where it came back from a copy |
//! | [`quarantine`] | which requests end the replicas that run them, and are sent nowhere |
//! | [`replicas`] | what a relay believes of the replicas, by whose word |
//! | [`reconnects`] | in which order callers come back to an entry that has just started |
//! | [`reservations`] | how much memory for requests is promised at each replica |
//! | [`suspect`] | which replicas to keep away from for a while |
//!
//! The trade-off: an entry chooses alone, from what it last heard. Two entries may choose the same
//! replica at once; the reserve in [`reservations`] is what absorbs that.

pub mod attempt;
pub mod backoff;
pub mod bandwidth;
pub mod budget;
pub mod clocks;
pub mod coordinator;
pub mod era;
pub mod fingerprint;
pub mod fleet;
pub mod follow;
pub mod freshness;
pub mod grants;
pub mod groups;
pub mod instance;
pub mod issuer;
pub mod limits;
pub mod membership;
pub mod missing;
pub mod origin;
pub mod path;
pub mod placement;
pub mod quarantine;
pub mod reconnects;
pub mod replicas;
pub mod reservations;
pub mod routing;
pub mod slowdown;
pub mod stall;
pub mod suspect;

pub use switchfold_core::Millis;
