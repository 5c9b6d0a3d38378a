//! HTTP calls of the plain service on the agent's VM.

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

/// Maximum size of a service's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Headers that apply to a single connection or message and are not forwarded.
const UNFORWARDED_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "te",
    "trailer",
    "content-length",
    "host",
];

/// HTTP client of the service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCaller {
    address: String,
    http: HttpClient,
}

impl ServiceCaller {
    /// Creates a caller that waits up to `timeout` for each response.
    pub(crate) fn new(address: String, timeout: Duration) -> Self {
        Self { address, http: HttpClient::new(timeout, MAX_RESPONSE_BYTES) }
    }

    /// Starts a call, whose outcome is sent to the gate.
    pub(crate) fn start(&self, call: ServiceCall, gate: Address<GateService>) {
        let caller = self.clone();
        tokio::spawn(async move {
            let outcome = caller.call(&call).await;
            let _gate_may_have_stopped = gate.send(CallEnded { call, outcome }).await;
        });
    }

    async fn call(&self, call: &ServiceCall) -> CallOutcome {
        let Ok(request) = self.build_request(call) else {
            return CallOutcome::NotSent;
        };
        match self.http.call(request).await {
            Ok(response) => response_outcome(response),
            Err(CallError::NotConnected { .. }) => CallOutcome::NotSent,
            Err(CallError::NoResponse { .. }) => CallOutcome::Unknown,
        }
    }

    fn build_request(
        &self,
        call: &ServiceCall,
    ) -> Result<Request<Full<bytes::Bytes>>, http::Error> {
        let method = Method::from_bytes(call.method.as_bytes())?;
        let uri = format!("http://{}{}", self.address, call.path);
        let mut request =
            Request::builder().method(method).uri(uri).body(Full::new(call.body.clone()))?;
        for header in &call.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes())?;
            if !UNFORWARDED_HEADERS.contains(&name.as_str()) {
                request.headers_mut().append(name, HeaderValue::from_str(&header.value)?);
            }
        }
        Ok(request)
    }
}

fn response_outcome(response: FullResponse) -> CallOutcome {
    let forwarded =
        response.headers.iter().filter(|(name, _)| !UNFORWARDED_HEADERS.contains(&name.as_str()));
    let headers = forwarded.filter_map(|(name, value)| {
        Some(Header { name: name.to_string(), value: value.to_str().ok()?.to_owned() })
    });
    CallOutcome::Responded {
        status: response.status.as_u16().into(),
        headers: headers.collect(),
        body: response.body,
    }
}
