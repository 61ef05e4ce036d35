//! When an instance writes a snapshot: by records and age, spread over the fleet by a random share.

use std::time::Duration;

use rand_core::Rng;

use crate::units::{Instant, Offset};

/// Limits of a stream's snapshots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotLimits {
    /// Most records between two snapshots.
    pub records: u64,
    /// Longest time between two snapshots, since snapshots expire too.
    pub age: Duration,
}

/// Smallest share of the limits at which an instance writes, in percent.
const SHARE_LEAST: u64 = 50;

/// When the next snapshot of one stream is due on this instance.
#[derive(Clone, Debug)]
pub struct SnapshotSchedule {
    limits: SnapshotLimits,
    covered: Offset,
    since: Instant,
    share: u64,
}

impl SnapshotSchedule {
    /// Starts with no snapshot known at `now`.
    pub fn new(limits: SnapshotLimits, now: Instant, random: &mut impl Rng) -> Self {
        let mut schedule = Self { limits, covered: Offset::default(), since: now, share: 100 };
        schedule.renew(Offset::default(), now, random);
        schedule
    }

    /// Notes that a snapshot up to `covered` is known since `now`, and draws a new share.
    pub fn renew(&mut self, covered: Offset, now: Instant, random: &mut impl Rng) {
        self.covered = covered;
        self.since = now;
        self.share = SHARE_LEAST + random.next_u64() % (101 - SHARE_LEAST);
    }

    /// First offset that the newest known snapshot does not cover.
    pub const fn covered(&self) -> Offset {
        self.covered
    }

    /// Tells whether a snapshot up to `next` is due; an untouched stream needs none.
    pub fn is_due(&self, next: Offset, now: Instant) -> bool {
        let records = next.0.saturating_sub(self.covered.0);
        let is_old = now.since(self.since).as_millis() * 100 >= self.limits.age.as_millis() * u128::from(self.share);
        next != Offset::default() && (records * 100 >= self.limits.records * self.share || is_old)
    }
}
