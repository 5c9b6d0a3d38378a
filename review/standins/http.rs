//! HTTP/1.1 as far as the stand-ins need it: one message at a time, over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Maximum size of a line or a body, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// Request line or status line.
    pub start: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Creates a message.
    pub fn new(start: &str, headers: &[(&str, &str)], body: &str) -> Self {
        let headers = headers.iter().map(|(name, value)| ((*name).into(), (*value).into()));
        Self { start: start.into(), headers: headers.collect(), body: body.into() }
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the start line, or an empty text.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Writes the message with its length.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut text = format!("{}\r\n", self.start);
        for (name, value) in &self.headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("content-length: {}\r\n\r\n", self.body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        stream.write_all(&bytes)
    }

    /// Reads a message. Returns `None` if the connection ends before its first byte.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends within the message, or if the message is malformed.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let Some(start) = read_line(reader)? else { return Ok(None) };
        let mut message = Self { start, ..Self::default() };
        loop {
            let line = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or(ErrorKind::InvalidData)?;
            message.headers.push((name.trim().to_lowercase(), value.trim().into()));
        }
        message.body = message.read_body(reader)?;
        Ok(Some(message))
    }

    fn read_body(&self, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
        if self.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            return read_chunks(reader);
        }
        let length = self.header("content-length").map_or(Ok(0), str::parse);
        let length = length.map_err(|_| ErrorKind::InvalidData)?;
        read_exactly(reader, length)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    reader.by_ref().take(MAX_BYTES as u64).read_until(b'\n', &mut line)?;
    match line.pop() {
        None => Ok(None),
        Some(b'\n') => {
            let line = String::from_utf8(line).map_err(|_| ErrorKind::InvalidData)?;
            Ok(Some(line.trim_end_matches('\r').into()))
        }
        Some(_) => Err(ErrorKind::UnexpectedEof.into()),
    }
}

fn read_exactly(reader: &mut impl BufRead, length: usize) -> io::Result<Vec<u8>> {
    if length > MAX_BYTES {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes)?;
    Ok(bytes)
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
        body.extend(read_exactly(reader, length)?);
        read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        if length == 0 {
            return Ok(body);
        }
    }
}

/// Sends a request over a new connection and reads the complete response.
///
/// # Errors
///
/// Fails if the connection ends, or `timeout` passes, before the response is complete.
pub fn call(
    address: SocketAddr,
    request: &HttpMessage,
    timeout: Duration,
) -> io::Result<HttpMessage> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT.min(timeout))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    request.write(&mut stream)?;
    let response = HttpMessage::read(&mut BufReader::new(stream))?;
    response.ok_or(ErrorKind::UnexpectedEof.into())
}

/// Interval at which a server looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// Serves requests at a free loopback port until `has_ended` is set; returns the address. A handler
/// that returns `None` closes the connection.
///
/// # Errors
///
/// Fails if no port is free.
pub fn serve(
    has_ended: Arc<AtomicBool>,
    handler: impl Fn(HttpMessage) -> Option<HttpMessage> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        while !has_ended.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, handler.as_ref()));
        }
    });
    Ok(address)
}

fn serve_connection(
    stream: TcpStream,
    handler: &dyn Fn(HttpMessage) -> Option<HttpMessage>,
) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(request) = HttpMessage::read(&mut reader)? {
        let Some(response) = handler(request) else { break };
        response.write(&mut stream)?;
    }
    Ok(())
}
