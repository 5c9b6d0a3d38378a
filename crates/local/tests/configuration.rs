//! Entries that start while the store or the other entries give them only a part of the
//! configuration.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use sha2::{Digest, Sha256};
use switchfold_core::{
    config::{
        DRAIN_KIND, EVENT_KIND, EventConfig, ORGANISATION_KIND, OrganisationShard, PLAN_KIND,
        event_key, organisation_key,
    },
    version::ObjectKey,
};
use switchfold_entry::{EntrySockets, run_entry, settings::EntrySettings};
use switchfold_kernel::{
    http::{FullResponse, HttpClient},
    shutdown::ShutdownSignal,
};
use switchfold_standin::platform::{PlatformStandin, StoreFaults};
use switchfold_store::{VmEntry, VmRole, VmState};
use tokio::{net::TcpListener, task::JoinHandle, time::sleep};

const TOKEN: &str = "caller";

/// Number of polls before a wait fails, and the time between two of them.
const MAX_POLLS: u32 = 400;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An entry without endpoints, and the platform that it reads.
struct LoneEntry {
    platform: PlatformStandin,
    web: String,
    http: HttpClient,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for LoneEntry {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn put(platform: &PlatformStandin, key: &ObjectKey, value: &serde_json::Value) {
    platform.put(key, value.to_string().as_bytes());
}

async fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    (listener, address)
}

impl LoneEntry {
    /// Starts an entry while the store has `faults`. `other_entries` are on the list of VMs and do
    /// not respond.
    async fn start(faults: StoreFaults, other_entries: &[&str]) -> Self {
        let platform = PlatformStandin::default();
        let hash: String =
            Sha256::digest(TOKEN.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect();
        let event: EventConfig = serde_json::from_value(serde_json::json!({
            "name": "dawn", "state": "open",
            "classes": [{"name": "lot", "priority": 1, "deadline_ms": 20_000}]
        }))
        .expect("an event");
        put(&platform, &event_key(&event.name), &serde_json::json!(event));
        let shard: OrganisationShard = serde_json::from_value(serde_json::json!({
            "organisations": [{"name": "acme", "token_sha256": hash}]
        }))
        .expect("organisations");
        put(&platform, &organisation_key("acme"), &serde_json::json!(shard));
        platform.set_faults(faults);

        let (web, web_address) = bind().await;
        let (peer, peer_address) = bind().await;
        let (unanswered, unanswered_address) = bind().await;
        drop(unanswered);
        let entry = |name: &str, address: &str| VmEntry {
            name: name.to_owned(),
            address: address.to_owned(),
            data_centre: "here".to_owned(),
            role: VmRole::Entry,
            state: VmState::Live,
        };
        platform.set_vm(entry("entry", &peer_address));
        for name in other_entries {
            platform.set_vm(entry(name, &unanswered_address));
        }
        let (store, store_address) = bind().await;
        let settings: EntrySettings = serde_json::from_value(serde_json::json!({
            "name": "entry", "data_centre": "here", "listen": web_address,
            "peer_listen": peer_address, "cluster_token": "secret", "platform": store_address,
            "models": [{"name": "lots", "layers": 8}], "operator_token_sha256": hash
        }))
        .expect("settings");
        let server = platform.clone();
        let tasks = vec![
            tokio::spawn(async move { server.serve(store, ShutdownSignal::new()).await }),
            tokio::spawn(async move {
                let sockets = EntrySockets { web, peer };
                run_entry(settings, sockets, ShutdownSignal::new()).await.expect("it runs");
            }),
        ];
        let http = HttpClient::new(Duration::from_secs(20), 1 << 20);
        Self { platform, web: web_address, http, tasks }
    }

    async fn call(&self, method: &str, path: &str, body: &'static str) -> FullResponse {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.web))
            .header("authorization", format!("Bearer {TOKEN}"))
            .header("switchfold-event", "dawn")
            .body(Full::new(Bytes::from_static(body.as_bytes())));
        self.http.call(request.expect("a request")).await.expect("a response")
    }

    async fn is_ready(&self) -> bool {
        self.call("GET", "/readyz", "").await.status == StatusCode::OK
    }

    /// Sends a call that a complete configuration rejects for its unknown model.
    async fn complete(&self) -> FullResponse {
        self.call("POST", "/v1/completions", r#"{"model": "none", "prompt": "a"}"#).await
    }
}

async fn wait_until<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    for _ in 0..MAX_POLLS {
        if condition().await {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("the condition does not hold in time");
}

fn reason(response: &FullResponse) -> &str {
    response.headers["switchfold-reason"].to_str().expect("text")
}

/// Guards against valid tokens that were called wrong by an entry which had received the list of VMs
/// but not the organisations.
#[tokio::test]
async fn an_entry_without_the_whole_configuration_rejects_no_token() {
    for kind in [EVENT_KIND, ORGANISATION_KIND, DRAIN_KIND, PLAN_KIND] {
        let faults =
            StoreFaults { unlisted_kinds: vec![kind.to_owned()], ..StoreFaults::default() };
        let entry = LoneEntry::start(faults, &[]).await;
        // The store has been read, and the list of VMs with it.
        wait_until(async || entry.platform.calls().reads > 4).await;
        for _ in 0..20 {
            assert!(!entry.is_ready().await, "{kind} is missing");
            for called in [entry.complete().await, entry.call("GET", "/v1/requests/1-1", "").await]
            {
                assert_eq!(called.status, StatusCode::SERVICE_UNAVAILABLE, "{kind} is missing");
                assert_eq!(reason(&called), "no-configuration");
                assert!(called.headers.contains_key("retry-after"));
            }
            sleep(POLL_INTERVAL).await;
        }
        entry.platform.set_faults(StoreFaults::default());
        wait_until(async || entry.is_ready().await).await;
        assert_eq!(reason(&entry.complete().await), "unknown-model");
    }
}

/// Without the list of VMs an entry knows no endpoint, so every request would wait in vain.
#[tokio::test]
async fn an_entry_without_the_list_of_vms_is_not_ready() {
    let faults = StoreFaults { unlisted_vms: true, ..StoreFaults::default() };
    let entry = LoneEntry::start(faults, &[]).await;
    wait_until(async || entry.platform.calls().reads > 4).await;
    assert!(!entry.is_ready().await);
    entry.platform.set_faults(StoreFaults::default());
    wait_until(async || entry.is_ready().await).await;
}

/// Guards against an entry that waited for the configuration from the watchers of its data centre,
/// which did not respond, instead of reading it.
#[tokio::test]
async fn an_entry_reads_the_configuration_if_no_watcher_sends_it() {
    let others: Vec<String> = (0..40).map(|number| format!("other-{number}")).collect();
    let others: Vec<&str> = others.iter().map(String::as_str).collect();
    let unlisted_kinds = vec![ORGANISATION_KIND.to_owned()];
    let faults = StoreFaults { unlisted_kinds, ..StoreFaults::default() };
    let entry = LoneEntry::start(faults, &others).await;
    // Until here the entry has learned that it is not a watcher itself.
    wait_until(async || entry.platform.calls().reads > 4).await;
    entry.platform.set_faults(StoreFaults::default());
    wait_until(async || entry.is_ready().await).await;
    assert_eq!(reason(&entry.complete().await), "unknown-model");
}
