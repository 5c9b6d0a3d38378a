//! Draws silences of a server, and the rests and pauses that its limits allow callers, beside a
//! shutdown.
//!
//! A request that was read whole has exactly one end: its whole response. One that was not read may be
//! lost only on a connection that a shutdown closes, or whose last response announced its close.

use std::{
    convert::Infallible,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, channel::Channel};
use hyper::body::Incoming;
use proptest::{collection::vec, option, prelude::*};
use switchfold_kernel::{
    connection::{ConnectionLimits, ShutdownDelays, serve_connection},
    shutdown::ShutdownSignal,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    runtime::Builder,
    time::sleep,
};

const DELAYS: ShutdownDelays =
    ShutdownDelays { after_signal: Duration::from_secs(1), idle: Duration::from_secs(1) };

/// Longest silence of the server, in milliseconds.
const MAX_SILENCE_MS: u64 = 2_000;

/// Longest pause of a caller within a request, in milliseconds.
const MAX_PART_PAUSE_MS: u64 = 2_400;

/// Time for the headers of a request, in milliseconds: callers keep within it.
const HEADER_TIMEOUT_MS: u64 = 2_500;

/// Longest rest of a caller's connection, in percent of its idle limit.
const MAX_REST_PERCENT: u32 = 80;

/// A request, and how it is sent and answered.
#[derive(Clone, Debug)]
struct CallPlan {
    rest_percent: u32,
    /// Number of bytes after which the request pauses.
    part_len: usize,
    part_pause_ms: u64,
    has_chunked_body: bool,
    /// Whether it is sent before the response to the request before it was read.
    is_sent_ahead: bool,
    head_silence_ms: u64,
    body_silence_ms: u64,
    /// Whether the response declares its length.
    has_length: bool,
}

impl CallPlan {
    fn request(&self) -> String {
        let length = if self.has_length { "length" } else { "chunks" };
        let target = format!("/{}/{}/{length}", self.head_silence_ms, self.body_silence_ms);
        let (framing, body) = match self.has_chunked_body {
            true => ("transfer-encoding: chunked", "4\r\nques\r\n4\r\ntion\r\n0\r\n\r\n"),
            false => ("content-length: 8", "question"),
        };
        format!("POST {target} HTTP/1.1\r\nhost: server\r\n{framing}\r\n\r\n{body}")
    }
}

fn call_plan() -> impl Strategy<Value = CallPlan> {
    let sending = (0..=MAX_REST_PERCENT, 1..100_usize, 0..=MAX_PART_PAUSE_MS, any::<bool>());
    let answer = (0..=MAX_SILENCE_MS, 0..=MAX_SILENCE_MS, any::<bool>());
    (sending, proptest::bool::weighted(0.2), answer).prop_map(|(sending, is_sent_ahead, answer)| {
        let (rest_percent, part_len, part_pause_ms, has_chunked_body) = sending;
        let (head_silence_ms, body_silence_ms, has_length) = answer;
        CallPlan {
            rest_percent,
            part_len,
            part_pause_ms,
            has_chunked_body,
            is_sent_ahead,
            head_silence_ms,
            body_silence_ms,
            has_length,
        }
    })
}

/// Reads the request whole, and responds with the silences and the framing that its path names.
async fn respond(
    request: Request<Incoming>,
    read_whole: Arc<AtomicUsize>,
    signal: ShutdownSignal,
) -> Result<Response<Channel<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let mut words = path.split('/').skip(1);
    let mut silence_ms = || words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
    let (before_head, within_body) = (silence_ms(), silence_ms());
    let has_length = path.ends_with("length");
    if request.into_body().collect().await.is_ok() {
        read_whole.fetch_add(1, Ordering::Relaxed);
    }
    sleep(Duration::from_millis(before_head)).await;
    let (mut sender, body) = Channel::new(1);
    tokio::spawn(async move {
        let _caller_may_have_gone = sender.send_data(Bytes::from_static(b"wh")).await;
        sleep(Duration::from_millis(within_body)).await;
        let _caller_may_have_gone = sender.send_data(Bytes::from_static(b"ole")).await;
    });
    let mut response = Response::new(body);
    if has_length {
        response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from_static("5"));
    }
    if signal.is_raised() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// The caller's side of a connection.
