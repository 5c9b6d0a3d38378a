//! API keys that a configuration takes away, in every form that a removal may have.

mod harness;

use std::{net::SocketAddr, time::Duration};

use harness::{
    BoundRelay, CallResult, ROUTES, RunningRelay, bounds, call, entry_of, request, respond_healthy,
    run_test, wait_until,
};
use http::{StatusCode, header};
use serde_json::{Value, json};
use switchfold_platform::{CONFIG_KIND, CONFIG_NAME, REPLICA_KIND};
use switchfold_platform_standin::{
    ReceivedRequest, Reply, StandinReplica, StandinStore, StoreBehaviour, StreamEnd, events,
    samples::{HOST, KEY, LAYERS, ORGANISATION, config, desk_entry, model_entry},
    signed_response,
};
use switchfold_relay::settings::BoundSettings;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::spawn_local,
};

/// Header value with [`KEY`].
const REMOVED: &[u8] = b"Bearer key-one";

/// Header value with a key that no configuration has.
const FOREIGN: &[u8] = b"Bearer key-foreign";

/// Status of a relay that cannot be sure of its configuration.
const UNSURE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// A version that no longer has [`KEY`].
struct Removal {
    name: &'static str,
    change: fn(&mut Value),
    /// Whether requests without a key are served afterwards.
    opens: bool,
}

/// The forms in which a version may lack the key. Only a version without the field has no
/// organisations by design.
const REMOVALS: [Removal; 9] = [
    removal("no organisations", |config| config["tenants"] = json!([])),
    removal("organisations null", |config| config["tenants"] = Value::Null),
    Removal {
        name: "no field of organisations",
        change: |config| remove_field(config, "tenants"),
        opens: true,
    },
    removal("another organisation", |config| {
        config["tenants"] = json!([{"name": "other", "api_keys": ["key-other"]}]);
    }),
    removal("no keys", |config| config["tenants"][0]["api_keys"] = json!([])),
    removal("keys null", |config| config["tenants"][0]["api_keys"] = Value::Null),
    removal("no field of keys", |config| remove_field(&mut config["tenants"][0], "api_keys")),
    removal("an empty key", |config| config["tenants"][0]["api_keys"] = json!([""])),
    removal("another key", |config| config["tenants"][0]["api_keys"] = json!(["key-two"])),
];

const fn removal(name: &'static str, change: fn(&mut Value)) -> Removal {
    Removal { name, change, opens: false }
}

fn remove_field(object: &mut Value, field: &str) {
    object.as_object_mut().expect("an object").remove(field);
}

/// Returns a version without the key.
fn config_without_key(version: u64, removal: &Removal) -> Value {
    let mut config = config(version, &ROUTES, &[KEY]);
    (removal.change)(&mut config);
    config
}

fn all_layers_entry(address: SocketAddr) -> Value {
    model_entry(address, 0, LAYERS)
}

/// Calls a path with these values of the `Authorization` header.
async fn call_with(relay: &RunningRelay, path: &str, id: &str, values: &[&[u8]]) -> CallResult {
    let mut request = request(path, id);
    request.headers_mut().remove(header::AUTHORIZATION);
    for value in values {
        let value = header::HeaderValue::from_bytes(value).expect("a value");
        request.headers_mut().append(header::AUTHORIZATION, value);
    }
    call(relay.address, request).await
}

async fn status_of(relay: &RunningRelay, path: &str, id: &str, key: Option<&str>) -> StatusCode {
    let value = key.map(|key| format!("Bearer {key}"));
    let values: Vec<&[u8]> = value.iter().map(String::as_bytes).collect();
    call_with(relay, path, id, &values).await.status
}

/// A store and a replica of each service that it lists.
struct Deployment {
    store: StandinStore,
    replicas: [StandinReplica; 2],
}

impl Deployment {
    async fn start(config: Value) -> Self {
        let store = StandinStore::start().await;
        let replicas = [
            StandinReplica::start(respond_healthy).await,
            StandinReplica::start(respond_healthy).await,
        ];
        store.put(CONFIG_KIND, CONFIG_NAME, config);
        store.put(REPLICA_KIND, "i-1", desk_entry(replicas[0].address()));
        store.put(REPLICA_KIND, "i-2", all_layers_entry(replicas[1].address()));
        Self { store, replicas }
    }

