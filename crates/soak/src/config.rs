//! The configuration of a run, and the changes that the operator makes to it.

use serde_json::{Value, json};
use switchfold_platform_standin::samples::{self, HOST, RouteSample};

use crate::record::CallKind;

/// Name of the plain service that the route of [`CallKind::Moved`] is moved to.
pub const ANNEX: &str = "annex";

/// Name of the plain service of all other routes.
const DESK: &str = "desk";

/// Time-out of the routes in the first version, in milliseconds.
pub const ROUTE_TIMEOUT_MS: u64 = 6_000;

/// Idle limit of the first version, in milliseconds.
pub const IDLE_LIMIT_MS: u64 = 15_000;

/// Number of routes and keys that a large configuration has in addition.
const LARGE_COUNT: usize = 400;

/// A change of the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigChange {
    /// The weights of the route of [`CallKind::Moved`] towards the two plain services; a weight of 0
    /// moves the route to the other service.
    Weights(u32, u32),
    /// The number of routes that no caller uses.
    SpareRoutes(usize),
    /// The time-out of all routes, in milliseconds.
    Timeout(u64),
    /// The number of keys that no caller uses.
    SpareKeys(usize),
    /// The idle limit of callers' connections, in milliseconds.
    IdleLimit(u64),
    /// The limits of the size of heads and bodies, as a multiple of those of the first version.
    SizeLimits(u64),
}

impl ConfigChange {
    /// Changes of every kind, up and down.
    pub const ALL: [Self; 16] = [
        Self::Weights(1, 0),
        Self::Weights(0, 1),
        Self::Weights(1, 1),
        Self::Weights(1, 9),
        Self::SpareRoutes(0),
        Self::SpareRoutes(3),
        Self::SpareRoutes(LARGE_COUNT),
        Self::Timeout(ROUTE_TIMEOUT_MS),
        Self::Timeout(ROUTE_TIMEOUT_MS * 2),
        Self::SpareKeys(0),
        Self::SpareKeys(LARGE_COUNT),
        Self::IdleLimit(1_500),
        Self::IdleLimit(3_000),
        Self::IdleLimit(6_000),
        Self::SizeLimits(1),
        Self::SizeLimits(4),
    ];
}

/// How a version of the configuration lacks all keys of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyRemoval {
    /// There is no organisation.
    NoOrganisations,
    /// The list of organisations is null.
    NullOrganisations,
    /// There is no list of organisations.
    NoOrganisationField,
    /// The organisation has no key.
    NoKeys,
    /// Its list of keys is null.
    NullKeys,
    /// It has no list of keys.
    NoKeyField,
}

impl KeyRemoval {
    /// All forms.
    pub const ALL: [Self; 6] = [
        Self::NoOrganisations,
        Self::NullOrganisations,
        Self::NoOrganisationField,
        Self::NoKeys,
        Self::NullKeys,
        Self::NoKeyField,
    ];

    fn apply(self, config: &mut Value) {
        let remove = |object: &mut Value, field| {
            object.as_object_mut().map(|fields| fields.remove(field));
        };
        match self {
            Self::NoOrganisations => config["tenants"] = json!([]),
            Self::NullOrganisations => config["tenants"] = Value::Null,
            Self::NoOrganisationField => remove(config, "tenants"),
            Self::NoKeys => config["tenants"][0]["api_keys"] = json!([]),
            Self::NullKeys => config["tenants"][0]["api_keys"] = Value::Null,
            Self::NoKeyField => remove(&mut config["tenants"][0], "api_keys"),
        }
    }
}

/// What the changes so far amount to.
#[derive(Clone, Debug)]
pub struct ConfigState {
    weights: (u32, u32),
    spare_routes: usize,
    timeout_ms: u64,
    spare_keys: usize,
    idle_limit_ms: u64,
    size_limits: u64,
    key_removal: Option<KeyRemoval>,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self {
            weights: (1, 0),
            spare_routes: 0,
            timeout_ms: ROUTE_TIMEOUT_MS,
            spare_keys: 0,
            idle_limit_ms: IDLE_LIMIT_MS,
            size_limits: 1,
            key_removal: None,
        }
    }
}

