//! A randomized fault soak of the relay.
//!
//! Real relay programs and stand-in replicas run as processes of their own on one machine. Faults come
//! from outside them: signals, loopback proxies that delay, reset, silence or cut a link one way, and a
//! store that refuses, says nothing or forgets its history. Callers keep their connections until the
//! process is gone. What callers got and what replicas ran is held against the promises of the platform's
//! pages; nothing is read from inside a relay.
//!
//! | module | job |
//! |---|---|
//! | [`plan`] | faults of a seed |
//! | [`site`], [`process`], [`proxy`] | processes and links, and what is done to them; `slot` starts them again |
//! | [`replica`] | the stand-in replica as a program |
//! | [`caller`] | callers |
//! | [`record`], [`checks`] | what was seen, and the promises that it is held against |
//! | [`run`] | one run of a seed |
//!
//! The trade-off against the tests in paused time: a run depends on how processes are scheduled, so a
//! seed names a schedule of faults and not an outcome. Its logs are kept whenever a promise was broken.

pub mod caller;
pub mod checks;
pub mod notices;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod record;
pub mod replica;
pub mod run;
pub mod site;
mod slot;
