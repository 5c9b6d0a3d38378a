//! The platform's metadata store, as PROTOCOL.md describes it.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use crate::http::{HttpMessage, serve};

/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_millis(30_000);

/// Objects by kind and name, each with the revision of its last change and its `spec` in JSON.
type StoredObjects = BTreeMap<(String, String), (u64, String)>;

/// A change: its revision, the kind of its object, and its event in JSON.
type StoredChange = (u64, String, String);

#[derive(Clone, Default)]
struct StoreContents {
    revision: u64,
    objects: StoredObjects,
    history: Vec<StoredChange>,
}

#[derive(Default)]
struct StoreState {
    contents: StoreContents,
    /// Number of times that the store came back from a copy.
    era: u64,
    /// Oldest revision from which a watch of this era may continue.
    oldest: u64,
    copy: StoreContents,
    is_away: bool,
}

/// Store that serves at a loopback address. Clones share their state.
#[derive(Clone, Default)]
pub struct PlatformStore {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Condvar>,
}

impl PlatformStore {
    /// Starts serving, and returns the address.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn start(&self) -> io::Result<SocketAddr> {
        let store = self.clone();
        serve(Arc::default(), move |request| Some(store.respond(&request)))
    }

    /// Writes an object for its owner. Unchanged contents get no new revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.lock();
        if state.is_away {
            return;
        }
        state.contents.put(kind, name, spec);
        drop(state);
        self.changed.notify_all();
    }

    /// Removes an object, as the platform does once its owner has left.
    pub fn remove(&self, kind: &str, name: &str) {
        self.lock().contents.remove(kind, name);
        self.changed.notify_all();
    }

    /// Takes the copy from which [`PlatformStore::come_back`] restores.
    pub fn take_copy(&self) {
        let mut state = self.lock();
        state.copy = state.contents.clone();
    }

    /// Turns all callers away with 503 until [`PlatformStore::come_back`].
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.changed.notify_all();
    }

    /// Serves again, from the copy and in a new era.
    pub fn come_back(&self) {
        let mut state = self.lock();
        state.contents = state.copy.clone();
        state.oldest = state.contents.revision;
        state.contents.history.clear();
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("no thread panics while it holds the store")
    }

    fn respond(&self, request: &HttpMessage) -> HttpMessage {
        let (method, target) = (request.word(0), request.word(1));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut names = path.trim_start_matches("/objects/").splitn(2, '/');
        let (kind, name) = (names.next().unwrap_or_default(), names.next());
        let mut response = match (method, name, field(query, "watch")) {
            ("GET", None, Some(after)) => {
                let wait = field(query, "wait_ms").and_then(|wait| wait.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0)).min(MAX_WAIT);
                self.watch(kind, after.parse().unwrap_or(0), wait)
            }
            _ => self.respond_at_once(method, kind, name, query, &request.body),
        };
        response.headers.push(("store-era".into(), self.lock().era.to_string()));
        response
    }

    fn respond_at_once(
        &self,
        method: &str,
        kind: &str,
        name: Option<&str>,
        query: &str,
        body: &[u8],
    ) -> HttpMessage {
        let mut state = self.lock();
        if state.is_away {
            return status("503 Service Unavailable");
        }
        let body = String::from_utf8_lossy(body);
        let key = |name: &str| (kind.to_owned(), name.to_owned());
        let response = match (method, name) {
            ("GET", None) => state.contents.list(kind, field(query, "after").unwrap_or("")),
            ("GET", Some(name)) => match state.contents.objects.get(&key(name)) {
                Some((revision, spec)) => json(&object(name, *revision, spec)),
                None => status("404 Not Found"),
            },
            ("POST", None) => match (member(&body, "name"), member(&body, "spec")) {
                (Some(name), Some(spec)) => {
                    let name = name.trim_matches('"');
                    match state.contents.objects.contains_key(&key(name)) {
                        true => status("409 Conflict"),
                        false => json(&state.contents.put(kind, name, spec)),
                    }
                }
                _ => status("400 Bad Request"),
            },
            ("PUT", Some(name)) => match member(&body, "spec") {
                Some(_) if !state.contents.objects.contains_key(&key(name)) => {
                    status("404 Not Found")
                }
                Some(spec) => json(&state.contents.put(kind, name, spec)),
                None => status("400 Bad Request"),
            },
            ("DELETE", Some(name)) => match state.contents.remove(kind, name) {
                true => json("{}"),
                false => status("404 Not Found"),
            },
            _ => status("400 Bad Request"),
        };
        drop(state);
        self.changed.notify_all();
        response
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> HttpMessage {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.is_away {
                return status("503 Service Unavailable");
            }
            let contents = &state.contents;
            if after < state.oldest || after > contents.revision {
                return status("410 Gone");
            }
            let later = contents.history.iter().filter(|(at, of, _)| *at > after && of == kind);
            let events: Vec<&str> = later.map(|(_, _, event)| event.as_str()).collect();
            let remaining = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let (events, at) = (events.join(","), contents.revision);
                return json(&format!(r#"{{"events":[{events}],"at":{at}}}"#));
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.expect("no thread panics while it holds the store").0;
        }
    }
}

impl StoreContents {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known)) = self.objects.get(&key)
            && known == spec
        {
            return object(name, *revision, spec);
        }
        self.revision += 1;
        self.objects.insert(key, (self.revision, spec.to_owned()));
        let object = object(name, self.revision, spec);
        self.record(kind, &object, false);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let removed = self.objects.remove(&(kind.to_owned(), name.to_owned()));
        let Some((_, spec)) = removed else { return false };
        self.revision += 1;
        let object = object(name, self.revision, &spec);
        self.record(kind, &object, true);
        true
    }

    fn record(&mut self, kind: &str, object: &str, gone: bool) {
        let event = format!(r#"{{"gone":{gone},"object":{object}}}"#);
        self.history.push((self.revision, kind.to_owned(), event));
    }

    fn list(&self, kind: &str, after: &str) -> HttpMessage {
        let listed =
            self.objects.iter().filter(|((of, name), _)| of == kind && name.as_str() > after);
        let items: Vec<String> =
            listed.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
        let (items, at) = (items.join(","), self.revision);
        json(&format!(r#"{{"items":[{items}],"more":false,"at":{at}}}"#))
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"made":{revision},"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

fn status(status: &str) -> HttpMessage {
    HttpMessage::new(&format!("HTTP/1.1 {status}"), &[], "")
}

fn json(body: &str) -> HttpMessage {
    HttpMessage::new("HTTP/1.1 200 OK", &[("content-type", "application/json")], body)
}

fn field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.filter(|(known, _)| *known == name).map(|(_, value)| value).next()
}

/// Returns the JSON text of the first member with this name, without decoding it.
fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = &text[start..];
    let (mut depth, mut quoted, mut escaped) = (0, false, false);
    for (index, sign) in rest.char_indices() {
        match sign {
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '"' => quoted = !quoted,
            _ if quoted => {}
            '{' | '[' => depth += 1,
            ',' if depth == 0 => return Some(&rest[..index]),
            '}' | ']' if depth == 0 => return Some(&rest[..index]),
            '}' | ']' => depth -= 1,
            _ => {}
        }
    }
    Some(rest)
}
