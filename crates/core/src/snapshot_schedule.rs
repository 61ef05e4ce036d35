//! Schedule of an instance's snapshots by records and age, randomized to spread them over the instances of the fleet.

use std::time::Duration;

use rand_core::Rng;

use crate::units::{Instant, Offset};

/// Limits on the distance between two snapshots of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotLimits {
    /// Maximum number of records between two snapshots.
    pub records: u64,
    /// Maximum time between two snapshots, because snapshots expire too.
    pub age: Duration,
}

/// Smallest random fraction of the limits at which an instance writes a snapshot, in percent.
const MIN_PERCENT: u64 = 50;

/// Schedule of the next snapshot of one stream on this instance.
#[derive(Clone, Debug)]
pub struct SnapshotSchedule {
    limits: SnapshotLimits,
    covered: Offset,
    since: Instant,
    percent: u64,
}

impl SnapshotSchedule {
    /// Creates a schedule without a known snapshot.
    pub fn new(limits: SnapshotLimits, now: Instant, random: &mut impl Rng) -> Self {
        let mut schedule = Self { limits, covered: Offset::default(), since: now, percent: 100 };
        schedule.renew(Offset::default(), now, random);
        schedule
    }

    /// Restarts the schedule at a snapshot that covers the records before `covered`, with a new random fraction.
    pub fn renew(&mut self, covered: Offset, now: Instant, random: &mut impl Rng) {
        self.covered = covered;
        self.since = now;
        self.percent = MIN_PERCENT + random.next_u64() % (101 - MIN_PERCENT);
    }

    /// Returns the first offset that the newest known snapshot does not cover.
    pub const fn covered(&self) -> Offset {
        self.covered
    }

    /// Returns whether a snapshot of the records before `next` is due; an empty stream needs none.
    pub fn is_due(&self, next: Offset, now: Instant) -> bool {
        let records = next.0.saturating_sub(self.covered.0);
        let is_old = now.since(self.since).as_millis() * 100 >= self.limits.age.as_millis() * u128::from(self.percent);
        next != Offset::default() && (records * 100 >= self.limits.records * self.percent || is_old)
    }
}
