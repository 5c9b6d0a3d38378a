//! Calls of the plain service beside the agent, by `hyper`.

use std::time::Duration;

use http::{HeaderName, HeaderValue, Method, Request};
use http_body_util::Full;
use switchfold_kernel::http::{CallError, FullResponse, HttpClient};
use switchfold_proto::link::Header;
use xtra::Address;

use crate::{
    gate::{CallOutcome, ServiceCall},
    service::{CallEnded, GateService},
};

/// Largest response of a service, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Headers that belong to one connection and are not passed on.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "te",
    "trailer",
    "content-length",
    "host",
];

/// Calls the service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCaller {
    address: String,
    http: HttpClient,
}

impl ServiceCaller {
    /// Makes a caller that waits `timeout` for each response.
    pub(crate) fn new(address: String, timeout: Duration) -> Self {
        Self { address, http: HttpClient::new(timeout, MAX_RESPONSE_BYTES) }
    }

    /// Starts a call; its end goes to the gate.
    pub(crate) fn start(&self, call: ServiceCall, gate: Address<GateService>) {
        let caller = self.clone();
        tokio::spawn(async move {
            let end = caller.call(&call).await;
            let _gate_may_have_stopped = gate.send(CallEnded { call, end }).await;
        });
    }

    async fn call(&self, call: &ServiceCall) -> CallOutcome {
        let Ok(request) = self.request(call) else {
            return CallOutcome::NotSent;
        };
        match self.http.call(request).await {
            Ok(response) => responded(response),
            Err(CallError::NotConnected { .. }) => CallOutcome::NotSent,
            Err(CallError::NoResponse { .. }) => CallOutcome::Unknown,
        }
    }

    fn request(&self, call: &ServiceCall) -> Result<Request<Full<bytes::Bytes>>, http::Error> {
        let method = Method::from_bytes(call.method.as_bytes())?;
        let uri = format!("http://{}{}", self.address, call.path);
        let mut request =
            Request::builder().method(method).uri(uri).body(Full::new(call.body.clone()))?;
        for header in &call.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes())?;
            if !CONNECTION_HEADERS.contains(&name.as_str()) {
                request.headers_mut().append(name, HeaderValue::from_str(&header.value)?);
            }
        }
        Ok(request)
    }
}

fn responded(response: FullResponse) -> CallOutcome {
    let kept =
        response.headers.iter().filter(|(name, _)| !CONNECTION_HEADERS.contains(&name.as_str()));
    let headers = kept.filter_map(|(name, value)| {
        Some(Header { name: name.to_string(), value: value.to_str().ok()?.to_owned() })
    });
    CallOutcome::Responded {
        status: response.status.as_u16().into(),
        headers: headers.collect(),
        body: response.body,
    }
}
