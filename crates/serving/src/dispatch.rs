//! Sends a request to one backend server once and classifies the result by whether the request may have run.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::brittle_servers::BrittleChange;
use coltsfootpick_core::client_limits::SocketKind;
use coltsfootpick_core::selection::{Generation, Selection};
use coltsfootpick_core::server_limits::LimitChange;
use derive_more::Display;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::blackboard::Blackboard;
use crate::buffered_body::BufferedBody;
use crate::fleet_loads::EngineProgress;
use crate::interfaces::{BackendProtocol, DispatchContext, ResponseKind, ServerNotice};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::paths::ServicePath;
use crate::pool::{ConnectError, Lease};
use crate::request::CallerRequest;
use crate::servers::Server;

/// Longest pause that a server can ask for.
const PAUSE_MAX: Duration = Duration::from_secs(3_600);

/// Bytes of the buffers and the task of a connection to a server.
const SERVER_CONNECTION_BYTES: u64 = 16 << 10;

/// Reason why a dispatch brought no response that can be passed to the caller.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum DispatchError {
    /// The request was not sent.
    #[display("not-sent: {_0}")]
    NotSent(String),
    /// The zone of the server was evacuated before the request was sent.
    #[display("withdrawn")]
    Withdrawn,
    /// This instance has no room for a connection, so the request was not sent; its server is not to blame.
    #[display("no-room")]
    NoRoom,
    /// The server answered that it did not run the request.
    #[display("rejected")]
    Rejected,
    /// The address now belongs to another server, which did not run the request.
    #[display("other-server")]
    OtherServer,
    /// The request may have run.
    #[display("unknown: {_0}")]
    Unknown(String),
    /// The path to the server was lost after the request was sent; it may have run.
    #[display("path-lost")]
    PathLost,
    /// The deadline passed after the request was sent; it may have run.
    #[display("late")]
    DeadlinePassed,
}

impl DispatchError {
    /// Whether the error proves that the request did not run.
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Withdrawn | Self::NoRoom | Self::Rejected | Self::OtherServer)
    }
}

/// Counts a request in the load of its server until it is dropped.
#[derive(Debug)]
pub struct DispatchGuard {
    server: Arc<Server>,
    path: Arc<ServicePath>,
    freed: Arc<Notify>,
    uncached: u64,
    held: u64,
    predicted_ms: f64,
    started: Instant,
    has_response: bool,
    /// Progress that other instances are told; `None` if the server is no engine.
    progress: Option<EngineProgress>,
}

impl DispatchGuard {
    /// Adds the request to the load of `server`.
    pub fn start(
        board: &Blackboard,
        server: &Arc<Server>,
        selection: &Selection,
        generation: Option<&Generation>,
    ) -> Self {
        let parts = generation.map_or(&[][..], |generation| &generation.parts);
        let held = generation.map_or(0, |generation| generation.bound().0);
        let mut load = server.load.lock();
        load.note_start(parts, selection.uncached, board.clock.now());
        load.note_held(held);
        drop(load);
        let path = board.paths.of(&server.entry.service);
        path.note_sent();
        Self {
            server: Arc::clone(server),
            path,
            freed: Arc::clone(&board.room_freed),
            uncached: selection.uncached,
            held,
            predicted_ms: selection.predicted,
            started: Instant::now(),
            has_response: false,
            progress: EngineProgress::start(board, server, selection, generation),
        }
    }

    /// Records the server's time to first byte; only the first call counts.
    pub fn note_first_byte(&mut self) {
        if !std::mem::replace(&mut self.has_response, true) {
            self.server.load.lock().note_first_token(self.uncached, self.started.elapsed(), self.predicted_ms);
        }
    }

    /// Records that the stream of the server is being read from now on.
    pub fn note_reading(&mut self) {
        if let Some(progress) = &mut self.progress {
            progress.note_reading();
        }
    }

    /// Records that the stream has brought `events` in total, some of which may be of earlier servers.
    pub fn note_events(&mut self, events: u64) {
        if let Some(progress) = &mut self.progress {
            progress.note_events(events);
        }
    }

    /// Records that the server sent something.
    pub fn note_heard(&self) {
        self.path.note_heard();
    }

