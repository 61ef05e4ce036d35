//! Limits on what clients can make an instance hold: a budget of bytes, shares of the sockets, and the choice of the
//! connections that are closed.
//!
//! Ordinary requests are small and arrive at once. Part of the budget is therefore open only to the first bytes of a
//! request, so that large or slow requests cannot displace ordinary ones.

use std::time::Duration;

use crate::units::Instant;

/// Bytes of one request or answer that count as ordinary; an ordinary body has 12 KB.
pub const ORDINARY_BYTES: u64 = 64 << 10;

/// Percentage of the budget up to which bytes beyond [`ORDINARY_BYTES`] are admitted.
const LARGE_BELOW: u64 = 80;

/// Percentage of the budget up to which new connections are admitted.
const CONNECTIONS_BELOW: u64 = 85;

/// Percentage of the budget above which connections are closed.
const CLOSE_ABOVE: u64 = 70;

/// Percentages of the budget above which an instance starts to report itself as not ready, and below which it stops.
const NOT_READY_ABOVE: u64 = 90;
const READY_BELOW: u64 = 75;

/// Descriptors that are reserved for files, out of all that the process may have open.
const FILE_DESCRIPTORS: u64 = 200;

/// Least number of sockets, so that a small limit still leaves an instance that can answer.
const SOCKETS_MIN: u64 = 64;

/// Memory of the process, in percent, that the budget covers. The rest holds code, tables, the log queue and the
/// fragmentation of the heap. At 88 MB, 400 requests of 12 KB that are served at the same time, as 200 a second of 2 s
/// each are, take less than half of the budget.
const BUDGET_PERCENT: u64 = 65;

/// Bytes per millisecond that a client must send or read; slower progress counts as delay.
const PROGRESS_PER_MS: u64 = 16;

/// Delay below which a connection that is within a head, a body or an answer is not closed to make room.
const DELAY_MIN: Duration = Duration::from_millis(100);

/// Delay below which an unread answer is not closed to make room; an ordinary reader may be busy for some time.
const UNREAD_MIN: Duration = Duration::from_secs(2);

/// What bytes are charged for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteUse {
    /// A new connection.
    Connection,
    /// The first [`ORDINARY_BYTES`] of a request or an answer.
    Ordinary,
    /// Further bytes of a request or an answer.
    Large,
}

/// Budget of the bytes that connections, requests and answers hold.
#[derive(Clone, Copy, Debug, Default)]
pub struct ByteBudget {
    /// Bytes that may be held; `None` if not limited.
    capacity: Option<u64>,
    used: u64,
    is_pressed: bool,
}

impl ByteBudget {
    /// Sets the memory of the process from which the capacity follows.
    pub fn set_memory(&mut self, memory: Option<u64>) {
        self.capacity = memory.map(|bytes| bytes / 100 * BUDGET_PERCENT);
    }

    /// Charges `bytes`; returns false, and charges nothing, if the budget does not admit them.
    pub fn charge(&mut self, bytes: u64, byte_use: ByteUse) -> bool {
        let percent = match byte_use {
            ByteUse::Connection => CONNECTIONS_BELOW,
            ByteUse::Ordinary => 100,
            ByteUse::Large => LARGE_BELOW,
        };
        let used = self.used.saturating_add(bytes);
        if self.capacity.is_some_and(|capacity| used > share(capacity, percent)) {
            return false;
        }
        self.used = used;
        true
    }

    /// Releases charged bytes.
    pub fn release(&mut self, bytes: u64) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Bytes held.
    pub const fn used(&self) -> u64 {
        self.used
    }

    /// Bytes above the level at which connections are closed.
    pub fn excess(&self) -> u64 {
        self.capacity.map_or(0, |capacity| self.used.saturating_sub(share(capacity, CLOSE_ABOVE)))
    }

    /// Whether the instance reported itself as not ready at the last [`update`](Self::update).
    pub const fn is_pressed(&self) -> bool {
        self.is_pressed
    }

    /// Updates whether the instance reports itself as not ready, with hysteresis; returns whether that changed.
    pub fn update(&mut self) -> bool {
        let Some(capacity) = self.capacity else { return false };
        let limit = share(capacity, if self.is_pressed { READY_BELOW } else { NOT_READY_ABOVE });
        let was_pressed = std::mem::replace(&mut self.is_pressed, self.used > limit);
        was_pressed != self.is_pressed
    }
}

fn share(capacity: u64, percent: u64) -> u64 {
    capacity / 100 * percent
}

/// Kind of an open socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketKind {
    /// Connection of a caller.
    Caller,
    /// Connection of a readiness probe or a reader of metrics.
    Status,
    /// Connection of another instance for loans and settlements.
    Peer,
    /// Connection of another instance for forwarded requests.
    Forward,
    /// Connection to a backend server.
    Server,
}

