//! Quantities with units: tokens, log offsets and times.

use std::time::Duration;

use std::iter::Sum;
use std::ops::{Add, AddAssign};

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// Number of tokens, the unit in which accounts prepay and requests are billed.
///
/// Sums stop at the largest number: what other writers and callers state must not end the process, and an amount beyond all
/// prepaid ones is refused whatever its size.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, From, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// Subtracts `other`, stopping at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Whether this is zero tokens.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, Add::add)
    }
}

/// Position in a topic of a store that may come back from an older copy.
///
/// Offsets go back then and are given out again, so an offset means something only within its era. See
/// `docs/PLATFORM.md#eras`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// Number of times that the store came back from an older copy.
    pub era: u64,
    /// Offset within the era.
    pub offset: Offset,
}

impl LogPosition {
    /// Position `offset` of `era`.
    pub const fn new(era: u64, offset: Offset) -> Self {
        Self { era, offset }
    }
}

/// Position of a record in a log stream.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, From, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Position after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Monotonic time since an origin that the caller chooses, so that only differences are meaningful.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(pub Duration);

impl Instant {
    /// Time elapsed since `earlier`, or zero when `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time that is `span` after this one.
    #[must_use]
    pub const fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span))
    }

    /// Time that is `span` before this one, at the earliest the origin.
    #[must_use]
    pub const fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(span))
    }
}

/// Monotonic time and time of day, read at the same moment.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Monotonic time.
    pub now: Instant,
    /// Milliseconds since the Unix epoch.
    pub unix: u64,
}
