//! Object store and VM list of the platform, with fault injection.
//!
//! Every call counts against the rate limits of the store; a watch counts as one read. The store
//! can be unavailable, slow, or lose the response of a write that took effect.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use switchfold_core::{
    share::RateBucket,
    version::{ObjectCopy, ObjectKey},
};
use switchfold_kernel::{
    clock::now_millis,
    http::{
        BodyError, ConnectionDropped, HttpLimits, HttpResponse, full_response, json_response,
        read_body, serve, set_header,
    },
    shutdown::ShutdownSignal,
};
use switchfold_store::{
    ChangeBatch, IF_VERSION, MAX_VALUE_BYTES, OBJECT_VERSION, StoredChange, VmEntry, VmList,
    VmState,
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{sleep, timeout},
};

/// Number of past changes from which a watch can resume.
const LOG_LEN: usize = 4_096;

/// Rate limits of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreRates {
    /// Reads per second, watches included.
    pub reads_per_s: u64,
    /// Writes per second.
    pub writes_per_s: u64,
}

impl Default for StoreRates {
    fn default() -> Self {
        Self { reads_per_s: 2_000, writes_per_s: 100 }
    }
}

/// Faults of the store.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every call fails with status 503.
    pub outage: bool,
    /// Kinds of objects of which lists fail with status 503.
    pub unlisted_kinds: Vec<String>,
    /// Whether the list of VMs fails with status 503.
    pub unlisted_vms: bool,
    /// Delay of each call in milliseconds.
    pub delay_ms: u64,
    /// Number of writes, from the next one, that are processed but whose response is lost.
    #[serde(rename = "lose_answers")]
    pub lose_responses: u32,
}

impl StoreFaults {
    /// Returns whether the list at this path fails.
    fn unlists(&self, path: &str) -> bool {
        let kind = object_kind(path).unwrap_or_default();
        self.unlisted_kinds.iter().any(|unlisted| unlisted == kind)
            || (self.unlisted_vms && path == "/v1/vms")
    }
}

/// Number of calls of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct StoreCalls {
    /// Reads other than watches.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls rejected by the rate limits.
    pub limited: u64,
}

#[derive(Debug)]
struct PlatformState {
    objects: BTreeMap<ObjectKey, ObjectCopy>,
    /// Keys of the last changes, at most [`LOG_LEN`].
    log: VecDeque<ObjectKey>,
    /// Revision before the first change in `log`.
    log_start: u64,
    vms: VmList,
    faults: StoreFaults,
    calls: StoreCalls,
    rates: StoreRates,
    reads: RateBucket,
    writes: RateBucket,
}

/// Stand-in for the platform.
#[derive(Clone, Debug)]
pub struct PlatformStandin {
    state: Arc<Mutex<PlatformState>>,
    revision: Arc<watch::Sender<u64>>,
}

impl Default for PlatformStandin {
    fn default() -> Self {
        Self::new(StoreRates::default())
    }
}

/// Outcome of a write, with the version of the object afterwards.
enum WriteOutcome {
    Written(u64),
    Conflict(u64),
}

impl PlatformStandin {
    /// Creates a platform with an empty store and an empty VM list.
    pub fn new(rates: StoreRates) -> Self {
        let now = now_millis();
        let state = PlatformState {
            objects: BTreeMap::new(),
            log: VecDeque::new(),
            log_start: 0,
            vms: VmList::default(),
            faults: StoreFaults::default(),
            calls: StoreCalls::default(),
            rates,
            reads: RateBucket::new(rates.reads_per_s, now),
            writes: RateBucket::new(rates.writes_per_s, now),
        };
        let (revision, _) = watch::channel(0);
        Self { state: Arc::new(Mutex::new(state)), revision: Arc::new(revision) }
    }

    /// Serves requests until the signal is raised or the task is dropped.
    pub async fn serve(self, listener: TcpListener, shutdown: ShutdownSignal) {
        let handler = move |request| {
            let platform = self.clone();
            async move { platform.handle(request).await }
        };
        serve(listener, HttpLimits::default(), shutdown, handler).await;
    }

    /// Replaces the current faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state().faults = faults;
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> StoreCalls {
        self.state().calls
    }

    /// Adds a VM to the list, or replaces the VM of the same name.
    pub fn set_vm(&self, vm: VmEntry) {
        let mut state = self.state();
        state.vms.vms.retain(|listed| listed.name != vm.name);
        state.vms.vms.push(vm);
        state.vms.revision += 1;
    }

    /// Marks a VM as leaving.
    pub fn set_leaving(&self, name: &str) {
        let mut state = self.state();
        for vm in &mut state.vms.vms {
            if vm.name == name {
                vm.state = VmState::Leaving;
            }
        }
        state.vms.revision += 1;
    }

