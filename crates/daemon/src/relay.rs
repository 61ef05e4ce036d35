//! One chat request between the fleet and a model engine: placement, retry, resume, cancel and billing.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::backends::Listed;
use coltsfootpick_core::names::{BackendServerName, RecordId, ServiceName};
use coltsfootpick_core::quarantine::{Fingerprint, Standing};
use coltsfootpick_core::refusal::{Code, Refusal, Run};
use coltsfootpick_core::retry::BACKOFF_MIN;
use coltsfootpick_core::units::Tokens;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission::Admitted;
use crate::choose;
use crate::credit::Credit;
use crate::engine_call::{EngineCall, OpenError};
use crate::event;
use crate::events::Event;
use crate::instance::Instance;
use crate::load::OpenDispatch;
use crate::sse::{SseEvent, SseReader};
use crate::streams::StreamGuard;
use crate::suspects::{self, Isolated, Isolation};

/// Servers that one request is tried on before its first token.
const SERVERS_MAX: usize = 3;

/// Resumes in a row that bring no new chunk.
const STALLS_MAX: usize = 3;

/// Time after which a second copy of a suspect may come back.
const COPY_RETRY: Duration = Duration::from_secs(1);

/// What the relay hands to the caller's side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayEvent {
    /// The stream is open on this server; sent before the first chunk.
    Opened(Listed),
    /// Next chunk, in order and without gaps.
    Chunk(SseEvent),
    /// The answer is whole.
    End,
    /// The answer ends here.
    Failed(Refusal),
}

/// Chat request that has its credit.
#[derive(Debug)]
pub struct Relay {
    /// Instance that dispatches.
    pub instance: Arc<Instance>,
    /// Service asked for.
    pub service: ServiceName,
    /// Request id, under which it is billed once.
    pub id: RecordId,
    /// Body for the engine.
    pub body: Bytes,
    /// Conversation, for prefix matching.
    pub prompt: String,
    /// Credit that pays.
    pub credit: Credit,
    /// Slot that it holds; a resumed stream has its place at the engine already.
    pub admitted: Option<Admitted>,
    /// Registration as the latest relay of the stream.
    pub guard: StreamGuard,
    /// Hash that recognises the request.
    pub print: Fingerprint,
    /// Time for which the stream goes on without its caller.
    pub grace: Duration,
    /// Moment by which the answer must be whole.
    pub until: Instant,
}

/// How reading from one connection ended.
enum Pumped {
    Whole,
    CallerLeft,
    Superseded,
    Broken(String),
    Late,
}

/// Server chosen for a request, and the isolation of a suspect.
struct Place {
    server: Listed,
    _isolated: Option<Isolated>,
}

/// Where one connection reads, and whether the caller was told of it.
struct Position {
    delivered: u64,
    is_told: bool,
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
    /// Runs the request to its end; billing happens when the relay is dropped.
    pub async fn run(mut self, out: mpsc::Sender<RelayEvent>) {
        let mut tried = Vec::new();
        let mut last = String::from("no backend server is listed");
        let mut has_run = false;
        self.instance.retries.lock().first();
        while tried.len() < SERVERS_MAX {
            let place = match self.place(&tried).await {
                Ok(Some(place)) => place,
                Ok(None) => break,
                Err(refusal) => return self.send_failure(&out, refusal).await,
            };
            if has_run && !self.instance.retries.lock().take() {
                break;
            }
            let counter = if has_run { &self.instance.metrics.repeats } else { &self.instance.metrics.firsts };
            counter.inc();
            tried.push(place.server.name.clone());
            match self.serve_on(&place.server, None, &out).await {
                Served::Finished => return,
                Served::Unsent(reason) => last = reason,
                Served::Unanswered(reason) => {
                    has_run = true;
                    last = reason;
                }
            }
        }
        let (retries, now) = (&self.instance.retries, self.instance.deps.clock.now());
        let refusal = match has_run {
            true => {
                Refusal::may_have_run(Code::NoBackendServer, last).retry_after(retries.lock().fail(self.print, now))
            }
            false => Refusal::not_run(Code::NoBackendServer, last).retry_after(BACKOFF_MIN),
        };
        self.send_failure(&out, refusal).await;
    }

    /// Goes on with a stream that runs on `server`, from the chunk `from`.
    pub async fn resume_on(mut self, server: Listed, from: u64, out: mpsc::Sender<RelayEvent>) {
        match self.serve_on(&server, Some(from), &out).await {
            Served::Finished => {}
            Served::Unsent(reason) | Served::Unanswered(reason) => {
                let refusal = Refusal { code: Code::BackendFailed, run: Run::Ran, retry: None, detail: reason };
                self.send_failure(&out, refusal).await;
            }
        }
    }

    async fn send_failure(&self, out: &mpsc::Sender<RelayEvent>, refusal: Refusal) {
        let _ = out.send(RelayEvent::Failed(refusal)).await;
    }

