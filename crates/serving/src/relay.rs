//! Relays responses to callers: buffered for plain services, event by event for streams. A response that breaks off may
//! be requested again from another server if the route allows that.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::link_load::CHUNK_OVERHEAD_BYTES;
use coltsfootpick_core::refusal::{Code, Refusal, RunStatus};
use coltsfootpick_core::routes::RepeatPolicy;
use coltsfootpick_core::units::{Instant, Tokens};
use futures_util::{StreamExt, stream};
use http::response::Parts;

use crate::admitted_request::{AdmittedRequest, GenerationProgress};
use crate::crash_detection;
use crate::credit_controller::CreditReservation;
use crate::dispatch::{DispatchError, note_oversized};
use crate::event_stream::{EventSplitter, StreamRead, read_events};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::open_request::OpenRequest;
use crate::outcome::{EventStream, RequestOutcome, ResponseBody, StreamAborted};
use crate::request_handler::{RequestHandler, ServerExchange, has_crashed};
use crate::servers::Server;

/// Length of events that fit into the buffers of a caller's connection.
const UNCHARGED_EVENT_BYTES: usize = 4 << 10;

/// Buffers the whole response before it is relayed, so that the request can still be repeated if the response breaks off.
pub async fn buffer_response(
    handler: &RequestHandler,
    mut admitted: AdmittedRequest,
    exchange: ServerExchange,
    open_request: OpenRequest,
) -> RequestOutcome {
    let mut current = exchange;
    loop {
        let ServerExchange { response, server, guard } = current;
        let error = match response.read_body(&handler.board, &server, admitted.deadline).await {
            Ok((head, body)) => {
                note_response(&server, &head, guard.elapsed(), handler.board.clock.now());
                handler.board.quarantine.lock().record_completion(admitted.fingerprint, handler.board.clock.now());
                if head.status.is_success() {
                    crash_detection::note_answer_end(&handler.board, &admitted, &server, &head, 0);
                }
                let may_continue = head.status.is_server_error() && admitted.may_repeat();
                if !may_continue || !handler.board.take_retry(&admitted.service, &admitted.request.id) {
                    return open_request.relay_response(&server, head, ResponseBody::Buffered(body));
                }
                DispatchError::Unknown(format!("status {}", head.status.as_u16()))
            }
            Err(error) => {
                let probe = handler.note_dispatch_error(&admitted, &server, &error, 0);
                let may_repeat = error != DispatchError::DeadlinePassed && admitted.may_repeat();
                let may_continue = may_repeat && !has_crashed(probe).await;
                if !may_continue || !handler.board.take_retry(&admitted.service, &admitted.request.id) {
                    return open_request.refuse(handler.final_refusal(&admitted, &error.to_string()));
                }
                error
            }
        };
        if !handler.cover_lost_run(&mut admitted, 0).await {
            return open_request.refuse(handler.final_refusal(&admitted, &error.to_string()));
        }
        drop(guard);
        admitted.tried_servers.push(server.entry.name.clone());
        log::debug!("repeating request {} after {error}", open_request.id());
        current = match handler.dispatch(&mut admitted).await {
            Ok(exchange) => exchange,
            Err(refusal) => return open_request.refuse(refusal),
        };
    }
}

/// Relays the events of a stream as they arrive.
pub async fn stream_events(
    handler: RequestHandler,
    admitted: AdmittedRequest,
    exchange: ServerExchange,
    open_request: OpenRequest,
) -> RequestOutcome {
    let head = exchange.response.head.clone();
    let splitter = EventSplitter::default();
    let mut relay = StreamRelay { handler, admitted, current: Some(exchange), splitter, open_request, is_noted: false };
    // Waits for the first events before sending the head, so that an earlier failure can still become a refusal.
    match relay.next().await {
        StreamStep::Events(first) => {
            let later = stream::unfold(Some(relay), |state| async move {
                let mut relay = state?;
                match relay.next().await {
                    StreamStep::Events(events) => Some((Ok(events), Some(relay))),
                    StreamStep::End => None,
                    StreamStep::Aborted(_) => Some((Err(StreamAborted), None)),
                }
            });
            let events: EventStream = Box::pin(stream::iter([Ok(first)]).chain(later));
            RequestOutcome::Relayed(Box::new(head), ResponseBody::Events(events))
        }
        StreamStep::End => RequestOutcome::Relayed(Box::new(head), ResponseBody::Buffered(Bytes::new())),
        StreamStep::Aborted(refusal) => RequestOutcome::Refused(refusal),
    }
}

/// Updates the health and latency of the server that sent a response.
fn note_response(server: &Server, head: &Parts, latency: Duration, now: Instant) {
    let mut load = server.load.lock();
    match head.status.is_server_error() {
        true => load.note_error(),
        false => {
            load.note_success();
            load.note_latency(latency, now);
        }
    }
}

/// Result of waiting for the next events of a relayed stream.
enum StreamStep {
    Events(Bytes),
    End,
    Aborted(Refusal),
}

/// State of a stream that is relayed to a caller.
struct StreamRelay {
    handler: RequestHandler,
    admitted: AdmittedRequest,
    current: Option<ServerExchange>,
    splitter: EventSplitter,
    open_request: OpenRequest,
    /// Whether the origin of the stream is recorded.
    is_noted: bool,
}