    async fn start_relay(&self, name: &str) -> RunningRelay {
        BoundRelay::new(name, self.store.clone(), bounds()).await.run()
    }

    /// Returns the runs whose attempt ids begin with `prefix`.
    fn runs(&self, prefix: &str) -> Vec<ReceivedRequest> {
        let has_prefix = |request: &ReceivedRequest| {
            request.header("x-attempt-id").is_some_and(|id| id.starts_with(prefix))
        };
        let requests = self.replicas.iter().flat_map(StandinReplica::requests);
        requests.filter(has_prefix).collect()
    }
}

/// Waits until a relay rejects requests with these values of the `Authorization` header. Before that
/// it may respond with one other status: with 503 while it cannot be sure of its configuration.
async fn wait_rejected(
    relay: &RunningRelay,
    path: &str,
    id: &str,
    values: &[&[u8]],
    before: StatusCode,
) {
    wait_until(async || {
        let status = call_with(relay, path, id, values).await.status;
        let is_rejected = status == StatusCode::UNAUTHORIZED;
        assert!(is_rejected || status == before, "{path}, {id}, {values:?}: {status}");
        is_rejected
    })
    .await;
}

/// Guards against requests that ran with a removed key, or with one that no configuration had, once
/// a version left no organisation: the absence of organisations counted as a permission.
///
/// A relay that saw the key, one that starts afterwards and one that learns the version from
/// another relay must reject both keys, and serve the removed key again once a version has it.
#[test]
fn a_removed_key_is_rejected_whatever_form_its_removal_has() {
    for removal in &REMOVALS {
        for path in ["/once/a", "/stream/a"] {
            run_test(check_removal(removal, path));
        }
    }
}

async fn check_removal(removal: &Removal, path: &str) {
    let deployment = Deployment::start(config(1, &ROUTES, &[KEY])).await;
    let holder = deployment.start_relay("relay-1").await;
    wait_until(async || status_of(&holder, path, "before", Some(KEY)).await == StatusCode::OK)
        .await;
    deployment.store.put(CONFIG_KIND, CONFIG_NAME, config_without_key(2, removal));
    wait_rejected(&holder, path, "held", &[REMOVED], StatusCode::OK).await;

    let later = deployment.start_relay("relay-2").await;
    wait_rejected(&later, path, "removed-later", &[REMOVED], UNSURE).await;
    let unavailable = StandinStore::start().await;
    unavailable.set_behaviour(StoreBehaviour::Unavailable);
    let told = BoundRelay::new("relay-3", unavailable, bounds()).await;
    told.exchange_state(&holder).await;
    let told = told.run();
    wait_rejected(&told, path, "removed-told", &[REMOVED], UNSURE).await;

    let open = if removal.opens { StatusCode::OK } else { StatusCode::UNAUTHORIZED };
    for relay in [&holder, &later, &told] {
        // A key that cannot be read is none that a configuration has.
        let rejected: [&[&[u8]]; 6] = [
            &[REMOVED],
            &[FOREIGN],
            &[b"Bearer"],
            &[b"Bearer \xff"],
            &[b"Basic a2V5", FOREIGN],
            &[REMOVED, b"Bearer key-two"],
        ];
        for values in rejected {
            wait_rejected(relay, path, "removed-all", values, UNSURE).await;
        }
        wait_until(async || status_of(relay, path, "keyless", None).await == open).await;
    }
    let ran = deployment.runs("removed");
    assert!(ran.is_empty(), "{}: {ran:?}", removal.name);
    let labelled = deployment.runs("keyless");
    assert!(labelled.iter().all(|run| run.header("x-tenant").is_none()), "{labelled:?}");

    deployment.store.put(CONFIG_KIND, CONFIG_NAME, config(3, &ROUTES, &[KEY]));
    for relay in [&holder, &later, &told] {
        wait_until(async || status_of(relay, path, "again", Some(KEY)).await == StatusCode::OK)
            .await;
    }
}

