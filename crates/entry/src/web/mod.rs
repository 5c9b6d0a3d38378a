//! HTTP API for callers and operators.
//!
//! | path | use |
//! |---|---|
//! | `POST /v1/completions` | callers: completion, in one response or as server-sent events |
//! | any method, `/v1/services/{service}/…` | callers: call to a plain HTTP service |
//! | `GET /v1/requests/{id}` | callers: outcome of an earlier request |
//! | `POST /v1/operator` | operators: one statement |
//! | `/healthz`, `/readyz`, `/metrics` | platform: liveness, readiness, metrics |
//!
//! Every response to a caller's request has the header `Switchfold-Outcome` with the value `done`,
//! `not-run` or `unknown`, and unless it is `done`, a machine-readable `Switchfold-Reason`. A
//! streamed response carries both at its end, in the last event and in the trailers.

mod access;
mod calls;
mod completions;
mod idempotency;
mod limits;
mod operator;
mod outcomes;
mod responses;

use std::sync::Arc;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use switchfold_core::Millis;
use switchfold_kernel::{
    clock::now_millis,
    http::{ConnectionDropped, HttpResponse, full_response},
    shutdown::ShutdownSignal,
};
use tokio::sync::watch;
use xtra::Address;

use crate::{
    claims::ClaimService,
    commands::CommandContext,
    config::{ConfigView, PeerDirectory},
    metrics::EntryMetrics,
    service::DispatchService,
    settings::EntrySettings,
};

pub use limits::RateLimits;

/// Data and services that request handlers use.
#[derive(Clone)]
pub struct WebContext {
    /// Settings of the entry.
    pub settings: Arc<EntrySettings>,
    /// Service that holds the requests and replicas.
    pub dispatch: Address<DispatchService>,
    /// Service that acquires claims on idempotency keys.
    pub claims: Address<ClaimService>,
    /// Context of operators' statements.
    pub commands: CommandContext,
    /// Current configuration.
    pub view: watch::Receiver<Arc<ConfigView>>,
    /// Addresses of the other entries.
    pub directory: PeerDirectory,
    /// Metrics, as served by `/metrics`.
    pub metrics: Arc<EntryMetrics>,
    /// Rate limits of organisations at this entry.
    pub limits: Arc<RateLimits>,
    /// Raised at a planned shutdown, after which new requests are rejected.
    pub shutdown: ShutdownSignal,
    /// Tracks the requests in flight, for which a planned shutdown waits.
    pub in_flight: ShutdownSignal,
    /// Time of the last message from the store or another entry; 0 before the first.
    pub last_contact: watch::Receiver<Millis>,
}

impl WebContext {
    /// Handles one request.
    ///
    /// # Errors
    ///
    /// Never returns an error; the type is required of the server's handlers.
    pub async fn respond(
        self,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, ConnectionDropped> {
        let path = request.uri().path();
        Ok(match (request.method(), path) {
            (_, "/healthz") => full_response(StatusCode::OK, "text/plain", "ok\n"),
            (_, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => self.metrics_text(),
            (&Method::POST, "/v1/completions") => completions::respond(&self, request).await,
            (&Method::POST, "/v1/operator") => operator::respond(&self, request).await,
            (&Method::GET, path) if path.starts_with("/v1/requests/") => {
                outcomes::respond(&self, &request).await
            }
            (_, path) if path.starts_with("/v1/services/") => calls::respond(&self, request).await,
            _ => responses::rejection(
                StatusCode::NOT_FOUND,
                "no-such-path",
                "see the list of paths in the README",
            ),
        })
    }

    /// Returns status 200 unless the entry is shutting down, has not received the whole configuration
    /// and the list of VMs yet, or has had no contact to the store or another entry for longer than
    /// the setting `cut_off_ms`.
    fn readiness(&self) -> HttpResponse {
        if self.shutdown.is_raised() {
            return full_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "stopping\n");
        }
        let has_config = {
            let view = self.view.borrow();
            view.is_complete && view.vms.revision > 0
        };
        if !has_config {
            return full_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "text/plain",
                "no configuration yet\n",
            );
        }
        let without_contact = now_millis().saturating_sub(*self.last_contact.borrow());
        if without_contact > self.settings.cut_off_ms {
            return full_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "text/plain",
                "cut off from the store and all peers\n",
            );
        }
        full_response(StatusCode::OK, "text/plain", "ready\n")
    }

    fn metrics_text(&self) -> HttpResponse {
        match self.metrics.render() {
            Ok(text) => full_response(StatusCode::OK, "text/plain; version=0.0.4", text),
            Err(error) => {
                full_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", error.to_string())
            }
        }
    }
}
