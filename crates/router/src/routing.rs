//! The routing configuration: routes, services, organisations and limits.
//!
//! A configuration is immutable once decoded. Hosts and keys are looked up by hash; the path
//! prefixes of a host are scanned, longest first.

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
};

use crate::Millis;

/// Whether requests of a route may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each request that a caller sends.
    NonIdempotent,
    /// Responds with a stream of events; runs at most once unless the route is resumable.
    Streaming,
}

/// One service of a route, with its share of the traffic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SplitTarget {
    /// Name of the service.
    pub service: String,
    /// Weight of its share of the traffic, relative to the other targets of the route.
    pub weight: u32,
}

/// A route, as configured by the operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that it matches, in lower case.
    pub host: String,
    /// Prefix of the paths that it matches; ends with a slash. Without one it matches none.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// Maximum time that a request may take, in milliseconds.
    pub timeout: Millis,
    /// Latency objective in milliseconds.
    pub objective: Millis,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that share its traffic.
    pub targets: Vec<SplitTarget>,
    /// Maximum number of replicas that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests without a known key are admitted.
    pub public: bool,
    /// Whether a broken stream may be resumed at another replica.
    pub resumable: bool,
    /// Maximum pause between events for a response to count as in time, in milliseconds; 0 if
    /// unset.
    pub max_event_gap: Millis,
}

impl RouteRule {
    fn matches(&self, path: &str) -> bool {
        !self.path_prefix.is_empty() && path.starts_with(&self.path_prefix)
    }

    /// Returns whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Returns a service chosen by weight, or `None` if none has one above 0. `draw` is uniform in
    /// `0..1`.
    pub fn choose_service(&self, draw: f64) -> Option<&str> {
        let total: f64 = self.targets.iter().map(|target| f64::from(target.weight)).sum();
        let mut remaining = draw * total;
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 && target.weight > 0 {
                return Some(&target.service);
            }
        }
        let last = self.targets.iter().rev().find(|target| target.weight > 0);
        last.map(|target| target.service.as_str())
    }
}

/// A kind of accelerator that engines of a service run on.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorKind {
    /// Name of the kind, as replicas report it.
    pub name: String,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Factor by which token steps take longer than at the fastest kind.
    pub step_factor: f64,
    /// Factor by which reading prompts takes longer than at the fastest kind.
    pub read_factor: f64,
}

/// Times by which the requests that run at an engine lengthen its passes, over all layers and at a
/// factor of 1; 0 if they take no time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PassTimes {
    /// Time in a pass for each request that writes, in milliseconds.
    pub per_sequence_ms: f64,
    /// Time in a pass for each 1,000 tokens of the context of a request that writes, in
    /// milliseconds.
    pub context_ms: f64,
    /// Number of tokens of prompts that are read in a second; 0 if reading takes no time.
    pub read_per_s: f64,
}

/// Delay of messages between two data centres.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkDelay {
    /// Name of one data centre.
    pub from: String,
    /// Name of the other one.
    pub to: String,
    /// Delay in one direction, in milliseconds.
    pub delay_ms: f64,
}

/// Sizes and times of a model and of the engines that run it, as configured by the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of layers of the model.
    pub layers: u32,
    /// Memory of one layer's weights in MB.
    pub layer_mb: f64,
    /// Memory that one token of a request takes over all layers, in bytes.
    pub token_bytes: f64,
    /// Time of one token step over all layers at a step factor of 1, in milliseconds.
    pub step_ms: f64,
    /// Kinds of accelerators that the engines run on.
    pub kinds: Vec<AcceleratorKind>,
    /// Number of concurrent loads that the weight store serves at full speed.
    pub max_parallel_loads: u32,
    /// Time to load the whole model, in milliseconds.
    pub load_time: Millis,
    /// Mean number of tokens of a prompt.
    pub mean_prompt_tokens: u32,
    /// Mean number of tokens of a completion.
    pub mean_completion_tokens: u32,
    /// Bytes of activations that are sent from one replica to the next for one token.
    pub activation_bytes: f64,
    /// Bandwidth of the link between data centres, in Mbit/s; 0 if it is unlimited.
    pub bandwidth_mbps: f64,
    /// Times of passes under load.
    pub pass_times: PassTimes,
    /// Delays between data centres, in either direction.
    pub delays: Vec<LinkDelay>,
}

impl EngineSpec {
    /// Returns whether the time of a pass grows with the requests that run.
    pub fn has_pass_load(&self) -> bool {
        let times = &self.pass_times;
        times.per_sequence_ms > 0.0 || times.context_ms > 0.0 || times.read_per_s > 0.0
    }

