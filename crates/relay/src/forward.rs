//! Forwards the events of a stream to the caller as they arrive, and resumes the stream at another
//! replica if one of its path is lost.
//!
//! A stream whose replica is only silent is resumed beside the silent response. The response that
//! has the next event is forwarded, and the other is dropped.
//!
//! The body is polled by the task of the caller's connection, so an event costs one wake-up, and a
//! caller that disconnects drops the body and with it the connection to the replica.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{
    future::{LocalBoxFuture, OptionFuture},
    stream,
};
use http_body_util::StreamBody;
use hyper::body::Frame;
use switchfold_kernel::clock::now_millis;
use switchfold_platform::events::EventFramer;
use switchfold_router::Millis;
use tokio::time::{Instant, sleep_until};

mod moves;
mod recovery;
mod run;

use self::{
    moves::MoveWait,
    recovery::StreamLoss,
    run::{RunOutput, StreamRun, read_any},
};
use crate::{
    counts::count,
    quarantine::record_result,
    request::CallerRequest,
    request_end::EndCause,
    responses::{BodyAborted, RelayBody},
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

/// Interval between two checks of a stream without events, in milliseconds.
const CHECK_INTERVAL: Millis = 100;

/// A stream that is forwarded to its caller, and the state needed to resume it elsewhere.
struct StreamForwarder {
    relay: Rc<Relay>,
    request: Rc<CallerRequest>,
    history: Rc<SendHistory>,
    /// Response that is forwarded. Once it broke off, what is left of it until it is replaced.
    current: StreamRun,
    /// Responses that were silent when they were replaced, the latest last: at most as many as the
    /// route allows attempts. The one that has the next event is forwarded again.
    former: Vec<StreamRun>,
    /// Why `current` has broken off.
    broken: Option<String>,
    /// Search for the replica that holds up the stream, beside the response.
    investigation: Option<LocalBoxFuture<'static, Option<SocketAddr>>>,
    /// Opening of the stream at another replica, beside the response.
    resumption: Option<LocalBoxFuture<'static, Result<Box<OpenStream>, String>>>,
    opened_at: Millis,
    /// Time of the last event that was forwarded.
    last_forwarded: Millis,
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
    history: Rc<SendHistory>,
    opened: OpenStream,
    in_flight: CountGuard,
) -> RelayBody {
    let framer = EventFramer::resume_after(request.headers.last_event_id);
    let current = StreamRun::new(&relay, opened, framer);
    let forwarder = StreamForwarder {
        seen_epoch: relay.path_check_epoch.get(),
        current,
        former: Vec::new(),
        broken: None,
        investigation: None,
        resumption: None,
        opened_at: now_millis(),
        last_forwarded: now_millis(),
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
    /// The response that is forwarded has more bytes, or has ended.
    Current(RunOutput),
    /// A former response, by its index, has more bytes, or has ended.
    Former(usize, RunOutput),
    /// The replica that holds up the stream was found, or none was.
    Investigated(Option<SocketAddr>),
    /// The stream was opened elsewhere, or could not be.
    Resumed(Result<Box<OpenStream>, String>),
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
            let events = match self.wait().await {
                WaitOutcome::Current(RunOutput::Bytes(chunk)) => {
                    self.request.record.record_bytes();
                    self.is_probed = false;
                    self.end_move_wait();
                    let events = self.current.push(chunk);
                    if self.current.has_missed() {
                        self.recover("does not go on after the last event", StreamLoss::Broken);
                    } else if events.is_none() && !self.current.can_buffer_event() {
                        self.recover("an event is too large", StreamLoss::Excessive);
                    }
                    events
                }
                WaitOutcome::Current(RunOutput::End) => {
                    if self.current.confirm_end(&self.relay).await {
                        self.finish();
                        return None;
                    }
                    self.recover(
                        "engine ended with a response without a length",
                        StreamLoss::Broken,
                    );
                    None
                }
                WaitOutcome::Current(RunOutput::Broken(detail)) => {
                    self.recover(&detail, StreamLoss::Broken);
                    None
                }
                WaitOutcome::Former(index, output) => match self.read_former(index, output) {
                    Some(RunOutput::Bytes(events)) => Some(events),
                    Some(RunOutput::End) if self.current.confirm_end(&self.relay).await => {
                        self.finish();
                        return None;
                    }
                    Some(RunOutput::End) => {
                        self.recover("engine ended with a former response", StreamLoss::Broken);
                        None
                    }
                    _ => None,
                },
                WaitOutcome::Investigated(faulty_replica) => {
                    self.apply_investigation(faulty_replica).await;
                    None
                }
                WaitOutcome::Resumed(resumed) => {
                    self.apply_resumption(resumed);
                    None
                }
                WaitOutcome::Pause => {
                    self.next_check = now_millis() + CHECK_INTERVAL;
                    if self.broken.is_none() {
                        self.check_path().await;
                    }
                    None
                }
                WaitOutcome::ReplicaChange => {
                    self.handle_replica_change();
                    None
                }
                WaitOutcome::Deadline => {
                    self.request.record.set_cause(EndCause::DeadlinePassed);
                    self.give_up("deadline passed", "deadline passed");
                    None
                }
            };
            if let Some(events) = events {
                self.record_forwarded();
                self.leave_when_due().await;
                return Some(Ok(Frame::data(events)));
            }
        }
        Some(Err(BodyAborted))
    }

    /// Records that events of the current response are forwarded. A resumption that is under way is
    /// cancelled, and the former response is dropped.
    fn record_forwarded(&mut self) {
        let now = now_millis();
        self.longest_pause = self.longest_pause.max(now - self.last_forwarded);
        self.last_forwarded = now;
        self.investigation = None;
        self.resumption = None;
        self.former.clear();
        self.current.record_event(&self.relay, &self.request);
    }

    /// Handles bytes or the end of a former response. If it has the next events or the end of the
    /// stream, it takes the place of the current one, and they are returned.
    fn read_former(&mut self, index: usize, output: RunOutput) -> Option<RunOutput> {
        let output = match output {
            RunOutput::Bytes(chunk) => {
                self.request.record.record_bytes();
                let former = &mut self.former[index];
                match former.push(chunk) {
                    Some(events) => RunOutput::Bytes(events),
                    None if former.has_missed() => {
                        RunOutput::Broken("does not go on after the last event".to_owned())
                    }
                    None if former.can_buffer_event() => return None,
                    None => RunOutput::Broken("an event is too large".to_owned()),
                }
            }
            output => output,
        };
        let former = self.former.remove(index);
        let id = &self.request.headers.attempt_id;
        if let RunOutput::Broken(detail) = output {
            tracing::info!(event = "former-response-broken", request = id, detail);
            return None;
        }
        let quiet_ms = now_millis() - self.last_forwarded;
        tracing::info!(event = "stream-continued", request = id, quiet_ms);
        self.return_to(former);
        Some(output)
    }

    async fn wait(&mut self) -> WaitOutcome {
        let now = now_millis();
        let remaining = self.request.time_remaining(now);
        if remaining == 0 {
            return WaitOutcome::Deadline;
        }
        if self.seen_epoch != self.relay.path_check_epoch.get() {
            return WaitOutcome::ReplicaChange;
        }
        let pause = match self.is_suspect {
            true => SUSPECT_PAUSE,
            false if self.is_probed => self.max_pause(),
            false => self.probe_pause().min(self.max_pause()),
        };
        let is_recovering = self.investigation.is_some() || self.resumption.is_some();
        let check_at = match is_recovering {
            true => self.request.deadline,
            false => (self.current.last_progress + pause).max(self.next_check),
        };
        let wake_at = check_at.saturating_sub(now).min(remaining);
        let wake_at = Instant::now() + Duration::from_millis(wake_at);
        let is_broken = self.broken.is_some();
        let investigation = OptionFuture::from(self.investigation.as_mut());
        let resumption = OptionFuture::from(self.resumption.as_mut());
        tokio::select! {
            biased;
            output = self.current.read(), if !is_broken => WaitOutcome::Current(output),
            (index, output) = read_any(&mut self.former) => WaitOutcome::Former(index, output),
            Some(resumed) = resumption => {
                self.resumption = None;
                WaitOutcome::Resumed(resumed)
            }
            Some(faulty_replica) = investigation => {
                self.investigation = None;
                WaitOutcome::Investigated(faulty_replica)
            }
            () = self.relay.path_check_notify.notified() => WaitOutcome::ReplicaChange,
            () = sleep_until(wake_at) => WaitOutcome::Pause,
        }
    }

    /// Returns the longest pause between events that the route allows, in milliseconds.
    fn max_pause(&self) -> Millis {
        match self.current.permit.route.max_event_gap {
            0 => DEFAULT_MAX_PAUSE,
            gap => gap,
        }
    }

    /// Returns the pause after which the replicas of the path are probed: longer than any that the
    /// stream has had so far.
    fn probe_pause(&self) -> Millis {
        let ran_for = self.current.last_progress.saturating_sub(self.opened_at);
        let mean = ran_for / self.current.event_count().max(1);
        let pause = (mean * PROBE_FACTOR).max(self.longest_pause * 3 / 2);
        pause.max(MIN_PROBE_PAUSE)
    }

    fn finish(&mut self) {
        self.has_ended = true;
        record_result(&self.relay, &self.request);
        let took = now_millis() - self.request.arrived_at;
        self.relay.metrics.record_end(&self.current.permit, took, Some(self.longest_pause));
        tracing::info!(
            event = "stream-ended",
            request = self.request.headers.attempt_id,
            took_ms = took,
            longest_pause_ms = self.longest_pause,
            events = self.current.event_count(),
            parts = self.current.path.len(),
            first = %self.current.path[0].instance,
            route = self.current.permit.route.name,
            organisation = self.current.permit.organisation,
            rank = self.current.permit.priority,
        );
        self.current.return_connection(&self.relay);
    }

    fn give_up(&mut self, why: &str, not_resumed: &str) {
        self.has_ended = true;
        self.resumption = None;
        self.former.clear();
        self.current.close();
        count(&self.relay.counts.failed);
        let quiet_ms = now_millis() - self.last_forwarded;
        tracing::warn!(
            event = "stream-broken",
            request = self.request.headers.attempt_id,
            why,
            not_resumed,
            sends = self.history.sends(),
            rejected = self.history.rejections(),
            quiet_ms,
            last_event = self.current.last_id(),
            route = self.current.permit.route.name,
            organisation = self.current.permit.organisation,
            rank = self.current.permit.priority,
        );
    }
}
