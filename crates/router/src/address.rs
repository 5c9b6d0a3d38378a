//! Addresses that another writer may have made up.

use std::net::{IpAddr, SocketAddr};

/// Returns whether an address can be that of one process: it has a port and is neither a wildcard
/// nor that of a group.
pub fn is_endpoint(address: SocketAddr) -> bool {
    let ip = address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}
