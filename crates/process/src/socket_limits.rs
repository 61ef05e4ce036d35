//! Time limits of TCP connections, one set for each kind of peer.
//!
//! On Linux `TCP_USER_TIMEOUT` decides when keep-alive probes give up, whatever their count, and libraries may set one by
//! themselves. So both are always set together, and the probes' count follows from them. See
//! `docs/OPERATIONS.md#silent-connections`.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};

/// Time limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketLimits {
    /// Silence after which the first keep-alive probe is sent.
    pub idle: Duration,
    /// Time between two probes.
    pub interval: Duration,
    /// Time after which unacknowledged bytes or probes close the connection.
    pub unacknowledged: Duration,
}

/// Connections to backend servers and the store. A sound server may be silent for a second or so.
pub const SERVER: SocketLimits = SocketLimits {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    unacknowledged: Duration::from_secs(3),
};

/// Connections between instances.
pub const PEER: SocketLimits = SocketLimits {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    unacknowledged: Duration::from_secs(2),
};

/// Connections of callers, longer than any deadline that they set.
pub const CALLER: SocketLimits = SocketLimits {
    idle: Duration::from_secs(15),
    interval: Duration::from_secs(5),
    unacknowledged: Duration::from_secs(20),
};

impl SocketLimits {
    /// Probes that fit into the time after which a silent connection is closed, at least one.
    pub fn probes(&self) -> u32 {
        let after_idle = self.unacknowledged.saturating_sub(self.idle).as_millis();
        u32::try_from(after_idle.div_ceil(self.interval.as_millis().max(1))).unwrap_or(u32::MAX).max(1)
    }

    /// Longest time from the last sign of life of a peer that went silent to the end of the connection.
    pub fn noticed_after(&self) -> Duration {
        self.idle + self.interval * self.probes()
    }

    /// Sets the limits on `socket`.
    ///
    /// # Errors
    ///
    /// Fails if the system rejects an option.
    pub fn apply<'a>(&self, socket: impl Into<SockRef<'a>>) -> std::io::Result<()> {
        let socket = socket.into();
        let keepalive = TcpKeepalive::new().with_time(self.idle).with_interval(self.interval);
        socket.set_tcp_keepalive(&keepalive.with_retries(self.probes()))?;
        socket.set_tcp_user_timeout(Some(self.unacknowledged))
    }
}
