//! Tracks an open request so that its end gives exactly one log line and one count, even if the caller disconnects.

use std::sync::Arc;

use coltsfootpick_core::link_load::{ANSWER_OVERHEAD_BYTES, CHUNK_OVERHEAD_BYTES};
use coltsfootpick_core::refusal::Refusal;
use futures_util::{StreamExt, stream};
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

impl OpenRequest {
    /// Ends the request with the answer that `peer` passes on; a stream ends later.
    pub fn relay_forwarded(mut self, peer: &str, head: Parts, body: ResponseBody) -> RequestOutcome {
        let events = match body {
            ResponseBody::Buffered(bytes) => {
                self.board.note_traffic(bytes.len(), ANSWER_OVERHEAD_BYTES);
                self.end_forwarded(peer, &head);
                return RequestOutcome::Relayed(Box::new(head), ResponseBody::Buffered(bytes));
            }
            ResponseBody::Events(events) => events,
        };
        let (peer, status): (Arc<str>, Parts) = (peer.into(), head.clone());
        let counted = stream::unfold(Some((events, self)), move |state| {
            let (peer, status) = (Arc::clone(&peer), status.clone());
            async move {
                let (mut events, mut open) = state?;
                match events.next().await {
                    Some(Ok(piece)) => {
                        open.board.note_traffic(piece.len(), CHUNK_OVERHEAD_BYTES);
                        Some((Ok(piece), Some((events, open))))
                    }
                    Some(Err(error)) => {
                        let (id, ms) = (&open.id, open.millis());
                        log_event!(LogEvent::StreamAborted, "request={id} peer={peer} ms={ms} reason=\"{error}\"");
                        open.end("cut");
                        Some((Err(error), None))
                    }
                    None => {
                        open.end_forwarded(&peer, &status);
                        None
                    }
                }
            }
        });
        RequestOutcome::Relayed(Box::new(head), ResponseBody::Events(Box::pin(counted)))
    }

    fn end_forwarded(&mut self, peer: &str, head: &Parts) {
        let status = head.status.as_u16();
        log_event!(LogEvent::Answered, "request={} peer={peer} status={status} ms={}", self.id, self.millis());
        self.end(if head.status.is_success() { "forwarded" } else { "failure-relayed" });
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
