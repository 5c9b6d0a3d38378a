//! Stand-in replicas as processes.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use switchfold_soak::replica::LISTENING_PREFIX;

/// A replica, killed when dropped.
struct ReplicaProcess {
    child: Child,
    address: SocketAddr,
}

impl ReplicaProcess {
    fn start(id: &str) -> Self {
        let arguments = ["replica", "--id", id, "--service", "desk", "--data-centre", "a"];
        // Nothing listens at the store's address, nor at the one that it advertises.
        let addresses =
            ["--advertise", "127.0.0.1:1", "--store", "127.0.0.1:1", "--linger-ms", "0"];
        let mut command = Command::new(env!("CARGO_BIN_EXE_switchfold-soak"));
        command.args(arguments).args(addresses);
        // It exits once its input is closed.
        let child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
        let mut child = child.expect("it starts");
        let mut lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
        let line = lines.next().expect("a line").expect("text");
        let address = line.strip_prefix(LISTENING_PREFIX).expect("its address");
        Self { child, address: address.parse().expect("an address") }
    }
}

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        let _has_ended = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Replicas of concurrent seeds reused each other's ports, and got requests that were sent to
/// replicas which had ended.
#[test]
fn replicas_reuse_no_address_of_each_other() {
    let (first, second) = (ReplicaProcess::start("i-1"), ReplicaProcess::start("i-2"));
    assert_ne!(first.address.ip(), second.address.ip());
}
