//! End of an instance: new connections go elsewhere first, then open requests end, then credit is given back.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::blackboard::Blackboard;
use crate::credit_controller::CreditController;
use crate::log_event;
use crate::log_events::LogEvent;

/// Time for the platform to notice that the instance is not ready: two questions a second apart, and one's answer.
pub const NOTICE_TIME: Duration = Duration::from_millis(2_300);

/// Time kept at the end to cut what is still open and to write the last record.
pub const CLOSING_TIME: Duration = Duration::from_millis(900);

/// How often open requests are counted.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Stops taking connections, then requests, and waits until every request has ended, at most until `grace` after the
/// stop was asked for.
///
/// Returns the number of requests that are still open.
pub async fn wait_for_open(board: &Arc<Blackboard>, grace: Duration) -> u64 {
    let asked = Instant::now();
    let until = asked + grace.saturating_sub(CLOSING_TIME);
    let _ = board.cutoff.set(until);
    board.draining.cancel();
    tokio::time::sleep_until(until.min(asked + NOTICE_TIME)).await;
    board.closing.cancel();
    while Instant::now() < until {
        if board.open_requests() == 0 {
            board.stopped.cancel();
            // A request that came before the line above was counted as open before it asked whether it can end.
            if board.open_requests() == 0 {
                return 0;
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    board.stopped.cancel();
    board.open_requests()
}

/// Writes the last record of this instance's credit.
pub async fn return_credit(controller: &CreditController, limit: Duration) {
    let is_closed = tokio::time::timeout(limit, controller.close()).await;
    log_event!(LogEvent::Stopped, "credit-returned={}", matches!(is_closed, Ok(true)));
}
