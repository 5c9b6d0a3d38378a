//! Replicas of a plain service and of a model, each a process of its own.
//!
//! A replica prints its address, and a line at the start and at the end of each run. Unless it is one
//! with chunks, its answers have neither a length nor chunks: they end with their connection.

use std::{
    fmt::Write as _,
    io::{self, BufReader, Write},
    net::{TcpListener, TcpStream},
    process::{self, Command},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::http::{MessageHead, read_body, read_head, write_response};

/// Number of pieces of an answer of the plain service.
pub const PLAIN_PIECES: u64 = 10;

/// Pause between two pieces of an answer of the plain service, in milliseconds.
const PLAIN_PAUSE_MS: u64 = 20;

/// Number of events of a stream.
pub const STREAM_EVENTS: u64 = 40;

/// Pause between two events of a stream, in milliseconds.
const STREAM_PAUSE_MS: u64 = 50;

/// Number of layers of the model; each engine holds all of them.
pub const LAYERS: u64 = 8;

/// Returns a piece of the answer of the plain service to a request.
fn plain_piece(attempt_id: &str, number: u64) -> String {
    format!("{attempt_id} line {number} of the receipt: lot 17, walleye, 40 boxes, paid in full\n")
}

/// Returns the whole answer of the plain service to a request.
pub fn whole_answer(attempt_id: &str) -> String {
    (0..PLAIN_PIECES).map(|number| plain_piece(attempt_id, number)).collect()
}

/// Id of the prompt part that ends an engine, if it is one that can be ended.
pub const DEADLY_PART: &str = "5c1e07a2";

/// What an engine does that begins to write an answer to a prompt with [`DEADLY_PART`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeadlyEnd {
    /// It goes on.
    None,
    /// It is killed.
    Kill,
    /// It goes dark: it stands still until it is killed.
    Dark,
}

impl DeadlyEnd {
    /// Returns the end of this name.
    pub fn parse(name: &str) -> Self {
        match name {
            "kill" => Self::Kill,
            "dark" => Self::Dark,
            _ => Self::None,
        }
    }

    /// Returns its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Kill => "kill",
            Self::Dark => "dark",
        }
    }
}

/// What a replica is, and how its answers end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaKind {
    /// One of the plain service, whose answers end with their connection.
    Plain,
    /// An engine, whose streams end with their connection.
    Engine,
    /// An engine, whose streams have chunks.
    ChunkedEngine,
}

impl ReplicaKind {
    /// Returns the kind of this name.
    pub fn parse(name: &str) -> Self {
        match name {
            "engine" => Self::Engine,
            "chunked-engine" => Self::ChunkedEngine,
            _ => Self::Plain,
        }
    }

    /// Returns its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Engine => "engine",
            Self::ChunkedEngine => "chunked-engine",
        }
    }

    fn is_engine(self) -> bool {
        self != Self::Plain
    }
}

/// A replica that serves requests.
struct Replica {
    id: String,
    kind: ReplicaKind,
    deadly_end: DeadlyEnd,
}

/// Serves requests until the process is killed.
pub fn run(id: &str, kind: ReplicaKind, deadly_end: DeadlyEnd) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    report(&format!("listen {}", listener.local_addr()?));
    let replica = Arc::new(Replica { id: id.to_owned(), kind, deadly_end });
    for stream in listener.incoming().flatten() {
        let replica = replica.clone();
        thread::spawn(move || replica.serve(stream));
    }
    Ok(())
}

/// Prints a line at once. The process that started the replica reads them.
fn report(line: &str) {
    let mut output = io::stdout().lock();
    // Without a reader the replica is about to be killed.
    let _ended = writeln!(output, "{line}").and_then(|()| output.flush());
}