    /// Time since the dispatch started.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        let mut load = self.server.load.lock();
        if !self.has_response {
            load.note_unanswered(self.uncached);
        }
        load.note_released(self.held);
        load.note_end();
        drop(load);
        self.path.note_ended();
        self.freed.notify_one();
    }
}

/// Response of a backend server whose body has not been read yet.
#[derive(Debug)]
pub struct ServerResponse {
    /// Status and headers.
    pub head: Parts,
    /// Unread body.
    pub body: Incoming,
    lease: Lease,
    idle_time: Option<Duration>,
}

impl ServerResponse {
    /// Returns the connection to the server's pool; call it only after the whole body was read.
    pub fn release_connection(self, server: &Server) {
        let connection = self.head.headers.get(http::header::CONNECTION);
        if !connection.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
            server.pool.release(self.lease, self.idle_time);
        }
    }

    /// Reads the whole body into memory and returns the connection to the pool.
    pub async fn read_body(
        mut self,
        board: &Blackboard,
        server: &Server,
        deadline: Instant,
    ) -> Result<(Parts, Bytes), DispatchError> {
        let body = tokio::time::timeout_at(deadline, collect_body(board, server, &mut self.body));
        let body = body.await.map_err(|_elapsed| DispatchError::DeadlinePassed)??;
        let head = self.head.clone();
        self.release_connection(server);
        Ok((head, body))
    }
}

/// Collects a body within the limits on buffered bytes.
async fn collect_body(board: &Blackboard, server: &Server, body: &mut Incoming) -> Result<Bytes, DispatchError> {
    let mut buffered = BufferedBody::new(&board.buffered).charged(board.clients.charge());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| DispatchError::Unknown(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if let Err(limit) = buffered.push(data) {
            note_oversized(board, server, &limit.to_string());
            return Err(DispatchError::Unknown(limit.to_string()));
        }
    }
    Ok(buffered.into_bytes())
}

/// Counts and logs a response that exceeded a size limit; its connection is closed.
pub fn note_oversized(board: &Blackboard, server: &Server, reason: &str) {
    board.metrics.responses_oversized.inc();
    log_event!(LogEvent::ResponseOversized, "server={} reason={reason:?}", server.entry.name);
}

/// Logs and counts changes of servers' limits, and has them reported.
pub fn note_limit_changes(board: &Blackboard, changes: &[LimitChange], told_by: &str) {
    for LimitChange { name, limit } in changes {
        let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
        log_event!(LogEvent::ServerLimited, "server={name} limit={limit} told-by={told_by}");
    }
    if !changes.is_empty() {
        let limited = board.server_limits.lock().limited_count();
        board.metrics.limited_servers.set(i64::try_from(limited).unwrap_or(i64::MAX));
    }
    board.observation_news.notify_one();
}

/// Logs changes of brittle services, and has them reported.
pub fn note_brittle_changes(board: &Blackboard, changes: &[BrittleChange], told_by: &str) {
    for BrittleChange { service, threshold } in changes {
        let threshold = threshold.map_or_else(|| "none".to_owned(), |threshold| threshold.to_string());
        log_event!(LogEvent::ServiceBrittle, "service={service} threshold={threshold} told-by={told_by}");
    }
    board.observation_news.notify_one();
}

/// Applies what the head of a response tells about its server.
fn note_server(board: &Blackboard, server: &Server, notice: &ServerNotice) {
    let name = &server.entry.name;
    if notice.is_leaving && server.leave() {
        log_event!(LogEvent::ServerLeaving, "server={name} service={} told-by=answer", server.entry.service);
    }
    if let Some(pause) = notice.pause {
        server.pause(pause.min(PAUSE_MAX));
        board.metrics.server_pauses.inc();
        let is_cut = pause > PAUSE_MAX;
        log_event!(LogEvent::ServerPaused, "server={name} pause_ms={} cut={is_cut}", pause.min(PAUSE_MAX).as_millis());
    }
    if let Some(text) = &notice.invalid_limit {
        log_event!(LogEvent::ServerLimited, "server={name} ignored={text:?}");
    }
    let may_lift = || notice.invalid_limit.is_none() && !board.server_limits.lock().is_empty();
    if notice.limit.is_some() || may_lift() {
        let change = board.server_limits.lock().record(&server.entry.run(), notice.limit, board.clock.reading());
        note_limit_changes(board, change.as_slice(), "answer");
    }
    if let Some(text) = &notice.invalid_brittle {
        log_event!(LogEvent::ServiceBrittle, "server={name} ignored={text:?}");
    }
    let may_end = || notice.invalid_brittle.is_none() && !board.brittle_servers.lock().is_empty();
    if notice.brittle.is_some() || may_end() {
        let service = &server.entry.service;
        let (run, clock) = (server.entry.run(), board.clock.reading());
        let change = board.brittle_servers.lock().record(service, &run, notice.brittle, clock);
        note_brittle_changes(board, change.as_slice(), "answer");
    }
    if let Some(text) = &notice.invalid_pause {
        log_event!(LogEvent::ServerPaused, "server={name} ignored={text:?}");
    }
}

