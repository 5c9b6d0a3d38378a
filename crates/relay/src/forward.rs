//! Forwards the events of a stream to the caller as they arrive, and resumes the stream at another
//! replica if one of its path is lost.
//!
//! The body is polled by the task of the caller's connection, so an event costs one wake-up, and a
//! caller that disconnects drops the body and with it the connection to the replica.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use switchfold_kernel::clock::now_millis;
use switchfold_platform::{
    events::EventFramer,
    headers::{ResponseHeaders, read_response_headers},
};
use switchfold_router::{Millis, buffers::LengthKind, path::PathStage};
use tokio::time::{Instant, sleep_until};

mod moves;
mod recovery;

use self::{moves::MoveWait, recovery::StreamLoss};
use crate::{
    admit::Permit,
    buffers::BufferShare,
    counts::count,
    paths::PathReservation,
    pool::ActiveConnection,
    quarantine::record_result,
    request::CallerRequest,
    request_end::EndCause,
    responses::{BodyAborted, RelayBody},
    run_tracker::RunTracker,
    shutdown::CountGuard,
    state::Relay,
    stream::{OpenStream, SendHistory},
};

/// Longest pause between events if the route sets none, in milliseconds; events usually arrive
/// every 30 to 80 ms.
const DEFAULT_MAX_PAUSE: Millis = 200;

/// Pause after which the replicas of the path are probed, as a multiple of the stream's mean pause.
const PROBE_FACTOR: Millis = 3;

/// Minimum of the pause after which the replicas are probed, in milliseconds. Without failures
/// hardly any pause is as long, so that probes cost nothing then.
const MIN_PROBE_PAUSE: Millis = 100;

/// Pause after which a stream is checked if a replica of its path is suspected, in milliseconds:
/// longer than the usual pause, and short enough to resume elsewhere before the longest pause that
/// the route allows.
const SUSPECT_PAUSE: Millis = 70;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Interval between two checks of a stream without events, in milliseconds.
const CHECK_INTERVAL: Millis = 100;

/// A stream that is forwarded to its caller, and the state needed to resume it elsewhere.
struct StreamForwarder {
    relay: Rc<Relay>,
    request: Rc<CallerRequest>,
    permit: Permit,
    history: SendHistory,
    body: Incoming,
    connection: Option<ActiveConnection>,
    headers: ResponseHeaders,
    path: Vec<PathStage>,
    reservation: PathReservation,
    run: RunTracker,
    framer: EventFramer,
    /// Memory for the incomplete event.
    partial_event: BufferShare,
    opened_at: Millis,
    /// Time of the last bytes.
    last_progress: Millis,
    longest_pause: Millis,
    /// Value of `Relay::path_check_epoch` at the last check of the path.
    seen_epoch: u64,
    /// Time at which the stream moves off replicas that are about to leave.
    leave_at: Option<Millis>,
    /// Whether the path was probed since the last event.
    is_probed: bool,
    /// Whether a replica of the path is suspected; cleared by the next check.
    is_suspect: bool,
    /// Earliest time of the next check of a stream without events.
    next_check: Millis,
    /// Earliest time of the next attempt to resume a silent stream.
    next_resume: Millis,
    /// What a stream of a ranked service waits for before it is looked at again.
    move_wait: MoveWait,
    has_ended: bool,
    _in_flight: CountGuard,
}

/// Returns a response body that forwards a stream.
pub fn stream_body(
    relay: Rc<Relay>,
    request: Rc<CallerRequest>,
    permit: Permit,
    history: SendHistory,
    opened: OpenStream,
    in_flight: CountGuard,
) -> RelayBody {
    let forwarder = StreamForwarder {
        seen_epoch: relay.path_check_epoch.get(),
        framer: EventFramer::resume_after(request.headers.last_event_id),
        partial_event: relay.buffers.share(LengthKind::Open),
        headers: read_response_headers(&opened.head.headers),
        body: opened.body,
        connection: Some(opened.connection),
        path: opened.path,
        reservation: opened.reservation,
        run: opened.run,
        opened_at: now_millis(),
        last_progress: now_millis(),
        longest_pause: 0,
        leave_at: None,
        is_probed: false,
        is_suspect: false,
        next_check: 0,
        next_resume: 0,
        move_wait: MoveWait::default(),
        has_ended: false,
        relay,
        request,
        permit,
        history,
        _in_flight: in_flight,
    };
    let frames = stream::unfold(forwarder, async |mut forwarder| {
        let frame = forwarder.next_frame().await?;
        Some((frame, forwarder))
    });
    Box::pin(StreamBody::new(frames))
}

/// What ended the wait of a stream.
enum WaitOutcome {
    Bytes(Bytes),
    /// The body has ended.
    End,
    /// The body ended with this error.
    Broken(String),
    /// No bytes arrived until the next check.
    Pause,
    /// A replica became suspect or started to leave.
    ReplicaChange,
    /// The deadline of the request has passed.
    Deadline,
}

