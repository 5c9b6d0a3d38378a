//! The sending half of a link.

use futures_util::{Stream, StreamExt};
use switchfold_proto::link::{Frame, Message, message::Body};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::QUEUE_CAPACITY;

/// Largest number of messages in one frame.
const MAX_FRAME_MESSAGES: usize = 64;

/// Sends messages over a link without blocking.
#[derive(Clone, Debug)]
pub struct LinkSender {
    queue: mpsc::Sender<Message>,
}

impl LinkSender {
    /// Queues a message and returns whether that succeeded.
    ///
    /// It fails if the link has ended or the queue is full. The caller should close the link in
    /// both cases: the queue fills up only if the other side has stopped reading.
    pub fn send(&self, body: Body) -> bool {
        self.queue.try_send(body.into()).is_ok()
    }

    /// Returns whether the link has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Receiving end of a [`LinkSender`]'s queue, from which the outgoing stream is made.
#[derive(Debug)]
pub struct LinkQueue {
    queue: mpsc::Receiver<Message>,
}

impl LinkQueue {
    /// Turns the queue into a stream of frames. Each frame holds the messages queued so far, up to
    /// 64.
    pub fn into_frames(self) -> impl Stream<Item = Frame> + Send + 'static {
        let messages = ReceiverStream::new(self.queue);
        messages.ready_chunks(MAX_FRAME_MESSAGES).map(|messages| Frame { messages })
    }
}

/// Creates the queue of a link, which holds at most [`QUEUE_CAPACITY`] messages.
pub fn link_queue() -> (LinkSender, LinkQueue) {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    (LinkSender { queue: sender }, LinkQueue { queue: receiver })
}
