//! Loopback ports for processes that bind them themselves.
//!
//! A port that the system chose for one socket is given to another as soon as it is free again, so a process that is
//! told to bind it may find it taken. These ports lie outside the system's range and stay claimed by a datagram socket
//! until the test process ends, which other test processes respect.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};

use parking_lot::Mutex;

/// Ports that are claimed; Linux gives out 32768 and above unless its `ip_local_port_range` is changed.
const CLAIMED_PORTS: std::ops::Range<u16> = 20_000..32_000;

static CLAIMS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Claims a port on which nothing listens; `None` when all are taken.
pub fn claim() -> Option<u16> {
    let mut claims = CLAIMS.lock();
    let (port, socket) = CLAIMED_PORTS.clone().find_map(|port| Some((port, try_claim(port)?)))?;
    claims.push(socket);
    Some(port)
}

fn try_claim(port: u16) -> Option<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, port)).ok()?;
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok()?;
    Some(socket)
}
