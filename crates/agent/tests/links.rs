//! Tests of links over sockets: authentication, protocol versions, overlapping connections and
//! shutdown.

use std::time::Duration;

use switchfold_agent::{
    AgentSockets, run_agent,
    settings::{AgentSettings, ServiceSettings},
};
use switchfold_kernel::shutdown::ShutdownSignal;
use switchfold_link::{ClientLink, LinkError, connect_link};
use switchfold_proto::{
    PROTOCOL_VERSION,
    link::{Call, DrainSeen, Hello, RequestId, message::Body},
};
use switchfold_standin::service::ServiceStandin;
use tokio::net::TcpListener;

async fn bind() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    (listener, address)
}

async fn start_agent() -> (String, ServiceStandin, ShutdownSignal) {
    let (service_listener, service_address) = bind().await;
    let (link, address) = bind().await;
    let service = ServiceStandin::new(Duration::from_millis(100));
    tokio::spawn(service.clone().serve(service_listener, ShutdownSignal::new()));
    let settings = AgentSettings {
        name: "service-0".to_owned(),
        data_centre: "here".to_owned(),
        listen: address.clone(),
        admin: None,
        cluster_token: "secret".to_owned(),
        engine: None,
        service: Some(ServiceSettings {
            name: "bidding".to_owned(),
            address: service_address,
            slots: 4,
            call_ms: 20_000,
        }),
        log_bytes: 0,
        reserve_hundredths: 0,
        target_hundredths: 0,
        offer_ms: 50,
        ledger: 1_000,
    };
    let signal = ShutdownSignal::new();
    tokio::spawn(run_agent(settings, AgentSockets { link, admin: None }, signal.clone()));
    (address, service, signal)
}

fn hello(protocol: u32) -> Hello {
    Hello {
        protocol,
        process: "entry-0".to_owned(),
        incarnation: 5,
        entry: true,
        data_centre: "here".to_owned(),
    }
}

async fn next_body(link: &mut ClientLink, matches: impl Fn(&Body) -> bool) -> Option<Body> {
    while let Ok(Some(frame)) = link.frames.message().await {
        for body in frame.messages.into_iter().filter_map(|message| message.body) {
            if matches(&body) {
                return Some(body);
            }
        }
    }
    None
}

fn call(counter: u64) -> Body {
    Body::Call(Call {
        request: Some(RequestId { incarnation: 5, counter }),
        attempt: 1,
        service: "bidding".to_owned(),
        method: "POST".to_owned(),
        path: "/run".to_owned(),
        headers: Vec::new(),
        body: format!("call {counter}").into_bytes().into(),
        once: true,
    })
}

#[tokio::test]
async fn wrong_tokens_and_other_protocol_versions_are_refused() {
    let (address, ..) = start_agent().await;
    let wrong_token = connect_link(&address, "wrong", hello(PROTOCOL_VERSION)).await;
    assert!(
        matches!(&wrong_token, Err(LinkError::Refused { detail }) if detail.contains("cluster token")),
        "{wrong_token:?}"
    );
    let other_version = connect_link(&address, "secret", hello(PROTOCOL_VERSION + 1)).await;
    assert!(
        matches!(&other_version, Err(LinkError::Refused { detail }) if detail.contains("upgrade")),
        "{other_version:?}"
    );
    let bad_address = connect_link("not an address", "secret", hello(PROTOCOL_VERSION)).await;
    assert!(matches!(
        bad_address,
        Err(LinkError::BadAddress { .. } | LinkError::Unreachable { .. })
    ));
    assert!(matches!(connect_link(&address, "a\nb", hello(1)).await, Err(LinkError::BadToken)));
}

/// An entry may open a new connection before the agent notices the end of the earlier one. The late
/// end of the earlier connection must not close the new one or release its requests.
#[tokio::test]
async fn a_late_end_of_an_earlier_connection_leaves_the_new_one_open() {
    let (address, service, _signal) = start_agent().await;
    let mut earlier =
        connect_link(&address, "secret", hello(PROTOCOL_VERSION)).await.expect("linked");
    assert!(next_body(&mut earlier, |body| matches!(body, Body::Offer(_))).await.is_some());
    let mut current =
        connect_link(&address, "secret", hello(PROTOCOL_VERSION)).await.expect("linked");
    assert!(next_body(&mut current, |body| matches!(body, Body::Offer(_))).await.is_some());
    assert!(current.sender.send(call(1)));
    drop(earlier);
    let response = next_body(&mut current, |body| matches!(body, Body::CallAnswer(_))).await;
    assert!(matches!(response, Some(Body::CallAnswer(answer)) if answer.status == 200));
    assert!(current.sender.send(call(2)));
    assert!(next_body(&mut current, |body| matches!(body, Body::CallAnswer(_))).await.is_some());
    assert_eq!((service.runs("call 1"), service.runs("call 2")), (1, 1));
}

#[tokio::test]
async fn a_graceful_shutdown_finishes_the_call_in_flight() {
    let (address, service, signal) = start_agent().await;
    let mut link = connect_link(&address, "secret", hello(PROTOCOL_VERSION)).await.expect("linked");
    assert!(link.sender.send(call(7)));
    let is_busy =
        |body: &Body| matches!(body, Body::Heartbeat(heartbeat) if heartbeat.running == 1);
    assert!(next_body(&mut link, is_busy).await.is_some());
    signal.raise();
    let is_draining = |body: &Body| matches!(body, Body::Offer(offer) if offer.draining);
    assert!(next_body(&mut link, is_draining).await.is_some());
    assert!(link.sender.send(Body::DrainSeen(DrainSeen {})));
    let response = next_body(&mut link, |body| matches!(body, Body::CallAnswer(_))).await;
    assert!(response.is_some(), "the call in flight gets its response");
    assert_eq!(service.runs("call 7"), 1);
}
