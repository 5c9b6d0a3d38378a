//! Authentication of callers and operators, and lookup of the event and class of a request.

use std::sync::Arc;

use http::{HeaderMap, StatusCode, header};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use switchfold_core::config::{ClassConfig, EventConfig, EventState, OrganisationConfig};
use switchfold_kernel::http::HttpResponse;

use super::{
    WebContext,
    responses::{rejection, unavailable},
};
use crate::config::ConfigView;

/// Header that names the event of a request.
const EVENT_HEADER: &str = "switchfold-event";

/// Header that names the class of a request.
const CLASS_HEADER: &str = "switchfold-class";

/// `Retry-After` in seconds for an event that is not open.
const EVENT_RETRY_AFTER: &str = "5";

/// `Retry-After` in seconds of an entry that is stopping.
const STOPPING_RETRY_AFTER: &str = "1";

/// `Retry-After` in seconds of an entry that has just started.
const CONFIG_RETRY_AFTER: &str = "1";

/// Organisation and class of an authorised request.
pub(super) struct CallerAccess {
    pub(super) organisation: OrganisationConfig,
    pub(super) class: ClassConfig,
}

/// Returns the SHA-256 of a token in lowercase hexadecimal digits.
pub(crate) fn token_hash(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the hash of the bearer token of a request; `None` if it carries none or an empty one.
fn bearer_hash(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let token = value.strip_prefix("Bearer ").map(str::trim)?;
    (!token.is_empty()).then(|| token_hash(token))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Checks the operators' bearer token. The error is the response to send.
pub(super) fn check_operator(
    context: &WebContext,
    headers: &HeaderMap,
) -> Result<(), Box<HttpResponse>> {
    let expected = context.settings.operator_token_sha256.to_ascii_lowercase();
    let is_expected = |hash: &String| bool::from(hash.as_bytes().ct_eq(expected.as_bytes()));
    if bearer_hash(headers).as_ref().is_some_and(is_expected) {
        return Ok(());
    }
    let message = "the operators' bearer token is missing or wrong";
    Err(Box::new(rejection(StatusCode::UNAUTHORIZED, "wrong-token", message)))
}

/// Finds the organisation of the bearer token. The error is the response to send.
pub(super) fn find_organisation(
    context: &WebContext,
    headers: &HeaderMap,
) -> Result<OrganisationConfig, Box<HttpResponse>> {
    let view: Arc<ConfigView> = context.view.borrow().clone();
    // The time of a lookup by hash reveals nothing about a similar token. The deciding comparison
    // is in constant time nonetheless.
    let found = bearer_hash(headers).and_then(|hash| {
        let config = view.organisations.get(&hash)?;
        let expected = config.token_sha256.to_ascii_lowercase();
        bool::from(expected.as_bytes().ct_eq(hash.as_bytes())).then_some(config)
    });
    found.cloned().ok_or_else(|| {
        let message = "the bearer token is missing, or belongs to no organisation";
        missing(&view, rejection(StatusCode::UNAUTHORIZED, "wrong-token", message))
    })
}

/// Returns the response for an object that is not in the configuration: `response`, unless the
/// configuration is not complete yet and the caller should try again.
fn missing(view: &ConfigView, response: HttpResponse) -> Box<HttpResponse> {
    if view.is_complete {
        return Box::new(response);
    }
    let message = "this entry has not received the whole configuration yet";
    Box::new(unavailable("no-configuration", message, CONFIG_RETRY_AFTER))
}

/// Checks a caller's token, event and class, and that the event is open and uses `target`. The
/// error is the response to send.
pub(super) fn check_caller(
    context: &WebContext,
    headers: &HeaderMap,
    target: &str,
) -> Result<CallerAccess, Box<HttpResponse>> {
    if context.shutdown.is_raised() {
        let message = "this entry is stopping";
        return Err(Box::new(unavailable("stopping", message, STOPPING_RETRY_AFTER)));
    }
    let organisation = find_organisation(context, headers)?;
    let view = context.view.borrow().clone();
    let event = find_event(&view, headers)?;
    if !event.admits(&organisation.name) {
        let message = format!(
            "organisation {:?} does not take part in event {:?}",
            organisation.name, event.name
        );
        return Err(Box::new(rejection(StatusCode::FORBIDDEN, "not-taking-part", &message)));
    }
    if !event.uses(target) {
        let message = format!("event {:?} does not use {target:?}", event.name);
        return Err(Box::new(rejection(StatusCode::NOT_FOUND, "unknown-target", &message)));
    }
    let class = find_class(&event, headers)?;
    if event.state != EventState::Open {
        let message = format!("event {:?} is {}", event.name, event.state.as_str());
        return Err(Box::new(unavailable("event-not-open", &message, EVENT_RETRY_AFTER)));
    }
    Ok(CallerAccess { organisation, class })
}

fn find_event(view: &ConfigView, headers: &HeaderMap) -> Result<EventConfig, Box<HttpResponse>> {
    let Some(name) = header_text(headers, EVENT_HEADER) else {
        let message = "the Switchfold-Event header is missing; expected the name of an event";
        return Err(Box::new(rejection(StatusCode::BAD_REQUEST, "missing-event", message)));
    };
    view.events.get(name).cloned().ok_or_else(|| {
        let message = format!("no event {name:?}");
        missing(view, rejection(StatusCode::NOT_FOUND, "unknown-event", &message))
    })
}

/// Finds the class that the header names, or without a header the class with the lowest priority.
fn find_class(event: &EventConfig, headers: &HeaderMap) -> Result<ClassConfig, Box<HttpResponse>> {
    let names: Vec<&str> = event.classes.iter().map(|class| class.name.as_str()).collect();
    let found = match header_text(headers, CLASS_HEADER) {
        Some(name) => event.class(name),
        None => event.classes.iter().min_by_key(|class| class.priority),
    };
    found.cloned().ok_or_else(|| {
        let message = format!("Switchfold-Class: expected one of {}", names.join(", "));
        Box::new(rejection(StatusCode::BAD_REQUEST, "unknown-class", &message))
    })
}
