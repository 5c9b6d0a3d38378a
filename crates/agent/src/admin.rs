//! HTTP server for `/healthz` and `/metrics` of an agent.

use http::{Request, StatusCode};
use hyper::body::Incoming;
use switchfold_kernel::{
    http::{ConnectionDropped, HttpLimits, HttpResponse, full_response, serve},
    shutdown::ShutdownSignal,
};
use tokio::net::TcpListener;
use xtra::Address;

use crate::service::{GateService, GateStatus, ReadStatus};

/// Serves the admin socket until the signal is raised.
pub(crate) async fn serve_admin(
    listener: TcpListener,
    gate: Address<GateService>,
    shutdown: ShutdownSignal,
) {
    let handler = move |request: Request<Incoming>| {
        let gate = gate.clone();
        async move { Ok::<HttpResponse, ConnectionDropped>(respond(&request, &gate).await) }
    };
    serve(listener, HttpLimits::default(), shutdown, handler).await;
}

async fn respond(request: &Request<Incoming>, gate: &Address<GateService>) -> HttpResponse {
    match request.uri().path() {
        "/healthz" => full_response(StatusCode::OK, "text/plain", "ok\n"),
        "/metrics" => match gate.send(ReadStatus).await {
            Ok(status) => {
                full_response(StatusCode::OK, "text/plain; version=0.0.4", render(&status))
            }
            Err(_) => full_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "stopping\n"),
        },
        _ => full_response(
            StatusCode::NOT_FOUND,
            "text/plain",
            "not found; available paths are /healthz and /metrics\n",
        ),
    }
}

/// Returns the metrics in the Prometheus text format.
pub fn render(status: &GateStatus) -> String {
    let counts = &status.counts;
    let counters = [
        ("admitted", counts.admitted),
        ("refused", counts.refused),
        ("refused_draining", counts.refused_draining),
        ("steps", counts.steps),
        ("repeated_steps", counts.repeated_steps),
        ("dropped_steps", counts.dropped_steps),
        ("gaps", counts.gaps),
        ("replayed_positions", counts.replayed_positions),
        ("stale_orders", counts.stale_orders),
        ("unexpected_messages", counts.unexpected_messages),
    ];
    let mut text = String::new();
    for (name, value) in counters {
        text += &format!("# TYPE switchfold_agent_{name}_total counter\n");
        text += &format!("switchfold_agent_{name}_total {value}\n");
    }
    text += "# TYPE switchfold_agent_in_flight gauge\n";
    text += &format!("switchfold_agent_in_flight {}\n", status.in_flight);
    text += "# TYPE switchfold_agent_draining gauge\n";
    text += &format!("switchfold_agent_draining {}\n", u8::from(status.draining));
    text
}
