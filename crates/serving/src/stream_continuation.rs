//! Finds the servers that can continue a stream which a caller takes up. See `docs/ROUTING.md#versions`.

use coltsfootpick_core::names::ServiceName;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::routes::Route;
use coltsfootpick_core::stream_origins::{Continuation, StreamKey, StreamOrigin};

use crate::log_event;
use crate::log_events::LogEvent;
use crate::metrics::Metrics;
use crate::request::{CallerRequest, ResumedStream};
use crate::request_handler::RequestHandler;

/// Longest part of a caller's text that is logged, in characters.
const EXCERPT_MAX: usize = 64;

/// Beginning of a text that the caller chose, for the log.
fn excerpt(text: &str) -> &str {
    text.char_indices().nth(EXCERPT_MAX).map_or(text, |(end, _)| &text[..end])
}

impl RequestHandler {
    /// Finds where a stream that the caller takes up began; `None` for other requests and while any server can continue it.
    ///
    /// # Errors
    ///
    /// Refuses a stream whose origin is not known, or of whose software version no server is left.
    pub async fn find_origin(
        &self,
        request: &CallerRequest,
        route: &Route,
        service: &ServiceName,
        stream: StreamKey,
    ) -> Result<Option<StreamOrigin>, Refusal> {
        let Some(ResumedStream { last_event, first_attempt }) = request.resumed.as_ref().filter(|_| route.streams)
        else {
            return Ok(None);
        };
        let key = first_attempt.as_ref().map(|_| stream);
        let found = self.streams.continuation(key, service).await;
        let (id, first, last_event) =
            (&request.id, excerpt(first_attempt.as_deref().unwrap_or_default()), excerpt(last_event));
        let silence_ms = self.board.store_silence().as_millis();
        log_event!(
            LogEvent::StreamTakenUp,
            "request={id} stream={first:?} last={last_event:?} found=\"{found}\" silence_ms={silence_ms}"
        );
        Metrics::count(&self.board.metrics.streams_taken_up, found.name());
        let lost = |reason: &str| Refusal::not_run(Code::StreamLost, format!("stream={first:?} {reason}"));
        match found {
            Continuation::Anywhere => Ok(None),
            Continuation::Unknown => {
                Err(lost("has no known software version").retry_after(self.streams.write_interval()))
            }
            Continuation::At(origin, _) if !route.split.iter().any(|(name, _)| *name == origin.service) => {
                Err(lost("began at a service to which the route no longer leads"))
            }
            Continuation::At(origin, _) if !self.board.servers.origins().contains(&origin) => {
                Err(lost("began at a software version of which no server is left"))
            }
            Continuation::At(origin, _) => Ok(Some(origin)),
        }
    }
}
