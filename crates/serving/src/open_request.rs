//! Tracks an open request so that its end gives exactly one log line and one count, even if the caller disconnects.

use std::sync::Arc;

use coltsfootpick_core::link_load::ANSWER_OVERHEAD_BYTES;
use coltsfootpick_core::refusal::Refusal;
use http::response::Parts;
use tokio::time::Instant;

use crate::blackboard::Blackboard;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::metrics::Metrics;
use crate::outcome::{RequestOutcome, ResponseBody};
use crate::servers::Server;

/// Open request; dropping it before its end means that the caller disconnected.
#[derive(Debug)]
pub struct OpenRequest {
    board: Arc<Blackboard>,
    id: Arc<str>,
    arrived: Instant,
    has_ended: bool,
}

impl OpenRequest {
    /// Counts a request as open.
    pub fn new(board: &Arc<Blackboard>, id: &Arc<str>, arrived: Instant) -> Self {
        board.request_started();
        Self { board: Arc::clone(board), id: Arc::clone(id), arrived, has_ended: false }
    }

    /// Id of the request.
    pub const fn id(&self) -> &Arc<str> {
        &self.id
    }

    /// Milliseconds since the request arrived.
    pub fn millis(&self) -> u128 {
        self.arrived.elapsed().as_millis()
    }

    /// Marks the request as ended and counts it under `outcome`.
    pub fn end(&mut self, outcome: &str) {
        self.has_ended = true;
        Metrics::count(&self.board.metrics.requests_ended, outcome);
        self.board.metrics.whole_answer.observe(self.arrived.elapsed().as_secs_f64());
    }

    /// Ends the request with a refusal.
    pub fn refuse(mut self, refusal: Refusal) -> RequestOutcome {
        let Refusal { code, run, detail, .. } = &refusal;
        log_event!(LogEvent::Refused, "request={} code={code} run={run} ms={} {detail}", self.id, self.millis());
        self.end(&code.to_string());
        RequestOutcome::Refused(refusal)
    }

    /// Ends the request with the buffered response of a server.
    pub fn relay_response(mut self, server: &Server, head: Parts, body: ResponseBody) -> RequestOutcome {
        if let ResponseBody::Buffered(bytes) = &body {
            self.board.note_traffic(bytes.len(), ANSWER_OVERHEAD_BYTES);
        }
        let (name, status) = (&server.entry.name, head.status.as_u16());
        log_event!(LogEvent::Answered, "request={} server={name} status={status} ms={}", self.id, self.millis());
        self.end(if head.status.is_success() { "answered" } else { "failure-relayed" });
        RequestOutcome::Relayed(Box::new(head), body)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if !self.has_ended {
            log_event!(LogEvent::CallerDisconnected, "request={} after_ms={}", self.id, self.millis());
            self.end("caller-left");
        }
        self.board.request_ended();
    }
}
