//! Admission: which route, service and organisation a request has.
//!
//! AdmissionRequest at the moment of each dispatch, not once: a request that waited, or that goes to a second
//! replica, is let in by the configuration in force then.

use std::rc::Rc;

use rand::RngExt;
use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    routing::{KeyCheck, RouteRule, RoutingConfig},
};

use crate::{responses::Refusal, state::Relay};

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Host, without port.
    pub host: String,
    /// Path, without query.
    pub path: String,
    /// Key.
    pub key: Option<String>,
}

/// What the configuration in force lets a request do.
#[derive(Clone, Debug)]
pub struct Permit {
    /// Configuration that let it in.
    pub config: Rc<RoutingConfig>,
    /// Its route.
    pub route: Rc<RouteRule>,
    /// Service that is to run it.
    pub service: String,
    /// Organisation of its key.
    pub organisation: Option<String>,
    /// Rank: the organisation's goes before the route's.
    pub priority: u8,
}

/// Decides on a request by the configuration in force.
///
/// # Errors
///
/// Gives the answer for the caller.
pub fn admit(relay: &Relay, asked: &AdmissionRequest) -> Result<Permit, Refusal> {
    let now = now_millis();
    let config = relay.config().ok_or(Refusal::NoConfiguration)?;
    let is_fresh = is_config_fresh(relay, now);
    // An old configuration proves neither that a route is missing nor that a key is unknown.
    let denied = |refusal| if is_fresh { refusal } else { Refusal::StaleConfiguration };
    let route = config.route(&asked.host, &asked.path).ok_or(denied(Refusal::NoRoute))?;
    let organisation = match config.check_key(&route, asked.key.as_deref()) {
        KeyCheck::NotNeeded => None,
        KeyCheck::Known(organisation) => Some(organisation),
        KeyCheck::Unknown => return Err(denied(Refusal::UnknownKey)),
    };
    if organisation.is_some() && !route.public && !is_fresh {
        return Err(Refusal::StaleConfiguration);
    }
    let draw = relay.random.borrow_mut().random();
    let service = route.choose_service(draw).ok_or(Refusal::NoReplica)?.to_owned();
    let priority = organisation.and_then(|organisation| organisation.priority);
    Ok(Permit {
        organisation: organisation.map(|organisation| organisation.name.clone()),
        priority: priority.unwrap_or(route.priority),
        service,
        route: route.clone(),
        config: config.clone(),
    })
}

/// Whether the configuration is recent enough to let keys in.
pub fn is_config_fresh(relay: &Relay, now: Millis) -> bool {
    let bound = relay.bounds.borrow().revoke();
    relay.state.borrow().config_lease.is_valid(bound, now)
}
