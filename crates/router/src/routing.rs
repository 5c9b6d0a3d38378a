//! Routes, services, organisations and limits of one version of the configuration.
//!
//! A configuration is immutable once decoded; look-ups are by hash for hosts and keys and by a scan
//! of one host's prefixes, longest first.

use std::{collections::HashMap, rc::Rc};

use crate::Millis;

/// What a route lets the router repeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
    /// Answers with a series of events; runs at most once unless the route is resumable.
    Streaming,
}

/// One service of a route, with its share of the traffic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SplitTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the traffic, relative to the other targets of the route.
    pub weight: u32,
}

/// A route as the operator wrote it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that it answers for, in lower case.
    pub host: String,
    /// Beginning of the paths that it answers for; ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may be held, in milliseconds.
    pub timeout: Millis,
    /// Latency objective in milliseconds.
    pub objective: Millis,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services, by share.
    pub targets: Vec<SplitTarget>,
    /// Most replicas that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may go on at another replica.
    pub resumable: bool,
    /// Longest pause between events that keeps an answer in time, in milliseconds; 0 where unset.
    pub max_event_gap: Millis,
}

impl RouteRule {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Chooses a service by weight; `draw` is uniform in 0..1.
    pub fn choose_service(&self, draw: f64) -> Option<&str> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 && target.weight > 0 {
                return Some(&target.service);
            }
        }
        let last = self.targets.iter().rev().find(|target| target.weight > 0);
        last.or(self.targets.first()).map(|target| target.service.as_str())
    }
}

/// A kind of accelerator that engines of a service run on.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// Name of the kind.
    pub name: String,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Factor on the time of token steps, against the fastest.
    pub step_factor: f64,
}

/// What the operator says of a service's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Layers of the model.
    pub layers: u32,
    /// Memory of one layer's weights in MB.
    pub layer_mb: f64,
    /// Memory that one token takes over all layers, in bytes.
    pub token_bytes: f64,
    /// Time of one token step over all layers at pace 1, in milliseconds.
    pub step_ms: f64,
    /// Kinds of accelerators.
    pub kinds: Vec<AcceleratorKind>,
    /// Loads of weights that run at full speed at the same time.
    pub max_parallel_loads: u32,
    /// Time to load the whole model, in milliseconds.
    pub load_time: Millis,
    /// Mean tokens of a prompt.
    pub mean_prompt_tokens: u32,
    /// Mean tokens of an answer.
    pub mean_answer_tokens: u32,
    /// Bytes of activations that one token hands from one replica to the next.
    pub activation_bytes: f64,
    /// Width of the pipe between data centres, in Mbit/s; 0 where nothing limits it.
    pub bandwidth_mbps: f64,
}

impl EngineSpec {
    /// Memory that one token takes in one layer, in MB.
    pub fn token_layer_mb(&self) -> f64 {
        self.token_bytes / f64::from(self.layers.max(1)) / 1e6
    }

    /// Time that the activations of so many tokens take of the pipe between data centres, in
    /// milliseconds.
    pub fn transfer_ms(&self, tokens: f64) -> f64 {
        if self.bandwidth_mbps <= 0.0 {
            return 0.0;
        }
        tokens * self.activation_bytes * 8.0 / (self.bandwidth_mbps * 1_000.0)
    }

    /// Kind of that name.
    pub fn kind(&self, name: &str) -> Option<&AcceleratorKind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Room for requests beside `held` layers, in tokens times layers.
    pub fn free_token_layers(&self, memory_mb: f64, held: u32) -> f64 {
        let free = memory_mb - f64::from(held) * self.layer_mb;
        (free / self.token_layer_mb()).max(0.0)
    }
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Its engines, where it is a model.
    pub engine: Option<EngineSpec>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Bytes of a request's line and headers.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time that a kept connection may rest, in milliseconds.
    pub idle_timeout: Millis,
}

/// An organisation and its keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrganisationRule {
    /// Name, as replicas are told.
    pub name: String,
    /// Keys in force.
    pub keys: Vec<String>,
    /// Rank that goes before the route's, where there is one.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RoutingConfig {
    /// Version; a higher one replaces a lower one, never the other way.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<String, ServiceSpec>,
    /// Bounds on what callers send.
    pub limits: Option<CallerLimits>,
    routes: HashMap<String, Vec<Rc<RouteRule>>>,
    organisations: Vec<OrganisationRule>,
    keys: HashMap<String, usize>,
}

/// What the configuration says of a request's key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyCheck<'a> {
    /// The route needs no key.
    NotNeeded,
    /// The key belongs to this organisation.
    Known(&'a OrganisationRule),
    /// No organisation holds the key, or there was none.
    Unknown,
}

impl RoutingConfig {
    /// Builds the look-up tables of a version.
    pub fn new(
        version: u64,
        routes: Vec<RouteRule>,
        services: Vec<ServiceSpec>,
        limits: Option<CallerLimits>,
        organisations: Vec<OrganisationRule>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<RouteRule>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for rules in by_host.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, organisation) in organisations.iter().enumerate() {
            keys.extend(organisation.keys.iter().map(|key| (key.clone(), index)));
        }
        let services = services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
        Self { version, services, limits, routes: by_host, organisations, keys }
    }

    /// Route of a host and a path: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<RouteRule>> {
        let host = host.split(':').next().unwrap_or(host);
        let rules = match self.routes.get(host) {
            Some(rules) => rules,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        rules.iter().find(|rule| path.starts_with(&rule.path_prefix)).cloned()
    }

    /// Checks a request's key.
    pub fn check_key(&self, route: &RouteRule, key: Option<&str>) -> KeyCheck<'_> {
        let organisation = key.and_then(|key| self.keys.get(key));
        match organisation {
            Some(index) => KeyCheck::Known(&self.organisations[*index]),
            None if route.public || self.organisations.is_empty() => KeyCheck::NotNeeded,
            None => KeyCheck::Unknown,
        }
    }

    /// Models among the services, by name.
    pub fn engines(&self) -> impl Iterator<Item = (&str, &EngineSpec)> {
        let services = self.services.values();
        services.filter_map(|spec| Some((spec.name.as_str(), spec.engine.as_ref()?)))
    }

    /// Count of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

/// The configuration in force at one process; only ever moves to higher versions.
#[derive(Debug, Default)]
pub struct ConfigSlot<T> {
    current: Option<(u64, T)>,
}

impl<T> ConfigSlot<T> {
    /// Makes an empty slot.
    pub fn new() -> Self {
        Self { current: None }
    }

    /// Takes a version where it is newer than the one in force; tells whether it was taken.
    pub fn replace_if_newer(&mut self, version: u64, config: T) -> bool {
        let newer = self.current.as_ref().is_none_or(|(current, _)| version > *current);
        if newer {
            self.current = Some((version, config));
        }
        newer
    }

    /// What is in force.
    pub fn get(&self) -> Option<&T> {
        self.current.as_ref().map(|(_, config)| config)
    }
}
