//! Handles requests that other instances forward, as if their callers had sent them here.
//!
//! A forwarded request passes the same checks as any other: it runs only with a valid key, and no header gets through
//! that a caller may not set. It is never forwarded again. See `docs/FORWARDING.md`.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use coltsfootpick_core::client_limits::{Phase, SocketKind};
use coltsfootpick_core::path_health::PathState;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_process::socket_limits;
use coltsfootpick_wire::forwarding::{
    AnswerFrame, AnswerKind, BODY_PIECE_BYTES, EndMessage, FRAME_MAX_BYTES, ForwardFrame, ForwardKind,
    ForwardedRequestMessage, PeerStateMessage, RefusalMessage, ResponseHeadMessage, decode_headers, encode_headers,
};
use futures_util::{SinkExt, StreamExt};
use http::Method;
use prost::Message;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::codec::Framed;

use crate::charged_codec::ChargedCodec;
use crate::client_budget::Charge;
use crate::client_connections::{Connection, accept_client};
use crate::forward_link::LinkError;
use crate::interfaces::CallerProtocol;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::metered_stream::MeteredStream;
use crate::outcome::{RequestOutcome, ResponseBody};
use crate::request::CallerRequest;
use crate::request_handler::RequestHandler;

/// Maximum number of forwarded requests handled at the same time, so that own callers keep their quality.
const FORWARDED_MAX: usize = 160;

/// Most earlier runs that are counted for a forwarded request; routes allow fewer.
const DISPATCHES_MAX: u32 = 1_000;

/// Time after which an idle connection is closed; longer than the forwarding instance reuses it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum length of a body until a document sets it.
const BODY_MAX_DEFAULT: usize = 1 << 20;

/// Handles requests of other instances' callers.
#[derive(Clone, Debug)]
pub struct ForwardServer {
    handler: RequestHandler,
    callers: Arc<dyn CallerProtocol>,
    open: Arc<AtomicUsize>,
}

/// Counts one until it is dropped.
struct CountGuard(Arc<AtomicUsize>);

impl CountGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

type Frames = Framed<MeteredStream, ChargedCodec>;

async fn send(frames: &mut Frames, kind: AnswerKind) -> Result<(), LinkError> {
    let frame = AnswerFrame { kind: Some(kind) };
    frames.send(Bytes::from(frame.encode_to_vec())).await.map_err(LinkError::new)
}

async fn receive(frames: &mut Frames) -> Result<ForwardKind, LinkError> {
    let frame = frames.next().await.ok_or_else(|| LinkError::new("closed"))?.map_err(LinkError::new)?;
    let frame = ForwardFrame::decode(frame).map_err(LinkError::new)?;
    frame.kind.ok_or_else(|| LinkError::new("an unknown frame"))
}

impl ForwardServer {
    /// Server that handles requests with `handler`.
    pub fn new(handler: RequestHandler, callers: Arc<dyn CallerProtocol>) -> Self {
        Self { handler, callers, open: Arc::default() }
    }

    /// Accepts connections of other instances.
    pub async fn run(self, listener: TcpListener) {
        loop {
            let board = &self.handler.board;
            let name = "a forwarding connection";
            let accepted = accept_client(board, &listener, SocketKind::Forward, name, socket_limits::PEER).await;
            let (stream, client) = accepted;
            let frames = Framed::new(stream, ChargedCodec::new(FRAME_MAX_BYTES, board.clients.charge()));
            let server = self.clone();
            tokio::spawn(async move {
                let result = tokio::select! {
                    result = server.serve_connection(frames, &client) => result,
                    () = client.closed() => Err(LinkError::new("closed to make room, or at a time limit")),
                };
                if let Err(error) = result {
                    log::debug!("forwarding connection ended: {error}");
                }
            });
        }
    }

    async fn serve_connection(&self, mut frames: Frames, client: &Connection) -> Result<(), LinkError> {
        loop {
            let received = tokio::time::timeout(IDLE_TIMEOUT, receive(&mut frames)).await;
            let received = received.map_err(LinkError::new)??;
            client.begin(Phase::Working);
            match received {
                ForwardKind::Inquiry(_) => send(&mut frames, AnswerKind::State(self.state())).await?,
                ForwardKind::Request(message) => self.serve_request(message, &mut frames).await?,
                ForwardKind::Body(_) => return Err(LinkError::new("a body without a request")),
            }
            client.begin(Phase::Idle);
        }
    }

    fn state(&self) -> PeerStateMessage {
        let board = &self.handler.board;
        let is_full = self.open.load(Ordering::Relaxed) >= FORWARDED_MAX;
        let lost = board.paths.all().into_iter().filter(|(_, path)| path.state() != PathState::Sound);
        PeerStateMessage {
            accepts: board.is_ready() && !board.is_shedding() && !is_full && !self.handler.forwarder.is_behind(),
            lost_services: lost.map(|(service, _)| service.to_string()).collect(),
            document_version: board.document_version(),
            open: board.open_requests(),
            home_region: Some(board.instance.location.region.to_string()),
        }
    }

