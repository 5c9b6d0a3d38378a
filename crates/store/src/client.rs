//! HTTP client of the platform's object store and VM list.

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

/// Largest response body that is read; the list of a kind may hold many objects.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Settings of a [`StoreClient`].
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Host and port of the platform's service.
    pub address: String,
    /// How long to wait for the response to a call; a watch adds its own waiting time.
    pub timeout: Duration,
    /// Name of this process. It seeds the back-off, so that processes retry at different times.
    pub process: String,
}

/// Counts the calls that a [`StoreClient`] and its clones made, by kind.
#[derive(Debug, Default)]
pub struct StoreMeter {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

impl StoreMeter {
    /// Returns the number of reads and lists, retries included.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Returns the number of writes and deletes, retries included, whatever their outcome.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Returns the number of watches.
    pub fn watches(&self) -> u64 {
        self.watches.load(Ordering::Relaxed)
    }
}

/// Client of the platform's object store and VM list; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: HttpClient,
    watch_http: HttpClient,
    config: StoreConfig,
    meter: Arc<StoreMeter>,
}

/// Longest time that the store may hold a watch open. The client waits this long plus
/// [`StoreConfig::timeout`] for the response.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);

impl StoreClient {
    /// Creates a client, which connects on its first call.
    pub fn new(config: StoreConfig) -> Self {
        let http = HttpClient::new(config.timeout, MAX_RESPONSE_BYTES);
        let watch_http = HttpClient::new(MAX_WATCH_WAIT + config.timeout, MAX_RESPONSE_BYTES);
        Self { http, watch_http, config, meter: Arc::default() }
    }

    /// Returns the counters of calls.
    pub fn meter(&self) -> &StoreMeter {
        &self.meter
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] or [`StoreError::RateLimited`] if the store does not
    /// serve the call, and [`StoreError::Malformed`] if the response breaks the interface.
    pub async fn read(&self, key: &ObjectKey) -> Result<StoredObject, StoreError> {
        self.meter.reads.fetch_add(1, Ordering::Relaxed);
        let request = self.request(Method::GET, &object_path(key), None, Bytes::new())?;
        let response = read_outcome(self.http.call(request).await)?;
        match response.status {
            StatusCode::OK => {
                let version = version_of(&response)?;
                Ok(StoredObject { version, value: Some(response.body.to_vec()) })
            }
            StatusCode::NOT_FOUND => {
                let version = version_of(&response).unwrap_or(0);
                Ok(StoredObject { version, value: None })
            }
            status => Err(status_error(status)),
        }
    }

