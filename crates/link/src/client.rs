//! Connecting side of a link.

use std::time::Duration;

use switchfold_proto::link::{Hello, link_client::LinkClient, message::Body};
use tonic::{
    Request, Status,
    metadata::{Ascii, MetadataValue},
    service::{Interceptor, interceptor::InterceptedService},
    transport::{Channel, Endpoint},
};

use crate::{LinkError, LinkFrames, LinkSender, TOKEN_KEY, link_queue};

/// Time-out for making a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Interval of HTTP/2 keep-alive pings, and time-out for the response to one.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// HTTP/2 flow-control window. It is large enough that a frame of prompts does not wait a round
/// trip for a window update.
const WINDOW_BYTES: u32 = 1 << 20;

/// Link that this process opened.
#[derive(Debug)]
pub struct ClientLink {
    /// Outgoing half.
    pub sender: LinkSender,
    /// Incoming half.
    pub frames: LinkFrames,
}

/// gRPC channel whose calls carry the cluster token.
pub type PeerChannel = InterceptedService<Channel, TokenInterceptor>;

/// Adds the cluster token to the metadata of each call.
#[derive(Clone, Debug)]
pub struct TokenInterceptor {
    token: MetadataValue<Ascii>,
}

impl Interceptor for TokenInterceptor {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        request.metadata_mut().insert(TOKEN_KEY, self.token.clone());
        Ok(request)
    }
}

/// Connects to another process of the cluster at `address`, an IP address with a port.
///
/// # Errors
///
/// Fails if the address or the token is malformed, or no connection is made within a second.
pub async fn peer_channel(address: &str, token: &str) -> Result<PeerChannel, LinkError> {
    let bad_address = |_| LinkError::BadAddress { address: address.to_owned() };
    let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(bad_address)?;
    let endpoint = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .initial_stream_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .http2_keep_alive_interval(KEEP_ALIVE)
        .keep_alive_timeout(KEEP_ALIVE);
    let token = token.parse().map_err(|_| LinkError::BadToken)?;
    let channel = endpoint.connect().await.map_err(|error| LinkError::Unreachable {
        address: address.to_owned(),
        detail: error.to_string(),
    })?;
    Ok(InterceptedService::new(channel, TokenInterceptor { token }))
}

/// Opens a link to another process; `hello` is its first message.
///
/// # Errors
///
/// As [`peer_channel`]; also fails if the other side refuses the link.
pub async fn connect_link(
    address: &str,
    token: &str,
    hello: Hello,
) -> Result<ClientLink, LinkError> {
    let channel = peer_channel(address, token).await?;
    let (sender, queue) = link_queue();
    sender.send(Body::Hello(hello));
    let response = LinkClient::new(channel).connect(queue.into_frames()).await;
    match response {
        Ok(response) => Ok(ClientLink { sender, frames: response.into_inner() }),
        Err(status) => Err(LinkError::Refused { detail: status.message().to_owned() }),
    }
}
