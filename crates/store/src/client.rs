//! The client of the platform.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use switchfold_core::{hash::hash_bytes, retry::Backoff, version::ObjectKey};
use switchfold_kernel::http::{CallError, FullResponse, HttpClient};
use tokio::time::{Instant, sleep};

use crate::{
    ChangeBatch, IF_VERSION, MAX_VALUE_BYTES, OBJECT_VERSION, StoreError, StoredObject, VmList,
};

/// Longest answer that is read: a list of a kind may hold many objects.
const MOST_ANSWER_BYTES: usize = 64 << 20;

/// How to reach the platform.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Address of the platform's service.
    pub address: String,
    /// How long to wait for an answer.
    pub timeout: Duration,
    /// Name of this process, so that back-off differs between processes.
    pub process: String,
}

/// Calls made, by kind.
#[derive(Debug, Default)]
pub struct StoreMeter {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

impl StoreMeter {
    /// Reads made.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Writes made, settled or not.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Watches made.
    pub fn watches(&self) -> u64 {
        self.watches.load(Ordering::Relaxed)
    }
}

/// Calls the platform's store and list of VMs.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: HttpClient,
    watch_http: HttpClient,
    config: StoreConfig,
    meter: Arc<StoreMeter>,
}

/// Longest wait of a watch; the client waits a little longer for its answer.
const WATCH_WAIT: Duration = Duration::from_secs(20);

impl StoreClient {
    /// Makes a client; connects on the first call.
    pub fn new(config: StoreConfig) -> Self {
        let http = HttpClient::new(config.timeout, MOST_ANSWER_BYTES);
        let watch_http = HttpClient::new(WATCH_WAIT + config.timeout, MOST_ANSWER_BYTES);
        Self { http, watch_http, config, meter: Arc::default() }
    }

