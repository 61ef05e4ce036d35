//! Graceful shutdown: the instance reports itself as not ready, waits for open requests, then returns its credit.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::blackboard::Blackboard;
use crate::credit_controller::CreditController;
use crate::log_event;
use crate::log_events::LogEvent;

/// Time until the platform has noticed that the instance is not ready: two intervals of one second between readiness
/// probes, plus the response time of a probe.
pub const READINESS_DELAY: Duration = Duration::from_millis(2_300);

/// Time reserved at the end of the grace period to abort open requests and to write the final credit record.
pub const CLOSING_TIME: Duration = Duration::from_millis(900);

/// Interval at which the number of open requests is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Drains the instance and waits until no request is open, at most until `CLOSING_TIME` before the end of `grace`.
///
/// Returns the number of requests that are still open.
pub async fn finish_requests(board: &Arc<Blackboard>, grace: Duration) -> u64 {
    let started = Instant::now();
    let cutoff = started + grace.saturating_sub(CLOSING_TIME);
    let _ = board.cutoff.set(cutoff);
    board.draining.cancel();
    tokio::time::sleep_until(cutoff.min(started + READINESS_DELAY)).await;
    board.closing.cancel();
    while Instant::now() < cutoff {
        if board.open_requests() == 0 {
            board.stopped.cancel();
            // Requests are counted as open before they check `stopped`, so one that passed the check is seen here.
            if board.open_requests() == 0 {
                return 0;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    board.stopped.cancel();
    board.open_requests()
}

/// Settles the loans of this instance and writes its final credit record, which returns its unused credit.
pub async fn return_credit(controller: &Arc<CreditController>, timeout: Duration) {
    controller.settle_last().await;
    let is_closed = tokio::time::timeout(timeout, controller.close()).await;
    log_event!(LogEvent::Stopped, "credit-returned={}", matches!(is_closed, Ok(true)));
}
