//! Responses to callers, and refusals that the relay itself responds with.

use std::pin::Pin;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderValue, Response, StatusCode, Version, header, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use switchfold_platform::headers::strip_hop_headers;
use switchfold_router::Millis;

/// Error of a response body that cannot be completed: the caller's connection is closed before the
/// end of the body, so that the caller does not take it for complete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("response body aborted")]
pub struct BodyAborted;

/// Body of every response.
pub type RelayBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyAborted>>>;

/// A response to a caller.
pub type RelayResponse = Response<RelayBody>;

/// Creates a body of bytes that are all known.
pub fn full_body(bytes: Bytes) -> RelayBody {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// Removes from the head of a replica's response what describes its connection to this relay: the
/// version, hop-by-hop headers and the length of the body. The connection to the caller has its own:
/// with the version 1.0, an aborted body would end like a complete one.
pub fn strip_framing(head: &mut response::Parts) {
    head.version = Version::HTTP_11;
    strip_hop_headers(&mut head.headers);
    head.headers.remove(header::CONTENT_LENGTH);
}

/// Why the relay responds to a request itself instead of forwarding a replica's response.
///
/// [`Display`](std::fmt::Display) gives the reason that logs and metrics carry.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Refusal {
    /// No configuration is known yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// The configuration is too old to accept a key or to deny that a route exists.
    #[display("stale-configuration")]
    StaleConfiguration,
    /// No route matches the host and path.
    #[display("no-route")]
    NoRoute,
    /// The key belongs to no organisation.
    #[display("unknown-key")]
    UnknownKey,
    /// The body is larger than allowed.
    #[display("body-too-large")]
    BodyTooLarge,
    /// The bodies of all requests together are larger than the relay has memory for.
    #[display("no-memory")]
    NoMemory,
    /// The body did not arrive completely.
    #[display("body-broken")]
    BodyTruncated,
    /// The relay shuts down before the request could complete here.
    #[display("stopping")]
    Stopping,
    /// No replica can run the request now.
    #[display("no-replica")]
    NoReplica,
    /// The request did not run, and no attempt is left.
    #[display("not-run")]
    NotRun,
    /// The request may have run, and there is no response.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// The deadline has passed, and the request may have run.
    #[display("timed-out")]
    TimedOut,
    /// The deadline has passed, and the request did not run.
    #[display("timed-out-unsent")]
    TimedOutUnsent,
    /// Every replica that could start the request has asked for a backoff or has no rate limit
    /// left for this many milliseconds.
    #[display("held-back")]
    Throttled(Millis),
    /// The request would start only after its caller has stopped waiting, and did not join the
    /// queue. Capacity is expected for it after this many milliseconds.
    #[display("overloaded")]
    Overloaded(Millis),
    /// The request crashed the replicas that ran it, and is sent to none for this many
    /// milliseconds.
    #[display("quarantined")]
    Quarantined(Millis),
    /// The task of the request panicked before the request was sent.
    #[display("internal-error")]
    Panicked,
}

impl Refusal {
    /// Returns this refusal, or [`OutcomeUnknown`](Self::OutcomeUnknown) if a replica may have run the
    /// request.
    pub fn unless_run(self, may_have_run: bool) -> Self {
        match may_have_run {
            true => Self::OutcomeUnknown,
            false => self,
        }
    }

    /// Returns the HTTP status of the response. 503 promises that the request did not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::StaleConfiguration
            | Self::NoMemory
            | Self::Stopping
            | Self::NoReplica
            | Self::NotRun
            | Self::TimedOutUnsent
            | Self::Throttled(_)
            | Self::Overloaded(_)
            | Self::Quarantined(_)
            | Self::Panicked => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTruncated => StatusCode::BAD_REQUEST,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the time after which a refused caller should retry, in milliseconds: at once if
    /// another relay can serve it, after the usual time to fill a gap in the layers if no replica
    /// can, and later during an outage of the store, so that callers do not retry into the same
    /// outage.
    pub fn retry_after(self) -> Millis {
        match self {
            Self::Stopping => 10,
            Self::NoReplica | Self::NotRun => 1_400,
            Self::StaleConfiguration => 1_500,
            // An earlier retry would be refused again.
            Self::Throttled(remaining)
            | Self::Overloaded(remaining)
            | Self::Quarantined(remaining) => remaining,
            _ => 700,
        }
    }

    /// Returns the delay in the `Retry-After` header of the response, in milliseconds; `None` if the
    /// response does not promise that the request did not run, and has no such header.
    pub fn told_delay(self) -> Option<Millis> {
        let did_not_run = self.status() == StatusCode::SERVICE_UNAVAILABLE;
        did_not_run.then(|| self.retry_after())
    }

    /// Returns the body of the response; empty unless the status alone would mislead the caller.
    fn explanation(self) -> &'static [u8] {
        match self {
            Self::Quarantined(_) => {
                b"this request ended the replicas that ran it before; it did not run now\n"
            }
            _ => b"",
        }
    }

    /// Builds the response. One that promises that the request did not run has a `Retry-After`
    /// header.
    pub fn response(self) -> RelayResponse {
        let mut response = Response::new(full_body(Bytes::from_static(self.explanation())));
        *response.status_mut() = self.status();
        if let Some(delay) = self.told_delay() {
            let seconds = format!("{:.3}", delay as f64 / 1_000.0);
            let value = HeaderValue::from_str(&seconds).expect("numbers are valid header values");
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}
