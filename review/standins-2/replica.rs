//! Replicas of a plain service and of a model, each a process of its own.
//!
//! A replica prints its address, and a line at the start and at the end of each run. Its answers
//! have neither a length nor chunks: they end with their connection.

use std::{
    fmt::Write as _,
    io::{self, BufReader, Write},
    net::{TcpListener, TcpStream},
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

/// A replica that serves requests.
struct Replica {
    id: String,
    is_engine: bool,
}

/// Serves requests until the process is killed.
pub fn run(id: &str, is_engine: bool) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    report(&format!("listen {}", listener.local_addr()?));
    let replica = Arc::new(Replica { id: id.to_owned(), is_engine });
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
                ("GET", "/report", _) if self.is_engine => {
                    let json = [("Content-Type", "application/json")];
                    write_response(&mut writer, 200, &json, &engine_report())?;
                }
                ("POST", "/order", _) if self.is_engine => {
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
        let content_type = if self.is_engine { "text/event-stream" } else { "text/plain" };
        let mut text = "HTTP/1.1 200 OK\r\nConnection: close\r\n".to_owned();
        let _fits = write!(
            text,
            "Content-Type: {content_type}\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: seal.{}.{id}\r\n\r\n",
            self.id
        );
        let answered = writer.write_all(text.as_bytes()).and_then(|()| match self.is_engine {
            true => write_events(writer, head),
            false => write_pieces(writer, id),
        });
        report(&format!("end {id} {}", if answered.is_ok() { "whole" } else { "caller left" }));
        answered
    }
}

fn write_pieces(writer: &mut TcpStream, id: &str) -> io::Result<()> {
    for number in 0..PLAIN_PIECES {
        writer.write_all(plain_piece(id, number).as_bytes())?;
        thread::sleep(Duration::from_millis(PLAIN_PAUSE_MS));
    }
    Ok(())
}

/// Writes the events after the last one that the caller has. Each is written at once.
fn write_events(writer: &mut TcpStream, head: &MessageHead) -> io::Result<()> {
    let last = head.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
    for number in last.map_or(0, |last| last + 1)..STREAM_EVENTS {
        writer.write_all(format!("id: {number}\ndata: piece {number}\n\n").as_bytes())?;
        thread::sleep(Duration::from_millis(STREAM_PAUSE_MS));
    }
    Ok(())
}

fn engine_report() -> String {
    format!(
        r#"{{"phase":"both","models":[],"utilization":false,"call_seq":0,"queued":0,"running":0,"kv_used":10,"kv_total":100000,"sessions":0,"pace":1.0,"stalled":[],"layers":{{"from":0,"target_version":{LAYERS},"version":1}}}}"#
    )
}
