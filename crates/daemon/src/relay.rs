//! Relay of one chat request to a model engine: placement, retry, resume, cancellation and billing.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::backends::ServerListing;
use coltsfootpick_core::names::{BackendServerName, RecordId, ServiceName};
use coltsfootpick_core::quarantine::{Fingerprint, QuarantineStatus};
use coltsfootpick_core::refusal::{Code, Refusal, RunStatus};
use coltsfootpick_core::retry::BACKOFF_MIN;
use coltsfootpick_core::units::Tokens;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission::AdmissionPermit;
use crate::choose;
use crate::credit::ReservedCredit;
use crate::engine_call::{EngineCall, OpenError};
use crate::event;
use crate::events::Event;
use crate::instance::Instance;
use crate::load::OpenDispatch;
use crate::sse::{SseEvent, SseReader};
use crate::streams::RelayGuard;
use crate::suspects::{self, IsolationGuard, IsolationOutcome};

/// Most servers that one request is dispatched to before its first token.
const SERVERS_MAX: usize = 3;

/// Most consecutive resumes without a new chunk before the relay gives up on the server.
const STALLS_MAX: usize = 3;

/// `Retry-After` for a duplicate of a suspect request that is running.
const DUPLICATE_RETRY: Duration = Duration::from_secs(1);

/// Event that the relay sends to the caller's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayEvent {
    /// The stream is open on this server; sent before the first chunk.
    Opened(ServerListing),
    /// Next chunk of the answer, in order and without gaps.
    Chunk(SseEvent),
    /// The answer is complete.
    End,
    /// The relay failed; no further event follows.
    Failed(Refusal),
}

/// Chat request with reserved credit, to be relayed to an engine.
#[derive(Debug)]
pub struct Relay {
    /// Instance that relays the request.
    pub instance: Arc<Instance>,
    /// Requested service.
    pub service: ServiceName,
    /// Request id; a request is billed once under its id.
    pub id: RecordId,
    /// Request body for the engine.
    pub body: Bytes,
    /// Text of the conversation, for prefix matching.
    pub prompt: String,
    /// Credit that the request is billed from.
    pub credit: ReservedCredit,
    /// Admission slot; `None` for a resumed stream, which already runs on its engine.
    pub permit: Option<AdmissionPermit>,
    /// Registration as the newest relay of the stream.
    pub guard: RelayGuard,
    /// Content hash that identifies repeats of the request.
    pub fingerprint: Fingerprint,
    /// Time for which the relay keeps reading after the caller disconnected.
    pub grace: Duration,
    /// Deadline for the complete answer.
    pub deadline: Instant,
}

/// How reading one engine connection ended; a broken stream can be resumed.
enum StreamEnd {
    Complete,
    CallerDisconnected,
    Superseded,
    Broken(String),
    DeadlinePassed,
}

/// Server chosen for a request, with the isolation guard of a suspect.
struct Placement {
    server: ServerListing,
    _isolation: Option<IsolationGuard>,
}

/// Number of chunks delivered to the caller so far, and whether [`RelayEvent::Opened`] was sent.
struct Position {
    delivered: u64,
    is_opened: bool,
}

#[derive(Debug, Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct UsageChunk {
    usage: Option<Usage>,
}

impl Relay {
    /// Dispatches the request to servers until one completes it; dropping the relay bills the request.
    pub async fn run(mut self, out: mpsc::Sender<RelayEvent>) {
        let mut tried = Vec::new();
        let mut last_reason = String::from("no backend server is listed");
        let mut has_run = false;
        self.instance.retries.lock().record_first_attempt();
        while tried.len() < SERVERS_MAX {
            let placement = match self.place(&tried).await {
                Ok(Some(placement)) => placement,
                Ok(None) => break,
                Err(refusal) => return self.send_failure(&out, refusal).await,
            };
            if has_run && !self.instance.retries.lock().spend_retry() {
                break;
            }
            let counter = if has_run {
                &self.instance.metrics.repeat_dispatches
            } else {
                &self.instance.metrics.first_dispatches
            };
            counter.inc();
            tried.push(placement.server.name.clone());
            match self.serve_on(&placement.server, None, &out).await {
                DispatchOutcome::Finished => return,
                DispatchOutcome::NotSent(reason) => last_reason = reason,
                DispatchOutcome::MayHaveRun(reason) => {
                    has_run = true;
                    last_reason = reason;
                }
            }
        }
        let (retries, now) = (&self.instance.retries, self.instance.deps.clock.now());
        let refusal = match has_run {
            true => Refusal::may_have_run(Code::NoBackendServer, last_reason)
                .retry_after(retries.lock().record_failure(self.fingerprint, now)),
            false => Refusal::not_run(Code::NoBackendServer, last_reason).retry_after(BACKOFF_MIN),
        };
        self.send_failure(&out, refusal).await;
    }

