//! Tests of the HTTP interface for callers and operators, including invalid input.

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use std::time::Duration;
use switchfold_kernel::http::{FullResponse, HttpClient};
use switchfold_local::{
    ClusterError, LocalCluster,
    cluster::OPERATOR_TOKEN,
    profile::{LocalProfile, profile},
};
use switchfold_standin::{model::oracle, platform::StoreFaults};

const CALLER_HEADERS: &[(&str, &str)] =
    &[("authorization", "Bearer token-0"), ("switchfold-event", "dawn")];

struct TestDeployment {
    cluster: LocalCluster,
    http: HttpClient,
}

async fn start_deployment(change: impl FnOnce(&mut LocalProfile)) -> TestDeployment {
    let mut profile = profile("tiny").expect("known profile");
    change(&mut profile);
    let cluster = LocalCluster::start(profile).await.expect("deployment starts");
    TestDeployment { cluster, http: HttpClient::new(Duration::from_secs(60), 8 << 20) }
}

impl TestDeployment {
    fn web(&self, entry: usize) -> String {
        self.cluster.entries[entry].web.clone()
    }

    async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> FullResponse {
        self.send_to(0, method, path, headers, body).await
    }

    async fn send_to(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> FullResponse {
        let mut request =
            Request::builder().method(method).uri(format!("http://{}{path}", self.web(entry)));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).expect("well-formed");
        self.http.call(request).await.expect("response")
    }

    async fn request_completion(&self, headers: &[(&str, &str)], body: &Value) -> FullResponse {
        self.send("POST", "/v1/completions", headers, body.to_string()).await
    }

