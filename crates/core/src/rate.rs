//! Exponentially decaying rate of a counted amount.

use std::time::Duration;

use crate::units::Instant;

/// Longest averaging time, so that a new counter approaches its rate soon even when the requested span is long.
const SPAN_MAX: Duration = Duration::from_secs(300);

/// Amount a second, averaged over a time span with exponential decay.
///
/// Each call passes the span, since a new document may change it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    rate: f64,
    updated: Instant,
}

impl Rate {
    /// Adds `amount` at `now`.
    #[expect(clippy::cast_precision_loss, reason = "a rate needs no more than 52 bits")]
    pub fn add(&mut self, amount: u64, now: Instant, span: Duration) {
        self.rate = self.per_second(now, span) + amount as f64 / seconds(span);
        self.updated = now;
    }

    /// Amount a second, as of `now`.
    pub fn per_second(&self, now: Instant, span: Duration) -> f64 {
        let elapsed_spans = now.since(self.updated).as_secs_f64() / seconds(span);
        self.rate * (-elapsed_spans).exp()
    }
}

/// Averaging time in seconds.
fn seconds(span: Duration) -> f64 {
    span.min(SPAN_MAX).as_secs_f64().max(f64::EPSILON)
}
