//! Finds the servers that can continue a stream which a caller takes up. See `docs/ROUTING.md#versions`.

use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::stream_origins::{Continuation, StreamKey, StreamOrigin};

use crate::admitted_request::name_of;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::metrics::Metrics;
use crate::request::{CallerRequest, ResumedStream};
use crate::request_admission::MatchedRoute;
use crate::request_handler::RequestHandler;

/// Longest part of a caller's text that is logged, in characters.
const EXCERPT_MAX: usize = 64;

/// Beginning of a text that the caller chose, for the log.
fn excerpt(text: &str) -> &str {
    text.char_indices().nth(EXCERPT_MAX).map_or(text, |(end, _)| &text[..end])
}

impl RequestHandler {
    /// Finds where a stream that the caller takes up began; `None` for other requests.
    ///
    /// # Errors
    ///
    /// Refuses a stream whose origin is not known, or of whose software version no server is left. With
    /// [`Code::StreamUnproven`] another instance may know more.
    pub async fn find_origin(
        &self,
        request: &CallerRequest,
        matched: &MatchedRoute,
    ) -> Result<Option<StreamOrigin>, Refusal> {
        let Some(ResumedStream { last_event, first_attempt }) =
            request.resumed.as_ref().filter(|_| matched.route.streams)
        else {
            return Ok(None);
        };
        let payer = name_of(matched.account.as_deref());
        let key = first_attempt.as_ref().map(|first| StreamKey::of(&payer, first));
        let found = self.streams.continuation(key, &matched.service).await;
        let (id, first, last_event) =
            (&request.id, excerpt(first_attempt.as_deref().unwrap_or_default()), excerpt(last_event));
        let silence_ms = self.board.store_silence().as_millis();
        log_event!(
            LogEvent::StreamTakenUp,
            "request={id} stream={first:?} last={last_event:?} found=\"{found}\" silence_ms={silence_ms}"
        );
        Metrics::count(&self.board.metrics.streams_taken_up, found.name());
        let refuse = |code, reason: &str| Refusal::not_run(code, format!("stream={first:?} {reason}"));
        let lost = |reason: &str| refuse(Code::StreamLost, reason);
        let unproven = || {
            let refusal = refuse(Code::StreamUnproven, "the store does not tell now which software versions serve");
            refusal.retry_after(self.streams.write_interval())
        };
        match found {
            Continuation::Unproven => Err(unproven()),
            Continuation::Unknown => {
                Err(lost("has no known software version").retry_after(self.streams.write_interval()))
            }
            Continuation::Single(origin) => Ok(Some(origin)),
            Continuation::At(origin, _) if !matched.route.split.iter().any(|(name, _)| *name == origin.service) => {
                Err(lost("began at a service to which the route no longer leads"))
            }
            Continuation::At(origin, _) if self.has_server(&origin) => Ok(Some(origin)),
            Continuation::At(..) if !self.streams.catch_up().await => Err(unproven()),
            Continuation::At(origin, _) if self.has_server(&origin) => Ok(Some(origin)),
            Continuation::At(..) => Err(lost("began at a software version of which no server is left")),
        }
    }

    fn has_server(&self, origin: &StreamOrigin) -> bool {
        self.board.servers.origins().contains(origin)
    }
}