impl Replica {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let (_body, end) = read_body(&mut reader, &head, false);
            end?;
            match (head.word(0), head.word(1), head.header("x-attempt-id")) {
                ("GET", "/report", _) if self.kind.is_engine() => {
                    let json = [("Content-Type", "application/json")];
                    write_response(&mut writer, 200, &json, &engine_report())?;
                }
                ("POST", "/order", _) if self.kind.is_engine() => {
                    write_response(&mut writer, 200, &[], "")?;
                }
                ("GET", "/healthz", _) => {
                    write_response(&mut writer, 200, &[("X-Replica-Id", &self.id)], "")?;
                }
                (_, _, None) => {
                    write_response(&mut writer, 400, &[("X-Not-Executed", "1")], "")?;
                }
                (_, _, Some(id)) if head.header("x-expect-replica") != Some(&self.id) => {
                    let headers = [("X-Attempt-Id", id), ("X-Not-Executed", "1")];
                    write_response(&mut writer, 421, &headers, "")?;
                }
                (_, _, Some(id)) => return self.run_request(&mut writer, &head, id),
            }
        }
        Ok(())
    }

    /// Runs a request. Its answer ends with the connection.
    fn run_request(&self, writer: &mut TcpStream, head: &MessageHead, id: &str) -> io::Result<()> {
        report(&format!("run {id} {} {}", head.word(1), head.header("x-tenant").unwrap_or("-")));
        let parts = head.header("x-prompt-prefix").unwrap_or_default();
        let is_deadly = self.deadly_end != DeadlyEnd::None && parts.contains(DEADLY_PART);
        let content_type = if self.kind.is_engine() { "text/event-stream" } else { "text/plain" };
        let mut text = "HTTP/1.1 200 OK\r\nConnection: close\r\n".to_owned();
        if self.kind == ReplicaKind::ChunkedEngine {
            text += "Transfer-Encoding: chunked\r\n";
        }
        let _fits = write!(
            text,
            "Content-Type: {content_type}\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: seal.{}.{id}\r\n\r\n",
            self.id
        );
        if is_deadly {
            writer.write_all((text + &self.framed(&event(0))).as_bytes())?;
            return self.end_process();
        }
        let answered =
            writer.write_all(text.as_bytes()).and_then(|()| match self.kind.is_engine() {
                true => self.write_events(writer, head),
                false => write_pieces(writer, id),
            });
        report(&format!("end {id} {}", if answered.is_ok() { "whole" } else { "caller left" }));
        answered
    }
}

impl Replica {
    /// Returns a part of a stream as it is written.
    fn framed(&self, part: &str) -> String {
        match self.kind {
            ReplicaKind::ChunkedEngine => format!("{:x}\r\n{part}\r\n", part.len()),
            ReplicaKind::Plain | ReplicaKind::Engine => part.to_owned(),
        }
    }

    /// Writes the events after the last one that the caller has. Each is written at once.
    fn write_events(&self, writer: &mut TcpStream, head: &MessageHead) -> io::Result<()> {
        let last = head.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
        for number in last.map_or(0, |last| last + 1)..STREAM_EVENTS {
            writer.write_all(self.framed(&event(number)).as_bytes())?;
            thread::sleep(Duration::from_millis(STREAM_PAUSE_MS));
        }
        // The last chunk is empty.
        if self.kind == ReplicaKind::ChunkedEngine {
            writer.write_all(self.framed("").as_bytes())?;
        }
        Ok(())
    }

    /// Ends this process as a deadly request does.
    fn end_process(&self) -> io::Result<()> {
        let signal = if self.deadly_end == DeadlyEnd::Dark { "STOP" } else { "KILL" };
        let command = format!("kill -{signal} {}", process::id());
        Command::new("sh").args(["-c", &command]).status()?;
        loop {
            thread::sleep(Duration::from_secs(1));
        }
    }
}

fn write_pieces(writer: &mut TcpStream, id: &str) -> io::Result<()> {
    for number in 0..PLAIN_PIECES {
        writer.write_all(plain_piece(id, number).as_bytes())?;
        thread::sleep(Duration::from_millis(PLAIN_PAUSE_MS));
    }
    Ok(())
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

fn engine_report() -> String {
    format!(
        r#"{{"phase":"both","models":[],"utilization":false,"call_seq":0,"queued":0,"running":0,"kv_used":10,"kv_total":100000,"sessions":0,"pace":1.0,"stalled":[],"layers":{{"from":0,"target_version":{LAYERS},"version":1}}}}"#
    )
}
