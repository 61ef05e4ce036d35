//! One sending of a request to one backend server, and what its end proves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::spread::{Generation, Spread};
use derive_more::Display;
use http::response::Parts;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::blackboard::Blackboard;
use crate::interfaces::{BackendProtocol, DispatchContext, ResponseKind};
use crate::pool::{ConnectError, Lease};
use crate::request::CallerRequest;
use crate::servers::Server;

/// Longest plain answer that is held in memory before it is handed on.
const PLAIN_MAX_BYTES: usize = 8 << 20;

/// Why a sending brought no answer that can be handed on.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum DispatchError {
    /// Nothing reached the server.
    #[display("not-sent: {_0}")]
    NotSent(String),
    /// The server said that it did not run the request.
    #[display("rejected")]
    Rejected,
    /// Another server has the address, and did not run the request.
    #[display("other-server")]
    OtherServer,
    /// The request may have run.
    #[display("unknown: {_0}")]
    Unknown(String),
    /// Time ran out after the request was sent.
    #[display("late")]
    Late,
}

impl DispatchError {
    /// Whether it is proved that the request did not run.
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Rejected | Self::OtherServer)
    }
}

/// Request that is open at a server; dropped, it no longer counts there.
#[derive(Debug)]
pub struct DispatchGuard {
    server: Arc<Server>,
    unread: u64,
    predicted: f64,
    sent: Instant,
    is_read: bool,
}

impl DispatchGuard {
    /// Counts a request as open.
    pub fn start(board: &Blackboard, server: &Arc<Server>, spread: &Spread, generation: Option<&Generation>) -> Self {
        let chain = generation.map_or(&[][..], |generation| &generation.chain);
        server.load.lock().note_sent(chain, spread.unread, board.clock.now());
        Self {
            server: Arc::clone(server),
            unread: spread.unread,
            predicted: spread.predicted,
            sent: Instant::now(),
            is_read: false,
        }
    }

    /// Notes that the server began to answer.
    pub fn note_first(&mut self) {
        if !std::mem::replace(&mut self.is_read, true) {
            self.server.load.lock().note_first(self.unread, self.sent.elapsed(), self.predicted);
        }
    }

    /// Time since the request was sent.
    pub fn elapsed(&self) -> Duration {
        self.sent.elapsed()
    }
}

impl Drop for DispatchGuard {
    fn drop(&mut self) {
        let mut load = self.server.load.lock();
        if !self.is_read {
            load.note_unread(self.unread);
        }
        load.note_end();
    }
}

/// Head of an answer, its body still to be read.
#[derive(Debug)]
pub struct ServerResponse {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: Incoming,
    lease: Lease,
    idle: Option<Duration>,
}

impl ServerResponse {
    /// Hands the connection back once the body was read whole.
    pub fn release_connection(self, server: &Server) {
        let closes = self.head.headers.get(http::header::CONNECTION);
        if !closes.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
            server.pool.release(self.lease, self.idle);
        }
    }

    /// Reads the whole body of a plain answer.
    pub async fn read_whole(mut self, server: &Server, until: Instant) -> Result<(Parts, Bytes), DispatchError> {
        let reading = Limited::new(&mut self.body, PLAIN_MAX_BYTES).collect();
        match tokio::time::timeout_at(until, reading).await {
            Ok(Ok(collected)) => {
                let head = self.head.clone();
                self.release_connection(server);
                Ok((head, collected.to_bytes()))
            }
            Ok(Err(error)) => Err(DispatchError::Unknown(error.to_string())),
            Err(_) => Err(DispatchError::Late),
        }
    }
}

/// Sends `request` to `server` and reads the head of the answer.
pub async fn send(
    board: &Blackboard,
    dialect: &dyn BackendProtocol,
    request: &CallerRequest,
    server: &Server,
    context: &DispatchContext<'_>,
    until: Instant,
) -> Result<ServerResponse, DispatchError> {
    let mut lease = match server.pool.take_idle() {
        Some(lease) => lease,
        None => connect(board, server, until).await?,
    };
    let encoded = dialect.encode(request, context);
    let answered = match tokio::time::timeout_at(until, lease.sender.try_send_request(encoded)).await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            // The connection gives a request back that it never began to write.
            return Err(match error.take_message() {
                Some(_) => DispatchError::NotSent(error.error().to_string()),
                None => DispatchError::Unknown(error.error().to_string()),
            });
        }
        Err(_) => return Err(DispatchError::Late),
    };
    let (head, body) = answered.into_parts();
    match dialect.classify_head(request, &head) {
        ResponseKind::Answer => {
            let idle = dialect.idle_time(&head);
            Ok(ServerResponse { head, body, lease, idle })
        }
        ResponseKind::NotRun => Err(DispatchError::Rejected),
        ResponseKind::OtherServer => Err(DispatchError::OtherServer),
        ResponseKind::Unusable(reason) => Err(DispatchError::Unknown(reason.to_owned())),
    }
}

async fn connect(board: &Blackboard, server: &Server, until: Instant) -> Result<Lease, DispatchError> {
    let table = board.routes();
    let spec = table.as_ref().and_then(|table| table.service(&server.entry.service));
    let all = spec.map_or(usize::MAX, |spec| spec.connections as usize);
    let most = (all / board.fleet_size()).max(1);
    match tokio::time::timeout_at(until, server.pool.connect(most)).await {
        Ok(Ok(lease)) => Ok(lease),
        Ok(Err(error @ (ConnectError::Full(_) | ConnectError::Failed(_)))) => {
            Err(DispatchError::NotSent(error.to_string()))
        }
        Err(_) => Err(DispatchError::NotSent("no time left to connect".to_owned())),
    }
}