impl StreamForwarder {
    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, BodyAborted>> {
        while !self.has_ended {
            match self.wait().await {
                WaitOutcome::Bytes(chunk) => {
                    let now = now_millis();
                    self.longest_pause = self.longest_pause.max(now - self.last_progress);
                    self.last_progress = now;
                    self.request.record.record_bytes();
                    self.is_probed = false;
                    self.end_move_wait();
                    if let Some(events) = self.framer.push(chunk) {
                        self.run.record_event(&self.relay, &self.request);
                        self.leave_when_due().await;
                        self.partial_event.resize(self.framer.partial_len());
                        return Some(Ok(Frame::data(events)));
                    }
                    if !self.can_buffer_event() {
                        self.recover("an event is too large", StreamLoss::Excessive).await;
                    }
                }
                WaitOutcome::End if !self.framer.has_partial() => {
                    self.finish();
                    return None;
                }
                WaitOutcome::End => {
                    self.recover("response ended within an event", StreamLoss::Broken).await
                }
                WaitOutcome::Broken(detail) => self.recover(&detail, StreamLoss::Broken).await,
                WaitOutcome::Pause => {
                    self.next_check = now_millis() + CHECK_INTERVAL;
                    self.check_path().await;
                }
                WaitOutcome::ReplicaChange => self.handle_replica_change(),
                WaitOutcome::Deadline => {
                    self.request.record.set_cause(EndCause::DeadlinePassed);
                    self.give_up("deadline passed", "deadline passed");
                }
            }
        }
        Some(Err(BodyAborted))
    }

    /// Returns whether the incomplete event may be buffered, alone and with all other responses.
    fn can_buffer_event(&mut self) -> bool {
        let len = self.framer.partial_len();
        len <= MAX_EVENT_BYTES && self.partial_event.resize(len)
    }

    async fn wait(&mut self) -> WaitOutcome {
        let now = now_millis();
        let pause = match self.is_suspect {
            true => SUSPECT_PAUSE,
            false if self.is_probed => self.max_pause(),
            false => self.probe_pause().min(self.max_pause()),
        };
        let check_at = (self.last_progress + pause).max(self.next_check);
        let remaining = self.request.time_remaining(now);
        if remaining == 0 {
            return WaitOutcome::Deadline;
        }
        if self.seen_epoch != self.relay.path_check_epoch.get() {
            return WaitOutcome::ReplicaChange;
        }
        let wake_at =
            Instant::now() + Duration::from_millis(check_at.saturating_sub(now).min(remaining));
        tokio::select! {
            biased;
            frame = self.body.frame() => match frame {
                Some(Ok(frame)) => WaitOutcome::Bytes(frame.into_data().unwrap_or_default()),
                Some(Err(error)) => WaitOutcome::Broken(error.to_string()),
                None => WaitOutcome::End,
            },
            () = self.relay.path_check_notify.notified() => WaitOutcome::ReplicaChange,
            () = sleep_until(wake_at) => WaitOutcome::Pause,
        }
    }

    /// Returns the longest pause between events that the route allows, in milliseconds.
    fn max_pause(&self) -> Millis {
        match self.permit.route.max_event_gap {
            0 => DEFAULT_MAX_PAUSE,
            gap => gap,
        }
    }

    /// Returns the pause after which the replicas of the path are probed: longer than any that the
    /// stream has had so far.
    fn probe_pause(&self) -> Millis {
        let ran_for = self.last_progress.saturating_sub(self.opened_at);
        let mean = ran_for / self.framer.event_count().max(1);
        let pause = (mean * PROBE_FACTOR).max(self.longest_pause * 3 / 2);
        pause.max(MIN_PROBE_PAUSE)
    }

    fn finish(&mut self) {
        self.has_ended = true;
        record_result(&self.relay, &self.request);
        let took = now_millis() - self.request.arrived_at;
        self.relay.metrics.record_end(&self.permit, took, Some(self.longest_pause));
        tracing::info!(
            event = "stream-ended",
            request = self.request.headers.attempt_id,
            took_ms = took,
            longest_pause_ms = self.longest_pause,
            events = self.framer.event_count(),
            parts = self.path.len(),
            first = %self.path[0].instance,
            route = self.permit.route.name,
            organisation = self.permit.organisation,
            rank = self.permit.priority,
        );
        if let Some(connection) = self.connection.take().filter(|_| !self.headers.closes_connection)
        {
            connection.return_to(&self.relay.pool, self.headers.keep_alive);
        }
    }

    fn give_up(&mut self, why: &str, not_resumed: &str) {
        self.has_ended = true;
        self.connection = None;
        count(&self.relay.counts.failed);
        let quiet_ms = now_millis() - self.last_progress;
        tracing::warn!(
            event = "stream-broken",
            request = self.request.headers.attempt_id,
            why,
            not_resumed,
            sends = self.history.sends,
            rejected = self.history.rejections,
            quiet_ms,
            last_event = self.framer.last_id(),
            route = self.permit.route.name,
            organisation = self.permit.organisation,
            rank = self.permit.priority,
        );
    }
}
