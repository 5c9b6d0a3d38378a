//! HTTP service that responds to each call after a fixed time and counts the calls by body.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Request, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use switchfold_kernel::{
    http::{ConnectionDropped, HttpLimits, HttpResponse, json_response, read_body, serve},
    shutdown::ShutdownSignal,
};
use tokio::{net::TcpListener, time::sleep};

/// Largest request body in bytes; the connection of a larger one is dropped.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Response body.
#[derive(Debug, Serialize)]
struct ServiceResponse {
    path: String,
    body: String,
    runs: u64,
}

/// Stand-in for a service.
#[derive(Clone, Debug)]
pub struct ServiceStandin {
    work: Duration,
    runs: Arc<Mutex<HashMap<String, u64>>>,
}

impl ServiceStandin {
    /// Creates a service whose calls take the time `work`.
    pub fn new(work: Duration) -> Self {
        Self { work, runs: Arc::default() }
    }

    /// Returns how many calls with this body ran.
    pub fn runs(&self, body: &str) -> u64 {
        self.lock_runs().get(body).copied().unwrap_or(0)
    }

    /// Returns the number of calls for each body.
    pub fn all_runs(&self) -> HashMap<String, u64> {
        self.lock_runs().clone()
    }

    /// Serves requests until the signal is raised or the task is dropped.
    pub async fn serve(self, listener: TcpListener, shutdown: ShutdownSignal) {
        let handler = move |request| {
            let service = self.clone();
            async move { service.handle(request).await }
        };
        serve(listener, HttpLimits::default(), shutdown, handler).await;
    }

    async fn handle(self, request: Request<Incoming>) -> Result<HttpResponse, ConnectionDropped> {
        let path = request.uri().path().to_owned();
        let Ok(body) = read_body(request.into_body(), MAX_BODY_BYTES).await else {
            return Err(ConnectionDropped);
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        let runs = {
            let mut runs_by_body = self.lock_runs();
            let runs = runs_by_body.entry(body.clone()).or_default();
            *runs += 1;
            *runs
        };
        sleep(self.work).await;
        Ok(json_response(StatusCode::OK, &ServiceResponse { path, body, runs }))
    }

    fn lock_runs(&self) -> MutexGuard<'_, HashMap<String, u64>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
