//! Admission: finds the route, service and organisation of a request.
//!
//! Runs before each send rather than once for each request, so that a request that waited, or that
//! is sent to a second replica, is checked against the configuration in force at that moment.

use std::rc::Rc;

use derive_more::Display;
use rand::RngExt;
use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    routing::{KeyCheck, OrganisationRule, RouteRule, RoutingConfig},
};

use crate::{
    responses::Refusal,
    state::{Relay, RelayState},
};

/// The parts of a request that decide on its admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Host, without port.
    pub host: String,
    /// Path, without query.
    pub path: String,
    /// API key; `None` if the caller sent none. Empty if it could not be read.
    pub key: Option<String>,
}

/// What the configuration in force allows a request.
#[derive(Clone, Debug)]
pub struct Permit {
    /// Configuration that admitted the request.
    pub config: Rc<RoutingConfig>,
    /// Route that matches its host and path.
    pub route: Rc<RouteRule>,
    /// Service that runs it, drawn by the route's weights.
    pub service: String,
    /// Organisation of its API key; `None` if the route needs no key.
    pub organisation: Option<String>,
    /// Priority rank of the request at its service, by [`RoutingConfig::rank`].
    pub priority: u8,
}

/// Returns the route of a request and the organisation of its key.
///
/// # Errors
///
/// Returns the refusal that the caller receives. An outdated configuration proves neither that a
/// route is missing nor that a key is known or unknown.
fn check_access<'a>(
    config: &'a RoutingConfig,
    is_fresh: bool,
    request: &AdmissionRequest,
) -> Result<(Rc<RouteRule>, Option<&'a OrganisationRule>), Refusal> {
    let denied = |refusal| if is_fresh { refusal } else { Refusal::StaleConfiguration };
    let route = config.route(&request.host, &request.path).ok_or(denied(Refusal::NoRoute))?;
    match config.check_key(&route, request.key.as_deref()) {
        KeyCheck::NotNeeded => Ok((route, None)),
        // Holds on public routes as well: the route may no longer be one.
        KeyCheck::Known(_) if !is_fresh => Err(Refusal::StaleConfiguration),
        KeyCheck::Known(organisation) => Ok((route, Some(organisation))),
        KeyCheck::Unknown => Err(denied(Refusal::UnknownKey)),
    }
}

/// Admits or refuses a request by the configuration in force.
///
/// # Errors
///
/// Returns the refusal that the caller receives.
pub fn admit(relay: &Relay, request: &AdmissionRequest) -> Result<Permit, Refusal> {
    let config = relay.config().ok_or(Refusal::NoConfiguration)?;
    let is_fresh = is_config_fresh(relay, now_millis());
    let (route, organisation) = check_access(&config, is_fresh, request)?;
    let draw = relay.random.borrow_mut().random();
    let service = route.choose_service(draw).ok_or(Refusal::NoReplica)?.to_owned();
    let priority = config.rank(&service, &route, organisation);
    Ok(Permit {
        organisation: organisation.map(|organisation| organisation.name.clone()),
        priority,
        service,
        route,
        config: config.clone(),
    })
}

/// Checks an admitted request again right before it is sent: its key may have been removed while its
/// body arrived or it waited.
///
/// # Errors
///
/// Returns the refusal that the caller receives.
pub fn check_admitted(relay: &Relay, request: &AdmissionRequest) -> Result<(), Refusal> {
    let config = relay.config().ok_or(Refusal::NoConfiguration)?;
    check_access(&config, is_config_fresh(relay, now_millis()), request).map(drop)
}

/// Admits a request for another attempt. If an earlier one may have run, a refusal does not deny it.
///
/// # Errors
///
/// Returns the refusal that the caller receives.
pub fn admit_retry(
    relay: &Relay,
    request: &AdmissionRequest,
    may_have_run: bool,
) -> Result<Permit, Refusal> {
    admit(relay, request).map_err(|refusal| refusal.unless_run(may_have_run))
}

/// Time from the start for which a relay waits for a message of another one before it trusts the
/// configuration in the store, in milliseconds.
const HEARING_TIME: Millis = 1_000;

/// Why the configuration may not be the one in force.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ConfigDoubt {
    /// It was not proved recently enough.
    #[display("configuration-proof")]
    Unproved,
    /// No other relay was heard since the start.
    #[display("peer-heard")]
    Unheard,
    /// Another relay has a newer one.
    #[display("newer-configuration")]
    Behind,
}

/// Returns whether the configuration is recent enough to accept API keys.
pub fn is_config_fresh(relay: &Relay, now: Millis) -> bool {
    config_doubt(relay, now).is_none()
}

/// Returns why API keys cannot be accepted by the configuration; `None` if it was last proved to be
/// the current one within the platform's revocation bound.
///
/// A relay that has just started may have read it from a restored store while others hold a newer
/// one. So it must have heard from another relay first, unless there is none, and none may name a
/// newer version. Once it has run for as long as the bound, its first read proves nothing more.
pub fn config_doubt(relay: &Relay, now: Millis) -> Option<ConfigDoubt> {
    let bound = relay.bounds.borrow().revoke();
    let state = relay.state.borrow();
    if !state.config_lease.is_valid(bound, now) {
        return Some(ConfigDoubt::Unproved);
    }
    let age = now.saturating_sub(relay.started_at);
    if age >= bound {
        return None;
    }
    let has_heard = age >= HEARING_TIME || has_heard_peers(relay, &state, now);
    let is_behind = || state.peers.has_newer_config(state.config_version(), now);
    match has_heard {
        false => Some(ConfigDoubt::Unheard),
        true => is_behind().then_some(ConfigDoubt::Behind),
    }
}

fn has_heard_peers(relay: &Relay, state: &RelayState, now: Millis) -> bool {
    let is_alone = || state.listed_relays.is_some() && state.peers.known_count() == 0;
    relay.settings.first_start || state.peers.live_count(now) > 0 || is_alone()
}
