//! Silence within the response to one request. Its caller asks the stand-in replica for it in a
//! header, so that every replica that runs the request is silent.

use std::time::Duration;

use http::HeaderName;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use switchfold_platform_standin::{ReceivedRequest, Reply};

/// Request header that asks for a silence.
pub const SILENCE: HeaderName = HeaderName::from_static("x-soak-silence");

/// Range of the duration of a silence, in milliseconds.
pub const SILENCE_MS: std::ops::Range<u64> = 300..2_000;

/// Number of bytes of a response after which it may be silent: the length of a stream of the
/// replica, and of a response of the plain service.
const STREAM_BYTES: usize = 2_000;
const PLAIN_BYTES: usize = 150;

/// How the end of a response's body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// By its declared length, or as the replica usually does.
    Declared,
    /// By the last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// A silence that a caller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestedSilence {
    /// Framing of the body of a plain response.
    pub framing: BodyFraming,
    /// Number of bytes after which the response is silent; 0 is before the head.
    pub after_bytes: usize,
    /// Duration of the silence.
    pub pause: Duration,
}

impl RequestedSilence {
    /// Draws a silence before the head of a response, within it, or within its body.
    pub fn draw(random: &mut ChaCha8Rng, is_stream: bool) -> Self {
        let framings = [BodyFraming::Declared, BodyFraming::Chunked, BodyFraming::UntilClose];
        let max_bytes = if is_stream { STREAM_BYTES } else { PLAIN_BYTES };
        let is_before_head = random.random_range(0..4) == 0;
        let after_bytes = random.random_range(1..max_bytes);
        Self {
            framing: framings[random.random_range(0..framings.len())],
            after_bytes: if is_before_head { 0 } else { after_bytes },
            pause: Duration::from_millis(random.random_range(SILENCE_MS)),
        }
    }

    /// Returns the value of the header [`SILENCE`].
    pub fn encode(&self) -> String {
        let framing = match self.framing {
            BodyFraming::Declared => "declared",
            BodyFraming::Chunked => "chunked",
            BodyFraming::UntilClose => "until-close",
        };
        format!("{framing} {} {}", self.after_bytes, self.pause.as_millis())
    }

    /// Returns the silence that a request asks for.
    pub fn of_request(request: &ReceivedRequest) -> Option<Self> {
        let mut words = request.header(SILENCE.as_str())?.split(' ');
        let framing = match words.next()? {
            "chunked" => BodyFraming::Chunked,
            "until-close" => BodyFraming::UntilClose,
            _ => BodyFraming::Declared,
        };
        let after_bytes = words.next()?.parse().ok()?;
        let pause = Duration::from_millis(words.next()?.parse().ok()?);
        Some(Self { framing, after_bytes, pause })
    }

    /// Returns the reply with the framing and the silence.
    pub fn apply(&self, reply: Reply) -> Reply {
        let reply = match reply {
            Reply::BytesLater(pause, bytes) => {
                let pauses = vec![(0, pause), (self.after_bytes, self.pause)];
                return Reply::Paused(Box::new(self.reframe(bytes)), pauses);
            }
            other => other,
        };
        Reply::Paused(Box::new(reply), vec![(self.after_bytes, self.pause)])
    }

    fn reframe(&self, bytes: Vec<u8>) -> Reply {
        if self.framing == BodyFraming::Declared {
            return Reply::Bytes(bytes);
        }
        let text = String::from_utf8_lossy(&bytes);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let lines = head.lines().filter(|line| !line.starts_with("Content-Length"));
        let head: Vec<&str> = lines.collect();
        let head = head.join("\r\n");
        let (first, rest) = body.split_at(body.len() / 2);
        match self.framing {
            BodyFraming::Chunked => {
                let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
                let body = format!("{}{}0\r\n\r\n", chunk(first), chunk(rest));
                let head = format!("{head}\r\nTransfer-Encoding: chunked\r\n\r\n");
                Reply::Bytes((head + &body).into_bytes())
            }
            _ => {
                let head = format!("{head}\r\nConnection: close\r\n\r\n");
                Reply::BytesThenClose((head + body).into_bytes())
            }
        }
    }
}
