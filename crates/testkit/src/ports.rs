//! Reserved loopback ports for child processes that bind their ports themselves.
//!
//! The system may reuse a port that it chose as soon as the port is free, before the child process binds it. The ports
//! given out here therefore lie outside the system's ephemeral range, and a UDP socket reserves each of them against
//! other test processes until this process ends.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};

use parking_lot::Mutex;

/// Range of reserved ports, below the ephemeral ports of Linux (from 32768, unless `ip_local_port_range` is changed).
const PORT_RANGE: std::ops::Range<u16> = 20_000..32_000;

static RESERVATIONS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Reserves a port on which nothing listens; returns `None` if there is no free one.
pub fn reserve() -> Option<u16> {
    let mut reservations = RESERVATIONS.lock();
    let (port, socket) = PORT_RANGE.clone().find_map(|port| Some((port, try_reserve(port)?)))?;
    reservations.push(socket);
    Some(port)
}

/// Reserves `count` consecutive ports on which nothing listens and returns the first; `None` if they are not free.
pub fn reserve_block(count: u16) -> Option<u16> {
    // Aligned blocks, since processes that search at once would otherwise take ports out of each other's blocks.
    let mut blocks = PORT_RANGE.step_by(usize::from(count));
    let (first, sockets) = blocks.find_map(|first| {
        let sockets: Option<Vec<_>> = (first..first + count).map(try_reserve).collect();
        Some((first, sockets?))
    })?;
    RESERVATIONS.lock().extend(sockets);
    Some(first)
}

fn try_reserve(port: u16) -> Option<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, port)).ok()?;
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok()?;
    Some(socket)
}
