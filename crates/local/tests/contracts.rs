//! What callers and operators are promised, with bad input in tables, over HTTP.

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

const CALLER: &[(&str, &str)] =
    &[("authorization", "Bearer token-0"), ("switchfold-event", "dawn")];

struct Site {
    cluster: LocalCluster,
    http: HttpClient,
}

async fn site(change: impl FnOnce(&mut LocalProfile)) -> Site {
    let mut profile = profile("tiny").expect("it exists");
    change(&mut profile);
    let cluster = LocalCluster::start(profile).await.expect("it starts");
    Site { cluster, http: HttpClient::new(Duration::from_secs(60), 8 << 20) }
}

impl Site {
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
        self.http.call(request).await.expect("answered")
    }

    async fn complete(&self, headers: &[(&str, &str)], body: &Value) -> FullResponse {
        self.send("POST", "/v1/completions", headers, body.to_string()).await
    }

    async fn operate(&self, statement: &str) -> Value {
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let answer = self
            .send("POST", "/v1/operator", &[("authorization", &token)], statement.to_owned())
            .await;
        let mut value: Value = serde_json::from_slice(&answer.body).expect("JSON");
        value["status"] = answer.status.as_u16().into();
        value
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn body(max_tokens: u32) -> Value {
    json!({"model": "lots", "prompt": [3, 1, 4], "max_tokens": max_tokens})
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn completions_are_whole_or_streamed_and_right() {
    let site = site(|_| {}).await;
    let expected = oracle("lots", 24, &[3, 1, 4], 6);
    let whole = site.complete(CALLER, &body(6)).await;
    assert_eq!(
        (whole.status, header(&whole.headers, "switchfold-outcome")),
        (StatusCode::OK, "done")
    );
    let answer: Value = serde_json::from_slice(&whole.body).expect("JSON");
    assert_eq!(answer["choices"][0]["token_ids"], json!(expected));

    let mut streamed = body(6);
    streamed["stream"] = true.into();
    let answer = site.complete(CALLER, &streamed).await;
    let text = String::from_utf8(answer.body.to_vec()).expect("UTF-8");
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

    let id = header(&answer.headers, "switchfold-request").to_owned();
    for entry in 0..2 {
        let told = site.send_to(entry, "GET", &format!("/v1/requests/{id}"), CALLER, "").await;
        assert_eq!(
            (told.status, header(&told.headers, "switchfold-outcome")),
            (StatusCode::OK, "done"),
            "entry {entry}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_of_callers_is_refused_with_its_reason() {
    let site = site(|_| {}).await;
    let auth = ("authorization", "Bearer token-0");
    let event = ("switchfold-event", "dawn");
    let good = body(4).to_string();
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
        let answer = site.send("POST", "/v1/completions", &headers, body.to_owned()).await;
        assert_eq!(
            (answer.status.as_u16(), header(&answer.headers, "switchfold-reason")),
            (status, reason),
            "{name}"
        );
        assert_eq!(header(&answer.headers, "switchfold-outcome"), "not-run", "{name}");
    }
    let paths = [
        ("GET", "/nowhere", 404),
        ("GET", "/v1/requests/xyz", 400),
        ("GET", "/v1/services/", 404),
        ("GET", "/healthz", 200),
        ("GET", "/readyz", 200),
    ];
    for (method, path, status) in paths {
        assert_eq!(site.send(method, path, CALLER, "").await.status.as_u16(), status, "{path}");
    }
    let unknown = format!("/v1/requests/{}", "0".repeat(32));
    let told = site.send("GET", &unknown, CALLER, "").await;
    assert_eq!(header(&told.headers, "switchfold-outcome"), "unknown");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn services_are_called_with_their_path_and_a_key_runs_once() {
    let site = site(|_| {}).await;
    let keyed: Vec<(&str, &str)> = CALLER
        .iter()
        .copied()
        .chain([("idempotency-key", "bid-7"), ("switchfold-class", "bid")])
        .collect();
    let first = site.send("POST", "/v1/services/bidding/place?lot=7", &keyed, "bid 7").await;
    assert_eq!(
        (first.status, header(&first.headers, "switchfold-outcome")),
        (StatusCode::OK, "done")
    );
    let answer: Value = serde_json::from_slice(&first.body).expect("JSON");
    assert_eq!((answer["path"].as_str(), answer["body"].as_str()), (Some("/place"), Some("bid 7")));
    for entry in 0..2 {
        let again =
            site.send_to(entry, "POST", "/v1/services/bidding/place", &keyed, "bid 7").await;
        assert_eq!(again.status, StatusCode::CONFLICT, "entry {entry}");
        assert_eq!(
            header(&again.headers, "switchfold-outcome"),
            "done",
            "the outcome is that of the first"
        );
        assert_eq!(
            header(&again.headers, "switchfold-original"),
            header(&first.headers, "switchfold-request")
        );
    }
    let runs: u64 = site.cluster.services.values().map(|service| service.runs("bid 7")).sum();
    assert_eq!(runs, 1);
    // Another organisation's key is another key.
    let other: Vec<(&str, &str)> = keyed
        .iter()
        .copied()
        .filter(|(name, _)| *name != "authorization")
        .chain([("authorization", "Bearer token-1")])
        .collect();
    assert_eq!(
        site.send("POST", "/v1/services/bidding/place", &other, "bid 8").await.status,
        StatusCode::OK
    );
}

/// In an outage a keyed request waits within its deadline and is then not run; the key is free after.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_that_cannot_be_claimed_is_not_run_and_free_again() {
    let site = site(|profile| {
        profile.event.classes.iter_mut().for_each(|class| class.deadline_ms = 400);
    })
    .await;
    let keyed: Vec<(&str, &str)> = CALLER
        .iter()
        .copied()
        .chain([("idempotency-key", "k"), ("switchfold-class", "bid")])
        .collect();
    site.cluster.platform.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    let answer = site.send("POST", "/v1/services/bidding/x", &keyed, "once").await;
    assert_eq!(header(&answer.headers, "switchfold-reason"), "claim-unavailable");
    let unkeyed: Vec<(&str, &str)> =
        CALLER.iter().copied().chain([("switchfold-class", "bid")]).collect();
    let answer = site.send("POST", "/v1/services/bidding/x", &unkeyed, "other").await;
    assert_eq!(answer.status, StatusCode::OK, "requests without a key need no store");
    site.cluster.platform.set_faults(StoreFaults::default());
    let mut last = String::new();
    for _ in 0..20 {
        let answer = site.send("POST", "/v1/services/bidding/x", &keyed, "once").await;
        last = header(&answer.headers, "switchfold-outcome").to_owned();
        if last == "done" {
            break;
        }
    }
    assert_eq!(last, "done");
    let runs: u64 = site.cluster.services.values().map(|service| service.runs("once")).sum();
    assert_eq!(runs, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_open_pause_and_race() {
    let site = site(|_| {}).await;
    assert_eq!(site.operate("show events where class = bid").await["rows"][0][0], "dawn");
    assert_eq!(site.operate(r#"pause event "dawn""#).await["result"], "accepted");
    let mut refused = site.complete(CALLER, &body(2)).await;
    assert_eq!(header(&refused.headers, "switchfold-reason"), "event-not-open");
    assert!(!header(&refused.headers, "retry-after").is_empty());
    assert_eq!(site.operate(r#"open event "dawn""#).await["result"], "accepted");
    refused = site.complete(CALLER, &body(2)).await;
    assert_eq!(refused.status, StatusCode::OK);

    let rows = site.operate("show config where kind = event").await;
    let version = rows["rows"][0][2].as_str().expect("a version").to_owned();
    let first = format!(r#"set event "dawn" class "bid" priority 7 expect version {version}"#);
    let second = format!(r#"set event "dawn" class "bid" priority 8 expect version {version}"#);
    let (left, right) = tokio::join!(site.operate(&first), site.operate(&second));
    let won = [&left, &right].iter().filter(|answer| answer["result"] == "accepted").count();
    assert_eq!(won, 1, "{left} {right}");
    let lost = if left["result"] == "accepted" { &right } else { &left };
    assert_eq!((lost["status"].as_u64(), lost["reason"].as_str()), (Some(409), Some("conflict")));
    assert!(
        lost["message"].as_str().is_some_and(|text| text.contains("\"priority\":")),
        "it shows the value: {lost}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_statements_are_refused_and_change_nothing() {
    let site = site(|_| {}).await;
    let before = site.operate("show config").await;
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
        let answer = site.operate(text).await;
        let expected = (Some(status), Some(reason));
        assert_eq!(
            (answer["status"].as_u64(), answer["reason"].as_str()),
            expected,
            "{text}: {answer}"
        );
    }
    assert_eq!(site.operate("show config").await["rows"], before["rows"]);
    let stranger = site
        .send("POST", "/v1/operator", &[("authorization", "Bearer token-0")], "show events")
        .await;
    assert_eq!(stranger.status, StatusCode::UNAUTHORIZED);
}

/// The write took effect and its answer was lost: the command's id tells that it was this one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operators_lost_answer_is_settled() {
    let site = site(|_| {}).await;
    site.cluster.platform.set_faults(StoreFaults { lose_answers: 1, ..StoreFaults::default() });
    assert_eq!(site.operate(r#"pause event "dawn""#).await["result"], "accepted");
    assert_eq!(site.operate("show events where class = bid").await["rows"][0][1], "paused");
    site.cluster.platform.set_faults(StoreFaults { lose_answers: 1, ..StoreFaults::default() });
    assert_eq!(site.operate(r#"delete event "dawn""#).await["result"], "accepted");
    let rows = site.operate("show events").await;
    assert_eq!(rows["rows"], json!([]));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_vms_take_no_new_work_and_metrics_tell_outcomes() {
    let site = site(|_| {}).await;
    assert_eq!(site.operate("drain vm engine-0").await["result"], "accepted");
    let mut state = String::new();
    for _ in 0..200 {
        let rows = site.operate("show endpoints where vm = engine-0").await;
        state = rows["rows"][0][4].as_str().unwrap_or_default().to_owned();
        if state == "draining" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(state, "draining");
    let begun = site.cluster.engines["engine-0"].log.begun();
    for _ in 0..6 {
        assert_eq!(site.complete(CALLER, &body(2)).await.status, StatusCode::OK);
    }
    assert_eq!(site.cluster.engines["engine-0"].log.begun(), begun);
    let text = String::from_utf8(site.send("GET", "/metrics", &[], "").await.body.to_vec())
        .expect("UTF-8");
    let outcome = text.lines().find(|line| {
        line.starts_with("switchfold_outcomes_total") && line.contains("outcome=\"done\"")
    });
    assert!(outcome.is_some_and(|line| line.ends_with(" 6")), "{outcome:?}");
    assert!(text.contains("switchfold_first_token_milliseconds_bucket{class="), "{text}");
}

/// A caller that goes away cancels its request down the path.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_go_away_free_their_stages() {
    let site = site(|_| {}).await;
    let mut long = body(4_000);
    long["stream"] = true.into();
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{}/v1/completions", site.web(0)))
        .header("authorization", "Bearer token-0")
        .header("switchfold-event", "dawn")
        .body(Full::new(Bytes::from(long.to_string())))
        .expect("well-formed");
    let answer = site.http.send(request).await.expect("begun");
    assert_eq!(answer.status(), StatusCode::OK);
    drop(answer);
    let mut running = String::new();
    for _ in 0..500 {
        let rows = site.operate("show endpoints where used > 0").await;
        running = rows["rows"].to_string();
        if running == "[]" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(running, "[]");
    let outcomes = site.operate("show outcomes where outcome = unknown").await;
    assert_eq!(outcomes["rows"][0][2], "1");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn organisations_keep_to_their_rate() {
    let site = site(|_| {}).await;
    assert_eq!(
        site.operate(r#"set organisation "organisation-0" limit_per_s 2"#).await["result"],
        "accepted"
    );
    let mut limited = None;
    for _ in 0..10 {
        let answer = site.complete(CALLER, &body(1)).await;
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            limited = Some(answer);
            break;
        }
    }
    let limited = limited.expect("the rate is used up");
    assert_eq!(header(&limited.headers, "switchfold-reason"), "rate-limit");
    assert_eq!(header(&limited.headers, "switchfold-outcome"), "not-run");
}

/// A process that starts in an outage of the store takes its configuration from its peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_start_from_peers_while_the_store_is_down() -> Result<(), ClusterError> {
    let mut site = site(|_| {}).await;
    site.cluster.platform.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    site.cluster.start_late_entry()?;
    let last = site.cluster.entries.len() - 1;
    let mut status = StatusCode::SERVICE_UNAVAILABLE;
    for _ in 0..300 {
        status =
            site.send_to(last, "POST", "/v1/completions", CALLER, body(2).to_string()).await.status;
        if status == StatusCode::OK {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(status, StatusCode::OK);
    Ok(())
}

/// An entry that hears neither the store nor any peer tells the balancer to send it nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_is_cut_off_is_not_ready() {
    let mut site = site(|profile| profile.tuning.cut_off_ms = 1_500).await;
    assert_eq!(site.send("GET", "/readyz", &[], "").await.status, StatusCode::OK);
    site.cluster.kill("entry-1").expect("it runs");
    site.cluster.platform.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    let mut status = StatusCode::OK;
    for _ in 0..500 {
        status = site.send("GET", "/readyz", &[], "").await.status;
        if status != StatusCode::OK {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    site.cluster.platform.set_faults(StoreFaults::default());
    for _ in 0..500 {
        status = site.send("GET", "/readyz", &[], "").await.status;
        if status == StatusCode::OK {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(status, StatusCode::OK, "it is ready again once it hears the store");
}
