//! The platform's store: objects by kind and name, lists and watches. It loses nothing and answers
//! every call.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::http::{MessageHead, read_body, read_head, write_response};

/// Time that the store takes for an answer, in milliseconds.
const ANSWER_TIME_MS: u64 = 4;

/// A change, as a watch reports it.
struct StoredChange {
    revision: u64,
    kind: String,
    event: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Revision of the last change and contents, by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    changes: Vec<StoredChange>,
}

/// The store; clones share its objects.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<StoreState>, Condvar)>);

impl Store {
    /// Starts the store at a free loopback port, and returns it with its address.
    pub fn start() -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Self::default();
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Creates or replaces an object. Contents that do not change get no new revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state();
        let key = (kind.to_owned(), name.to_owned());
        if state.objects.get(&key).is_some_and(|(_, known)| known == spec) {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert(key, (revision, spec.to_owned()));
        self.record(&mut state, kind, false, &object(name, revision, spec));
    }

    /// Removes an object; returns whether it existed.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = self.state();
        let Some((_, spec)) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        state.revision += 1;
        let text = object(name, state.revision, &spec);
        self.record(&mut state, kind, true, &text);
        true
    }

    fn record(&self, state: &mut StoreState, kind: &str, gone: bool, object: &str) {
        let event = format!(r#"{{"gone":{gone},"object":{object}}}"#);
        state.changes.push(StoredChange { revision: state.revision, kind: kind.to_owned(), event });
        self.0.1.notify_all();
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.0.0.lock().expect("no thread panics while it holds the store")
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let (body, end) = read_body(&mut reader, &head, false);
            end?;
            thread::sleep(Duration::from_millis(ANSWER_TIME_MS));
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            write_response(&mut writer, status, &[("Content-Type", "application/json")], &text)?;
        }
        Ok(())
    }

    fn answer(&self, head: &MessageHead, body: &str) -> (u16, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let path = path.strip_prefix("/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').map_or((path, None), |(k, n)| (k, Some(n)));
        match (head.word(0), name.map(unescape)) {
            ("GET", None) => (200, self.read(kind, query)),
            ("GET", Some(name)) => self.read_one(kind, &name),
            ("POST", None) => self.create(kind, body),
            ("PUT", Some(name)) => {
                self.put(kind, &name, spec_of(body));
                (200, "{}".to_owned())
            }
            ("DELETE", Some(name)) if self.remove(kind, &name) => (200, "{}".to_owned()),
            ("DELETE", Some(_)) => (404, "{}".to_owned()),
            _ => (400, "{}".to_owned()),
        }
    }

    fn create(&self, kind: &str, body: &str) -> (u16, String) {
        let name = body.split(r#""name":""#).nth(1).and_then(|rest| rest.split('"').next());
        let Some(name) = name else { return (400, "{}".to_owned()) };
        if self.state().objects.contains_key(&(kind.to_owned(), name.to_owned())) {
            return (409, "{}".to_owned());
        }
        self.put(kind, name, spec_of(body));
        (200, "{}".to_owned())
    }

    fn read_one(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.state();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => (200, object(name, *revision, spec)),
            None => (404, "{}".to_owned()),
        }
    }

    fn read(&self, kind: &str, query: &str) -> String {
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let wait = field("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or_default();
        match field("watch").and_then(|after| after.parse().ok()) {
            Some(after) => self.watch(kind, after, Duration::from_millis(wait)),
            None => self.list(kind, &unescape(&field("after").unwrap_or_default())),
        }
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state();
        let listed = state.objects.iter().filter(|((of, name), _)| of == kind && &**name > after);
        let items: Vec<String> =
            listed.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
        let (items, at) = (items.join(","), state.revision);
        format!(r#"{{"items":[{items}],"more":false,"at":{at}}}"#)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut state = self.state();
        loop {
            let new = state.changes.iter().filter(|change| change.revision > after);
            let events: Vec<&str> =
                new.filter(|change| change.kind == kind).map(|change| &*change.event).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return format!(r#"{{"events":[{events}],"at":{at}}}"#);
            }
            state = self.0.1.wait_timeout(state, left).expect("no thread panics").0;
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"made":0,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

/// Returns the contents in a write, whose last member they are.
fn spec_of(body: &str) -> &str {
    let start = body.find(r#""spec":"#).map_or(body.len(), |at| at + r#""spec":"#.len());
    body[start..].trim_end().strip_suffix('}').unwrap_or("null")
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|hex| u8::from_str_radix(hex, 16).ok()).filter(|_| byte == b'%') {
            Some(decoded) => {
                bytes.push(decoded);
                rest = &tail[2..];
            }
            None => {
                bytes.push(byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
