//! Hands an answer on: whole for plain services, event by event for streams, over as many servers as the route allows.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::link::PIECE_HEAD_BYTES;
use coltsfootpick_core::refusal::{Code, Refusal, Run};
use coltsfootpick_core::routes::Repeat;
use coltsfootpick_core::units::Tokens;
use futures_util::{StreamExt, stream};
use http::response::Parts;

use crate::accepted_request::{AcceptedRequest, Usage};
use crate::credit_controller::CreditReservation;
use crate::dispatch::DispatchError;
use crate::event_stream::{EventSplitter, StreamRead, read_events};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::open_request::OpenRequest;
use crate::outcome::{EventStream, RequestOutcome, ResponseBody, StreamAborted};
use crate::request_handler::{RequestHandler, ServerExchange};
use crate::servers::Server;

/// Reads a whole answer before it is handed on, so that one that breaks off may be asked for again.
pub async fn buffered(
    path: &RequestHandler,
    mut accepted: AcceptedRequest,
    sent: ServerExchange,
    open_request: OpenRequest,
) -> RequestOutcome {
    let mut current = sent;
    loop {
        let ServerExchange { reply, server, dispatch } = current;
        let error = match reply.read_whole(&server, accepted.until).await {
            Ok((head, body)) => {
                note_answer(&server, &head, dispatch.elapsed());
                path.board.quarantine.lock().complete(accepted.print, path.board.clock.now());
                let may_go_on = head.status.is_server_error() && accepted.may_repeat();
                if !may_go_on || !path.board.take_retry(&accepted.service) {
                    return open_request.answer(&server, head, ResponseBody::Whole(body));
                }
                DispatchError::Unknown(format!("status {}", head.status.as_u16()))
            }
            Err(error) => {
                path.note_dispatch_error(&accepted, &server, &error);
                let may_go_on = error != DispatchError::Late && accepted.may_repeat();
                if !may_go_on || !path.board.take_retry(&accepted.service) {
                    return open_request.refuse(path.final_refusal(&accepted, &error.to_string()));
                }
                error
            }
        };
        drop(dispatch);
        accepted.tried.push(server.entry.name.clone());
        log::debug!("request {} is repeated after {error}", open_request.id());
        current = match path.dispatch(&mut accepted).await {
            Ok(sent) => sent,
            Err(refusal) => return open_request.refuse(refusal),
        };
    }
}

/// Hands the events of a stream on as they come.
pub async fn stream(
    path: RequestHandler,
    accepted: AcceptedRequest,
    sent: ServerExchange,
    open_request: OpenRequest,
) -> RequestOutcome {
    let head = sent.reply.head.clone();
    let cutter = EventSplitter::default();
    let mut relay = StreamRelay { path, accepted, current: Some(sent), cutter, open_request };
    // The head goes out with the first events, so that a break before them still has an answer of its own.
    match relay.next().await {
        Step::Events(first) => {
            let rest = stream::unfold(Some(relay), |state| async move {
                let mut relay = state?;
                match relay.next().await {
                    Step::Events(events) => Some((Ok(events), Some(relay))),
                    Step::End => None,
                    Step::Cut(_) => Some((Err(StreamAborted), None)),
                }
            });
            let events: EventStream = Box::pin(stream::iter([Ok(first)]).chain(rest));
            RequestOutcome::Relayed(Box::new(head), ResponseBody::Events(events))
        }
        Step::End => RequestOutcome::Relayed(Box::new(head), ResponseBody::Whole(Bytes::new())),
        Step::Cut(refusal) => RequestOutcome::Refused(refusal),
    }
}

/// Notes what an answer tells of its server.
fn note_answer(server: &Server, head: &Parts, took: Duration) {
    let mut load = server.load.lock();
    match head.status.is_server_error() {
        true => load.note_error(),
        false => {
            load.note_success();
            load.note_latency(took);
        }
    }
}

enum Step {
    Events(Bytes),
    End,
    Cut(Refusal),
}

/// Streamed answer on its way.
struct StreamRelay {
    path: RequestHandler,
    accepted: AcceptedRequest,
    current: Option<ServerExchange>,
    cutter: EventSplitter,
    open_request: OpenRequest,
}

impl StreamRelay {
    async fn next(&mut self) -> Step {
        loop {
            let Some(mut sent) = self.current.take() else { return Step::End };
            let reason = match read_events(&mut sent.reply.body, &mut self.cutter, self.accepted.until).await {
                StreamRead::Events(events) => {
                    self.path.board.note_traffic(events.len(), PIECE_HEAD_BYTES);
                    self.accepted.update_usage(Usage::Open(self.cutter.events()));
                    self.current = Some(sent);
                    return Step::Events(events);
                }
                StreamRead::End => {
                    self.end(sent);
                    return Step::End;
                }
                StreamRead::Late => return self.cut(Code::DeadlinePassed, "the deadline passed"),
                StreamRead::Broken(reason) => reason,
            };
            let server = Arc::clone(&sent.server);
            drop(sent);
            self.path.note_dispatch_error(&self.accepted, &server, &DispatchError::Unknown(reason.clone()));
            self.accepted.tried.push(server.entry.name.clone());
            if !self.resume().await {
                return self.cut(Code::BackendFailed, &reason);
            }
        }
    }

    /// Goes on at another server after the last whole event, where the route allows it.
    async fn resume(&mut self) -> bool {
        let is_resumable = self.accepted.route.repeat == Repeat::Resumable;
        if !is_resumable || !self.accepted.may_repeat() || !self.path.board.take_retry(&self.accepted.service) {
            return false;
        }
        self.cutter.discard_partial();
        let Some((server, spread)) = self.path.select_server(&self.accepted) else { return false };
        let last = self.cutter.last().map(str::to_owned);
        let (id, events) = (self.open_request.id(), self.cutter.events());
        log_event!(LogEvent::StreamResumed, "request={id} server={} events={events} last={last:?}", server.entry.name);
        let sent = self.path.dispatch_once(&mut self.accepted, &server, &spread, (last.as_deref(), events)).await;
        match sent {
            Ok(sent) if sent.reply.head.status.is_success() => {
                self.current = Some(sent);
                true
            }
            Ok(_) => false,
            Err(error) => {
                self.path.note_dispatch_error(&self.accepted, &server, &error);
                false
            }
        }
    }

    fn end(&mut self, sent: ServerExchange) {
        let ServerExchange { reply, server, dispatch } = sent;
        self.accepted.update_usage(Usage::Complete(self.cutter.events()));
        note_answer(&server, &reply.head, dispatch.elapsed());
        let board = &self.path.board;
        board.quarantine.lock().complete(self.accepted.print, board.clock.now());
        let used = self.accepted.charge.as_ref().map_or(Tokens::ZERO, CreditReservation::used);
        log_event!(
            LogEvent::Answered,
            "request={} server={} status={} events={} used={used} ms={}",
            self.open_request.id(),
            server.entry.name,
            reply.head.status.as_u16(),
            self.cutter.events(),
            self.open_request.millis()
        );
        self.open_request.end("answered");
        reply.release_connection(&server);
    }

    fn cut(&mut self, code: Code, reason: &str) -> Step {
        self.accepted.update_usage(Usage::Unknown);
        let (id, events) = (self.open_request.id(), self.cutter.events());
        log_event!(
            LogEvent::StreamAborted,
            "request={id} events={events} ms={} reason={reason:?}",
            self.open_request.millis()
        );
        self.open_request.end("cut");
        Step::Cut(Refusal { code, run: Run::Ran, retry: None, detail: reason.to_owned() })
    }
}
