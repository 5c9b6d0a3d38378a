//! HTTP/1.1 messages over blocking sockets: as much of them as the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Time for which a client waits for a new connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct MessageHead {
    /// The words of its first line.
    pub first_line: Vec<String>,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl MessageHead {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line, or an empty text.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.get(index).map_or("", String::as_str)
    }
}

/// Reads a head. Returns `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<MessageHead>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first_line = line.split_whitespace().map(str::to_owned).collect();
    let mut head = MessageHead { first_line, headers: Vec::new() };
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some(head))
}

/// Reads a body to its end as the head declares it.
///
/// An error is returned with what was read before. A body without a length and without chunks ends
/// with the connection if `until_close` is set, and is empty otherwise.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &MessageHead,
    until_close: bool,
) -> (Vec<u8>, io::Result<()>) {
    let mut body = Vec::new();
    let length = head.header("content-length").and_then(|length| length.parse().ok());
    let result = match (head.header("transfer-encoding"), length) {
        (Some(_), _) => read_chunks(reader, &mut body),
        (None, Some(length)) => read_exactly(reader, length, &mut body),
        (None, None) if until_close => reader.read_to_end(&mut body).map(drop),
        (None, None) => Ok(()),
    };
    (body, result)
}

fn read_exactly(reader: &mut impl Read, length: u64, body: &mut Vec<u8>) -> io::Result<()> {
    let read = reader.take(length).read_to_end(body)? as u64;
    if read < length { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = u64::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        read_exactly(reader, size, body)?;
        line.clear();
        reader.read_line(&mut line)?;
        if line != "\r\n" {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if size == 0 {
            return Ok(());
        }
    }
}

/// What a client received.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// Status; 0 if there was no answer.
    pub status: u16,
    /// Head of the answer.
    pub head: MessageHead,
    /// Body, as far as it was received.
    pub body: Vec<u8>,
    /// Why the answer is not complete; `None` if it is, as its head declares it.
    pub broken: Option<String>,
}

impl ClientAnswer {
    fn without_answer(why: &io::Error) -> Self {
        let broken = Some(why.to_string());
        Self { status: 0, head: MessageHead::default(), body: Vec::new(), broken }
    }

    /// Returns whether it is a success that carries a replica's signature and is complete.
    pub fn is_complete_success(&self) -> bool {
        let is_signed = self.head.header("x-replica-seal").is_some();
        (200..300).contains(&self.status) && is_signed && self.broken.is_none()
    }
}

/// Sends a request on a connection of its own and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> ClientAnswer {
    exchange(address, method, path, headers, body, timeout)
        .unwrap_or_else(|error| ClientAnswer::without_answer(&error))
}

fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<ClientAnswer> {
    let mut stream =
        TcpStream::connect_timeout(&address, Duration::from_millis(CONNECT_TIMEOUT_MS))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    stream.write_all(&[text.as_bytes(), body].concat())?;
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let (body, end) = read_body(&mut reader, &head, true);
    let status = head.word(1).parse().unwrap_or_default();
    Ok(ClientAnswer { status, head, body, broken: end.err().map(|error| error.to_string()) })
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    stream.write_all(format!("{text}\r\n{body}").as_bytes())
}