/// Guards against a deployment that never had organisations being closed, and against a key that it
/// does not have being accepted.
#[test]
fn without_organisations_only_requests_without_a_key_are_served() {
    run_test(async {
        let mut open = config(1, &ROUTES, &[]);
        remove_field(&mut open, "tenants");
        let deployment = Deployment::start(open).await;
        let relay = deployment.start_relay("relay-1").await;
        for path in ["/safe/a", "/once/a", "/stream/a"] {
            wait_until(async || status_of(&relay, path, "a", None).await == StatusCode::OK).await;
            wait_rejected(&relay, path, "removed", &[FOREIGN], UNSURE).await;
        }
        assert!(deployment.runs("removed").is_empty());
    });
}

/// Guards against a route that stays open, or whose requests carry a label, once it is no longer
/// public.
#[test]
fn a_route_is_public_only_while_the_configuration_says_so() {
    run_test(async {
        let with_public = |version, public: Value| {
            let mut config = config(version, &ROUTES, &[KEY]);
            for route in config["routes"].as_array_mut().expect("a list") {
                route["public"] = public.clone();
            }
            config
        };
        let deployment = Deployment::start(with_public(1, json!(false))).await;
        let relay = deployment.start_relay("relay-1").await;
        let path = "/once/a";
        let mut version = 1;
        for closed in [json!(false), Value::Null] {
            version += 1;
            deployment.store.put(CONFIG_KIND, CONFIG_NAME, with_public(version, json!(true)));
            wait_until(async || status_of(&relay, path, "open", None).await == StatusCode::OK)
                .await;
            wait_rejected(&relay, path, "removed", &[FOREIGN], UNSURE).await;
            assert_eq!(status_of(&relay, path, "known", Some(KEY)).await, StatusCode::OK);
            version += 1;
            deployment.store.put(CONFIG_KIND, CONFIG_NAME, with_public(version, closed));
            wait_until(async || {
                status_of(&relay, path, "closed", None).await == StatusCode::UNAUTHORIZED
            })
            .await;
        }
        assert!(deployment.runs("removed").is_empty());
        let is_labelled = |run: &ReceivedRequest| run.header("x-tenant") == Some(ORGANISATION);
        assert!(deployment.runs("known").iter().all(is_labelled));
        assert!(!deployment.runs("open").iter().any(is_labelled));
    });
}

/// Time for which a configuration counts as current in tests of outdated ones, in milliseconds.
const SHORT_REVOKE_MS: f64 = 400.0;

/// Guards against keys accepted, or denied, by a configuration that may be outdated: on routes that
/// were public, and where there were no organisations. Requests without a key are served on.
#[test]
fn an_outdated_configuration_neither_accepts_nor_denies_a_key() {
    let public = |config: &mut Value| {
        for route in config["routes"].as_array_mut().expect("a list") {
            route["public"] = json!(true);
        }
    };
    for change in [public as fn(&mut Value), |config| remove_field(config, "tenants")] {
        run_test(async {
            let mut first = config(1, &ROUTES, &[KEY]);
            change(&mut first);
            let deployment = Deployment::start(first).await;
            let bounds = BoundSettings { revoke_ms: SHORT_REVOKE_MS, ..bounds() };
            let relay = BoundRelay::new("relay-1", deployment.store.clone(), bounds).await.run();
            let path = "/once/a";
            wait_until(async || status_of(&relay, path, "a", None).await == StatusCode::OK).await;
            deployment.store.set_behaviour(StoreBehaviour::Unavailable);
            for key in ["key-one", "key-foreign"] {
                wait_until(async || status_of(&relay, path, "b", Some(key)).await == UNSURE).await;
            }
            assert_eq!(status_of(&relay, path, "c", None).await, StatusCode::OK);
            assert_eq!(status_of(&relay, "/none/a", "d", None).await.as_u16(), 503);
        });
    }
}

