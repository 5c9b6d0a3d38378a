//! Decisions for pipelines that the engines chain themselves, and for plain services.
//!
//! On platforms whose engines pass activations to each other, a relay chooses the whole path of a
//! request and sends the request to the first engine. This crate contains all decisions of a relay,
//! as deterministic functions without I/O or tasks: time is a [`Millis`] argument. The processes
//! around it do the I/O and decide nothing, so that tests reach each decision without a socket.
//!
//! | module | purpose |
//! |---|---|
//! | [`address`] | which addresses can be those of a process |
//! | [`admission`] | which requests wait for capacity, and which of them is dispatched next |
//! | [`allowance`] | which share of the retry allowance a relay holds |
//! | [`attempt`] | what to do after one attempt to run a request |
//! | [`backoff`] | which replicas asked this VM to back off |
//! | [`bandwidth`] | how many paths may cross from one data centre to another |
//! | [`budget`] | how many retries a service may still get |
//! | [`buffers`] | how many bytes of bodies are buffered at a time |
//! | [`clocks`] | which time of the receiver a message's time stamp corresponds to |
//! | [`connections`] | how many connections of callers stay open, and which one is closed for a new one |
//! | [`coordinator`] | which relay hands out the grants for a replica's rate limit |
//! | [`era`] | which of two states of the store is newer, also after a restore from a backup |
//! | [`fingerprint`] | which requests are identical apart from their ids |
//! | [`fleet`] | the replicas as the store lists them, and what changed |
//! | [`follow`] | what a relay reads next from the store |
//! | [`freshness`] | whether the configuration is recent enough to admit keys |
//! | [`grants`] | which requests may be sent to rate-limited replicas |
//! | [`groups`] | which replicas are planned together, and by which relays |
//! | [`instance`] | the identity of one run of a replica |
//! | [`intake`] | which new connections a busy relay takes |
//! | [`issuer`] | which relay gets the next grant of a rate-limited replica |
//! | [`limits`] | how many requests per second each replica accepts |
//! | [`loans`] | which relays are asked for retries that they do not need |
//! | [`membership`] | which relays exchange state, give orders and follow the store |
//! | [`missing`] | how long entries that are missing after an outage are kept |
//! | [`moves`] | how many running streams move to another path at once |
//! | [`origin`] | which updates of other relays are passed on, and to whom |
//! | [`pass_load`] | how long the engines of a path take under their present load |
//! | [`path`] | the path of a request over the layers |
//! | [`placement`] | which layers each replica should hold |
//! | [`quarantine`] | which requests crash the replicas that run them, and are not sent any more |
//! | [`reconnects`] | when requests begin at a relay that has just started |
//! | [`replicas`] | what a relay knows of the replicas, and from which source |
//! | [`reservations`] | how much memory and how many slots are reserved at each replica |
//! | [`returns`] | when refused callers come back |
//! | [`routing`] | the configuration: route, service and organisation of a request |
//! | [`slowdown`] | how slow each engine is at the moment |
//! | [`stall`] | which first replicas begin no responses, and when a request goes elsewhere |
//! | [`stops`] | which requests a stopping relay still sends to replicas |
//! | [`suspect`] | which replicas are avoided for a while after a failure |
//!
//! The trade-off: a relay chooses alone, from what it last received. Two relays may choose the same
//! replica at once; the memory and the slots that no path is planned to use absorb that.

pub mod address;
pub mod admission;
pub mod allowance;
pub mod attempt;
pub mod backoff;
pub mod bandwidth;
pub mod budget;
pub mod buffers;
pub mod caller_limits;
pub mod clocks;
pub mod connections;
pub mod coordinator;
pub mod era;
pub mod fingerprint;
pub mod fleet;
pub mod follow;
pub mod freshness;
pub mod grants;
pub mod groups;
pub mod instance;
pub mod intake;
pub mod issuer;
pub mod limits;
pub mod loans;
pub mod membership;
pub mod missing;
pub mod moves;
pub mod origin;
pub mod pass_load;
pub mod path;
pub mod placement;
pub mod quarantine;
pub mod reconnects;
pub mod replicas;
pub mod reservations;
pub mod returns;
pub mod routing;
pub mod slowdown;
pub mod stall;
pub mod stops;
pub mod suspect;

pub use switchfold_core::Millis;
