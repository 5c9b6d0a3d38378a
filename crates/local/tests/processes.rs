//! Tests with the programs as separate processes, which are killed, paused and terminated.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use switchfold_kernel::http::HttpClient;
use switchfold_platform_standin::unused_address;
use switchfold_standin::model::oracle;

const LAYERS: u32 = 8;
const OPERATOR_HASH: &str = "dfb3b6ffc2c3e9df8a6b86b1b3e9f1ac5c9b0f8a3a5b0a0fd4b3bd6e0c7a9f11";

/// Returns the path of a program; builds all programs if it does not exist yet.
fn program(name: &str) -> PathBuf {
    let test = std::env::current_exe().expect("this test's path");
    let folder = test.parent().and_then(Path::parent).expect("the target folder").to_owned();
    let path = folder.join(name);
    if !path.exists() {
        let mut build = Command::new(env!("CARGO"));
        let built = build
            .args(["build", "--workspace", "--bins", "--locked"])
            .status()
            .expect("cargo runs");
        assert!(built.success());
    }
    path
}

fn free_address() -> String {
    unused_address().expect("a loopback address").to_string()
}

/// Child processes, which are killed on drop.
#[derive(Default)]
struct Processes {
    children: BTreeMap<String, Child>,
}

impl Processes {
    fn start(&mut self, name: &str, program_name: &str, arguments: &[&str]) {
        let mut command = Command::new(program(program_name));
        let child = command.args(arguments).stderr(Stdio::null()).stdout(Stdio::null()).spawn();
        self.children.insert(name.to_owned(), child.expect("it starts"));
    }

    fn signal(&self, name: &str, signal: &str) {
        let id = self.children[name].id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().expect("kill runs");
        assert!(sent.success());
    }

    fn kill(&mut self, name: &str) {
        let child = self.children.get_mut(name).expect("started");
        child.kill().expect("it runs");
        child.wait().expect("it ends");
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ended_before = child.kill();
            let _reaped = child.wait();
        }
    }
}

struct TestDeployment {
    processes: Processes,
    folder: PathBuf,
    platform: String,
    entries: Vec<String>,
    http: HttpClient,
}