    async fn run_statement(&self, statement: &str) -> Value {
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let response = self
            .send("POST", "/v1/operator", &[("authorization", &token)], statement.to_owned())
            .await;
        let mut value: Value = serde_json::from_slice(&response.body).expect("JSON");
        value["status"] = response.status.as_u16().into();
        value
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn completion_body(max_tokens: u32) -> Value {
    json!({"model": "lots", "prompt": [3, 1, 4], "max_tokens": max_tokens})
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn completions_match_the_oracle_unstreamed_and_streamed() {
    let deployment = start_deployment(|_| {}).await;
    let expected = oracle("lots", 24, &[3, 1, 4], 6);
    let response = deployment.request_completion(CALLER_HEADERS, &completion_body(6)).await;
    assert_eq!(
        (response.status, header(&response.headers, "switchfold-outcome")),
        (StatusCode::OK, "done")
    );
    let parsed: Value = serde_json::from_slice(&response.body).expect("JSON");
    assert_eq!(parsed["choices"][0]["token_ids"], json!(expected));

    let mut streamed = completion_body(6);
    streamed["stream"] = true.into();
    let response = deployment.request_completion(CALLER_HEADERS, &streamed).await;
    let text = String::from_utf8(response.body.to_vec()).expect("UTF-8");
    let tokens: Vec<u64> = text
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line.strip_prefix("data: ")?).ok())
        .filter_map(|event| event["choices"][0]["token_ids"].as_array().cloned())
        .flatten()
        .filter_map(|token| token.as_u64())
        .collect();
    assert_eq!(json!(tokens), json!(expected));
    assert!(
        text.contains("event: outcome\ndata: {\"outcome\":\"done\"")
            && text.ends_with("data: [DONE]\n\n"),
        "{text}"
    );

    let id = header(&response.headers, "switchfold-request").to_owned();
    for entry in 0..2 {
        let status_response = deployment
            .send_to(entry, "GET", &format!("/v1/requests/{id}"), CALLER_HEADERS, "")
            .await;
        assert_eq!(
            (status_response.status, header(&status_response.headers, "switchfold-outcome")),
            (StatusCode::OK, "done"),
            "entry {entry}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_requests_are_refused_with_status_and_reason() {
    let deployment = start_deployment(|_| {}).await;
    let auth = ("authorization", "Bearer token-0");
    let event = ("switchfold-event", "dawn");
    let good = completion_body(4).to_string();
    let huge = format!(r#"{{"model":"lots","prompt":"{}"}}"#, "x".repeat(2 << 20));
    type Row<'a> = (&'a str, Vec<(&'a str, &'a str)>, &'a str, u16, &'a str);
    let table: Vec<Row<'_>> = vec![
        ("no token", vec![event], &good, 401, "wrong-token"),
        ("wrong token", vec![("authorization", "Bearer x"), event], &good, 401, "wrong-token"),
        ("no event", vec![auth], &good, 400, "missing-event"),
        ("unknown event", vec![auth, ("switchfold-event", "dusk")], &good, 404, "unknown-event"),
        (
            "unknown class",
            vec![auth, event, ("switchfold-class", "x")],
            &good,
            400,
            "unknown-class",
        ),
        ("not JSON", vec![auth, event], "{", 400, "malformed-body"),
        ("not an object", vec![auth, event], "[1]", 400, "malformed-body"),
        ("no prompt", vec![auth, event], r#"{"model":"lots"}"#, 400, "malformed-body"),
        (
            "empty prompt",
            vec![auth, event],
            r#"{"model":"lots","prompt":""}"#,
            400,
            "malformed-body",
        ),
        (
            "no tokens",
            vec![auth, event],
            r#"{"model":"lots","prompt":"x","max_tokens":0}"#,
            400,
            "malformed-body",
        ),
        (
            "too many",
            vec![auth, event],
            r#"{"model":"lots","prompt":"x","max_tokens":99999}"#,
            400,
            "malformed-body",
        ),
        (
            "negative",
            vec![auth, event],
            r#"{"model":"lots","prompt":"x","max_tokens":-1}"#,
            400,
            "malformed-body",
        ),
        (
            "unknown model",
            vec![auth, event],
            r#"{"model":"fish","prompt":"x"}"#,
            404,
            "unknown-model",
        ),
        ("empty key", vec![auth, event, ("idempotency-key", "")], &good, 400, "malformed-key"),
        ("oversize", vec![auth, event], &huge, 413, "body-too-large"),
    ];
    for (name, headers, body, status, reason) in table {
        let response = deployment.send("POST", "/v1/completions", &headers, body.to_owned()).await;
        assert_eq!(
            (response.status.as_u16(), header(&response.headers, "switchfold-reason")),
            (status, reason),
            "{name}"
        );
        assert_eq!(header(&response.headers, "switchfold-outcome"), "not-run", "{name}");
    }
    let paths = [
        ("GET", "/nowhere", 404),
        ("GET", "/v1/requests/xyz", 400),
        ("GET", "/v1/services/", 404),
        ("GET", "/healthz", 200),
        ("GET", "/readyz", 200),
    ];
    for (method, path, status) in paths {
        assert_eq!(
            deployment.send(method, path, CALLER_HEADERS, "").await.status.as_u16(),
            status,
            "{path}"
        );
    }
    let unknown = format!("/v1/requests/{}", "0".repeat(32));
    let status_response = deployment.send("GET", &unknown, CALLER_HEADERS, "").await;
    assert_eq!(header(&status_response.headers, "switchfold-outcome"), "unknown");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_calls_keep_their_path_and_run_once_per_key() {
    let deployment = start_deployment(|_| {}).await;
    let keyed: Vec<(&str, &str)> = CALLER_HEADERS
        .iter()
        .copied()
        .chain([("idempotency-key", "bid-7"), ("switchfold-class", "bid")])
        .collect();
    let first = deployment.send("POST", "/v1/services/bidding/place?lot=7", &keyed, "bid 7").await;
    assert_eq!(
        (first.status, header(&first.headers, "switchfold-outcome")),
        (StatusCode::OK, "done")
    );
    let parsed: Value = serde_json::from_slice(&first.body).expect("JSON");
    assert_eq!((parsed["path"].as_str(), parsed["body"].as_str()), (Some("/place"), Some("bid 7")));
    for entry in 0..2 {
        let repeated_response =
            deployment.send_to(entry, "POST", "/v1/services/bidding/place", &keyed, "bid 7").await;
        assert_eq!(repeated_response.status, StatusCode::CONFLICT, "entry {entry}");
        assert_eq!(
            header(&repeated_response.headers, "switchfold-outcome"),
            "done",
            "the outcome is that of the first request"
        );
        assert_eq!(
            header(&repeated_response.headers, "switchfold-original"),
            header(&first.headers, "switchfold-request")
        );
    }
    let runs: u64 = deployment.cluster.services.values().map(|service| service.runs("bid 7")).sum();
    assert_eq!(runs, 1);
    // Keys are scoped to their organisation: the same key of another organisation is free.
    let other: Vec<(&str, &str)> = keyed
        .iter()
        .copied()
        .filter(|(name, _)| *name != "authorization")
        .chain([("authorization", "Bearer token-1")])
        .collect();
    assert_eq!(
        deployment.send("POST", "/v1/services/bidding/place", &other, "bid 8").await.status,
        StatusCode::OK
    );
}

/// During a store outage a request with a key cannot claim it, waits until its deadline and ends as
/// not-run. The key must then be free: after the outage the request runs once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_whose_key_cannot_be_claimed_do_not_run_and_leave_the_key_free() {
    let deployment = start_deployment(|profile| {
        profile.event.classes.iter_mut().for_each(|class| class.deadline_ms = 400);
    })
    .await;
    let keyed: Vec<(&str, &str)> = CALLER_HEADERS
        .iter()
        .copied()
        .chain([("idempotency-key", "k"), ("switchfold-class", "bid")])
        .collect();
    deployment.cluster.platform.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    let response = deployment.send("POST", "/v1/services/bidding/x", &keyed, "once").await;
    assert_eq!(header(&response.headers, "switchfold-reason"), "claim-unavailable");
    let unkeyed: Vec<(&str, &str)> =
        CALLER_HEADERS.iter().copied().chain([("switchfold-class", "bid")]).collect();
    let response = deployment.send("POST", "/v1/services/bidding/x", &unkeyed, "other").await;
    assert_eq!(response.status, StatusCode::OK, "requests without a key need no store");
    deployment.cluster.platform.set_faults(StoreFaults::default());
    let mut last = String::new();
    for _ in 0..20 {
        let response = deployment.send("POST", "/v1/services/bidding/x", &keyed, "once").await;
        last = header(&response.headers, "switchfold-outcome").to_owned();
        if last == "done" {
            break;
        }
    }
    assert_eq!(last, "done");
    let runs: u64 = deployment.cluster.services.values().map(|service| service.runs("once")).sum();
    assert_eq!(runs, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_open_and_pause_events_and_concurrent_changes_conflict() {
    let deployment = start_deployment(|_| {}).await;
    assert_eq!(
        deployment.run_statement("show events where class = bid").await["rows"][0][0],
        "dawn"
    );
    assert_eq!(deployment.run_statement(r#"pause event "dawn""#).await["result"], "accepted");
    let mut refused = deployment.request_completion(CALLER_HEADERS, &completion_body(2)).await;
    assert_eq!(header(&refused.headers, "switchfold-reason"), "event-not-open");
    assert!(!header(&refused.headers, "retry-after").is_empty());
    assert_eq!(deployment.run_statement(r#"open event "dawn""#).await["result"], "accepted");
    refused = deployment.request_completion(CALLER_HEADERS, &completion_body(2)).await;
    assert_eq!(refused.status, StatusCode::OK);

    let rows = deployment.run_statement("show config where kind = event").await;
    let version = rows["rows"][0][2].as_str().expect("a version").to_owned();
    let first = format!(r#"set event "dawn" class "bid" priority 7 expect version {version}"#);
    let second = format!(r#"set event "dawn" class "bid" priority 8 expect version {version}"#);
    let (left, right) =
        tokio::join!(deployment.run_statement(&first), deployment.run_statement(&second));
    let accepted_count =
        [&left, &right].iter().filter(|response| response["result"] == "accepted").count();
    assert_eq!(accepted_count, 1, "{left} {right}");
    let refused_statement = if left["result"] == "accepted" { &right } else { &left };
    assert_eq!(
        (refused_statement["status"].as_u64(), refused_statement["reason"].as_str()),
        (Some(409), Some("conflict"))
    );
    assert!(
        refused_statement["message"].as_str().is_some_and(|text| text.contains("\"priority\":")),
        "the message shows the current value: {refused_statement}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_statements_are_refused_and_change_nothing() {
    let deployment = start_deployment(|_| {}).await;
    let before = deployment.run_statement("show config").await;
    let table = [
        ("open evnt", 400, "not-understood"),
        (r#"open event "dusk""#, 404, "missing"),
        (r#"open event "a/b""#, 400, "unfit"),
        (r#"set event "dawn" class "x" priority 1"#, 400, "unfit"),
        (r#"set organisation "nobody" weight 2"#, 404, "missing"),
        (
            r#"create event {"name": "dawn", "state": "open", "classes": [{"name":"a","priority":1,"deadline_ms":5}]}"#,
            409,
            "conflict",
        ),
        (r#"create event {"name": "x", "state": "open", "classes": []}"#, 400, "unfit"),
        (r#"create event {"name": "x"}"#, 400, "unfit"),
        (r#"delete event "dusk""#, 404, "missing"),
        ("resume vm engine-1", 400, "unfit"),
        ("show events where colour = red", 400, "unfit"),
        (r#"open event "dawn" expect version 999"#, 409, "conflict"),
    ];
    for (text, status, reason) in table {
        let response = deployment.run_statement(text).await;
        let expected = (Some(status), Some(reason));
        assert_eq!(
            (response["status"].as_u64(), response["reason"].as_str()),
            expected,
            "{text}: {response}"
        );
    }
    assert_eq!(deployment.run_statement("show config").await["rows"], before["rows"]);
    let unauthorised_response = deployment
        .send("POST", "/v1/operator", &[("authorization", "Bearer token-0")], "show events")
        .await;
    assert_eq!(unauthorised_response.status, StatusCode::UNAUTHORIZED);
}

/// If the response of a store write is lost after the write took effect, the entry reads the object
/// back and recognises its own write by the command's identifier.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn statements_succeed_when_the_store_response_is_lost() {
    let deployment = start_deployment(|_| {}).await;
    deployment
        .cluster
        .platform
        .set_faults(StoreFaults { lose_responses: 1, ..StoreFaults::default() });
    assert_eq!(deployment.run_statement(r#"pause event "dawn""#).await["result"], "accepted");
    assert_eq!(
        deployment.run_statement("show events where class = bid").await["rows"][0][1],
        "paused"
    );
    deployment
        .cluster
        .platform
        .set_faults(StoreFaults { lose_responses: 1, ..StoreFaults::default() });
    assert_eq!(deployment.run_statement(r#"delete event "dawn""#).await["result"], "accepted");
    let rows = deployment.run_statement("show events").await;
    assert_eq!(rows["rows"], json!([]));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_vms_accept_no_requests_and_metrics_count_outcomes() {
    let deployment = start_deployment(|_| {}).await;
    assert_eq!(deployment.run_statement("drain vm engine-0").await["result"], "accepted");
    let mut state = String::new();
    for _ in 0..200 {
        let rows = deployment.run_statement("show endpoints where vm = engine-0").await;
        state = rows["rows"][0][4].as_str().unwrap_or_default().to_owned();
        if state == "draining" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(state, "draining");
    let started_requests = deployment.cluster.engines["engine-0"].log.started_requests();
    for _ in 0..6 {
        assert_eq!(
            deployment.request_completion(CALLER_HEADERS, &completion_body(2)).await.status,
            StatusCode::OK
        );
    }
    assert_eq!(deployment.cluster.engines["engine-0"].log.started_requests(), started_requests);
    let text = String::from_utf8(deployment.send("GET", "/metrics", &[], "").await.body.to_vec())
        .expect("UTF-8");
    let outcome = text.lines().find(|line| {
        line.starts_with("switchfold_outcomes_total") && line.contains("outcome=\"done\"")
    });
    assert!(outcome.is_some_and(|line| line.ends_with(" 6")), "{outcome:?}");
    assert!(text.contains("switchfold_first_token_milliseconds_bucket{class="), "{text}");
}

/// A caller that disconnects cancels its request at all stages of the path, which frees their
/// slots.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disconnected_callers_free_the_slots_of_their_stages() {
    let deployment = start_deployment(|_| {}).await;
    let mut long = completion_body(4_000);
    long["stream"] = true.into();
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{}/v1/completions", deployment.web(0)))
        .header("authorization", "Bearer token-0")
        .header("switchfold-event", "dawn")
        .body(Full::new(Bytes::from(long.to_string())))
        .expect("well-formed");
    let response = deployment.http.send(request).await.expect("response head");
    assert_eq!(response.status(), StatusCode::OK);
    drop(response);
    let mut running = String::new();
    for _ in 0..500 {
        let rows = deployment.run_statement("show endpoints where used > 0").await;
        running = rows["rows"].to_string();
        if running == "[]" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(running, "[]");
    let outcomes = deployment.run_statement("show outcomes where outcome = unknown").await;
    assert_eq!(outcomes["rows"][0][2], "1");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn organisation_rate_limit_is_enforced() {
    let deployment = start_deployment(|_| {}).await;
    assert_eq!(
        deployment.run_statement(r#"set organisation "organisation-0" limit_per_s 2"#).await["result"],
        "accepted"
    );
    let mut limited = None;
    for _ in 0..10 {
        let response = deployment.request_completion(CALLER_HEADERS, &completion_body(1)).await;
        if response.status == StatusCode::TOO_MANY_REQUESTS {
            limited = Some(response);
            break;
        }
    }
    let limited = limited.expect("the rate is used up");
    assert_eq!(header(&limited.headers, "switchfold-reason"), "rate-limit");
    assert_eq!(header(&limited.headers, "switchfold-outcome"), "not-run");
}

/// An entry that starts during a store outage loads its configuration from its peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_start_from_peers_during_a_store_outage() -> Result<(), ClusterError> {
    let mut deployment = start_deployment(|_| {}).await;
    deployment.cluster.platform.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    deployment.cluster.start_additional_entry()?;
    let last = deployment.cluster.entries.len() - 1;
    let mut status = StatusCode::SERVICE_UNAVAILABLE;
    for _ in 0..300 {
        status = deployment
            .send_to(
                last,
                "POST",
                "/v1/completions",
                CALLER_HEADERS,
                completion_body(2).to_string(),
            )
            .await
            .status;
        if status == StatusCode::OK {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(status, StatusCode::OK);
    Ok(())
}

/// An entry without contact to the store and to all peers fails its readiness check, so that the
/// load balancer sends it no requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_isolated_entry_is_not_ready() {
    let mut deployment = start_deployment(|profile| profile.tuning.cut_off_ms = 1_500).await;
    assert_eq!(deployment.send("GET", "/readyz", &[], "").await.status, StatusCode::OK);
    deployment.cluster.kill("entry-1").expect("known VM");
    deployment.cluster.platform.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    let mut status = StatusCode::OK;
    for _ in 0..500 {
        status = deployment.send("GET", "/readyz", &[], "").await.status;
        if status != StatusCode::OK {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    deployment.cluster.platform.set_faults(StoreFaults::default());
    for _ in 0..500 {
        status = deployment.send("GET", "/readyz", &[], "").await.status;
        if status == StatusCode::OK {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(status, StatusCode::OK, "the entry is ready again after it reached the store");
}

/// SHA-256 of no bytes.
const EMPTY_SHA256: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// Guards against requests without a token being those of an organisation whose hash was made of an
/// empty one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_missing_token_belongs_to_no_organisation() {
    let deployment = start_deployment(|_| {}).await;
    let config = json!({"name": "careless", "token_sha256": EMPTY_SHA256});
    let created = deployment.run_statement(&format!("create organisation {config}")).await;
    assert_eq!(created["status"], 200, "{created}");
    let event = ("switchfold-event", "dawn");
    for headers in [
        vec![event],
        vec![event, ("authorization", "Bearer ")],
        vec![event, ("authorization", "Basic token-0")],
    ] {
        for _ in 0..5 {
            let response = deployment.request_completion(&headers, &completion_body(1)).await;
            assert_eq!(response.status, StatusCode::UNAUTHORIZED, "{headers:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