struct Caller {
    stream: DuplexStream,
    received: String,
    is_closing: bool,
}

impl Caller {
    /// Reads one response; returns whether it was whole.
    async fn read_response(&mut self) -> bool {
        loop {
            if let Some((head, body)) = self.received.split_once("\r\n\r\n") {
                let head = head.to_ascii_lowercase();
                let expected = match head.contains("transfer-encoding: chunked") {
                    true => "2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n",
                    false => "whole",
                };
                if let Some(rest) = body.strip_prefix(expected) {
                    self.is_closing = head.contains("connection: close");
                    self.received = rest.to_owned();
                    return true;
                }
            }
            let mut bytes = [0; 1_024];
            match self.stream.read(&mut bytes).await {
                Ok(count) if count > 0 => {
                    self.received.push_str(&String::from_utf8_lossy(&bytes[..count]));
                }
                _ => return false,
            }
        }
    }
}

async fn play(
    idle_ms: u64,
    plans: Vec<CallPlan>,
    stop_ms: Option<u64>,
) -> Result<(), TestCaseError> {
    let limits = ConnectionLimits {
        max_headers: None,
        max_header_bytes: 8_192,
        idle_timeout: Duration::from_millis(idle_ms),
        header_timeout: Duration::from_millis(HEADER_TIMEOUT_MS),
    };
    let (signal, read_whole) = (ShutdownSignal::new(), Arc::new(AtomicUsize::new(0)));
    let (stream, server) = duplex(1_024);
    let (served_signal, served_count) = (signal.clone(), read_whole.clone());
    tokio::spawn(async move {
        let stopping = served_signal.raised();
        let handler = |request| respond(request, served_count.clone(), served_signal.clone());
        serve_connection(server, |_| limits, DELAYS, stopping, handler).await
    });
    if let Some(stop_ms) = stop_ms {
        let signal = signal.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(stop_ms)).await;
            signal.raise();
        });
    }
    let mut caller = Caller { stream, received: String::new(), is_closing: false };
    let mut answered = 0;
    let mut plans = plans.into_iter().peekable();
    while let Some(plan) = plans.next() {
        let idle_time = Duration::from_millis(idle_ms);
        sleep(idle_time * plan.rest_percent / 100).await;
        let request = plan.request();
        let (first, rest) = request.split_at(plan.part_len.min(request.len() - 1));
        let mut sent = caller.stream.write_all(first.as_bytes()).await;
        sleep(Duration::from_millis(plan.part_pause_ms)).await;
        sent = sent.and(caller.stream.write_all(rest.as_bytes()).await);
        let mut sent_count = 1;
        while let Some(ahead) = plans.next_if(|next| next.is_sent_ahead) {
            sent = sent.and(caller.stream.write_all(ahead.request().as_bytes()).await);
            sent_count += 1;
        }
        for _ in 0..sent_count {
            if !caller.is_closing && caller.read_response().await {
                answered += 1;
                continue;
            }
            let may_close = signal.is_raised();
            prop_assert!(may_close, "closed after {answered} responses, {sent:?}: {plan:?}");
            prop_assert_eq!(read_whole.load(Ordering::Relaxed), answered, "{:?}", plan);
            return Ok(());
        }
        if caller.is_closing {
            break;
        }
    }
    prop_assert_eq!(read_whole.load(Ordering::Relaxed), answered);
    prop_assert!(caller.received.is_empty(), "unasked: {:?}", caller.received);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against connections that end without a response to a request that keeps their limits.
    #[test]
    fn a_request_that_was_read_whole_has_one_end(
        idle_ms in prop::sample::select(vec![3_000_u64, 6_000, 15_000]),
        plans in vec(call_plan(), 1..5),
        stop_ms in option::of(0..20_000_u64),
    ) {
        let runtime = Builder::new_current_thread().enable_all().start_paused(true).build();
        runtime.expect("a runtime").block_on(play(idle_ms, plans, stop_ms))?;
    }
}