impl TestDeployment {
    async fn start(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("switchfold-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let platform = free_address();
        let mut processes = Processes::default();
        processes.start("platform", "switchfold-standin", &["platform", "--listen", &platform]);
        let http = HttpClient::new(Duration::from_secs(30), 8 << 20);
        let mut deployment = Self { processes, folder, platform, entries: Vec::new(), http };
        deployment.retry("GET", &format!("http://{}/v1/vms", deployment.platform), &[], "").await;
        deployment.configure().await;
        for stage in 0..2 {
            for replica in 0..2 {
                deployment.start_replica(stage, replica).await;
            }
        }
        for number in 0..2 {
            deployment.start_entry(number).await;
        }
        deployment
    }

    async fn call(
        &self,
        method: &str,
        uri: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<(StatusCode, Bytes)> {
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request =
            request.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).expect("well-formed");
        let response = self.http.call(request).await.ok()?;
        Some((response.status, response.body))
    }

    /// Repeats a call until its response has a success status; panics after 600 attempts.
    async fn retry(&self, method: &str, uri: &str, headers: &[(&str, &str)], body: &str) -> Bytes {
        for _ in 0..600 {
            if let Some((status, body)) = self.call(method, uri, headers, body).await
                && status.is_success()
            {
                return body;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("{method} {uri}: no success status after 600 attempts");
    }

    async fn configure(&self) {
        let hash = {
            let output = Command::new("sh")
                .args([
                    "-c",
                    &format!("echo caller | {} hash-token", program("switchfold-ctl").display()),
                ])
                .output();
            String::from_utf8(output.expect("it runs").stdout).expect("UTF-8").trim().to_owned()
        };
        let event = json!({"name": "dawn", "state": "open", "classes": [{"name": "lot", "priority": 1, "deadline_ms": 20_000}]});
        let shard = json!({"organisations": [{"name": "acme", "token_sha256": hash}]});
        for (path, value) in [("event/dawn", event), ("organisations/0", shard)] {
            let uri = format!("http://{}/v1/objects/{path}", self.platform);
            self.retry("PUT", &uri, &[("if-version", "0")], &value.to_string()).await;
        }
    }

    fn settings(&self, name: &str, value: &Value) -> String {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, value.to_string()).expect("written");
        path.display().to_string()
    }

    async fn add_to_vm_list(&self, name: &str, address: &str, role: &str) {
        let vm = json!({"name": name, "address": address, "data_centre": "here", "role": role, "state": "live"});
        self.retry("POST", &format!("http://{}/standin/vms", self.platform), &[], &vm.to_string())
            .await;
    }

    async fn start_replica(&mut self, stage: u32, replica: u32) {
        let (engine, agent) = (free_address(), free_address());
        let name = format!("engine-{stage}-{replica}");
        let width = LAYERS / 2;
        let engine_settings = self.settings(&name, &json!({
            "model": "lots", "layers": LAYERS, "first_layer": stage * width, "end_layer": (stage + 1) * width,
            "accelerator": "test", "max_batch": 4, "slots": 16, "fixed_micros": 4_000, "item_micros": 200
        }));
        self.processes.start(
            &name,
            "switchfold-standin",
            &["engine", "--listen", &engine, "--settings", &engine_settings],
        );
        let agent_name = format!("agent-{stage}-{replica}");
        let settings = self.settings(&agent_name, &json!({
            "name": agent_name, "data_centre": "here", "listen": agent, "cluster_token": "secret", "engine": engine
        }));
        self.processes.start(&agent_name, "switchfold-agent", &["--settings", &settings]);
        self.add_to_vm_list(&agent_name, &agent, "endpoint").await;
    }

    async fn start_entry(&mut self, number: usize) {
        let (web, peer) = (free_address(), free_address());
        let name = format!("entry-{number}");
        let settings = self.settings(&name, &json!({
            "name": name, "data_centre": "here", "listen": web, "peer_listen": peer, "cluster_token": "secret",
            "platform": self.platform, "models": [{"name": "lots", "layers": LAYERS}],
            "operator_token_sha256": OPERATOR_HASH
        }));
        self.processes.start(&name, "switchfold-entry", &["--settings", &settings]);
        self.add_to_vm_list(&name, &peer, "entry").await;
        self.retry("GET", &format!("http://{web}/readyz"), &[], "").await;
        self.entries.push(web);
        // The first completion shows that the entry has a complete path.
        self.request_completion(number, 2).await;
    }

    fn request(&self, entry: usize, tokens: u32, stream: bool) -> Request<Full<Bytes>> {
        let body = json!({"model": "lots", "prompt": [7, 7, tokens], "max_tokens": tokens, "stream": stream});
        Request::builder()
            .method("POST")
            .uri(format!("http://{}/v1/completions", self.entries[entry]))
            .header("authorization", "Bearer caller")
            .header("switchfold-event", "dawn")
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("well-formed")
    }

    /// Requests a completion and compares it with the oracle. Retries only if there is no response
    /// or the outcome is `not-run`.
    async fn request_completion(&self, entry: usize, tokens: u32) {
        for _ in 0..600 {
            let response = self.http.call(self.request(entry, tokens, false)).await;
            let Ok(response) = response else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let value: Value = serde_json::from_slice(&response.body).unwrap_or_default();
            if response.status == StatusCode::OK {
                let expected = oracle("lots", LAYERS, &[7, 7, tokens], tokens);
                assert_eq!(value["choices"][0]["token_ids"], json!(expected));
                return;
            }
            assert_eq!(value["error"]["outcome"], "not-run", "{value}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no completion after 600 attempts");
    }

    /// Starts a stream, calls `action`, and returns all tokens of the stream.
    async fn stream_during(
        &mut self,
        tokens: u32,
        action: impl FnOnce(&mut Processes),
    ) -> Vec<u64> {
        let response = self.http.send(self.request(0, tokens, true)).await.expect("response head");
        assert_eq!(response.status(), StatusCode::OK);
        action(&mut self.processes);
        let body = response.into_body().collect().await.expect("complete body").to_bytes();
        let text = String::from_utf8(body.to_vec()).expect("UTF-8");
        assert!(text.contains("\"outcome\":\"done\""), "{text}");
        text.lines()
            .filter_map(|line| serde_json::from_str::<Value>(line.strip_prefix("data: ")?).ok())
            .filter_map(|event| event["choices"][0]["token_ids"].as_array().cloned())
            .flatten()
            .filter_map(|token| token.as_u64())
            .collect()
    }
}

impl Drop for TestDeployment {
    fn drop(&mut self) {
        let _left_behind = fs::remove_dir_all(&self.folder);
    }
}

fn expected(tokens: u32) -> Vec<u64> {
    oracle("lots", LAYERS, &[7, 7, tokens], tokens).into_iter().map(u64::from).collect()
}

#[tokio::test]
async fn streams_complete_when_processes_are_killed_or_paused() {
    let mut deployment = TestDeployment::start("kill").await;
    // One replica of each stage is killed, each during another stream.
    let killed = deployment.stream_during(120, |processes| processes.kill("agent-0-0")).await;
    assert_eq!(killed, expected(120));
    let killed = deployment.stream_during(130, |processes| processes.kill("engine-1-1")).await;
    assert_eq!(killed, expected(130));
    // The other entry is paused and continued at once; the stream must not be affected.
    let paused = deployment
        .stream_during(140, |processes| {
            processes.signal("entry-1", "-STOP");
            processes.signal("entry-1", "-CONT");
        })
        .await;
    assert_eq!(paused, expected(140));
}

#[tokio::test]
async fn entries_complete_their_streams_on_sigterm() {
    let mut deployment = TestDeployment::start("stop").await;
    let tokens =
        deployment.stream_during(150, |processes| processes.signal("entry-0", "-TERM")).await;
    assert_eq!(tokens, expected(150));
    let status =
        deployment.processes.children.get_mut("entry-0").expect("started").wait().expect("it ends");
    assert_eq!(status.code(), Some(0));
    deployment.request_completion(1, 3).await;
}

#[test]
fn invalid_settings_exit_with_2_and_report_every_error() {
    let folder = std::env::temp_dir().join(format!("switchfold-settings-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("entry.json");
    fs::write(
        &path,
        r#"{"name": "e", "listen": "nowhere", "models": [{"name": "m"}], "colour": 1}"#,
    )
    .expect("written");
    let output = Command::new(program("switchfold-entry"))
        .arg("--settings")
        .arg(&path)
        .output()
        .expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    for error in [
        "colour: unknown field",
        "listen: found \"nowhere\"",
        "models[0].layers: missing",
        "platform: missing",
    ] {
        assert!(text.contains(error), "{error}: {text}");
    }
    let checked = Command::new(program("switchfold-ctl"))
        .args(["check", "entry", "--settings"])
        .arg(&path)
        .output();
    assert_eq!(checked.expect("it runs").status.code(), Some(1));
    let unknown =
        Command::new(program("switchfold-agent")).arg("--nonsense").output().expect("it runs");
    assert_eq!(unknown.status.code(), Some(2));
    fs::remove_dir_all(&folder).expect("removed");
}