    /// Writes an object if its version is still `expected`, and returns the new version. An
    /// `expected` of 0 means that the object must not exist.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::OutcomeUnknown`] if the write may have taken effect. After any other
    /// error it did not.
    pub async fn write(
        &self,
        key: &ObjectKey,
        expected: u64,
        value: &[u8],
    ) -> Result<u64, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { len: value.len(), max: MAX_VALUE_BYTES });
        }
        self.write_once(Method::PUT, key, expected, Bytes::copy_from_slice(value)).await
    }

    /// Deletes an object if its version is still `expected`, and returns the tombstone's version.
    ///
    /// # Errors
    ///
    /// As [`StoreClient::write`].
    pub async fn delete(&self, key: &ObjectKey, expected: u64) -> Result<u64, StoreError> {
        self.write_once(Method::DELETE, key, expected, Bytes::new()).await
    }

    /// Lists all objects of a kind, tombstones included.
    ///
    /// # Errors
    ///
    /// As [`StoreClient::read`].
    pub async fn list(&self, kind: &str) -> Result<ChangeBatch, StoreError> {
        self.meter.reads.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/objects/{kind}");
        let request = self.request(Method::GET, &path, None, Bytes::new())?;
        parse_json(&read_outcome(self.http.call(request).await)?)
    }

    /// Returns the changes of some kinds after the revision `after`, waiting for the first one for
    /// at most `wait`. The batch is empty if none came in that time.
    ///
    /// # Errors
    ///
    /// As [`StoreClient::read`]; also [`StoreError::RevisionExpired`] if the store no longer keeps
    /// the history after that revision.
    pub async fn watch(
        &self,
        kinds: &[&str],
        after: u64,
        wait: Duration,
    ) -> Result<ChangeBatch, StoreError> {
        self.meter.watches.fetch_add(1, Ordering::Relaxed);
        let wait_ms = wait.min(MAX_WATCH_WAIT).as_millis();
        let kinds = kinds.join(",");
        let path = format!("/v1/watch?kinds={kinds}&after={after}&wait_ms={wait_ms}");
        let request = self.request(Method::GET, &path, None, Bytes::new())?;
        parse_json(&read_outcome(self.watch_http.call(request).await)?)
    }

    /// Lists the VMs. The list may lag behind the platform.
    ///
    /// # Errors
    ///
    /// As [`StoreClient::read`].
    pub async fn list_vms(&self) -> Result<VmList, StoreError> {
        self.meter.reads.fetch_add(1, Ordering::Relaxed);
        let request = self.request(Method::GET, "/v1/vms", None, Bytes::new())?;
        parse_json(&read_outcome(self.http.call(request).await)?)
    }

    /// Writes like [`StoreClient::write`], retries until `timeout`, and reads the object back when
    /// an outcome is unknown.
    ///
    /// `is_own` decides from the stored contents whether this very write took effect. The decision
    /// is certain if the contents are unique to the write, for example by a command's id.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Conflict`] if another write came first, and
    /// [`StoreError::OutcomeUnknown`] if the outcome could not be read back in time. After any
    /// other error nothing was written.
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
        let mut outcome_unknown = false;
        // A write whose response was lost may still be applied later. A conflict of a later attempt
        // may then be with that write, so it is checked by reading back.
        let mut lost_response = false;
        loop {
            let outcome = if outcome_unknown {
                self.read_back(key, expected, &is_own).await
            } else {
                self.write(key, expected, value).await.map(WriteState::Written)
            };
            match outcome {
                Ok(WriteState::Written(version)) => return Ok(version),
                Ok(WriteState::Unwritten) => outcome_unknown = false,
                Err(StoreError::OutcomeUnknown { .. }) => {
                    outcome_unknown = true;
                    lost_response = true;
                }
                Err(StoreError::Conflict { .. }) if lost_response && !outcome_unknown => {
                    outcome_unknown = true
                }
                Err(StoreError::Unavailable { .. } | StoreError::RateLimited) => {}
                Err(error) => return Err(error),
            }
            if !sleep_before(deadline, backoff.next_wait()).await {
                let detail = "no response before the time-out".to_owned();
                return Err(match outcome_unknown {
                    true => StoreError::OutcomeUnknown { detail },
                    false => StoreError::Unavailable { detail },
                });
            }
        }
    }

    /// Reads an object to find out whether a write with the expected version took effect.
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
        let is_written = stored.value.as_deref().is_some_and(is_own);
        match stored.version {
            version if is_written => Ok(WriteState::Written(version)),
            version if version == expected => Ok(WriteState::Unwritten),
            version => Err(StoreError::Conflict { version }),
        }
    }

    /// Returns a back-off whose waits differ between processes and objects.
    fn backoff(&self, key: &ObjectKey) -> Backoff<ChaCha8Rng> {
        let process = hash_bytes(0, self.config.process.as_bytes());
        let seed = hash_bytes(process, key.name.as_bytes());
        Backoff::new(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Makes a conditional write, without retries, and returns the new version.
    async fn write_once(
        &self,
        method: Method,
        key: &ObjectKey,
        expected: u64,
        body: Bytes,
    ) -> Result<u64, StoreError> {
        self.meter.writes.fetch_add(1, Ordering::Relaxed);
        let request = self.request(method, &object_path(key), Some(expected), body)?;
        let response = match self.http.call(request).await {
            Ok(response) => response,
            Err(CallError::NotConnected { detail }) => {
                return Err(StoreError::Unavailable { detail });
            }
            Err(CallError::NoResponse { detail }) => {
                return Err(StoreError::OutcomeUnknown { detail });
            }
        };
        match response.status {
            StatusCode::OK => version_of(&response),
            StatusCode::CONFLICT => Err(StoreError::Conflict { version: version_of(&response)? }),
            status => Err(status_error(status)),
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

/// Whether a write took effect.
enum WriteState {
    /// It did; the object's version.
    Written(u64),
    /// The object still has the expected version.
    Unwritten,
}

/// Sleeps for `millis` milliseconds and returns true, or returns false at once if that would pass
/// the deadline.
async fn sleep_before(deadline: Instant, millis: u64) -> bool {
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

/// Reads the version header of a response.
fn version_of(response: &FullResponse) -> Result<u64, StoreError> {
    let header = response.headers.get(OBJECT_VERSION);
    let text = header.and_then(|value| value.to_str().ok());
    let version = text.and_then(|text| text.parse().ok());
    version.ok_or_else(|| StoreError::Malformed {
        detail: format!("missing or invalid {OBJECT_VERSION} header"),
    })
}

fn parse_json<T: serde::de::DeserializeOwned>(response: &FullResponse) -> Result<T, StoreError> {
    if response.status != StatusCode::OK {
        return Err(status_error(response.status));
    }
    serde_json::from_slice(&response.body)
        .map_err(|error| StoreError::Malformed { detail: error.to_string() })
}

/// Returns the error for a status other than 200 and 409.
fn status_error(status: StatusCode) -> StoreError {
    match status {
        StatusCode::TOO_MANY_REQUESTS => StoreError::RateLimited,
        StatusCode::GONE => StoreError::RevisionExpired,
        status if status.is_server_error() => {
            StoreError::Unavailable { detail: status.to_string() }
        }
        status => StoreError::Malformed { detail: format!("unexpected status {status}") },
    }
}

/// Converts the outcome of a call that changes nothing, so it may be repeated after any error.
fn read_outcome(response: Result<FullResponse, CallError>) -> Result<FullResponse, StoreError> {
    response.map_err(|error| StoreError::Unavailable { detail: error.to_string() })
}
