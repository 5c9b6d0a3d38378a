//! Accepting side of links.

use std::{pin::Pin, sync::Arc};

use futures_util::{Stream, StreamExt};
use subtle::ConstantTimeEq;
use switchfold_proto::{
    PROTOCOL_VERSION,
    link::{Frame, Hello, link_server::Link, message::Body},
};
use tokio::net::TcpListener;
use tonic::{
    Request, Response, Status, Streaming, metadata::MetadataMap, transport::server::TcpIncoming,
};

use crate::{LinkError, LinkFrames, LinkSender, TOKEN_KEY, link_queue};

/// Link that another process opened.
#[derive(Debug)]
pub struct ServerLink {
    /// First message of the link, with which the other side identifies itself.
    pub hello: Hello,
    /// Outgoing half.
    pub sender: LinkSender,
    /// Incoming half, after the hello.
    pub frames: LinkFrames,
}

/// gRPC service that accepts links and passes each to a callback.
#[derive(Clone)]
pub struct LinkAcceptor {
    token: Arc<str>,
    accept: Arc<dyn Fn(ServerLink) + Send + Sync>,
}

impl LinkAcceptor {
    /// Creates a service that accepts callers with this cluster token and passes their links to
    /// `accept`.
    pub fn new(token: &str, accept: impl Fn(ServerLink) + Send + Sync + 'static) -> Self {
        Self { token: token.into(), accept: Arc::new(accept) }
    }
}

/// Checks the cluster token of a call, in constant time.
///
/// # Errors
///
/// Fails with `UNAUTHENTICATED` if it is missing or wrong.
pub fn check_token(metadata: &MetadataMap, token: &str) -> Result<(), Status> {
    let received = metadata.get(TOKEN_KEY).map(|value| value.as_bytes()).unwrap_or_default();
    if bool::from(received.ct_eq(token.as_bytes())) {
        return Ok(());
    }
    Err(Status::unauthenticated(
        "wrong or missing cluster token; see cluster_token in the settings",
    ))
}

/// Turns a bound socket into a stream of connections with `TCP_NODELAY` set.
pub fn bind_incoming(listener: TcpListener) -> TcpIncoming {
    TcpIncoming::from(listener).with_nodelay(Some(true))
}

/// Reads the first frame. Returns its hello and the bodies of the messages after it.
async fn read_hello(frames: &mut Streaming<Frame>) -> Result<(Hello, Vec<Body>), Status> {
    let missing = || Status::invalid_argument("the first message of a link must be a hello");
    let frame = frames.message().await?.ok_or_else(missing)?;
    let mut bodies = frame.messages.into_iter().filter_map(|message| message.body);
    let Some(Body::Hello(hello)) = bodies.next() else {
        return Err(missing());
    };
    if hello.protocol != PROTOCOL_VERSION {
        let error = LinkError::OtherProtocol { theirs: hello.protocol, ours: PROTOCOL_VERSION };
        return Err(Status::failed_precondition(error.to_string()));
    }
    Ok((hello, bodies.collect()))
}

#[tonic::async_trait]
impl Link for LinkAcceptor {
    type ConnectStream = Pin<Box<dyn Stream<Item = Result<Frame, Status>> + Send>>;

    async fn connect(
        &self,
        request: Request<Streaming<Frame>>,
    ) -> Result<Response<Self::ConnectStream>, Status> {
        check_token(request.metadata(), &self.token)?;
        let mut frames = request.into_inner();
        let (hello, rest) = read_hello(&mut frames).await?;
        if !rest.is_empty() {
            return Err(Status::invalid_argument(
                "the first frame of a link must contain only the hello",
            ));
        }
        let (sender, queue) = link_queue();
        (self.accept)(ServerLink { hello, sender, frames });
        Ok(Response::new(Box::pin(queue.into_frames().map(Ok))))
    }
}
