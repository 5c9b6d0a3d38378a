//! Callers: each request is sent once, over a connection of its own.

use std::{
    io::{BufReader, ErrorKind},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::{http::HttpMessage, record::RunRecord};

/// Time after its deadline for which a caller still waits, so that a late response is recorded.
const LATE_TIME: Duration = Duration::from_millis(1_000);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How a request ended, from the caller's view.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// A complete response arrived.
    Answered {
        /// Its status.
        status: u16,
    },
    /// The connection ended without a complete response.
    Cut,
    /// No connection could be opened.
    NotConnected,
    /// The connection stayed open and no complete response arrived.
    Unanswered,
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Attempt id.
    pub id: String,
    /// Name of the relay that it was sent to.
    pub relay: &'static str,
    /// Time at which its last byte was sent, in milliseconds.
    pub sent_at: u64,
    /// Time of its end, in milliseconds.
    pub ended_at: u64,
    /// How it ended.
    pub end: CallEnd,
}

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Attempt id.
    pub id: String,
    /// Method and path.
    pub target: &'static str,
    /// API key.
    pub key: &'static str,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: u64,
}

impl CallerRequest {
    /// Sends the request to a relay, and waits for its end.
    pub fn send(&self, relay: (&'static str, SocketAddr), record: &RunRecord) -> CallRecord {
        let (name, address) = relay;
        let Self { id, target, .. } = self;
        let sent_at = record.write(&format!("caller sends {id} ({target}) to {name}"));
        let (sent_at, end) = self.exchange(address, record).unwrap_or((sent_at, CallEnd::Cut));
        let ended_at = record.write(&format!("caller sees the end of {id}: {end:?}"));
        CallRecord { id: id.clone(), relay: name, sent_at, ended_at, end }
    }

    fn exchange(&self, address: SocketAddr, record: &RunRecord) -> std::io::Result<(u64, CallEnd)> {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else {
            return Ok((record.now(), CallEnd::NotConnected));
        };
        stream.set_nodelay(true)?;
        let deadline = Duration::from_millis(self.deadline_ms);
        stream.set_read_timeout(Some(deadline + LATE_TIME))?;
        let (deadline_ms, key) = (self.deadline_ms.to_string(), format!("Bearer {}", self.key));
        let headers = [
            ("Host", "desk.example"),
            ("X-Attempt-Id", self.id.as_str()),
            ("X-Deadline-Ms", &deadline_ms),
            ("Authorization", &key),
        ];
        HttpMessage::new(&format!("{} HTTP/1.1", self.target), &headers, "a request")
            .write(&mut stream)?;
        let sent_at = record.now();
        let mut reader = BufReader::new(stream);
        let end = match HttpMessage::read(&mut reader) {
            Ok(Some(response)) => CallEnd::Answered { status: response.status() },
            Err(error) if is_timeout(error.kind()) => CallEnd::Unanswered,
            Ok(None) | Err(_) => CallEnd::Cut,
        };
        Ok((sent_at, end))
    }
}

fn is_timeout(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
