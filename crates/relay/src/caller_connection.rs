//! Requests of one connection of a caller, and the end of their responses.

use std::{
    cell::{Cell, RefCell},
    panic::{AssertUnwindSafe, catch_unwind},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    thread,
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use switchfold_kernel::clock::now_millis;
use switchfold_router::{
    Millis,
    connections::{ConnectionId, ConnectionPhase},
};
use tokio::sync::Notify;

use crate::{
    request_end::{EndCause, RequestRecord},
    responses::{BodyAborted, RelayBody},
    state::Relay,
};

/// A request whose response was dropped before it was complete.
#[derive(Debug)]
struct DroppedRequest {
    record: Rc<RequestRecord>,
    dropped_at: Millis,
}

/// Requests of a connection. The HTTP library drops the response in progress without telling why,
/// so the end of a dropped request is logged when the connection has returned its error, or when
/// the task of the connection is dropped.
#[derive(Debug)]
pub struct CallerConnection {
    relay: Rc<Relay>,
    id: ConnectionId,
    /// Phase that goes on once what is unsent has been sent; `None` while nothing is.
    sending: Cell<Option<ConnectionPhase>>,
    requests: Cell<u64>,
    last_request: RefCell<Option<String>>,
    dropped: RefCell<Vec<DroppedRequest>>,
}

impl CallerConnection {
    /// Adds a connection to those that are open. `evicted` is notified if it is to be closed for
    /// another one.
    pub fn new(relay: &Rc<Relay>, evicted: Rc<Notify>) -> Self {
        Self {
            relay: relay.clone(),
            id: relay.connections.borrow_mut().open(evicted, now_millis()),
            sending: Cell::default(),
            requests: Cell::default(),
            last_request: RefCell::default(),
            dropped: RefCell::default(),
        }
    }

    /// Records that a request of this connection was read to its end.
    pub fn record_read(&self) {
        self.set_phase(ConnectionPhase::Serving);
    }

    /// Records whether the caller leaves bytes unread that are to be sent.
    pub fn record_unsent(&self, is_unsent: bool) {
        if is_unsent == self.sending.get().is_some() {
            return;
        }
        let phase = match self.sending.take() {
            Some(phase) => phase,
            None => {
                self.sending.set(self.relay.connections.borrow().phase(self.id));
                ConnectionPhase::Unsent
            }
        };
        self.set_phase(phase);
    }

    /// Records that the response to the last request is complete.
    fn record_complete(&self) {
        match self.sending.get() {
            Some(_) => self.sending.set(Some(ConnectionPhase::Resting)),
            None => self.set_phase(ConnectionPhase::Resting),
        }
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        self.relay.connections.borrow_mut().set_phase(self.id, phase, now_millis());
    }

    /// Logs the ends of requests that were in progress when the connection was closed for another
    /// one.
    pub fn end_evicted(&self) {
        self.end_dropped(EndCause::Evicted, None);
    }

    /// Returns the number of requests so far.
    pub fn request_count(&self) -> u64 {
        self.requests.get()
    }

    /// Returns the id of the last request.
    pub fn last_request(&self) -> Option<String> {
        self.last_request.borrow().clone()
    }

    /// Logs the ends of requests that were in progress when the connection ended with `error`.
    /// Returns the id of the last of them.
    pub fn end_requests(&self, error: Option<&hyper::Error>) -> Option<String> {
        self.end_dropped(EndCause::of_connection(error), error)
    }

    fn end_dropped(&self, cause: EndCause, error: Option<&hyper::Error>) -> Option<String> {
        let mut id = None;
        for DroppedRequest { record, dropped_at } in self.dropped.take() {
            record.end_with_connection(cause, dropped_at, error);
            id = Some(record.id().to_owned());
        }
        id
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.relay.connections.borrow_mut().close(self.id);
        let cause = if thread::panicking() { EndCause::Panicked } else { EndCause::ProcessExit };
        self.end_dropped(cause, None);
    }
}

/// Watches for the end of a request, from its arrival until its response is complete. A request
/// whose guard is dropped earlier ends with its connection.
#[derive(Debug)]
pub struct EndGuard {
    connection: Rc<CallerConnection>,
    record: Rc<RequestRecord>,
    has_ended: bool,
}

impl EndGuard {
    /// Starts to watch a request of a connection.
    pub fn new(connection: &Rc<CallerConnection>, record: &Rc<RequestRecord>) -> Self {
        connection.requests.update(|count| count + 1);
        connection.set_phase(ConnectionPhase::Receiving);
        connection.last_request.replace(Some(record.id().to_owned()));
        Self { connection: connection.clone(), record: record.clone(), has_ended: false }
    }

    /// Returns a body whose end is that of the request. `is_sent` is false if the response has a
    /// head only, whatever the body.
    pub fn watch(mut self, body: RelayBody, is_sent: bool) -> RelayBody {
        if !is_sent || body.is_end_stream() {
            self.end_complete();
        }
        Box::pin(WatchedBody { body: Some(body), guard: self })
    }

    fn end_complete(&mut self) {
        if !std::mem::replace(&mut self.has_ended, true) {
            self.record.end_complete();
            self.connection.record_complete();
        }
    }

    fn end_aborted(&mut self) {
        if !std::mem::replace(&mut self.has_ended, true) {
            self.record.end_aborted();
        }
    }
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        if !self.has_ended {
            let dropped = DroppedRequest { record: self.record.clone(), dropped_at: now_millis() };
            self.connection.dropped.borrow_mut().push(dropped);
        }
    }
}

/// A response body that records its end, and is aborted if it panics.
struct WatchedBody {
    /// `None` once it has panicked.
    body: Option<RelayBody>,
    guard: EndGuard,
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let Self { body, guard } = &mut *self;
        let Some(inner) = body else { return Poll::Ready(Some(Err(BodyAborted))) };
        let polled = catch_unwind(AssertUnwindSafe(|| inner.as_mut().poll_frame(context)));
        let frame = match polled {
            Ok(polled) => ready!(polled),
            Err(payload) => {
                *body = None;
                guard.record.log_panic(&*payload);
                guard.record.set_cause(EndCause::Panicked);
                guard.end_aborted();
                return Poll::Ready(Some(Err(BodyAborted)));
            }
        };
        match &frame {
            Some(Ok(frame)) => {
                guard.record.add_body_bytes(frame.data_ref().map_or(0, Bytes::len));
                if inner.is_end_stream() {
                    guard.end_complete();
                }
            }
            Some(Err(BodyAborted)) => guard.end_aborted(),
            None => guard.end_complete(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_some_and(|body| body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map_or_else(SizeHint::default, |body| body.size_hint())
    }
}