    /// Chooses a server; a suspect waits for one on which no other suspect runs.
    async fn place(&self, tried: &[BackendServerName]) -> Result<Option<Place>, Refusal> {
        let suspects = &self.instance.suspects;
        loop {
            let released = suspects.released();
            match suspects.standing(self.print, self.instance.deps.clock.now()) {
                Standing::Quarantined => return Err(suspects::refusal(!tried.is_empty())),
                Standing::Clear => {
                    return Ok(self.choose(tried).map(|server| Place { server, _isolated: None }));
                }
                Standing::Suspect if suspects.is_running(self.print) => {
                    return Err(
                        Refusal::may_have_run(Code::InProgress, "the same request is at work").retry_after(COPY_RETRY)
                    );
                }
                Standing::Suspect => {}
            }
            let (barred, occupied) = suspects.limits(self.print);
            let excluded = [tried, &barred, &occupied].concat();
            match self.choose(&excluded) {
                Some(server) => {
                    if let Isolation::Alone(isolated) = Isolated::start(&self.instance, self.print, &server.name) {
                        return Ok(Some(Place { server, _isolated: Some(isolated) }));
                    }
                }
                None if occupied.is_empty() => return Ok(None),
                None if tokio::time::timeout_at(self.until, released).await.is_err() => {
                    return Err(Refusal::may_have_run(Code::DeadlinePassed, "the deadline passed"));
                }
                None => {}
            }
        }
    }

    fn choose(&self, tried: &[BackendServerName]) -> Option<Listed> {
        choose::choose(&self.instance, &self.service, &self.prompt, tried, &format_args!("request={}", self.id))
    }

    /// Serves on one server: a new request, or a stream from the chunk `from` on.
    async fn serve_on(&mut self, server: &Listed, from: Option<u64>, out: &mpsc::Sender<RelayEvent>) -> Served {
        let open = OpenDispatch::new(Arc::clone(&self.instance), self.service.clone(), server.name.clone());
        let mut position = Position { delivered: from.unwrap_or_default(), is_told: false };
        let mut stalls = 0;
        let mut opened = match from {
            // The chunk before tells the cost so far, also when nothing but the end is missing.
            Some(from) => self.engine(server).resume(from.saturating_sub(1)).await,
            None => self.engine(server).open().await,
        };
        loop {
            let before = position.delivered;
            let pumped = match opened {
                Ok(body) => self.pump(server, &open, body, &mut position, out).await,
                Err(OpenError::Unsent(reason)) if !position.is_told && from.is_none() && stalls == 0 => {
                    self.note_failure(server, &reason);
                    return Served::Unsent(reason);
                }
                // A server that was down before is not lost to this request.
                Err(OpenError::Refused(reason)) if !position.is_told && from.is_none() && stalls == 0 => {
                    self.note_failure(server, &reason);
                    return Served::Unanswered(reason);
                }
                Err(OpenError::Unsent(reason) | OpenError::Refused(reason) | OpenError::Unanswered(reason)) => {
                    return self.leave(server, reason, &position, out).await;
                }
            };
            stalls = if position.delivered > before { 0 } else { stalls + 1 };
            match pumped {
                Pumped::Whole => {
                    self.note_whole();
                    let _ = out.send(RelayEvent::End).await;
                    return Served::Finished;
                }
                Pumped::CallerLeft => {
                    self.linger(server, &open, position.delivered).await;
                    return Served::Finished;
                }
                Pumped::Superseded => {
                    self.credit.set_used(Tokens::ZERO);
                    return Served::Finished;
                }
                Pumped::Late => {
                    self.cancel(server).await;
                    return self.fail(out, Code::DeadlinePassed, "the deadline passed".to_owned()).await;
                }
                Pumped::Broken(reason) if stalls > STALLS_MAX => {
                    return self.leave(server, reason, &position, out).await;
                }
                Pumped::Broken(reason) => {
                    event!(Event::StreamResumed, "request={} from={} cause={reason:?}", self.id, position.delivered);
                    opened = self.engine(server).resume(position.delivered).await;
                }
            }
        }
    }

    /// Gives up on a server; a request that nobody was answered may go to another one.
    async fn leave(
        &mut self,
        server: &Listed,
        reason: String,
        position: &Position,
        out: &mpsc::Sender<RelayEvent>,
    ) -> Served {
        self.note_failure(server, &reason);
        let standing = match self.engine(server).is_lost().await {
            true => self.instance.suspects.lose(&self.instance, self.print, &server.name),
            false => {
                self.cancel(server).await;
                Standing::Clear
            }
        };
        if position.is_told {
            return self.fail(out, Code::BackendFailed, reason).await;
        }
        self.credit.set_used(Tokens::ZERO);
        if standing == Standing::Quarantined {
            self.send_failure(out, suspects::refusal(true)).await;
            return Served::Finished;
        }
        Served::Unanswered(reason)
    }