    /// Resumes the stream that runs on `server`, starting at chunk `from`.
    pub async fn resume_on(mut self, server: ServerListing, from: u64, out: mpsc::Sender<RelayEvent>) {
        match self.serve_on(&server, Some(from), &out).await {
            DispatchOutcome::Finished => {}
            DispatchOutcome::NotSent(reason) | DispatchOutcome::MayHaveRun(reason) => {
                let refusal =
                    Refusal { code: Code::BackendFailed, run: RunStatus::Ran, retry_after: None, detail: reason };
                self.send_failure(&out, refusal).await;
            }
        }
    }

    async fn send_failure(&self, out: &mpsc::Sender<RelayEvent>, refusal: Refusal) {
        let _ = out.send(RelayEvent::Failed(refusal)).await;
    }

    /// Chooses a server, or returns `None` if none is available. A suspect request waits for a server that runs no
    /// other suspect.
    async fn place(&self, tried: &[BackendServerName]) -> Result<Option<Placement>, Refusal> {
        let suspects = &self.instance.suspects;
        loop {
            let released = suspects.server_released();
            match suspects.status(self.fingerprint, self.instance.deps.clock.now()) {
                QuarantineStatus::Quarantined => return Err(suspects::refusal(!tried.is_empty())),
                QuarantineStatus::Clear => {
                    return Ok(self.choose(tried).map(|server| Placement { server, _isolation: None }));
                }
                QuarantineStatus::Suspect if suspects.is_running(self.fingerprint) => {
                    return Err(Refusal::may_have_run(Code::InProgress, "the same request is at work")
                        .retry_after(DUPLICATE_RETRY));
                }
                QuarantineStatus::Suspect => {}
            }
            let (barred, occupied) = suspects.excluded_servers(self.fingerprint);
            let excluded = [tried, &barred, &occupied].concat();
            match self.choose(&excluded) {
                Some(server) => {
                    if let IsolationOutcome::Isolated(isolation) =
                        IsolationGuard::start(&self.instance, self.fingerprint, &server.name)
                    {
                        return Ok(Some(Placement { server, _isolation: Some(isolation) }));
                    }
                }
                None if occupied.is_empty() => return Ok(None),
                None if tokio::time::timeout_at(self.deadline, released).await.is_err() => {
                    return Err(Refusal::may_have_run(Code::DeadlinePassed, "the deadline passed"));
                }
                None => {}
            }
        }
    }

    fn choose(&self, tried: &[BackendServerName]) -> Option<ServerListing> {
        choose::choose(&self.instance, &self.service, &self.prompt, tried, &format_args!("request={}", self.id))
    }

