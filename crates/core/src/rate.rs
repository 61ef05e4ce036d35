//! Rate of something that is counted, which fades with time.

use std::time::Duration;

use crate::units::Instant;

/// Longest time over which a rate is taken, so that a fresh counter soon tells what it needs for a long span.
const SPAN_MAX: Duration = Duration::from_secs(300);

/// Amount a second over the last span; each call names the span, since a document may change it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    rate: f64,
    at: Instant,
}

impl Rate {
    /// Counts `amount` at `now`.
    #[expect(clippy::cast_precision_loss, reason = "a rate needs no more than 52 bits")]
    pub fn add(&mut self, amount: u64, now: Instant, span: Duration) {
        self.rate = self.per_second(now, span) + amount as f64 / seconds(span);
        self.at = now;
    }

    /// Amount a second, as of `now`.
    pub fn per_second(&self, now: Instant, span: Duration) -> f64 {
        let faded = now.since(self.at).as_secs_f64() / seconds(span);
        self.rate * (-faded).exp()
    }
}

/// Seconds over which a rate is taken.
fn seconds(span: Duration) -> f64 {
    span.min(SPAN_MAX).as_secs_f64().max(f64::EPSILON)
}