    /// Reason for which another instance should take a request.
    fn declined(&self, message: &ForwardedRequestMessage) -> Option<&'static str> {
        let board = &self.handler.board;
        match () {
            () if !board.is_ready() => Some("the instance is starting or stopping"),
            () if board.link.lock().is_full() => Some("the network link is full"),
            () if self.open.load(Ordering::Relaxed) >= FORWARDED_MAX => Some("too many forwarded requests"),
            () if board.document_version() < message.document_version => Some("the document is older"),
            () => None,
        }
    }

    async fn serve_request(&self, message: ForwardedRequestMessage, frames: &mut Frames) -> Result<(), LinkError> {
        let arrived = Instant::now();
        let limits = self.handler.board.routes().and_then(|table| table.limits());
        let limit = limits.map_or(BODY_MAX_DEFAULT, |limits| limits.body_bytes);
        if message.body_length > limit as u64 {
            return Err(LinkError::new(format!("a body of {} bytes", message.body_length)));
        }
        let charge = self.handler.board.clients.charge();
        let reading = read_body(frames, message.body_length, charge);
        let body = tokio::time::timeout(BODY_TIMEOUT, reading).await.map_err(LinkError::new)??;
        if let Some(reason) = self.declined(&message) {
            let refusal = Refusal::not_run(Code::NoBackendServer, reason);
            return send(frames, refused(&refusal, true)).await;
        }
        let (instance, dispatches) = (message.instance.clone(), message.dispatches.min(DISPATCHES_MAX));
        let request = match self.decode(message, body, arrived) {
            Ok(request) => request,
            Err(refusal) => return send(frames, refused(&refusal, false)).await,
        };
        if self.handler.is_outside_homes(&request) {
            let refusal = Refusal::not_run(Code::NoBackendServer, "the instance is outside the home regions");
            return send(frames, refused(&refusal, true)).await;
        }
        log_event!(
            LogEvent::ForwardTaken,
            "request={} instance={instance:?} sends={dispatches} open={}",
            request.id,
            self.open.load(Ordering::Relaxed)
        );
        let _guard = CountGuard::new(&self.open);
        let outcome = tokio::select! {
            outcome = self.handler.serve_forwarded(request, dispatches) => outcome,
            // Dropping the request cancels it at its server.
            _ = frames.next() => return Err(LinkError::new("the caller or its instance left")),
        };
        self.pass_on(outcome, frames).await
    }

    fn decode(
        &self,
        message: ForwardedRequestMessage,
        body: Bytes,
        arrived: Instant,
    ) -> Result<CallerRequest, Refusal> {
        let invalid =
            |what: &str| Refusal::not_run(Code::BadRequest, format!("the forwarded request has no valid {what}"));
        let (mut head, ()) = http::Request::new(()).into_parts();
        head.method = Method::from_bytes(message.method.as_bytes()).map_err(|_invalid| invalid("method"))?;
        head.uri = message.target.parse().map_err(|_invalid| invalid("target"))?;
        head.headers = decode_headers(message.headers).ok_or_else(|| invalid("headers"))?;
        self.callers.decode(head, body, arrived)
    }

    async fn pass_on(&self, outcome: RequestOutcome, frames: &mut Frames) -> Result<(), LinkError> {
        let (head, body) = match outcome {
            RequestOutcome::Relayed(head, body) => (head, body),
            RequestOutcome::Refused(refusal) => {
                let is_own_state = matches!(refusal.code, Code::Draining | Code::StreamUnproven);
                let elsewhere = is_own_state || self.has_lost_paths(&refusal);
                return send(frames, refused(&refusal, elsewhere)).await;
            }
        };
        let message = ResponseHeadMessage {
            status: u32::from(head.status.as_u16()),
            headers: encode_headers(&head.headers),
            streams: matches!(body, ResponseBody::Events(_)),
            document_version: self.handler.board.document_version(),
        };
        send(frames, AnswerKind::Head(message)).await?;
        match body {
            ResponseBody::Buffered(bytes) => send_pieces(frames, bytes).await?,
            ResponseBody::Events(mut events) => loop {
                let event = tokio::select! {
                    event = events.next() => event,
                    _ = frames.next() => return Err(LinkError::new("the caller or its instance left")),
                };
                match event {
                    Some(Ok(bytes)) => send_pieces(frames, bytes).await?,
                    Some(Err(error)) => return Err(LinkError::new(error)),
                    None => break,
                }
            },
        }
        send(frames, AnswerKind::End(EndMessage {})).await
    }

    /// Whether this instance found no server because it has lost its own path.
    fn has_lost_paths(&self, refusal: &Refusal) -> bool {
        let is_lost = || self.handler.board.paths.all().iter().any(|(_, path)| path.state() == PathState::Lost);
        refusal.code == Code::NoBackendServer && is_lost()
    }
}

fn refused(refusal: &Refusal, elsewhere: bool) -> AnswerKind {
    AnswerKind::Refused(RefusalMessage { elsewhere, ..refusal.into() })
}

async fn read_body(frames: &mut Frames, length: u64, mut charge: Charge) -> Result<Bytes, LinkError> {
    let length = usize::try_from(length).map_err(LinkError::new)?;
    let mut body = BytesMut::with_capacity(length.min(BODY_PIECE_BYTES));
    while body.len() < length {
        let ahead = (length - body.len()).min(BODY_PIECE_BYTES);
        charge.grow_to((body.len() + ahead) as u64).map_err(LinkError::new)?;
        let ForwardKind::Body(piece) = receive(frames).await? else {
            return Err(LinkError::new("a frame within a body"));
        };
        if piece.is_empty() || body.len() + piece.len() > length {
            return Err(LinkError::new("a body of another length"));
        }
        body.extend_from_slice(&piece);
    }
    Ok(charge.attach(body.freeze()))
}

async fn send_pieces(frames: &mut Frames, mut bytes: Bytes) -> Result<(), LinkError> {
    while !bytes.is_empty() {
        let piece = bytes.split_to(bytes.len().min(BODY_PIECE_BYTES));
        send(frames, AnswerKind::Body(piece)).await?;
    }
    Ok(())
}