    /// Serves the request on one server: starts it, or resumes its stream at chunk `from`.
    async fn serve_on(
        &mut self,
        server: &ServerListing,
        from: Option<u64>,
        out: &mpsc::Sender<RelayEvent>,
    ) -> DispatchOutcome {
        let open = OpenDispatch::new(Arc::clone(&self.instance), self.service.clone(), server.name.clone());
        let mut position = Position { delivered: from.unwrap_or_default(), is_opened: false };
        let mut stalls = 0;
        let mut opened = match from {
            // The preceding chunk carries the usage so far, which is needed even when only `[DONE]` is missing.
            Some(from) => self.engine(server).resume(from.saturating_sub(1)).await,
            None => self.engine(server).open().await,
        };
        loop {
            let before = position.delivered;
            let end = match opened {
                Ok(body) => self.forward_chunks(server, &open, body, &mut position, out).await,
                Err(OpenError::NotSent(reason)) if !position.is_opened && from.is_none() && stalls == 0 => {
                    self.note_failure(server, &reason);
                    return DispatchOutcome::NotSent(reason);
                }
                // The server failed before it ran this request, so the request is not suspected of crashing it.
                Err(OpenError::Refused(reason)) if !position.is_opened && from.is_none() && stalls == 0 => {
                    self.note_failure(server, &reason);
                    return DispatchOutcome::MayHaveRun(reason);
                }
                Err(OpenError::NotSent(reason) | OpenError::Refused(reason) | OpenError::NoAnswer(reason)) => {
                    return self.abandon_server(server, reason, &position, out).await;
                }
            };
            stalls = if position.delivered > before { 0 } else { stalls + 1 };
            match end {
                StreamEnd::Complete => {
                    self.note_complete();
                    let _ = out.send(RelayEvent::End).await;
                    return DispatchOutcome::Finished;
                }
                StreamEnd::CallerDisconnected => {
                    self.read_detached(server, &open, position.delivered).await;
                    return DispatchOutcome::Finished;
                }
                StreamEnd::Superseded => {
                    self.credit.set_used(Tokens::ZERO);
                    return DispatchOutcome::Finished;
                }
                StreamEnd::DeadlinePassed => {
                    self.cancel(server).await;
                    return self.fail(out, Code::DeadlinePassed, "the deadline passed".to_owned()).await;
                }
                StreamEnd::Broken(reason) if stalls > STALLS_MAX => {
                    return self.abandon_server(server, reason, &position, out).await;
                }
                StreamEnd::Broken(reason) => {
                    event!(Event::StreamResumed, "request={} from={} cause={reason:?}", self.id, position.delivered);
                    opened = self.engine(server).resume(position.delivered).await;
                }
            }
        }
    }

    /// Gives up on a server. The request may go to another one if the caller has received nothing yet.
    async fn abandon_server(
        &mut self,
        server: &ServerListing,
        reason: String,
        position: &Position,
        out: &mpsc::Sender<RelayEvent>,
    ) -> DispatchOutcome {
        self.note_failure(server, &reason);
        let status = match self.engine(server).is_unreachable().await {
            true => self.instance.suspects.record_loss(&self.instance, self.fingerprint, &server.name),
            false => {
                self.cancel(server).await;
                QuarantineStatus::Clear
            }
        };
        if position.is_opened {
            return self.fail(out, Code::BackendFailed, reason).await;
        }
        self.credit.set_used(Tokens::ZERO);
        if status == QuarantineStatus::Quarantined {
            self.send_failure(out, suspects::refusal(true)).await;
            return DispatchOutcome::Finished;
        }
        DispatchOutcome::MayHaveRun(reason)
    }

    fn engine<'a>(&'a self, server: &'a ServerListing) -> EngineCall<'a> {
        EngineCall { instance: &self.instance, server, id: &self.id, body: &self.body }
    }

