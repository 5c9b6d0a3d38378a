//! Answers that a relay gives itself.

use std::pin::Pin;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use switchfold_router::Millis;

/// A body broke off: the caller's connection is closed without its end.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("answer broke off")]
pub struct BodyAborted;

/// Body of every answer.
pub type RelayBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyAborted>>>;

/// An answer to a caller.
pub type RelayResponse = Response<RelayBody>;

/// Body of whole bytes.
pub fn full_body(bytes: Bytes) -> RelayBody {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// Why a request got an answer that no replica made.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Refusal {
    /// No configuration is known yet.
    #[display("no-configuration")]
    NoConfiguration,
    /// The configuration is too old to let keys in or to deny a route.
    #[display("stale-configuration")]
    StaleConfiguration,
    /// No route has this host and path.
    #[display("no-route")]
    NoRoute,
    /// No organisation holds the key.
    #[display("unknown-key")]
    UnknownKey,
    /// The body is larger than allowed.
    #[display("body-too-large")]
    BodyTooLarge,
    /// The body did not arrive whole.
    #[display("body-broken")]
    BodyTruncated,
    /// The relay stops too soon for it to end here.
    #[display("stopping")]
    Stopping,
    /// No replica can run it now.
    #[display("no-replica")]
    NoReplica,
    /// It did not run, and its attempts are used up.
    #[display("not-run")]
    NotRun,
    /// It may have run, and there is no answer.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// Its time is up, and it may have run.
    #[display("timed-out")]
    TimedOut,
    /// Its time is up, and it did not run.
    #[display("timed-out-unsent")]
    TimedOutUnsent,
    /// All replicas that could begin it want no requests of this relay for so many milliseconds more.
    #[display("held-back")]
    Throttled(Millis),
    /// The same request ended the replicas that ran it: for so many milliseconds more it is sent nowhere.
    #[display("quarantined")]
    Quarantined(Millis),
}

impl Refusal {
    /// Status that the caller gets.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration
            | Self::StaleConfiguration
            | Self::Stopping
            | Self::NoReplica
            | Self::NotRun
            | Self::TimedOutUnsent
            | Self::Throttled(_)
            | Self::Quarantined(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTruncated => StatusCode::BAD_REQUEST,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Time after which a refused caller should come back: at once where another relay serves it; after
    /// the usual time to close a gap in the layers; and not at once into the same outage of the store.
    pub fn retry_after(self) -> Millis {
        match self {
            Self::Stopping => 10,
            Self::NoReplica | Self::NotRun => 1_400,
            Self::StaleConfiguration => 1_500,
            // Sooner, it would be refused again.
            Self::Throttled(left) | Self::Quarantined(left) => left,
            _ => 700,
        }
    }

    /// What the answer says beside its status.
    fn explanation(self) -> &'static [u8] {
        match self {
            Self::Quarantined(_) => {
                b"this request ended the replicas that ran it before; it did not run now\n"
            }
            _ => b"",
        }
    }

    /// Builds the answer; one that promises that nothing ran tells when to come back.
    pub fn response(self) -> RelayResponse {
        let mut answer = Response::new(full_body(Bytes::from_static(self.explanation())));
        *answer.status_mut() = self.status();
        let promised = self.status() == StatusCode::SERVICE_UNAVAILABLE;
        if promised {
            let seconds = format!("{:.3}", self.retry_after() as f64 / 1_000.0);
            let value = HeaderValue::from_str(&seconds).expect("numbers are valid header values");
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
        answer
    }
}