impl SocketKind {
    /// Every kind.
    pub const ALL: [Self; 5] = [Self::Caller, Self::Status, Self::Peer, Self::Forward, Self::Server];

    /// Most sockets of this kind out of `all`. Together the shares exceed all, since they are not in use at once.
    pub fn share_of(self, all: u64) -> u64 {
        match self {
            Self::Caller => all / 8 * 5,
            Self::Status => (all / 16).min(64),
            Self::Peer => all / 6,
            Self::Forward => (all / 8).min(512),
            Self::Server => all,
        }
    }
}

/// Sockets that may be open, from the descriptors that the process may have open.
pub fn sockets_within(descriptors: u64) -> u64 {
    descriptors.saturating_sub(FILE_DESCRIPTORS).max(SOCKETS_MIN)
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing: no part of a request has arrived.
    Idle,
    /// Receiving a head, or the first frame of another instance.
    Head,
    /// Receiving a body.
    Body,
    /// Serving a request, up to the end of its answer.
    Working,
}

/// State of a connection from which the choice is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionView {
    /// Number of the connection.
    pub id: u64,
    /// Kind of the connection.
    pub kind: SocketKind,
    /// What it is doing.
    pub phase: Phase,
    /// When the phase began.
    pub since: Instant,
    /// Bytes received in the phase.
    pub received: u64,
    /// Time from which bytes wait to be read by the client, moved forward as it reads.
    pub unread_since: Option<Instant>,
}

/// Time limits of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// Longest time for a head.
    pub head: Duration,
    /// Longest time for which a body may bring nothing.
    pub body: Duration,
    /// Longest time for which an answer may stay unread.
    pub answer: Duration,
    /// Longest time that a connection may be idle.
    pub idle: Duration,
}

/// Reason for which a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum CloseReason {
    /// A head did not arrive in time.
    #[display("slow-head")]
    SlowHead,
    /// An answer was not read in time.
    #[display("unread-answer")]
    UnreadAnswer,
    /// The connection was idle for too long.
    #[display("idle")]
    Idle,
    /// Room was needed and the connection was idle.
    #[display("room-idle")]
    RoomIdle,
    /// Room was needed and the connection took longest for what it sent or read.
    #[display("room-slow")]
    RoomSlow,
}

/// Moves the start of a delay forward by the time in which a client at the least accepted speed passes `bytes`.
#[must_use]
pub fn advance(since: Instant, bytes: u64, now: Instant) -> Instant {
    since.after(Duration::from_millis(bytes / PROGRESS_PER_MS)).min(now)
}

impl ConnectionView {
    /// Time by which the client is behind one that sends or reads at the least accepted speed.
    fn delay(&self, now: Instant) -> Option<Duration> {
        let (since, least) = match (self.unread_since, self.phase) {
            (Some(since), _) => (since, UNREAD_MIN),
            (None, Phase::Head | Phase::Body) => (advance(self.since, self.received, now), self.delay_min()),
            (None, Phase::Idle | Phase::Working) => return None,
        };
        Some(now.since(since)).filter(|delay| *delay >= least)
    }

    /// A probe sends its head at once, so the longest of the few status connections always makes room for the next.
    fn delay_min(&self) -> Duration {
        if self.kind == SocketKind::Status { Duration::ZERO } else { DELAY_MIN }
    }

    /// Reason to close the connection whether or not room is needed.
    pub fn overdue(&self, limits: &TimeLimits, now: Instant) -> Option<CloseReason> {
        let age = now.since(self.since);
        match self.phase {
            _ if self.unread_since.is_some_and(|since| now.since(since) > limits.answer) => {
                Some(CloseReason::UnreadAnswer)
            }
            Phase::Head if age > limits.head => Some(CloseReason::SlowHead),
            Phase::Idle if age > limits.idle => Some(CloseReason::Idle),
            _ => None,
        }
    }
}

/// Chooses at most `count` connections to close to make room: idle ones, the longest idle first, then those that are
/// furthest behind.
pub fn choose_victims(views: &[ConnectionView], count: usize, now: Instant) -> Vec<(u64, CloseReason)> {
    let idle = |view: &&ConnectionView| view.phase == Phase::Idle && view.unread_since.is_none();
    let mut idle: Vec<_> = views.iter().filter(idle).map(|view| (view.since, view.id)).collect();
    idle.sort_unstable();
    let mut slow: Vec<_> = views.iter().filter_map(|view| Some((view.delay(now)?, view.id))).collect();
    slow.sort_unstable_by(|one, other| other.cmp(one));
    let idle = idle.into_iter().map(|(_, id)| (id, CloseReason::RoomIdle));
    idle.chain(slow.into_iter().map(|(_, id)| (id, CloseReason::RoomSlow))).take(count).collect()
}