    fn note_complete(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.mark_complete();
        }
        self.instance.suspects.record_completion(self.fingerprint, self.instance.deps.clock.now());
        self.instance.retries.lock().record_answer(self.fingerprint);
    }

    /// Keeps reading for the grace period after the caller disconnected, then cancels unless the caller resumed the
    /// stream.
    async fn read_detached(&mut self, server: &ServerListing, open: &OpenDispatch, delivered: u64) {
        event!(Event::CallerDisconnected, "request={} delivered={delivered}", self.id);
        let deadline = self.deadline.min(Instant::now() + self.grace);
        let (sink, mut discard) = mpsc::channel(1);
        let mut position = Position { delivered, is_opened: true };
        let discarded = async move { while discard.recv().await.is_some() {} };
        let reading = async {
            match self.engine(server).resume(delivered).await {
                Ok(body) => self.forward_chunks(server, open, body, &mut position, &sink).await,
                Err(OpenError::NotSent(reason) | OpenError::Refused(reason) | OpenError::NoAnswer(reason)) => {
                    StreamEnd::Broken(reason)
                }
            }
        };
        let ended = tokio::select! {
            ended = reading => Some(ended),
            () = tokio::time::sleep_until(deadline) => None,
            () = discarded => None,
        };
        match ended {
            Some(StreamEnd::Complete) => self.note_complete(),
            Some(StreamEnd::Superseded) => self.credit.set_used(Tokens::ZERO),
            _ => self.cancel(server).await,
        }
    }

    /// Reports the failure of a request that ran.
    async fn fail(&self, out: &mpsc::Sender<RelayEvent>, code: Code, detail: String) -> DispatchOutcome {
        self.send_failure(out, Refusal { code, run: RunStatus::Ran, retry_after: None, detail }).await;
        DispatchOutcome::Finished
    }

    /// Forwards chunks to the caller until the stream ends, breaks or goes silent.
    async fn forward_chunks(
        &mut self,
        server: &ServerListing,
        open: &OpenDispatch,
        mut body: Incoming,
        position: &mut Position,
        out: &mpsc::Sender<RelayEvent>,
    ) -> StreamEnd {
        let superseded = self.guard.superseded();
        let mut reader = SseReader::default();
        loop {
            match reader.next_event() {
                Ok(Some(event)) if event.data == "[DONE]" => return StreamEnd::Complete,
                Ok(Some(event)) => {
                    if position.delivered == 0 {
                        open.note_answer();
                    }
                    if self.send_chunk(server, event, position, out).await.is_err() {
                        return StreamEnd::CallerDisconnected;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(error) => return StreamEnd::Broken(error.to_string()),
            }
            let silence_deadline = Instant::now() + self.instance.settings.liveness_timeout;
            let frame = tokio::select! {
                frame = tokio::time::timeout_at(silence_deadline.min(self.deadline), body.frame()) => frame,
                () = superseded.cancelled() => return StreamEnd::Superseded,
                () = out.closed() => return StreamEnd::CallerDisconnected,
            };
            match frame {
                Ok(Some(Ok(frame))) => reader.push(&frame.into_data().unwrap_or_default()),
                Ok(Some(Err(error))) => return StreamEnd::Broken(error.to_string()),
                Ok(None) => return StreamEnd::Broken("the stream ended early".to_owned()),
                Err(_) if Instant::now() >= self.deadline => return StreamEnd::DeadlinePassed,
                Err(_) => return StreamEnd::Broken("the connection went silent".to_owned()),
            }
        }
    }

    async fn send_chunk(
        &mut self,
        server: &ServerListing,
        event: SseEvent,
        position: &mut Position,
        out: &mpsc::Sender<RelayEvent>,
    ) -> Result<(), mpsc::error::SendError<RelayEvent>> {
        self.note_usage(&event.data);
        // A resumed stream may repeat chunks that were already delivered.
        if event.number.is_some_and(|number| number < position.delivered) {
            return Ok(());
        }
        if !position.is_opened {
            position.is_opened = true;
            out.send(RelayEvent::Opened(server.clone())).await?;
        }
        let numbered = SseEvent { number: Some(position.delivered), data: event.data };
        position.delivered += 1;
        out.send(RelayEvent::Chunk(numbered)).await
    }

    fn note_usage(&mut self, data: &str) {
        let chunk = serde_json::from_str::<UsageChunk>(data).ok().and_then(|chunk| chunk.usage);
        if let Some(usage) = chunk {
            self.credit.set_used(Tokens(usage.prompt_tokens.saturating_add(usage.completion_tokens)));
        }
    }

    /// Cancels the stream at the engine and bills the tokens that the engine reports.
    async fn cancel(&mut self, server: &ServerListing) {
        if !self.guard.is_latest() {
            self.credit.set_used(Tokens::ZERO);
            return;
        }
        if let Some(produced) = self.engine(server).cancel().await {
            self.credit.set_used(produced);
        }
    }

    fn note_failure(&self, server: &ServerListing, reason: &str) {
        self.instance.metrics.backend_failures.inc();
        event!(Event::ServerFailed, "request={} server={} reason={reason:?}", self.id, server.name);
        let now = self.instance.deps.clock.now();
        if let Some(entry) = self.instance.board.backends.write().find_mut(&self.service, &server.name) {
            entry.note_failure(now);
        }
    }
}

/// Result of dispatching a request to one server.
enum DispatchOutcome {
    /// The request ended, or its failure was reported to the caller; no other server is tried.
    Finished,
    /// The request was not sent.
    NotSent(String),
    /// The request may have run, and the caller has received nothing of its answer.
    MayHaveRun(String),
}
