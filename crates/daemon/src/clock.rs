//! Clock abstraction, replaceable in tests.

use std::time::Duration;

use coltsfootpick_core::units::Instant;

/// Source of monotonic time.
pub trait Clock: Send + Sync + std::fmt::Debug {
    /// Returns the time since the clock's origin.
    fn now(&self) -> Instant;
}

/// Monotonic system clock, counted from its creation.
#[derive(Debug)]
pub struct SystemClock {
    origin: std::time::Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self { origin: std::time::Instant::now() }
    }
}

/// Offset of a new clock, so that it never returns [`Instant::default`], which means "never".
const START: Duration = Duration::from_secs(1);

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant(self.origin.elapsed() + START)
    }
}
