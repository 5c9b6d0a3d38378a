//! Clients that send requests one after the other, each on a connection of its own.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::http::{self, ClientAnswer};

/// Time for which a client waits for an answer, in milliseconds.
const CLIENT_DEADLINE_MS: u64 = 20_000;

/// Pause of a client after each request, in milliseconds.
const CLIENT_PAUSE_MS: u64 = 10;

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Attempt id.
    pub id: String,
    /// Path.
    pub path: String,
    /// Time at which it was sent, from the start of the clients.
    pub sent: Duration,
    /// What the client received.
    pub answer: ClientAnswer,
}

impl Exchange {
    /// Describes it in one line.
    pub fn describe(&self) -> String {
        let ClientAnswer { status, body, broken, .. } = &self.answer;
        let end = broken.as_deref().unwrap_or("complete");
        let sent = self.sent.as_millis();
        format!("{sent} ms {} {}: {status}, {} bytes, {end}", self.id, self.path, body.len())
    }
}

/// Prompt of a sound request: parts and their tokens. The first one is shared by all.
pub const SOUND_PROMPT: &str = "91bd3f06:40,e4402b7d:60";

/// Sends one request with a sound prompt, and with an API key if there is one.
pub fn send(
    relay: SocketAddr,
    id: &str,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &[u8],
) -> ClientAnswer {
    send_prompt(relay, id, method, path, key, SOUND_PROMPT, body)
}

/// Sends one request, with an API key if there is one.
pub fn send_prompt(
    relay: SocketAddr,
    id: &str,
    method: &str,
    path: &str,
    key: Option<&str>,
    prompt: &str,
    body: &[u8],
) -> ClientAnswer {
    let key = key.map(|key| format!("Bearer {key}"));
    let deadline = CLIENT_DEADLINE_MS.to_string();
    let mut headers = vec![
        ("Host", "sample.example"),
        ("X-Attempt-Id", id),
        ("X-Deadline-Ms", &deadline),
        ("X-Model", "m"),
        ("X-Token-Usage", "100,80"),
        ("X-Prompt-Prefix", prompt),
    ];
    headers.extend(key.iter().map(|key| ("Authorization", key.as_str())));
    http::call(relay, method, path, &headers, body, Duration::from_millis(CLIENT_DEADLINE_MS))
}

/// Clients that run until they are stopped.
pub struct ClientGroup {
    began: Instant,
    stopping: Arc<AtomicBool>,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
    threads: Vec<JoinHandle<()>>,
}

impl ClientGroup {
    /// Creates a group without clients.
    pub fn new() -> Self {
        let (stopping, exchanges) = Default::default();
        Self { began: Instant::now(), stopping, exchanges, threads: Vec::new() }
    }

    /// Returns the time since the start of the group.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Adds a client of a relay.
    pub fn add(&mut self, relay: SocketAddr, method: &'static str, path: &'static str, key: &str) {
        let (stopping, exchanges) = (self.stopping.clone(), self.exchanges.clone());
        let (client, began, key) = (self.threads.len(), self.began, key.to_owned());
        self.threads.push(thread::spawn(move || {
            let mut number = 0;
            while !stopping.load(Ordering::Relaxed) {
                number += 1;
                let (id, sent) = (format!("{client:08x}{number:08x}"), began.elapsed());
                let answer = send(relay, &id, method, path, Some(&key), b"");
                let exchange = Exchange { id, path: path.to_owned(), sent, answer };
                exchanges.lock().expect("no client panics").push(exchange);
                thread::sleep(Duration::from_millis(CLIENT_PAUSE_MS));
            }
        }));
    }

    /// Waits until all clients have their last answers, and returns what was sent.
    pub fn stop(self) -> Vec<Exchange> {
        self.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no client panics");
        }
        let mut exchanges = self.exchanges.lock().expect("no client panics").clone();
        exchanges.sort_by_key(|exchange| exchange.sent);
        exchanges
    }
}