/// Guards against a request that is sent with a key that was removed while its body arrived.
#[test]
fn a_key_is_checked_again_when_the_body_has_arrived() {
    for removal in &REMOVALS {
        for path in ["/once/a", "/stream/a"] {
            run_test(async {
                let deployment = Deployment::start(config(1, &ROUTES, &[KEY])).await;
                let relay = deployment.start_relay("relay-1").await;
                wait_until(async || {
                    status_of(&relay, path, "before", Some(KEY)).await == StatusCode::OK
                })
                .await;
                let mut stream = TcpStream::connect(relay.address).await.expect("a connection");
                let head = format!(
                    "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
                     x-attempt-id: removed\r\nconnection: close\r\ncontent-length: 8\r\n\r\nhalf"
                );
                stream.write_all(head.as_bytes()).await.expect("the relay reads");
                deployment.store.put(CONFIG_KIND, CONFIG_NAME, config_without_key(2, removal));
                wait_rejected(&relay, path, "other", &[REMOVED], StatusCode::OK).await;
                stream.write_all(b"half").await.expect("the relay reads");
                let mut response = String::new();
                stream.read_to_string(&mut response).await.expect("a response");
                assert!(response.starts_with("HTTP/1.1 401"), "{}: {response}", removal.name);
                assert!(deployment.runs("removed").is_empty(), "{}", removal.name);
            });
        }
    }
}

/// Time that a replica takes to fail, in which the relay reads the next configuration.
const FAILURE_TIME: Duration = Duration::from_millis(1_200);

/// Guards against another attempt of a request after its key was removed, which ran without the
/// name of an organisation: a second attempt, one beside an overdue one, and a resumed stream.
#[test]
fn no_attempt_is_made_after_the_key_was_removed() {
    let fail_later = |request: &ReceivedRequest| match signed_response(request, 500, "failed") {
        Reply::Bytes(bytes) => Reply::BytesLater(FAILURE_TIME, bytes),
        other => other,
    };
    let break_off = |request: &ReceivedRequest| match request.target.as_str() {
        path if path.starts_with("/stream") => events(request, 2, FAILURE_TIME, StreamEnd::Cut),
        _ => respond_healthy(request),
    };
    for removal in &REMOVALS[..3] {
        // The second attempt of the first case begins once the first has failed, that of the second
        // while it runs.
        for (path, objective_ms) in [("/safe/a", 5_000), ("/safe/a", 700), ("/stream/a", 700)] {
            run_test(async {
                let replicas = [
                    StandinReplica::start(fail_later).await,
                    StandinReplica::start(fail_later).await,
                    StandinReplica::start(break_off).await,
                    StandinReplica::start(break_off).await,
                ];
                let entries = [
                    entry_of("i-1", &replicas[0], desk_entry),
                    entry_of("i-2", &replicas[1], desk_entry),
                    entry_of("i-3", &replicas[2], all_layers_entry),
                    entry_of("i-4", &replicas[3], all_layers_entry),
                ];
                let mut first = config(1, &ROUTES, &[KEY]);
                for route in first["routes"].as_array_mut().expect("a list") {
                    route["goal_ms"] = objective_ms.into();
                }
                let relay = RunningRelay::start_with_config(bounds(), first, &entries).await;
                let runs = |replicas: &[StandinReplica]| {
                    let requests = replicas.iter().flat_map(StandinReplica::requests);
                    let own = requests.filter(|run| run.header("x-attempt-id") == Some("a"));
                    own.collect::<Vec<_>>()
                };
                let (store, watched) = (relay.store.clone(), replicas.clone());
                let version = config_without_key(2, removal);
                spawn_local(async move {
                    wait_until(async || !runs(&watched).is_empty()).await;
                    store.put(CONFIG_KIND, CONFIG_NAME, version);
                });
                let called = relay.get(path, "a").await;
                match path {
                    "/stream/a" => assert!(!called.is_complete, "{called:?}"),
                    _ => assert_eq!(called.status.as_u16(), 500, "{called:?}"),
                }
                let runs = runs(&replicas);
                assert_eq!(runs.len(), 1, "{}: {path}, {objective_ms}", removal.name);
                assert_eq!(runs[0].header("x-tenant"), Some(ORGANISATION));
            });
        }
    }
}
