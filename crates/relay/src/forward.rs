//! A stream that runs: events are passed on as they come, and go on elsewhere when a replica is lost.
//!
//! The body is pulled by the caller's connection itself, so an event costs one wake-up, and a caller
//! that leaves drops the body and with it the connection to the replica.

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
use switchfold_router::{Millis, path::PathStage};
use tokio::time::{Instant, sleep_until};

mod recovery;

use self::recovery::StreamLoss;
use crate::{
    admit::Permit,
    counts::count,
    paths::PathReservation,
    pool::ActiveConnection,
    quarantine::record_result,
    request::CallerRequest,
    responses::{BodyAborted, RelayBody},
    run_tracker::RunTracker,
    shutdown::InFlightGuard,
    state::Relay,
    stream::{OpenStream, SendHistory},
};

/// Pause between events that is too long where the route names none: events usually come every 30 to
/// 80 ms.
const DEFAULT_GAP: Millis = 200;

/// Pause, in mean pauses of the stream, after which the replicas of its path are probed.
const PROBE_PAUSES: Millis = 3;

/// Least such pause in milliseconds: on a calm day none is as long, so probes cost nothing there.
const LEAST_QUIET: Millis = 100;

/// Pause after which a stream is looked into whose path is suspected: above the usual pause, and early
/// enough to go on elsewhere before the route's longest one.
const DOUBTFUL_QUIET: Millis = 70;

/// Time between two looks into a stream that stands still.
const LOOK_EVERY: Millis = 100;

struct StreamForwarder {
    relay: Rc<Relay>,
    request: Rc<CallerRequest>,
    permit: Permit,
    tried: SendHistory,
    body: Incoming,
    link: Option<ActiveConnection>,
    marks: ResponseHeaders,
    path: Vec<PathStage>,
    room: PathReservation,
    run: RunTracker,
    framer: EventFramer,
    opened_at: Millis,
    last_progress: Millis,
    longest_pause: Millis,
    alarms_seen: u64,
    leave_at: Option<Millis>,
    /// Whether the path was probed since the last event.
    is_probed: bool,
    doubtful: bool,
    /// Before when a stream that stands still is not looked into again.
    next_look: Millis,
    next_try: Millis,
    ended: bool,
    _in_flight: InFlightGuard,
}

/// Body that passes a stream on.
pub fn stream_body(
    relay: Rc<Relay>,
    request: Rc<CallerRequest>,
    permit: Permit,
    tried: SendHistory,
    opened: OpenStream,
    in_flight: InFlightGuard,
) -> RelayBody {
    let flow = StreamForwarder {
        alarms_seen: relay.path_check_epoch.get(),
        framer: EventFramer::resume_after(request.headers.last_event_id),
        marks: read_response_headers(&opened.head.headers),
        body: opened.body,
        link: Some(opened.link),
        path: opened.path,
        room: opened.room,
        run: opened.run,
        opened_at: now_millis(),
        last_progress: now_millis(),
        longest_pause: 0,
        leave_at: None,
        is_probed: false,
        doubtful: false,
        next_look: 0,
        next_try: 0,
        ended: false,
        relay,
        request,
        permit,
        tried,
        _in_flight: in_flight,
    };
    let frames = stream::unfold(flow, async |mut flow| {
        let frame = flow.next_frame().await?;
        Some((frame, flow))
    });
    Box::pin(StreamBody::new(frames))
}

/// What came of waiting for a stream's next bytes.
enum Waited {
    Bytes(Bytes),
    End,
    Broken(String),
    Quiet,
    Alarm,
    TimeUp,
}

impl StreamForwarder {
    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, BodyAborted>> {
        while !self.ended {
            match self.wait().await {
                Waited::Bytes(chunk) => {
                    let now = now_millis();
                    self.longest_pause = self.longest_pause.max(now - self.last_progress);
                    self.last_progress = now;
                    self.is_probed = false;
                    if let Some(events) = self.framer.push(chunk) {
                        self.run.record_event(&self.relay, &self.request);
                        self.leave_in_turn().await;
                        return Some(Ok(Frame::data(events)));
                    }
                }
                Waited::End if !self.framer.has_partial() => {
                    self.finish();
                    return None;
                }
                Waited::End => self.recover("ended within an event", StreamLoss::Broken).await,
                Waited::Broken(detail) => self.recover(&detail, StreamLoss::Broken).await,
                Waited::Quiet => {
                    self.next_look = now_millis() + LOOK_EVERY;
                    self.look_into().await;
                }
                Waited::Alarm => self.answer_alarm(),
                Waited::TimeUp => self.give_up("time is up", "time is up"),
            }
        }
        Some(Err(BodyAborted))
    }

    async fn wait(&mut self) -> Waited {
        let now = now_millis();
        let quiet_after = match self.doubtful {
            true => DOUBTFUL_QUIET,
            false if self.is_probed => self.longest_gap(),
            false => self.probe_pause().min(self.longest_gap()),
        };
        let look_at = (self.last_progress + quiet_after).max(self.next_look);
        let left = self.request.time_remaining(now);
        if left == 0 {
            return Waited::TimeUp;
        }
        if self.alarms_seen != self.relay.path_check_epoch.get() {
            return Waited::Alarm;
        }
        let until = Instant::now() + Duration::from_millis(look_at.saturating_sub(now).min(left));
        tokio::select! {
            biased;
            frame = self.body.frame() => match frame {
                Some(Ok(frame)) => Waited::Bytes(frame.into_data().unwrap_or_default()),
                Some(Err(error)) => Waited::Broken(error.to_string()),
                None => Waited::End,
            },
            () = self.relay.path_check_notify.notified() => Waited::Alarm,
            () = sleep_until(until) => Waited::Quiet,
        }
    }

    /// Pause between events that makes an answer late.
    fn longest_gap(&self) -> Millis {
        match self.permit.route.max_event_gap {
            0 => DEFAULT_GAP,
            gap => gap,
        }
    }

    /// Pause after which the replicas of the path are probed: longer than any that the stream has had.
    fn probe_pause(&self) -> Millis {
        let ran_for = self.last_progress.saturating_sub(self.opened_at);
        let mean = ran_for / self.framer.event_count().max(1);
        let unusual = (mean * PROBE_PAUSES).max(self.longest_pause * 3 / 2);
        unusual.max(LEAST_QUIET)
    }

    fn finish(&mut self) {
        self.ended = true;
        record_result(&self.relay, &self.request);
        let took = now_millis() - self.request.arrived;
        self.relay.metrics.record_end(&self.permit, took, Some(self.longest_pause));
        tracing::info!(
            event = "stream-ended",
            request = self.request.headers.attempt_id,
            took_ms = took,
            longest_pause_ms = self.longest_pause,
            events = self.framer.event_count(),
            parts = self.path.len(),
            first = %self.path[0].instance,
        );
        if let Some(link) = self.link.take().filter(|_| !self.marks.closes_connection) {
            link.return_to(&self.relay.pool, self.marks.keep_alive);
        }
    }

    fn give_up(&mut self, why: &str, not_resumed: &str) {
        self.ended = true;
        self.link = None;
        count(&self.relay.counts.failed);
        let quiet_ms = now_millis() - self.last_progress;
        tracing::warn!(
            event = "stream-broken",
            request = self.request.headers.attempt_id,
            why,
            not_resumed,
            sends = self.tried.sends,
            rejected = self.tried.rejected,
            quiet_ms,
            last_event = self.framer.last_id(),
        );
    }
}