    /// Calls made so far.
    pub fn meter(&self) -> &StoreMeter {
        &self.meter
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails where the store does not answer, or not as its interface says.
    pub async fn read(&self, key: &ObjectKey) -> Result<StoredObject, StoreError> {
        self.meter.reads.fetch_add(1, Ordering::Relaxed);
        let request = self.request(Method::GET, &object_path(key), None, Bytes::new())?;
        let answer = read_call(self.http.call(request).await)?;
        match answer.status {
            StatusCode::OK => {
                let version = version_of(&answer)?;
                Ok(StoredObject { version, value: Some(answer.body.to_vec()) })
            }
            StatusCode::NOT_FOUND => {
                let version = version_of(&answer).unwrap_or(0);
                Ok(StoredObject { version, value: None })
            }
            status => Err(refused(status)),
        }
    }

    /// Writes an object where it still has the version `expected`; 0 means that it must not exist.
    /// Returns the new version.
    ///
    /// # Errors
    ///
    /// [`StoreError::OutcomeUnknown`] where the write may have taken effect; otherwise it did not.
    pub async fn write(
        &self,
        key: &ObjectKey,
        expected: u64,
        value: &[u8],
    ) -> Result<u64, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { len: value.len(), most: MAX_VALUE_BYTES });
        }
        self.change(Method::PUT, key, expected, Bytes::copy_from_slice(value)).await
    }

    /// Deletes an object where it still has the version `expected`. Returns the tombstone's version.
    ///
    /// # Errors
    ///
    /// As [`StoreClient::write`].
    pub async fn delete(&self, key: &ObjectKey, expected: u64) -> Result<u64, StoreError> {
        self.change(Method::DELETE, key, expected, Bytes::new()).await
    }

    /// Reads all objects of a kind, tombstones included.
    ///
    /// # Errors
    ///
    /// As [`StoreClient::read`].
    pub async fn list(&self, kind: &str) -> Result<ChangeBatch, StoreError> {
        self.meter.reads.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/objects/{kind}");
        let request = self.request(Method::GET, &path, None, Bytes::new())?;
        parse(&read_call(self.http.call(request).await)?)
    }

    /// Waits for changes of some kinds after a revision, and gives what there is after `wait` at most.
    ///
    /// # Errors
    ///
    /// As [`StoreClient::read`]; [`StoreError::RevisionExpired`] where the revision is too old.
    pub async fn watch(
        &self,
        kinds: &[&str],
        after: u64,
        wait: Duration,
    ) -> Result<ChangeBatch, StoreError> {
        self.meter.watches.fetch_add(1, Ordering::Relaxed);
        let wait_ms = wait.min(WATCH_WAIT).as_millis();
        let kinds = kinds.join(",");
        let path = format!("/v1/watch?kinds={kinds}&after={after}&wait_ms={wait_ms}");
        let request = self.request(Method::GET, &path, None, Bytes::new())?;
        parse(&read_call(self.watch_http.call(request).await)?)
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    ///
    /// As [`StoreClient::read`].
    pub async fn list_vms(&self) -> Result<VmList, StoreError> {
        self.meter.reads.fetch_add(1, Ordering::Relaxed);
        let request = self.request(Method::GET, "/v1/vms", None, Bytes::new())?;
        parse(&read_call(self.http.call(request).await)?)
    }

    /// Writes, and settles an unclear outcome by reading back, until `timeout` is used up.
    ///
    /// `is_own` tells from the stored contents whether this very write took effect; contents that are
    /// unique to the write (a command's id) make that certain.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] where another write came first; [`StoreError::OutcomeUnknown`] where the
    /// outcome could not be read back in time; otherwise nothing was written.
    pub async fn write_confirmed(
        &self,
        key: &ObjectKey,
        expected: u64,
        value: &[u8],
        timeout: Duration,
        is_own: impl Fn(&[u8]) -> bool,
    ) -> Result<u64, StoreError> {
        let deadline = Instant::now() + timeout;
        let mut backoff = self.backoff(key);
        let mut unclear = false;
        // Once an answer was lost, that write may still land: a conflict may then be with itself.
        let mut was_unclear = false;
        loop {
            let outcome = if unclear {
                self.read_back(key, expected, &is_own).await
            } else {
                self.write(key, expected, value).await.map(WriteState::Written)
            };
            match outcome {
                Ok(WriteState::Written(version)) => return Ok(version),
                Ok(WriteState::Unwritten) => unclear = false,
                Err(StoreError::OutcomeUnknown { .. }) => {
                    unclear = true;
                    was_unclear = true;
                }
                Err(StoreError::Conflict { .. }) if was_unclear && !unclear => unclear = true,
                Err(StoreError::Unavailable { .. } | StoreError::RateLimited) => {}
                Err(error) => return Err(error),
            }
            if !wait_within(deadline, backoff.next_wait()).await {
                let detail = "no answer in time".to_owned();
                return Err(match unclear {
                    true => StoreError::OutcomeUnknown { detail },
                    false => StoreError::Unavailable { detail },
                });
            }
        }
    }

    async fn read_back(
        &self,
        key: &ObjectKey,
        expected: u64,
        is_own: &impl Fn(&[u8]) -> bool,
    ) -> Result<WriteState, StoreError> {
        let stored = match self.read(key).await {
            Ok(stored) => stored,
            Err(StoreError::Malformed { detail }) => return Err(StoreError::Malformed { detail }),
            Err(error) => return Err(StoreError::OutcomeUnknown { detail: error.to_string() }),
        };
        let own = stored.value.as_deref().is_some_and(is_own);
        match stored.version {
            version if own => Ok(WriteState::Written(version)),
            version if version == expected => Ok(WriteState::Unwritten),
            version => Err(StoreError::Conflict { version }),
        }
    }

    fn backoff(&self, key: &ObjectKey) -> Backoff<ChaCha8Rng> {
        let process = hash_bytes(0, self.config.process.as_bytes());
        let seed = hash_bytes(process, key.name.as_bytes());
        Backoff::new(ChaCha8Rng::seed_from_u64(seed))
    }

    async fn change(
        &self,
        method: Method,
        key: &ObjectKey,
        expected: u64,
        body: Bytes,
    ) -> Result<u64, StoreError> {
        self.meter.writes.fetch_add(1, Ordering::Relaxed);
        let request = self.request(method, &object_path(key), Some(expected), body)?;
        let answer = match self.http.call(request).await {
            Ok(answer) => answer,
            Err(CallError::NotConnected { detail }) => {
                return Err(StoreError::Unavailable { detail });
            }
            Err(CallError::NoResponse { detail }) => {
                return Err(StoreError::OutcomeUnknown { detail });
            }
        };
        match answer.status {
            StatusCode::OK => version_of(&answer),
            StatusCode::CONFLICT => Err(StoreError::Conflict { version: version_of(&answer)? }),
            status => Err(refused(status)),
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        expected: Option<u64>,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, StoreError> {
        let uri = format!("http://{}{path}", self.config.address);
        let mut builder = Request::builder().method(method).uri(uri);
        if let Some(expected) = expected {
            builder = builder.header(IF_VERSION, expected);
        }
        builder
            .body(Full::new(body))
            .map_err(|error| StoreError::Malformed { detail: error.to_string() })
    }
}

/// What reading back says of a write.
enum WriteState {
    Written(u64),
    Unwritten,
}

async fn wait_within(deadline: Instant, millis: u64) -> bool {
    let wait = Duration::from_millis(millis);
    if Instant::now() + wait >= deadline {
        return false;
    }
    sleep(wait).await;
    true
}

fn object_path(key: &ObjectKey) -> String {
    format!("/v1/objects/{}/{}", key.kind, key.name)
}

fn version_of(answer: &FullResponse) -> Result<u64, StoreError> {
    let header = answer.headers.get(OBJECT_VERSION);
    let text = header.and_then(|value| value.to_str().ok());
    let version = text.and_then(|text| text.parse().ok());
    version.ok_or_else(|| StoreError::Malformed { detail: format!("no {OBJECT_VERSION} header") })
}

fn parse<T: serde::de::DeserializeOwned>(answer: &FullResponse) -> Result<T, StoreError> {
    if answer.status != StatusCode::OK {
        return Err(refused(answer.status));
    }
    serde_json::from_slice(&answer.body)
        .map_err(|error| StoreError::Malformed { detail: error.to_string() })
}

fn refused(status: StatusCode) -> StoreError {
    match status {
        StatusCode::TOO_MANY_REQUESTS => StoreError::RateLimited,
        StatusCode::GONE => StoreError::RevisionExpired,
        status if status.is_server_error() => {
            StoreError::Unavailable { detail: status.to_string() }
        }
        status => StoreError::Malformed { detail: format!("status {status}") },
    }
}

fn read_call(answer: Result<FullResponse, CallError>) -> Result<FullResponse, StoreError> {
    answer.map_err(|error| StoreError::Unavailable { detail: error.to_string() })
}
