//! One response of an engine to a stream request.

use std::{future::pending, rc::Rc};

use bytes::Bytes;
use futures_util::future::select_all;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::{
    events::EventFramer,
    headers::{ResponseHeaders, is_framed, read_response_headers},
};
use switchfold_router::{Millis, buffers::LengthKind, path::PathStage};

use crate::{
    admit::Permit, buffers::BufferShare, paths::PathReservation, pool::ActiveConnection,
    reachability::confirm_end, request::CallerRequest, run_tracker::RunTracker, state::Relay,
    stream::OpenStream,
};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// What a response has next.
pub(super) enum RunOutput {
    Bytes(Bytes),
    /// The response has ended after a complete event.
    End,
    /// The response broke off, for this reason.
    Broken(String),
}

/// The response of an engine, and the path over which it runs.
pub(super) struct StreamRun {
    body: Incoming,
    /// `None` once the response was read to its end or given up.
    connection: Option<ActiveConnection>,
    headers: ResponseHeaders,
    framer: EventFramer,
    /// Memory for the incomplete event.
    partial_event: BufferShare,
    pub(super) path: Vec<PathStage>,
    pub(super) reservation: PathReservation,
    pub(super) tracker: RunTracker,
    /// Permit under which it was sent.
    pub(super) permit: Permit,
    /// Time of the last bytes.
    pub(super) last_progress: Millis,
    /// Whether the head tells where the body ends.
    is_framed: bool,
    /// Whether an event of the response was complete.
    has_event: bool,
}

impl StreamRun {
    /// Creates the run of a stream that has been opened. `framer` continues after the event that it
    /// was opened after.
    pub(super) fn new(relay: &Relay, opened: OpenStream, framer: EventFramer) -> Self {
        Self {
            framer,
            partial_event: relay.buffers.share(LengthKind::Open),
            headers: read_response_headers(&opened.head.headers),
            is_framed: is_framed(&opened.head.headers),
            has_event: false,
            body: opened.body,
            connection: Some(opened.connection),
            path: opened.path,
            reservation: opened.reservation,
            tracker: opened.run,
            permit: opened.permit,
            last_progress: now_millis(),
        }
    }

    /// Returns a framer for the run that resumes this one.
    pub(super) fn resumed_framer(&self) -> EventFramer {
        self.framer.resumed()
    }

    /// Waits for more bytes or the end of the response.
    pub(super) async fn read(&mut self) -> RunOutput {
        match self.body.frame().await {
            Some(Ok(frame)) => RunOutput::Bytes(frame.into_data().unwrap_or_default()),
            Some(Err(error)) => RunOutput::Broken(error.to_string()),
            None if self.framer.has_partial() => {
                RunOutput::Broken("response ended within an event".to_owned())
            }
            // The end of the connection may be that of the replica.
            None if !self.is_framed && !self.has_event => {
                RunOutput::Broken("response without a length ended before an event".to_owned())
            }
            None => RunOutput::End,
        }
    }

    /// Returns whether the end of the response is that of the stream: a response without a length also
    /// ends when its engine does.
    pub(super) async fn confirm_end(&self, relay: &Relay) -> bool {
        let first = &self.path[0];
        self.is_framed || confirm_end(relay, &first.instance, first.address).await
    }

    /// Adds bytes that were read. Returns the events that are complete now.
    pub(super) fn push(&mut self, chunk: Bytes) -> Option<Bytes> {
        self.last_progress = now_millis();
        let events = self.framer.push(chunk);
        self.has_event |= events.is_some();
        events
    }

    /// Returns whether the response was opened to resume a stream and does not continue it.
    pub(super) fn has_missed(&self) -> bool {
        self.framer.has_missed()
    }

    /// Records that events were forwarded.
    pub(super) fn record_event(&mut self, relay: &Rc<Relay>, request: &CallerRequest) {
        self.tracker.record_event(relay, request);
        self.partial_event.resize(self.framer.partial_len());
    }

    /// Returns whether the incomplete event may be buffered, alone and with all other responses.
    pub(super) fn can_buffer_event(&mut self) -> bool {
        let len = self.framer.partial_len();
        len <= MAX_EVENT_BYTES && self.partial_event.resize(len)
    }

    /// Returns the id of the last complete event, or the one that the stream resumed after.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.framer.last_id()
    }

    /// Returns the number of complete events that carried an id, those of the runs that it resumes
    /// included.
    pub(super) fn event_count(&self) -> u64 {
        self.framer.event_count()
    }

    /// Keeps the connection for other requests, once the response was read to its end.
    pub(super) fn return_connection(&mut self, relay: &Relay) {
        let kept = self.connection.take().filter(|_| !self.headers.closes_connection);
        if let Some(connection) = kept {
            connection.return_to(&relay.pool, self.headers.keep_alive);
        }
    }

    /// Closes the connection, so that the engine stops working on the request, and discards the
    /// incomplete event.
    pub(super) fn close(&mut self) {
        self.connection = None;
        self.framer.drop_partial();
        self.partial_event.resize(0);
    }
}

/// Waits until one of several runs has more bytes or ends, and returns its index. Never returns if
/// there is none.
pub(super) async fn read_any(runs: &mut [StreamRun]) -> (usize, RunOutput) {
    if runs.is_empty() {
        return pending().await;
    }
    let reads = runs.iter_mut().map(|run| Box::pin(run.read()));
    let (output, index, _) = select_all(reads).await;
    (index, output)
}