impl ConfigState {
    /// Makes a change.
    pub fn change(&mut self, change: ConfigChange) {
        match change {
            ConfigChange::Weights(desk, annex) => self.weights = (desk, annex),
            ConfigChange::SpareRoutes(count) => self.spare_routes = count,
            ConfigChange::Timeout(ms) => self.timeout_ms = ms,
            ConfigChange::SpareKeys(count) => self.spare_keys = count,
            ConfigChange::IdleLimit(ms) => self.idle_limit_ms = ms,
            ConfigChange::SizeLimits(factor) => self.size_limits = factor,
        }
    }

    /// Removes all keys.
    pub fn remove_keys(&mut self, removal: KeyRemoval) {
        self.key_removal = Some(removal);
    }

    /// The idle limit of callers' connections, in milliseconds.
    pub fn idle_limit_ms(&self) -> u64 {
        self.idle_limit_ms
    }

    /// Returns the configuration with a version and the keys of callers.
    pub fn encode(&self, version: u64, keys: &[&str]) -> Value {
        let spare_keys: Vec<String> =
            (0..self.spare_keys).map(|number| format!("spare-key-{number}")).collect();
        let keys: Vec<&str> =
            keys.iter().copied().chain(spare_keys.iter().map(String::as_str)).collect();
        let config = samples::config(version, &self.routes(), &keys);
        let mut config =
            CallKind::CLASSES.iter().zip(0..).fold(config, |config, (class, priority)| {
                samples::with_priority(config, class.prefix(), priority)
            });
        config["limits"]["idle_timeout_ms"] = json!(self.idle_limit_ms);
        for limit in ["max_header_bytes", "max_body_bytes"] {
            let bytes = config["limits"][limit].as_u64().unwrap_or_default();
            config["limits"][limit] = json!(bytes * self.size_limits);
        }
        let services = config["services"].as_array_mut();
        services.into_iter().for_each(|services| {
            services.push(json!({"name": ANNEX, "health_path": "/healthz", "max_conns": 50}));
        });
        let routes = config["routes"].as_array_mut().into_iter().flatten();
        for route in routes.filter(|route| route["path_prefix"] == CallKind::Moved.prefix()) {
            let (desk, annex) = self.weights;
            match (desk, annex) {
                (_, 0) => {}
                (0, _) => route["service"] = json!(ANNEX),
                _ => {
                    route["service"] = Value::Null;
                    route["split"] = json!([
                        {"service": DESK, "weight": desk}, {"service": ANNEX, "weight": annex},
                    ]);
                }
            }
        }
        let spare = (0..self.spare_routes).map(|number| {
            json!({
                "name": format!("spare-{number}"), "host": HOST,
                "path_prefix": format!("/spare-{number}/"), "route_kind": "idempotent",
                "timeout_ms": self.timeout_ms, "goal_ms": 300, "priority": 1, "service": DESK,
                "max_attempts": 2, "public": false, "resumable": false, "gap_aim_ms": 200,
            })
        });
        config["routes"].as_array_mut().into_iter().for_each(|routes| routes.extend(spare.clone()));
        if let Some(removal) = self.key_removal {
            removal.apply(&mut config);
        }
        config
    }

    fn routes(&self) -> Vec<RouteSample> {
        let route = |kind: CallKind| RouteSample {
            prefix: kind.prefix(),
            kind: match kind {
                CallKind::Safe | CallKind::Moved => "idempotent",
                CallKind::Once | CallKind::SlowOnce => "non_idempotent",
                CallKind::Stream
                | CallKind::StreamOnce
                | CallKind::LongStream
                | CallKind::Class(_) => "streaming",
            },
            service: if kind.is_stream() { "model" } else { DESK },
            timeout_ms: self.timeout_ms,
            max_attempts: 2,
            resumable: kind.is_stream() && !kind.runs_once(),
        };
        let others = [CallKind::LongStream, CallKind::SlowOnce, CallKind::Moved];
        CallKind::ALL.into_iter().chain(others).chain(CallKind::CLASSES).map(route).collect()
    }
}
