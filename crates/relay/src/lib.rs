//! The relay: the entry of platforms whose engines chain pipelines themselves.
//!
//! A relay accepts requests of callers, chooses the whole path of each over the engines that hold
//! the layers of the model, sends the request to the first engine of the path and passes the
//! response on. All decisions are made by `switchfold-router`, and all names of the platform are
//! defined in `switchfold-platform`; this crate does the I/O between them. It runs on one thread:
//! at the size of an entry VM a second thread costs more than it gains, and the state needs no
//! locks.
//!
//! | module | purpose |
//! |---|---|
//! | [`serve`], [`request`], [`admit`], [`responses`] | requests of callers, their admission and responses |
//! | [`request_end`], [`caller_connection`] | how requests and connections of callers end |
//! | [`admission`] | streams that wait for capacity at ranked services |
//! | [`plain`] | requests to plain services |
//! | [`stream`], [`response_head`], [`late_sends`], [`forward`], [`paths`] | streams over engines |
//! | [`run_tracker`] | runs of requests at replicas, and evidence from lost runs |
//! | [`pool`], [`interim`], [`engines`], [`probes`], [`reachability`] | connections, calls and probes to replicas |
//! | [`buffers`] | memory for bodies of requests and responses |
//! | [`state`] | what a relay knows, shared by its tasks |
//! | [`watch`], [`replicas`], [`store_calls`] | state from the store |
//! | [`registry`], [`peers`], [`gossip`], [`messages`] | other relays, and state exchanged with them |
//! | [`snapshot`] | reads of the store that relays share with each other |
//! | [`restore`] | writes that the store lost when it was restored from a backup |
//! | [`notices`] | what replicas report of themselves in response headers |
//! | [`limits`] | grants for replicas with a rate limit |
//! | [`quarantine`] | requests that crash the replicas that run them |
//! | [`engine_poll`] | which engines are slow |
//! | [`placer`] | orders to engines to load layers |
//! | [`readiness`] | progress of the start, and whether requests can be admitted |
//! | [`run`], [`shutdown`], [`settings`], [`reload`] | the process and its settings |
//! | [`logs`], [`counts`], [`metrics`], [`thread_load`] | logs and metrics |

pub mod admission;
pub mod admit;
pub mod buffers;
pub mod caller_connection;
pub mod counts;
pub mod engine_poll;
pub mod engines;
pub mod forward;
pub mod gossip;
pub mod interim;
pub mod late_sends;
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
pub mod reachability;
pub mod readiness;
pub mod registry;
pub mod reload;
pub mod replicas;
pub mod request;
pub mod request_end;
pub mod response_head;
pub mod responses;
pub mod restore;
pub mod retries;
pub mod run;
pub mod run_tracker;
pub mod serve;
pub mod settings;
pub mod shutdown;
pub mod snapshot;
pub mod state;
pub mod store_calls;
pub mod stream;
pub mod thread_load;
pub mod watch;
