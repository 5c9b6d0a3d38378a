//! A soak test of the relay under randomized faults.
//!
//! Relay programs and stand-in replicas run as processes on one machine. Faults come from outside
//! them: signals, loopback proxies that delay, reset, pause or cut a link in one direction, and a
//! store that rejects calls, does not respond or loses its history. Callers keep their connections
//! for as long as the relay does. What callers received and what replicas ran is checked against
//! the guarantees in the platform's documentation; no internal state of a relay is read.
//!
//! | module | contents |
//! |---|---|
//! | [`plan`] | the faults of a seed |
//! | [`cluster`], [`process`], [`proxy`] | processes and links, and the faults injected into them; `slot` restarts processes |
//! | [`replica`], [`notices`] | the stand-in replica as a program, and the notices in its response headers |
//! | [`config`] | the configuration, and its changes |
//! | [`shape`], [`weights`] | data centres and intervals of a cluster, its model, and the store that engines load layers from |
//! | [`silence`] | silence within the response to one request |
//! | [`caller`], [`patient`] | callers; `pausing` sends their requests in parts |
//! | [`attendance`] | connections to relays that say they are ready |
//! | [`record`], [`checks`], [`ends`] | what was recorded, and the guarantees it is checked against |
//! | [`run`] | one run of a seed |
//! | [`measure`] | measures what silence costs callers |
//! | [`crowd`] | one run in which most new connections go to one relay; `throttle` holds relays to a share of a core |
//!
//! In contrast to the tests in virtual time, a run depends on how the system schedules its
//! processes. A seed therefore determines the schedule of faults, but not the outcome. Logs of a
//! run are kept if it violated a guarantee.

pub mod attendance;
pub mod caller;
pub mod checks;
pub mod cluster;
pub mod config;
pub mod crowd;
pub mod ends;
pub mod measure;
pub mod notices;
pub mod patient;
mod pausing;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod record;
pub mod recovery;
pub mod replica;
pub mod run;
pub mod shape;
pub mod silence;
mod slot;
mod throttle;
pub mod weights;