    /// Returns the delay between two data centres in one direction, in milliseconds; 0 if it is not
    /// configured.
    pub fn delay_ms(&self, from: &str, to: &str) -> f64 {
        let joins = |link: &&LinkDelay| {
            (link.from == from && link.to == to) || (link.from == to && link.to == from)
        };
        self.delays.iter().find(joins).map_or(0.0, |link| link.delay_ms)
    }

    /// Returns the memory that one token takes in one layer, in MB.
    pub fn token_layer_mb(&self) -> f64 {
        self.token_bytes / f64::from(self.layers.max(1)) / 1e6
    }

    /// Returns how long the activations of `tokens` tokens occupy the link between data centres, in
    /// milliseconds.
    pub fn transfer_ms(&self, tokens: f64) -> f64 {
        if self.bandwidth_mbps <= 0.0 {
            return 0.0;
        }
        tokens * self.activation_bytes * 8.0 / (self.bandwidth_mbps * 1_000.0)
    }

    /// Returns the accelerator kind of that name.
    pub fn kind(&self, name: &str) -> Option<&AcceleratorKind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Returns the memory for requests that `held` layers leave free, in tokens times layers.
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
    /// Description of its engines; `None` if it is a plain service.
    pub engine: Option<EngineSpec>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of the request line and the headers, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout: Millis,
    /// Time from the first byte of a request to the end of its headers, in milliseconds.
    pub header_timeout: Millis,
}

impl Default for CallerLimits {
    /// Returns the limits while the configuration is unknown, or if it has none.
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 4 << 20,
            idle_timeout: 15_000,
            header_timeout: 15_000,
        }
    }
}

/// An organisation that sends requests, and its API keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrganisationRule {
    /// Name, as sent to replicas.
    pub name: String,
    /// Valid keys.
    pub keys: Vec<String>,
    /// Priority of its requests, in place of the route's; `None` if the route's applies.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RoutingConfig {
    /// Version number. A configuration is only ever replaced by one with a higher version.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<String, ServiceSpec>,
    /// Limits on what callers send; `None` if the defaults apply.
    pub limits: Option<CallerLimits>,
    routes: HashMap<String, Vec<Rc<RouteRule>>>,
    /// Whether requests need a key, apart from those of public routes.
    needs_keys: bool,
    organisations: Vec<OrganisationRule>,
    keys: HashMap<String, usize>,
    rankings: HashMap<String, ServiceRanking>,
}

/// Number of ranks that an engine distinguishes, the most urgent being 0.
const RANK_COUNT: usize = 10;

/// Priorities of the organisation and the route of a request, in the order in which they count.
type PriorityPair = (u8, u8);

/// Order of the requests of a service whose routes have different priorities.
#[derive(Clone, Debug, Default)]
struct ServiceRanking {
    /// All pairs that occur, the most urgent first.
    pairs: Vec<PriorityPair>,
}

impl ServiceRanking {
    /// Returns the rank of a pair, below [`RANK_COUNT`]. If there are more pairs than ranks,
    /// neighbouring pairs share one.
    fn rank(&self, pair: PriorityPair) -> u8 {
        let index = self.pairs.partition_point(|known| *known < pair);
        let rank = index * RANK_COUNT / self.pairs.len().max(RANK_COUNT);
        rank.min(RANK_COUNT - 1) as u8
    }
}

fn priority_pair(organisation: Option<&OrganisationRule>, route: &RouteRule) -> PriorityPair {
    let own = organisation.and_then(|organisation| organisation.priority);
    (own.unwrap_or(route.priority), route.priority)
}

/// Returns the rankings of the services that run a model and whose routes differ in priority.
fn rank_services(
    routes: &HashMap<String, Vec<Rc<RouteRule>>>,
    services: &HashMap<String, ServiceSpec>,
    organisations: &[OrganisationRule],
) -> HashMap<String, ServiceRanking> {
    let mut by_service: HashMap<&str, Vec<&RouteRule>> = HashMap::new();
    for route in routes.values().flatten() {
        for target in &route.targets {
            by_service.entry(&target.service).or_default().push(route);
        }
    }
    let is_model = |name: &str| services.get(name).is_some_and(|spec| spec.engine.is_some());
    by_service.retain(|name, routes| {
        let differs = |route: &&RouteRule| route.priority != routes[0].priority;
        is_model(name) && routes.iter().any(differs)
    });
    let rank = |routes: Vec<&RouteRule>| {
        let mut pairs = BTreeSet::new();
        for route in routes {
            pairs.insert(priority_pair(None, route));
            pairs.extend(organisations.iter().map(|known| priority_pair(Some(known), route)));
        }
        ServiceRanking { pairs: pairs.into_iter().collect() }
    };
    by_service.into_iter().map(|(name, routes)| (name.to_owned(), rank(routes))).collect()
}

