//! A plain service: answers each call after a while, and counts how often each call came.

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

/// Largest body that it takes.
const MOST_BODY: usize = 1 << 20;

/// What it answers.
#[derive(Debug, Serialize)]
struct ServiceAnswer {
    path: String,
    body: String,
    runs: u64,
}

/// A stand-in service.
#[derive(Clone, Debug)]
pub struct ServiceStandin {
    work: Duration,
    runs: Arc<Mutex<HashMap<String, u64>>>,
}

impl ServiceStandin {
    /// Makes a service that works `work` on each call.
    pub fn new(work: Duration) -> Self {
        Self { work, runs: Arc::default() }
    }

    /// How often a call with this body ran.
    pub fn runs(&self, body: &str) -> u64 {
        self.table().get(body).copied().unwrap_or(0)
    }

    /// How often each body ran, over all calls.
    pub fn all_runs(&self) -> HashMap<String, u64> {
        self.table().clone()
    }

    /// Serves until the signal is raised or the task is dropped.
    pub async fn serve(self, listener: TcpListener, shutdown: ShutdownSignal) {
        let handler = move |request| {
            let service = self.clone();
            async move { service.answer(request).await }
        };
        serve(listener, HttpLimits::default(), shutdown, handler).await;
    }

    async fn answer(self, request: Request<Incoming>) -> Result<HttpResponse, ConnectionDropped> {
        let path = request.uri().path().to_owned();
        let Ok(body) = read_body(request.into_body(), MOST_BODY).await else {
            return Err(ConnectionDropped);
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        let runs = {
            let mut table = self.table();
            let runs = table.entry(body.clone()).or_default();
            *runs += 1;
            *runs
        };
        sleep(self.work).await;
        Ok(json_response(StatusCode::OK, &ServiceAnswer { path, body, runs }))
    }

    fn table(&self) -> MutexGuard<'_, HashMap<String, u64>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
