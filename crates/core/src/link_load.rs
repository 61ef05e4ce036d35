//! Load of an instance's network link, and admission of requests by that load.
//!
//! The platform distributes the callers of an availability zone unevenly, and small instances have narrow links. On an
//! overloaded link every answer is late, while a request that is refused at once can go to another instance. See
//! `docs/PLATFORM.md#links`.

use std::time::Duration;

use crate::rate::Rate;
use crate::units::Instant;

/// Time span over which the traffic rate is measured.
const RATE_SPAN: Duration = Duration::from_millis(700);

/// Usage above which a link counts as full. The platform sends new connections to other instances about 2 s later, and
/// the callers of one client account can double the traffic in that time.
const FULL_ABOVE: f64 = 0.5;

/// Usage below which a full link no longer counts as full. New connections come back at once and in a crowd, so the link
/// must be nearly idle by then.
const OPEN_BELOW: f64 = 0.25;

/// Usage below which requests of rank 0 are admitted.
///
/// With 0.9, more answers were lost to refusals than became timely.
const ADMITTED_BELOW: f64 = 1.05;

/// Difference of the admission limit between successive ranks.
const RANK_STEP: f64 = 0.05;

/// Rank from which all lower priorities share one admission limit.
const RANK_MAX: u8 = 3;

/// Bytes that the HTTP and packet headers of an answer add to its body.
pub const ANSWER_OVERHEAD_BYTES: u64 = 400;

/// Bytes that framing and packet headers add to a chunk of a streamed answer.
pub const CHUNK_OVERHEAD_BYTES: u64 = 70;

/// Load of the network link of one instance.
#[derive(Clone, Copy, Debug)]
pub struct LinkLoad {
    /// Capacity in one direction, in bytes per second; `None` if not limited.
    capacity: Option<f64>,
    traffic: Rate,
    is_full: bool,
}

/// Change of a link between full and not full.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkChange {
    /// Whether the link is now full.
    pub is_full: bool,
    /// Fraction of the capacity in use.
    pub usage: f64,
}

impl LinkLoad {
    /// Creates the load of an idle link with `capacity` bytes per second in one direction.
    pub fn new(capacity: Option<f64>) -> Self {
        Self { capacity: capacity.filter(|rate| *rate > 0.0), traffic: Rate::default(), is_full: false }
    }

    /// Counts `bytes` that pass the link in each direction, because the instance receives and forwards them.
    pub fn record(&mut self, bytes: u64, now: Instant) {
        self.traffic.add(bytes, now, RATE_SPAN);
    }

    /// Returns the fraction of the capacity in use, or 0 if the capacity is not limited.
    pub fn usage(&self, now: Instant) -> f64 {
        self.capacity.map_or(0.0, |capacity| self.traffic.per_second(now, RATE_SPAN) / capacity)
    }

    /// Returns whether a request of `rank` is admitted; rank 0 has the highest priority.
    pub fn admits(&self, rank: u8, now: Instant) -> bool {
        self.usage(now) < ADMITTED_BELOW - f64::from(rank.min(RANK_MAX)) * RANK_STEP
    }

    /// Returns whether the link was full at the last [`update`](Self::update), so that new callers should go elsewhere.
    pub const fn is_full(&self) -> bool {
        self.is_full
    }

    /// Updates whether the link is full, with hysteresis, and returns the change if there is one.
    pub fn update(&mut self, now: Instant) -> Option<LinkChange> {
        let usage = self.usage(now);
        let is_full = usage > if self.is_full { OPEN_BELOW } else { FULL_ABOVE };
        let has_changed = is_full != self.is_full;
        self.is_full = is_full;
        has_changed.then_some(LinkChange { is_full, usage })
    }
}