/// Result of checking a request's key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyCheck<'a> {
    /// The request has no key, and needs none: the route is public, or the configuration has no
    /// organisations.
    NotNeeded,
    /// The key belongs to this organisation.
    Known(&'a OrganisationRule),
    /// The request has a key that belongs to no organisation, or lacks one that it needs.
    Unknown,
}

impl RoutingConfig {
    /// Creates the configuration and its look-up tables.
    ///
    /// `organisations` is `None` if the configuration has none by design, so that requests need no
    /// key. An empty list has no key that a request could carry: only public routes are served.
    pub fn new(
        version: u64,
        routes: Vec<RouteRule>,
        services: Vec<ServiceSpec>,
        limits: Option<CallerLimits>,
        organisations: Option<Vec<OrganisationRule>>,
    ) -> Self {
        let needs_keys = organisations.is_some();
        let organisations = organisations.unwrap_or_default();
        let mut by_host: HashMap<String, Vec<Rc<RouteRule>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        for rules in by_host.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        let mut keys = HashMap::new();
        for (index, organisation) in organisations.iter().enumerate() {
            let valid = organisation.keys.iter().filter(|key| !key.is_empty());
            keys.extend(valid.map(|key| (key.clone(), index)));
        }
        let services = services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
        let rankings = rank_services(&by_host, &services, &organisations);
        Self {
            version,
            services,
            limits,
            routes: by_host,
            needs_keys,
            organisations,
            keys,
            rankings,
        }
    }

    /// Returns the route of a host and a path: the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<RouteRule>> {
        let host = host.split(':').next().unwrap_or(host);
        let rules = match self.routes.get(host) {
            Some(rules) => rules,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        rules.iter().find(|rule| rule.matches(path)).cloned()
    }

    /// Checks the key of a request to a route. A key that belongs to no organisation is never
    /// ignored: it may have been removed.
    pub fn check_key(&self, route: &RouteRule, key: Option<&str>) -> KeyCheck<'_> {
        match key.map(|key| self.keys.get(key)) {
            Some(Some(index)) => KeyCheck::Known(&self.organisations[*index]),
            None if route.public || !self.needs_keys => KeyCheck::NotNeeded,
            Some(None) | None => KeyCheck::Unknown,
        }
    }

    /// Returns whether a service runs a model and has routes of different priorities, so that its
    /// requests compete by rank.
    pub fn is_ranked(&self, service: &str) -> bool {
        self.rankings.contains_key(service)
    }

    /// Returns the rank of a request; 0 is the most urgent.
    ///
    /// The priority of the organisation counts before that of the route. At a service that is not
    /// ranked, the former alone counts where it is set.
    pub fn rank(
        &self,
        service: &str,
        route: &RouteRule,
        organisation: Option<&OrganisationRule>,
    ) -> u8 {
        let pair = priority_pair(organisation, route);
        self.rankings.get(service).map_or(pair.0, |ranking| ranking.rank(pair))
    }

    /// Returns the services that are models, with their names.
    pub fn engines(&self) -> impl Iterator<Item = (&str, &EngineSpec)> {
        let services = self.services.values();
        services.filter_map(|spec| Some((spec.name.as_str(), spec.engine.as_ref()?)))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns the number of organisations.
    pub fn organisation_count(&self) -> usize {
        self.organisations.len()
    }

    /// Returns the number of API keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }
}

/// Holds the configuration in force; its version only ever increases.
#[derive(Debug, Default)]
pub struct ConfigSlot<T> {
    current: Option<(u64, T)>,
}

impl<T> ConfigSlot<T> {
    /// Creates an empty slot.
    pub fn new() -> Self {
        Self { current: None }
    }

    /// Replaces the configuration if `version` is higher than that of the one in force; returns
    /// whether it did.
    pub fn replace_if_newer(&mut self, version: u64, config: T) -> bool {
        let newer = self.current.as_ref().is_none_or(|(current, _)| version > *current);
        if newer {
            self.current = Some((version, config));
        }
        newer
    }

    /// Returns the configuration in force, or `None` before the first one.
    pub fn get(&self) -> Option<&T> {
        self.current.as_ref().map(|(_, config)| config)
    }
}
