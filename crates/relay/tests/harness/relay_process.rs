//! A relay that runs as a process, so that its memory can be measured and signals reach it alone.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{self, Child, Command},
};

use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use switchfold_platform_standin::{StandinStore, unused_address};
use switchfold_relay::settings::BoundSettings;

use super::{CallResult, request, try_call, wait_until};

/// A relay process, killed when dropped.
pub(crate) struct RelayProcess {
    pub(crate) child: Child,
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    /// Address of the readiness endpoint.
    pub(crate) ready: SocketAddr,
    /// Address of the metrics endpoint.
    pub(crate) metrics: SocketAddr,
    folder: PathBuf,
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        let _has_ended = self.child.kill();
        let _status = self.child.wait();
        let _removed = fs::remove_dir_all(&self.folder);
    }
}

impl RelayProcess {
    /// Starts a relay with a folder of this name, and waits until it is ready.
    pub(crate) async fn start(
        store: &StandinStore,
        name: &str,
        bounds: &BoundSettings,
        log_level: &str,
    ) -> Self {
        Self::start_with(store, name, bounds, log_level, json!({})).await
    }

    /// Does the same as [`Self::start`] with more settings.
    pub(crate) async fn start_with(
        store: &StandinStore,
        name: &str,
        bounds: &BoundSettings,
        log_level: &str,
        more: Value,
    ) -> Self {
        let program = Command::new(env!("CARGO_BIN_EXE_switchfold-relay"));
        Self::start_program(program, store, name, bounds, log_level, more).await
    }

    /// Does the same as [`Self::start`] with a limit of the descriptors that the process can open.
    pub(crate) async fn start_limited(
        store: &StandinStore,
        name: &str,
        bounds: &BoundSettings,
        max_open: usize,
    ) -> Self {
        let mut shell = Command::new("sh");
        let script = format!("ulimit -n {max_open}; exec \"$0\" \"$@\"");
        shell.args(["-c", &script, env!("CARGO_BIN_EXE_switchfold-relay")]);
        Self::start_program(shell, store, name, bounds, "warn", json!({})).await
    }

    async fn start_program(
        mut program: Command,
        store: &StandinStore,
        name: &str,
        bounds: &BoundSettings,
        log_level: &str,
        more: Value,
    ) -> Self {
        let free = || unused_address().expect("a loopback address");
        let (callers, ready, metrics) = (free(), free(), free());
        let mut settings = json!({
            "name": "relay-1", "data_centre": "hall", "region": "west",
            "listen": callers, "ready_listen": ready, "metrics_listen": metrics,
            "peer_listen": free(), "platform": store.address(), "first_start": true,
            "bounds": {
                "revoke_ms": bounds.revoke_ms, "grace_s": bounds.grace_s,
                "retry_ratio": bounds.retry_ratio, "retry_window_s": bounds.retry_window_s,
                "retry_allowance": bounds.retry_allowance,
            },
        });
        settings.as_object_mut().into_iter().for_each(|settings| {
            settings.extend(more.as_object().cloned().unwrap_or_default());
        });
        let folder = std::env::temp_dir().join(format!("switchfold-{name}-{}", process::id()));
        fs::create_dir_all(&folder).expect("the folder can be created");
        let path = folder.join("relay.json");
        fs::write(&path, settings.to_string()).expect("the settings can be written");
        let child = program
            .args(["--log-level", log_level, "--settings"])
            .arg(&path)
            .stdout(fs::File::create(folder.join("log")).expect("a file"))
            .spawn()
            .expect("the relay starts");
        let relay = Self { child, callers, ready, metrics, folder };
        let is_ready = async || {
            let request = Request::get("/readyz").body(Full::default()).expect("a request");
            let response = try_call(relay.ready, request).await;
            response.is_some_and(|response| response.status == StatusCode::OK)
        };
        wait_until(is_ready).await;
        relay
    }

    /// Returns the largest resident memory so far, in KB.
    pub(crate) fn peak_memory_kb(&self) -> u64 {
        self.read_status("VmHWM:")
    }

    /// Returns the resident memory, in KB.
    pub(crate) fn memory_kb(&self) -> u64 {
        self.read_status("VmRSS:")
    }

    fn read_status(&self, field: &str) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("the relay runs");
        let size = status.lines().find_map(|line| line.strip_prefix(field));
        let digits = size.and_then(|size| size.trim().strip_suffix(" kB"));
        digits.and_then(|digits| digits.trim().parse().ok()).expect("a size")
    }

    /// Returns the number of open descriptors.
    pub(crate) fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("the relay runs").count()
    }

    /// Calls a path with the sample key; `id` is the attempt id.
    pub(crate) async fn call(&self, path: &str, id: &str) -> Option<CallResult> {
        try_call(self.callers, request(path, id)).await
    }

    /// Returns the lines of the log with this event.
    pub(crate) fn events(&self, event: &str) -> Vec<Value> {
        let log = fs::read_to_string(self.folder.join("log")).expect("the log is written");
        let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter(|line| line["event"] == event).collect()
    }
}