impl StreamRelay {
    async fn next(&mut self) -> StreamStep {
        loop {
            let Some(mut exchange) = self.current.take() else { return StreamStep::End };
            exchange.guard.note_reading();
            let reason =
                match read_events(&mut exchange.response.body, &mut self.splitter, self.admitted.deadline).await {
                    StreamRead::Events(_) if self.splitter.events() > self.admitted.events_max() => {
                        let reason = format!("more than {} events", self.admitted.events_max());
                        note_oversized(&self.handler.board, &exchange.server, &reason);
                        reason
                    }
                    StreamRead::Events(events) => {
                        self.handler.board.note_traffic(events.len(), CHUNK_OVERHEAD_BYTES);
                        self.admitted.trial = None;
                        self.note_origin(&exchange.server);
                        exchange.guard.note_heard();
                        exchange.guard.note_events(self.splitter.events());
                        self.current = Some(exchange);
                        let Some(events) = self.charge(events) else {
                            return self.abort(Code::Overloaded, "the memory for answers is used up");
                        };
                        return StreamStep::Events(events);
                    }
                    StreamRead::End
                        if self.splitter.events() == 0 && !crash_detection::is_framed(&exchange.response.head) =>
                    {
                        "the connection ended before the first event".to_owned()
                    }
                    StreamRead::End => {
                        self.end(exchange);
                        return StreamStep::End;
                    }
                    StreamRead::DeadlinePassed => return self.abort(Code::DeadlinePassed, "the deadline passed"),
                    StreamRead::Broken(reason) => reason,
                    StreamRead::Oversized(reason) => {
                        note_oversized(&self.handler.board, &exchange.server, &reason);
                        reason
                    }
                };
            let server = Arc::clone(&exchange.server);
            drop(exchange);
            let error = DispatchError::Unknown(reason.clone());
            let probe = self.handler.note_dispatch_error(&self.admitted, &server, &error, self.splitter.events());
            self.admitted.tried_servers.push(server.entry.name.clone());
            if has_crashed(probe).await || !self.resume().await {
                return self.abort(Code::BackendFailed, &reason);
            }
        }
    }

    /// Charges long events until they are written to the caller; short ones fit into the buffers of the connections.
    fn charge(&self, events: Bytes) -> Option<Bytes> {
        if events.len() <= UNCHARGED_EVENT_BYTES {
            return Some(events);
        }
        let mut charge = self.handler.board.clients.charge();
        charge.grow(events.len() as u64).ok()?;
        Some(charge.attach(events))
    }

    /// Binds the stream to the software version that brought its first event, and has the others told.
    fn note_origin(&mut self, server: &Server) {
        let board = &self.handler.board;
        if self.splitter.events() > 0 && !self.is_noted {
            let origin = server.entry.origin();
            if self.admitted.route.repeat == RepeatPolicy::Resumable {
                board.stream_origins.lock().note_stream(self.admitted.stream, origin.clone(), board.clock.now());
            }
            self.admitted.origin = Some(origin);
            self.is_noted = true;
        }
    }

    /// Resumes the stream at another server after the last complete event, if the route allows it.
    async fn resume(&mut self) -> bool {
        let is_resumable = self.admitted.route.repeat == RepeatPolicy::Resumable;
        if !is_resumable
            || !self.admitted.may_repeat()
            || !self.handler.board.take_retry(&self.admitted.service, &self.admitted.request.id)
        {
            return false;
        }
        self.splitter.discard_partial();
        if !self.handler.cover_lost_run(&mut self.admitted, self.splitter.events()).await {
            return false;
        }
        let Some((server, selection)) = self.handler.select_server(&self.admitted) else { return false };
        let last_event = self.splitter.last_id().map(str::to_owned);
        let (id, events) = (self.open_request.id(), self.splitter.events());
        log_event!(
            LogEvent::StreamResumed,
            "request={id} server={} version={:?} events={events} last={last_event:?}",
            server.entry.name,
            &*server.entry.version
        );
        let result = self.handler.dispatch_once(&mut self.admitted, &server, &selection, last_event.as_deref()).await;
        match result {
            Ok(exchange) if exchange.response.head.status.is_success() => {
                self.current = Some(exchange);
                true
            }
            Ok(_) => false,
            Err(error) => {
                self.handler.note_dispatch_error(&self.admitted, &server, &error, 0);
                false
            }
        }
    }

    fn end(&mut self, exchange: ServerExchange) {
        let ServerExchange { response, server, guard } = exchange;
        self.admitted.update_usage(GenerationProgress::Complete(self.splitter.events()));
        let board = &self.handler.board;
        note_response(&server, &response.head, guard.elapsed(), board.clock.now());
        board.quarantine.lock().record_completion(self.admitted.fingerprint, board.clock.now());
        crash_detection::note_answer_end(board, &self.admitted, &server, &response.head, self.splitter.events());
        let used = self.admitted.reservation.as_ref().map_or(Tokens::ZERO, CreditReservation::used);
        log_event!(
            LogEvent::Answered,
            "request={} server={} account={} status={} events={} used={used} ms={}",
            self.open_request.id(),
            server.entry.name,
            self.admitted.account_name(),
            response.head.status.as_u16(),
            self.splitter.events(),
            self.open_request.millis()
        );
        self.open_request.end("answered");
        response.release_connection(&server);
    }

    fn abort(&mut self, code: Code, reason: &str) -> StreamStep {
        let (id, events) = (self.open_request.id(), self.splitter.events());
        log_event!(
            LogEvent::StreamAborted,
            "request={id} events={events} ms={} reason={reason:?}",
            self.open_request.millis()
        );
        self.open_request.end("cut");
        StreamStep::Aborted(Refusal { code, run: RunStatus::Ran, retry_after: None, detail: reason.to_owned() })
    }
}