    /// Removes a VM from the list.
    pub fn remove_vm(&self, name: &str) {
        let mut state = self.state();
        state.vms.vms.retain(|vm| vm.name != name);
        state.vms.revision += 1;
    }

    /// Writes an object directly, without rate limits and faults, for the setup of tests. Returns
    /// its version.
    pub fn put(&self, key: &ObjectKey, value: &[u8]) -> u64 {
        let mut state = self.state();
        let expected = state.objects.get(key).map_or(0, |copy| copy.version);
        match self.write(&mut state, key, expected, Some(value.into())) {
            WriteOutcome::Written(version) | WriteOutcome::Conflict(version) => version,
        }
    }

    /// Returns the contents and version of an object, without rate limits and faults.
    pub fn get(&self, key: &ObjectKey) -> Option<ObjectCopy> {
        self.state().objects.get(key).cloned()
    }

    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self, request: Request<Incoming>) -> Result<HttpResponse, ConnectionDropped> {
        if request.uri().path() == "/standin/faults" {
            return Ok(self.handle_set_faults(request).await);
        }
        if request.uri().path() == "/standin/vms" {
            return Ok(self.handle_set_vm(request).await);
        }
        let faults = self.state().faults.clone();
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.outage {
            return Ok(full_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "outage"));
        }
        let is_write = request.method() == Method::PUT || request.method() == Method::DELETE;
        let is_watch = request.uri().path() == "/v1/watch";
        if !self.admit(is_write, is_watch) {
            return Ok(full_response(
                StatusCode::TOO_MANY_REQUESTS,
                "text/plain",
                "rate limit exceeded",
            ));
        }
        if is_write {
            return self.handle_write(request).await;
        }
        if faults.unlists(request.uri().path()) {
            return Ok(full_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "unlisted"));
        }
        Ok(self.handle_read(&request).await)
    }

    async fn handle_set_faults(&self, request: Request<Incoming>) -> HttpResponse {
        let body = read_body(request.into_body(), MAX_VALUE_BYTES).await.unwrap_or_default();
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                let response = json_response(StatusCode::OK, &faults);
                self.set_faults(faults);
                response
            }
            Err(error) => full_response(StatusCode::BAD_REQUEST, "text/plain", error.to_string()),
        }
    }

    async fn handle_set_vm(&self, request: Request<Incoming>) -> HttpResponse {
        let body = read_body(request.into_body(), MAX_VALUE_BYTES).await.unwrap_or_default();
        match serde_json::from_slice::<VmEntry>(&body) {
            Ok(vm) => {
                self.set_vm(vm.clone());
                json_response(StatusCode::OK, &vm)
            }
            Err(error) => full_response(StatusCode::BAD_REQUEST, "text/plain", error.to_string()),
        }
    }

    fn admit(&self, is_write: bool, is_watch: bool) -> bool {
        let now = now_millis();
        let mut state = self.state();
        let rates = state.rates;
        let admitted = match is_write {
            true => state.writes.try_take(rates.writes_per_s, now),
            false => state.reads.try_take(rates.reads_per_s, now),
        };
        match (admitted, is_write, is_watch) {
            (false, ..) => state.calls.limited += 1,
            (true, true, _) => state.calls.writes += 1,
            (true, _, true) => state.calls.watches += 1,
            (true, ..) => state.calls.reads += 1,
        }
        admitted
    }

    async fn handle_write(
        &self,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, ConnectionDropped> {
        let (parts, body) = request.into_parts();
        let Some(key) = object_key(parts.uri.path()) else {
            return Ok(full_response(StatusCode::NOT_FOUND, "text/plain", "unknown path"));
        };
        let expected =
            parts.headers.get(IF_VERSION).and_then(|value| value.to_str().ok()?.parse().ok());
        let Some(expected) = expected else {
            return Ok(full_response(
                StatusCode::BAD_REQUEST,
                "text/plain",
                "header if-version is missing or not a number",
            ));
        };
        let value = match read_body(body, MAX_VALUE_BYTES).await {
            Ok(value) => value,
            Err(BodyError::TooLarge { .. }) => {
                return Ok(full_response(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "text/plain",
                    "value too large",
                ));
            }
            Err(BodyError::Truncated) => return Err(ConnectionDropped),
        };
        let value = (parts.method == Method::PUT).then(|| value[..].into());
        let mut state = self.state();
        let outcome = self.write(&mut state, &key, expected, value);
        if state.faults.lose_responses > 0 {
            state.faults.lose_responses -= 1;
            return Err(ConnectionDropped);
        }
        let (status, version) = match outcome {
            WriteOutcome::Written(version) => (StatusCode::OK, version),
            WriteOutcome::Conflict(version) => (StatusCode::CONFLICT, version),
        };
        let mut response = full_response(status, "text/plain", "");
        set_header(&mut response, OBJECT_VERSION, &version.to_string());
        Ok(response)
    }

    fn write(
        &self,
        state: &mut PlatformState,
        key: &ObjectKey,
        expected: u64,
        value: Option<Arc<[u8]>>,
    ) -> WriteOutcome {
        let existing = state.objects.get(key);
        let current = existing.map_or(0, |copy| copy.version);
        let is_absent = existing.is_none_or(|copy| copy.value.is_none());
        if expected != current && !(expected == 0 && is_absent) {
            return WriteOutcome::Conflict(current);
        }
        let version = *self.revision.borrow() + 1;
        state.objects.insert(key.clone(), ObjectCopy { version, value });
        state.log.push_back(key.clone());
        if state.log.len() > LOG_LEN {
            state.log.pop_front();
            state.log_start += 1;
        }
        self.revision.send_replace(version);
        WriteOutcome::Written(version)
    }

    async fn handle_read(&self, request: &Request<Incoming>) -> HttpResponse {
        let uri = request.uri();
        match uri.path() {
            "/v1/vms" => json_response(StatusCode::OK, &self.state().vms),
            "/v1/watch" => self.handle_watch(uri.query().unwrap_or_default()).await,
            path => match (object_key(path), object_kind(path)) {
                (Some(key), _) => self.object_response(&key),
                (None, Some(kind)) => json_response(StatusCode::OK, &self.list(&[kind], 0)),
                (None, None) => full_response(StatusCode::NOT_FOUND, "text/plain", "unknown path"),
            },
        }
    }

    fn object_response(&self, key: &ObjectKey) -> HttpResponse {
        let state = self.state();
        let copy = state.objects.get(key);
        let version = copy.map_or(0, |copy| copy.version);
        let mut response = match copy.and_then(|copy| copy.value.as_deref()) {
            Some(value) => full_response(StatusCode::OK, "application/json", value.to_vec()),
            None => full_response(StatusCode::NOT_FOUND, "text/plain", "no such object"),
        };
        set_header(&mut response, OBJECT_VERSION, &version.to_string());
        response
    }

    fn list(&self, kinds: &[&str], after: u64) -> ChangeBatch {
        let state = self.state();
        let objects = state.objects.iter();
        let matching = objects
            .filter(|(key, copy)| kinds.contains(&key.kind.as_str()) && copy.version > after);
        let mut changes: Vec<StoredChange> =
            matching.map(|(key, copy)| stored_change(key, copy)).collect();
        changes.sort_by_key(|change| change.version);
        ChangeBatch { revision: *self.revision.borrow(), changes }
    }

    async fn handle_watch(&self, query: &str) -> HttpResponse {
        let watch = WatchQuery::parse(query);
        let kinds: Vec<&str> = watch.kinds.split(',').collect();
        if watch.after < self.state().log_start {
            return full_response(StatusCode::GONE, "text/plain", "revision is too old");
        }
        let mut revision = self.revision.subscribe();
        let wait = async {
            loop {
                let batch = self.list(&kinds, watch.after);
                if !batch.changes.is_empty() || revision.changed().await.is_err() {
                    return batch;
                }
            }
        };
        let batch = match timeout(Duration::from_millis(watch.wait_ms), wait).await {
            Ok(batch) => batch,
            Err(_) => self.list(&kinds, watch.after),
        };
        json_response(StatusCode::OK, &batch)
    }
}

struct WatchQuery {
    kinds: String,
    after: u64,
    wait_ms: u64,
}

impl WatchQuery {
    fn parse(query: &str) -> Self {
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| field(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        Self {
            kinds: field("kinds").unwrap_or_default(),
            after: number("after"),
            wait_ms: number("wait_ms"),
        }
    }
}

fn stored_change(key: &ObjectKey, copy: &ObjectCopy) -> StoredChange {
    let value = copy.value.as_deref().map(|value| String::from_utf8_lossy(value).into_owned());
    StoredChange { kind: key.kind.clone(), name: key.name.clone(), version: copy.version, value }
}

fn object_key(path: &str) -> Option<ObjectKey> {
    let (kind, name) = path.strip_prefix("/v1/objects/")?.split_once('/')?;
    (!name.is_empty()).then(|| ObjectKey::new(kind, name))
}

fn object_kind(path: &str) -> Option<&str> {
    path.strip_prefix("/v1/objects/")
}
