//! HTTP for callers and operators.
//!
//! | path | for |
//! |---|---|
//! | `POST /v1/completions` | callers: tokens of a model, whole or as server-sent events |
//! | any method, `/v1/services/{service}/…` | callers: a plain service |
//! | `GET /v1/requests/{id}` | callers: the outcome of an earlier request |
//! | `POST /v1/operator` | operators: one statement |
//! | `/healthz`, `/readyz`, `/metrics` | the platform |
//!
//! Every answer to a caller's request carries `Switchfold-Outcome`: `done`, `not-run` or `unknown`,
//! and where it is not `done`, a machine-readable `Switchfold-Reason`. A streamed answer carries both
//! again at its end, as a last event and as a trailer.

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

/// Everything that answers need.
#[derive(Clone)]
pub struct WebContext {
    /// Settings of the entry.
    pub settings: Arc<EntrySettings>,
    /// Requests.
    pub dispatch: Address<DispatchService>,
    /// Claims.
    pub claims: Address<ClaimService>,
    /// What operators' statements need.
    pub commands: CommandContext,
    /// What is in force.
    pub view: watch::Receiver<Arc<ConfigView>>,
    /// Other entries.
    pub directory: PeerDirectory,
    /// Metrics.
    pub metrics: Arc<EntryMetrics>,
    /// Rates of organisations.
    pub limits: Arc<RateLimits>,
    /// Raised at a planned stop.
    pub shutdown: ShutdownSignal,
    /// Work that a planned stop waits for.
    pub work: ShutdownSignal,
    /// When the store or a peer was last heard of.
    pub last_contact: watch::Receiver<Millis>,
}

impl WebContext {
    /// Answers one request.
    ///
    /// # Errors
    ///
    /// Never; the type is that of the server's handlers.
    pub async fn answer(
        self,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, ConnectionDropped> {
        let path = request.uri().path();
        Ok(match (request.method(), path) {
            (_, "/healthz") => full_response(StatusCode::OK, "text/plain", "ok\n"),
            (_, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => self.metrics_text(),
            (&Method::POST, "/v1/completions") => completions::answer(&self, request).await,
            (&Method::POST, "/v1/operator") => operator::answer(&self, request).await,
            (&Method::GET, path) if path.starts_with("/v1/requests/") => {
                outcomes::answer(&self, &request).await
            }
            (_, path) if path.starts_with("/v1/services/") => calls::answer(&self, request).await,
            _ => responses::refusal(
                StatusCode::NOT_FOUND,
                "no-such-path",
                "see the list of paths in the README",
            ),
        })
    }

    /// Ready: not stopping, and not cut off from the store and all peers.
    fn readiness(&self) -> HttpResponse {
        if self.shutdown.is_raised() {
            return full_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "stopping\n");
        }
        let heard = *self.last_contact.borrow();
        if heard == 0 {
            return full_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "text/plain",
                "no configuration yet\n",
            );
        }
        let silent = now_millis().saturating_sub(heard);
        if silent > self.settings.cut_off_ms {
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
