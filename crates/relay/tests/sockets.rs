//! Sockets of a relay that starts.

mod harness;

use std::{
    net::{SocketAddr, TcpListener, UdpSocket},
    time::Duration,
};

use harness::{bounds, run_test};
use switchfold_relay::{
    run::RelaySockets,
    settings::{OverloadControl, RelaySettings},
};
use tokio::{task::spawn_local, time::sleep};

fn settings(listen: SocketAddr, peer_listen: SocketAddr) -> RelaySettings {
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    RelaySettings {
        name: "relay-1".to_owned(),
        data_centre: "hall".to_owned(),
        region: "west".to_owned(),
        listen,
        ready_listen: any,
        peer_listen,
        metrics_listen: any,
        platform: any,
        first_start: false,
        processor_share: None,
        memory_mb: 256.0,
        max_descriptors: 4_096.0,
        overload_control: OverloadControl::default(),
        load_aware_paths: false,
        bounds: bounds(),
    }
}

/// Guards against a relay that ended because a port was taken for a moment when it started.
#[test]
fn an_address_in_use_is_waited_for() {
    run_test(async {
        // An address of its own, so that no outgoing connection gets its ports.
        let callers = TcpListener::bind("127.67.0.1:0").expect("a free port");
        let peers = UdpSocket::bind("127.67.0.1:0").expect("a free port");
        let listen = callers.local_addr().expect("bound");
        let peer_listen = peers.local_addr().expect("bound");
        spawn_local(async move {
            sleep(Duration::from_millis(200)).await;
            drop((callers, peers));
        });
        let sockets = RelaySockets::bind(&settings(listen, peer_listen)).await.expect("bound");
        assert_eq!(sockets.callers.local_addr().expect("bound"), listen);
        assert_eq!(sockets.peers.local_addr().expect("bound"), peer_listen);
        assert_eq!(sockets.snapshots.local_addr().expect("bound"), peer_listen);
    });
}
