//! Ranks of requests whose organisation and route both have a priority.

use switchfold_router::routing::{
    EngineSpec, OrganisationRule, PassTimes, RouteKind, RouteRule, RoutingConfig, ServiceSpec,
    SplitTarget,
};

fn route(name: &str, service: &str, priority: u8) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Streaming,
        timeout: 20_000,
        objective: 500,
        priority,
        targets: vec![SplitTarget { service: service.to_owned(), weight: 1 }],
        max_attempts: 2,
        public: false,
        resumable: true,
        max_event_gap: 250,
    }
}

fn engine() -> EngineSpec {
    EngineSpec {
        layers: 80,
        layer_mb: 1_750.0,
        token_bytes: 328_000.0,
        step_ms: 1.02,
        kinds: Vec::new(),
        max_parallel_loads: 9,
        load_time: 14_000,
        mean_prompt_tokens: 775,
        mean_completion_tokens: 209,
        activation_bytes: 16_400.0,
        bandwidth_mbps: 4_400.0,
        pass_times: PassTimes::default(),
        delays: Vec::new(),
    }
}

fn config(routes: Vec<RouteRule>, organisations: &[(&str, Option<u8>)]) -> RoutingConfig {
    let services = vec![
        ServiceSpec { name: "model".to_owned(), engine: Some(engine()) },
        ServiceSpec { name: "plain".to_owned(), engine: None },
    ];
    let organisations = organisations.iter().map(|(name, priority)| OrganisationRule {
        name: (*name).to_owned(),
        keys: vec![format!("key-{name}")],
        priority: *priority,
    });
    RoutingConfig::new(1, routes, services, None, Some(organisations.collect()))
}

fn rank(config: &RoutingConfig, route: &str, key: &str) -> u8 {
    let route = config.route("a.example", &format!("/{route}/x")).expect("the route exists");
    let organisation = match config.check_key(&route, Some(key)) {
        switchfold_router::routing::KeyCheck::Known(organisation) => Some(organisation),
        _ => None,
    };
    config.rank(&route.targets[0].service, &route, organisation)
}

/// Guards against an organisation's priority hiding that of the route: if all organisations had the
/// same one, the most urgent route was served like the least urgent.
#[test]
fn routes_are_ranked_within_an_organisations_priority() {
    let routes =
        vec![route("now", "model", 0), route("soon", "model", 1), route("any", "model", 2)];
    let config = config(routes, &[("a", Some(1)), ("b", Some(0)), ("c", None)]);
    assert!(config.is_ranked("model"));
    // In order: (0,0) (0,1) (0,2) (1,0) (1,1) (1,2) (2,2); `c` has the pairs (0,0), (1,1), (2,2).
    let ranks =
        |key: &str| ["now", "soon", "any"].map(|route| rank(&config, route, &format!("key-{key}")));
    assert_eq!(ranks("b"), [0, 1, 2]);
    assert_eq!(ranks("a"), [3, 4, 5]);
    assert_eq!(ranks("c"), [0, 4, 6]);
}

/// Guards against changed priorities at services whose routes are all alike, and at plain services.
#[test]
fn other_services_keep_the_organisations_priority() {
    let routes = vec![route("one", "model", 1), route("two", "model", 1), route("p", "plain", 0)];
    let mut routes = routes;
    routes.push(route("q", "plain", 7));
    let config = config(routes, &[("a", Some(4)), ("c", None)]);
    assert!(!config.is_ranked("model"));
    assert!(!config.is_ranked("plain"));
    assert_eq!(rank(&config, "one", "key-a"), 4);
    assert_eq!(rank(&config, "two", "key-c"), 1);
    assert_eq!(rank(&config, "q", "key-a"), 4);
    assert_eq!(rank(&config, "q", "key-c"), 7);
}

/// Guards against ranks above 9, which engines do not accept, and against an inverted order where
/// neighbouring pairs share a rank.
#[test]
fn more_pairs_than_ranks_keep_their_order() {
    let routes = (0..=255_u8).map(|priority| route(&format!("r{priority}"), "model", priority));
    let config = config(routes.collect(), &[("a", Some(3)), ("b", Some(255))]);
    let ranks: Vec<u8> =
        (0..=255_u8).map(|priority| rank(&config, &format!("r{priority}"), "none")).collect();
    assert!(ranks.is_sorted());
    assert!(ranks.iter().all(|rank| *rank <= 9));
    assert!(rank(&config, "r200", "key-a") < rank(&config, "r0", "key-b"));
}
