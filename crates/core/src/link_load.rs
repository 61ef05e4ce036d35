//! Use of an instance's network link, and which requests it can still carry.
//!
//! The load that this answers: the platform brings the callers of a zone to its instances unevenly, and the links of small
//! instances are narrow. Beyond a link's rate every answer is late; a request that is refused at once goes to another
//! instance. See `docs/PLATFORM.md#links`.

use std::time::Duration;

use crate::rate::Rate;
use crate::units::Instant;

/// Span over which the rate is taken.
const RATE_SPAN: Duration = Duration::from_millis(700);

/// Use above which a link is full, so that the platform sends new callers elsewhere; it does some 2 s later. At 0.5 two
/// instances of grown tahrir took turns twice as often and refused twice as much.
const FULL_ABOVE: f64 = 0.7;

/// Use below which a link is no longer full.
const OPEN_BELOW: f64 = 0.45;

/// Use up to which requests of the first rank are taken. Refusing from 0.9 on cost more answers than it brought in time.
const TAKEN_BELOW: f64 = 1.05;

/// Use by which each further rank is refused earlier.
const RANK_STEP: f64 = 0.05;

/// Ranks that are told apart.
const RANKS: u8 = 3;

/// Bytes that the headers of an answer, and of the packets around it, add to its body.
pub const ANSWER_OVERHEAD_BYTES: u64 = 400;

/// Bytes that the framing and the packet of one piece of a streamed answer add to it.
pub const CHUNK_OVERHEAD_BYTES: u64 = 70;

/// Network link of one instance.
#[derive(Clone, Copy, Debug)]
pub struct LinkLoad {
    /// Bytes that it carries a second in one direction; not limited where none is told.
    capacity: Option<f64>,
    traffic: Rate,
    is_full: bool,
}

/// Change of a link's state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkChange {
    /// Whether it is full from now on.
    pub is_full: bool,
    /// Used part of its capacity.
    pub usage: f64,
}

impl LinkLoad {
    /// Idle link that carries `capacity` bytes a second in one direction.
    pub fn new(capacity: Option<f64>) -> Self {
        Self { capacity: capacity.filter(|rate| *rate > 0.0), traffic: Rate::default(), is_full: false }
    }

    /// Notes that `bytes` pass the link in each direction: what comes from one side goes on to the other.
    pub fn record(&mut self, bytes: u64, now: Instant) {
        self.traffic.add(bytes, now, RATE_SPAN);
    }

    /// Used part of the capacity; 0 for a link without a known one.
    pub fn usage(&self, now: Instant) -> f64 {
        self.capacity.map_or(0.0, |capacity| self.traffic.per_second(now, RATE_SPAN) / capacity)
    }

    /// Whether a request of `rank`, 0 before all others, is still taken.
    pub fn admits(&self, rank: u8, now: Instant) -> bool {
        self.usage(now) < TAKEN_BELOW - f64::from(rank.min(RANKS)) * RANK_STEP
    }

    /// Whether it is full, as of the last look; callers had better go elsewhere.
    pub const fn is_full(&self) -> bool {
        self.is_full
    }

    /// Looks whether it became full, or no longer is.
    pub fn update(&mut self, now: Instant) -> Option<LinkChange> {
        let usage = self.usage(now);
        let is_full = usage > if self.is_full { OPEN_BELOW } else { FULL_ABOVE };
        let has_changed = is_full != self.is_full;
        self.is_full = is_full;
        has_changed.then_some(LinkChange { is_full, usage })
    }
}
