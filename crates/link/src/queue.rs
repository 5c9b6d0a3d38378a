//! The sending half of a link.

use futures_util::{Stream, StreamExt};
use switchfold_proto::link::{Frame, Message, message::Body};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::QUEUE_CAPACITY;

/// Messages that travel in one frame at most.
const FRAME_LEN: usize = 64;

/// Sends messages over a link without ever waiting.
#[derive(Clone, Debug)]
pub struct LinkSender {
    queue: mpsc::Sender<Message>,
}

impl LinkSender {
    /// Puts a message on its way; returns whether the link still takes any.
    ///
    /// A full queue counts as a lost link: the other side has stopped reading.
    pub fn send(&self, body: Body) -> bool {
        self.queue.try_send(body.into()).is_ok()
    }

    /// Tells whether the link has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// The other end of a [`LinkSender`]: a stream of frames.
#[derive(Debug)]
pub struct LinkQueue {
    queue: mpsc::Receiver<Message>,
}

impl LinkQueue {
    /// Turns the queue into frames, each with all the messages that wait.
    pub fn into_frames(self) -> impl Stream<Item = Frame> + Send + 'static {
        let messages = ReceiverStream::new(self.queue);
        messages.ready_chunks(FRAME_LEN).map(|messages| Frame { messages })
    }
}

/// Makes both ends of a queue.
pub fn link_queue() -> (LinkSender, LinkQueue) {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    (LinkSender { queue: sender }, LinkQueue { queue: receiver })
}