    fn engine<'a>(&'a self, server: &'a Listed) -> EngineCall<'a> {
        EngineCall { instance: &self.instance, server, id: &self.id, body: &self.body }
    }

    fn note_whole(&mut self) {
        if let Some(admitted) = &mut self.admitted {
            admitted.mark_whole();
        }
        self.instance.suspects.complete(self.print, self.instance.deps.clock.now());
        self.instance.retries.lock().answer(self.print);
    }

    /// Reads on without the caller for the grace period, then cancels unless it came back.
    async fn linger(&mut self, server: &Listed, open: &OpenDispatch, delivered: u64) {
        event!(Event::CallerLeft, "request={} delivered={delivered}", self.id);
        let until = self.until.min(Instant::now() + self.grace);
        let (sink, mut drain) = mpsc::channel(1);
        let mut position = Position { delivered, is_told: true };
        let drained = async move { while drain.recv().await.is_some() {} };
        let reading = async {
            match self.engine(server).resume(delivered).await {
                Ok(body) => self.pump(server, open, body, &mut position, &sink).await,
                Err(OpenError::Unsent(reason) | OpenError::Refused(reason) | OpenError::Unanswered(reason)) => {
                    Pumped::Broken(reason)
                }
            }
        };
        let ended = tokio::select! {
            ended = reading => Some(ended),
            () = tokio::time::sleep_until(until) => None,
            () = drained => None,
        };
        match ended {
            Some(Pumped::Whole) => self.note_whole(),
            Some(Pumped::Superseded) => self.credit.set_used(Tokens::ZERO),
            _ => self.cancel(server).await,
        }
    }

    async fn fail(&self, out: &mpsc::Sender<RelayEvent>, code: Code, detail: String) -> Served {
        self.send_failure(out, Refusal { code, run: Run::Ran, retry: None, detail }).await;
        Served::Finished
    }

    /// Hands chunks on until the stream ends, breaks or goes silent.
    async fn pump(
        &mut self,
        server: &Listed,
        open: &OpenDispatch,
        mut body: Incoming,
        position: &mut Position,
        out: &mpsc::Sender<RelayEvent>,
    ) -> Pumped {
        let superseded = self.guard.superseded();
        let mut reader = SseReader::default();
        loop {
            match reader.next_event() {
                Ok(Some(event)) if event.data == "[DONE]" => return Pumped::Whole,
                Ok(Some(event)) => {
                    if position.delivered == 0 {
                        open.note_answer();
                    }
                    if self.hand_on(server, event, position, out).await.is_err() {
                        return Pumped::CallerLeft;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(error) => return Pumped::Broken(error.to_string()),
            }
            let silence = Instant::now() + self.instance.settings.liveness_timeout;
            let frame = tokio::select! {
                frame = tokio::time::timeout_at(silence.min(self.until), body.frame()) => frame,
                () = superseded.cancelled() => return Pumped::Superseded,
                () = out.closed() => return Pumped::CallerLeft,
            };
            match frame {
                Ok(Some(Ok(frame))) => reader.push(&frame.into_data().unwrap_or_default()),
                Ok(Some(Err(error))) => return Pumped::Broken(error.to_string()),
                Ok(None) => return Pumped::Broken("the stream ended early".to_owned()),
                Err(_) if Instant::now() >= self.until => return Pumped::Late,
                Err(_) => return Pumped::Broken("the connection went silent".to_owned()),
            }
        }
    }

    async fn hand_on(
        &mut self,
        server: &Listed,
        event: SseEvent,
        position: &mut Position,
        out: &mpsc::Sender<RelayEvent>,
    ) -> Result<(), mpsc::error::SendError<RelayEvent>> {
        self.note_usage(&event.data);
        // A resumed stream may repeat chunks that the caller already has.
        if event.number.is_some_and(|number| number < position.delivered) {
            return Ok(());
        }
        if !position.is_told {
            position.is_told = true;
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

    /// Cancels the stream at the engine and bills what it says it produced.
    async fn cancel(&mut self, server: &Listed) {
        if !self.guard.is_latest() {
            self.credit.set_used(Tokens::ZERO);
            return;
        }
        if let Some(produced) = self.engine(server).cancel().await {
            self.credit.set_used(produced);
        }
    }

    fn note_failure(&self, server: &Listed, reason: &str) {
        self.instance.metrics.failures.inc();
        event!(Event::ServerFailed, "request={} server={} reason={reason:?}", self.id, server.name);
        let now = self.instance.deps.clock.now();
        if let Some(known) = self.instance.board.backends.write().find_mut(&self.service, &server.name) {
            known.note_failure(now);
        }
    }
}

enum Served {
    Finished,
    Unsent(String),
    Unanswered(String),
}