/// Sends `request` to `server` and reads the head of the response.
///
/// Unless it `may_reuse` one, the request goes over a connection that has carried no other.
pub async fn send_request(
    board: &Blackboard,
    protocol: &dyn BackendProtocol,
    request: &CallerRequest,
    server: &Server,
    context: &DispatchContext<'_>,
    deadline: Instant,
    may_reuse: bool,
) -> Result<ServerResponse, DispatchError> {
    let path = board.paths.of(&server.entry.service);
    let idle = if may_reuse { server.pool.take_idle() } else { None };
    let mut lease = match idle {
        Some(lease) => lease,
        None => connect(board, server, &path, deadline).await?,
    };
    // Connecting takes time, in which an evacuation may have come into force.
    if board.evacuations.lock().is_in_force(&server.entry.location.zone) {
        return Err(DispatchError::Withdrawn);
    }
    let (reused, sent) = (lease.reused, board.clock.now());
    let encoded = protocol.encode(request, context);
    let response = match tokio::time::timeout_at(deadline, lease.sender.try_send_request(encoded)).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            // hyper returns the request if it has written none of it.
            return Err(match error.take_message() {
                Some(_) => DispatchError::NotSent(error.error().to_string()),
                None => DispatchError::Unknown(format!("{} reused={reused}", error.error())),
            });
        }
        Err(_) => return Err(DispatchError::DeadlinePassed),
    };
    path.note_heard();
    let (head, body) = response.into_parts();
    let kind = protocol.classify_head(request, &head, reused);
    if kind != ResponseKind::OtherServer {
        let notice = protocol.notice(&head);
        note_server(board, server, &notice);
        if let Some(left) = notice.cold {
            board.note_cold_answer(&server.entry, left, sent);
        }
    }
    match kind {
        ResponseKind::Answer => {
            let idle_time = protocol.idle_time(&head);
            Ok(ServerResponse { head, body, lease, idle_time })
        }
        ResponseKind::NotRun => {
            board.note_rejected(&server.entry);
            Err(DispatchError::Rejected)
        }
        ResponseKind::OtherServer => Err(DispatchError::OtherServer),
        ResponseKind::Unusable(reason) => Err(DispatchError::Unknown(reason.to_owned())),
    }
}

async fn connect(
    board: &Blackboard,
    server: &Server,
    path: &ServicePath,
    deadline: Instant,
) -> Result<Lease, DispatchError> {
    let table = board.routes();
    let spec = table.as_ref().and_then(|table| table.service(&server.entry.service));
    let fleet_limit = spec.map_or(usize::MAX, |spec| spec.connections as usize);
    let limit = (fleet_limit / board.fleet_size()).max(1);
    let slot = board.clients.open_socket(SocketKind::Server, SERVER_CONNECTION_BYTES);
    let Ok(slot) = slot else { return Err(DispatchError::NoRoom) };
    let connecting = tokio::time::timeout_at(deadline, server.pool.connect(limit));
    let connected = tokio::select! {
        connected = connecting => connected,
        () = path.lost_silently() => return Err(DispatchError::NotSent("the path is lost".to_owned())),
    };
    match connected {
        Ok(Ok(mut lease)) => {
            lease.slot = Some(slot);
            path.note_connected();
            server.set_unreached(false);
            Ok(lease)
        }
        Ok(Err(error)) => {
            server.set_unreached(!matches!(error, ConnectError::Full(_)));
            path.note_connect_error(&server.entry.name, &error, board.servers.usable_count(&server.entry.service));
            Err(DispatchError::NotSent(error.to_string()))
        }
        Err(_) => Err(DispatchError::NotSent("no time left to connect".to_owned())),
    }
}
