//! Forwards requests to another instance while this one has no path to the backend servers.
//!
//! The other instance handles a forwarded request as one of its own callers': it checks key, route and credit, and selects
//! the server. This instance only passes bytes on, so nothing is decided or settled twice. See `docs/FORWARDING.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::forward_peers::{ForwardPeers, PeerState};
use coltsfootpick_core::names::{AvailabilityZoneName, ServiceName};
use coltsfootpick_core::path_health::PathState;
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_wire::forwarding::{
    AnswerKind, BODY_PIECE_BYTES, ForwardKind, ForwardedRequestMessage, InquiryMessage, PeerStateMessage,
    ResponseHeadMessage, decode_headers, encode_headers,
};
use futures_util::future::join_all;
use futures_util::stream;
use http::StatusCode;
use http::response::Parts;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::blackboard::Blackboard;
use crate::buffered_body::BufferedBody;
use crate::forward_link::{ForwardLink, LinkError, LinkPool};
use crate::interfaces::CallerProtocol;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::metrics::Metrics;
use crate::open_request::OpenRequest;
use crate::outcome::{EventStream, RequestOutcome, ResponseBody, StreamAborted};
use crate::request::CallerRequest;
use crate::request_handler::spread;

/// Interval at which peers are asked while this instance may need them.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Time limit for a peer's answer to an inquiry.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Peers tried for one request that none of them took.
const PEERS_TRIED_MAX: usize = 3;

/// Retry delay given while no peer takes requests; paths are probed more often than that.
const NO_PEER_BACKOFF: Duration = Duration::from_millis(600);

/// Time beyond a request's deadline for which its answer is awaited, since the peer keeps the same deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Request to forward, with what its caller and route allow.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The request.
    pub request: CallerRequest,
    /// Service that it goes to.
    pub service: ServiceName,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Runs that it may have had already.
    pub dispatches: u32,
    /// Further runs that the route allows after one whose outcome is unknown.
    pub repeats: u32,
}

impl ForwardedRequest {
    /// Refusal after which no further peer is tried.
    fn refusal(&self, reason: &str) -> Refusal {
        let detail = format!("service={} sends={} reason={reason:?}", self.service, self.dispatches);
        match (self.dispatches, Instant::now() >= self.deadline) {
            (0, _) => Refusal::not_run(Code::NoBackendServer, detail).retry_after(spread(NO_PEER_BACKOFF)),
            (_, false) => Refusal::may_have_run(Code::BackendFailed, detail),
            (_, true) => Refusal::may_have_run(Code::DeadlinePassed, detail),
        }
    }
}

/// Result of passing a request to one peer.
enum Exchange {
    /// The peer answered.
    Answered(Box<Parts>, ResponseBody),
    /// The peer refused for all instances.
    Refused(Refusal),
    /// The peer did not take the request and never will.
    NotTaken(String),
    /// The peer may have had it run.
    Unknown(String),
}

/// Client for requests that are forwarded to other instances.
#[derive(Debug)]
pub struct Forwarder {
    board: Arc<Blackboard>,
    callers: Arc<dyn CallerProtocol>,
    peers: Mutex<ForwardPeers>,
    links: Mutex<BTreeMap<Arc<str>, Arc<LinkPool>>>,
    /// Newest version of the document by which a peer handled a request of this instance's callers.
    newest_document: AtomicU64,
    needed: Notify,
    /// End of the last round of inquiries.
    rounds: watch::Sender<Option<Instant>>,
}

/// Counts a request as forwarded to a peer until it is dropped.
#[derive(Debug)]
struct ForwardGuard {
    forwarder: Arc<Forwarder>,
    peer: Arc<str>,
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        self.forwarder.peers.lock().note_ended(&self.peer);
    }
}

impl Forwarder {
    /// Client without peers.
    pub fn new(board: Arc<Blackboard>, callers: Arc<dyn CallerProtocol>) -> Arc<Self> {
        let peers = ForwardPeers::new(Arc::clone(&board.instance.name), board.instance.location.zone.clone());
        Arc::new(Self {
            board,
            callers,
            peers: Mutex::new(peers),
            links: Mutex::default(),
            newest_document: AtomicU64::new(0),
            needed: Notify::new(),
            rounds: watch::Sender::new(None),
        })
    }

    /// Adds the newest run of a peer that takes forwarded requests at `address`.
    pub fn add(&self, peer: &Arc<str>, zone: &AvailabilityZoneName, address: SocketAddr) {
        if *peer == self.board.instance.name {
            return;
        }
        self.peers.lock().insert(peer, zone);
        self.links.lock().insert(Arc::clone(peer), Arc::new(LinkPool::new(address)));
    }

    /// Whether any other instance is known.
    pub fn has_peers(&self) -> bool {
        !self.links.lock().is_empty()
    }

    /// Whether callers have seen the effect of a newer document than this instance has.
    pub fn is_behind(&self) -> bool {
        self.board.document_version() < self.newest_document.load(Ordering::Relaxed)
    }

    /// Whether a request may have to be forwarded soon.
    fn is_needed(&self) -> bool {
        let is_unsound = |path: &crate::paths::ServicePath| path.state() != PathState::Sound;
        self.is_behind() || self.board.paths.all().iter().any(|(_, path)| is_unsound(path))
    }

    /// Asks peers whether they take requests, as long as this instance may need them.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        loop {
            if !self.is_needed() {
                tokio::select! {
                    () = self.needed.notified() => {}
                    () = stop.cancelled() => return,
                }
            }
            self.ask_peers().await;
            self.rounds.send_replace(Some(Instant::now()));
            if stop.run_until_cancelled(tokio::time::sleep(ASK_INTERVAL)).await.is_none() {
                return;
            }
        }
    }

    /// Has the peers asked, if that is not being done already.
    pub fn prepare(&self) {
        self.needed.notify_one();
    }

    async fn ask_peers(&self) {
        let asked = self.peers.lock().to_ask(self.board.clock.now());
        let answers = asked.iter().map(|peer| self.ask(peer));
        for (peer, state) in asked.iter().zip(join_all(answers).await) {
            self.peers.lock().note_state(peer, state);
        }
    }

    async fn ask(&self, peer: &Arc<str>) -> Option<PeerState> {
        let pool = self.links.lock().get(peer).cloned()?;
        let asking = async {
            let mut link = pool.take().await?;
            link.send(ForwardKind::Inquiry(InquiryMessage {})).await?;
            match link.receive().await? {
                AnswerKind::State(state) => {
                    pool.release(link);
                    Ok(state)
                }
                _ => Err(LinkError::new("the peer answered no inquiry")),
            }
        };
        let Ok(Ok(state)) = tokio::time::timeout(ASK_TIMEOUT, asking).await else {
            pool.clear();
            return None;
        };
        let PeerStateMessage { accepts, lost_services, document_version, open } = state;
        let lost = lost_services.into_iter().map(ServiceName::from).collect();
        Some(PeerState { accepts, lost, document: document_version, open, at: self.board.clock.now() })
    }

    /// Forwards a request, and ends it with the answer of the peer that takes it.
    pub async fn forward(self: &Arc<Self>, mut forwarded: ForwardedRequest, open: OpenRequest) -> RequestOutcome {
        let mut tried = Vec::new();
        let mut reason = "no other instance takes it".to_owned();
        loop {
            let Some((peer, pool)) = self.choose(&forwarded, &tried).await.filter(|_| tried.len() < PEERS_TRIED_MAX)
            else {
                return open.refuse(forwarded.refusal(&reason));
            };
            log_event!(
                LogEvent::Forwarded,
                "request={} service={} peer={peer} left_ms={} sends={}",
                forwarded.request.id,
                forwarded.service,
                forwarded.deadline.saturating_duration_since(Instant::now()).as_millis(),
                forwarded.dispatches
            );
            tried.push(Arc::clone(&peer));
            self.peers.lock().note_started(&peer);
            let guard = ForwardGuard { forwarder: Arc::clone(self), peer: Arc::clone(&peer) };
            match self.exchange(&forwarded, &pool, guard).await {
                Exchange::Answered(head, body) => {
                    Metrics::count(&self.board.metrics.forwards, "answered");
                    return open.relay_forwarded(&peer, *head, body);
                }
                Exchange::Refused(refusal) => {
                    Metrics::count(&self.board.metrics.forwards, "refused");
                    return open.refuse(refusal);
                }
                Exchange::NotTaken(why) => {
                    Metrics::count(&self.board.metrics.forwards, "not-taken");
                    self.peers.lock().note_state(&peer, None);
                    reason = format!("peer={peer} {why}");
                }
                Exchange::Unknown(why) => {
                    Metrics::count(&self.board.metrics.forwards, "unknown");
                    self.peers.lock().note_state(&peer, None);
                    reason = format!("peer={peer} {why}");
                    forwarded.dispatches += 1;
                    let may_repeat = forwarded.repeats > 0 && Instant::now() < forwarded.deadline;
                    if !may_repeat || !self.board.take_retry(&forwarded.service, &forwarded.request.id) {
                        return open.refuse(forwarded.refusal(&reason));
                    }
                    forwarded.repeats -= 1;
                }
            }
        }
    }

    /// Peer for a request. Waits for the round of inquiries that a request without a known peer starts, unless one has
    /// just ended.
    async fn choose(&self, forwarded: &ForwardedRequest, tried: &[Arc<str>]) -> Option<(Arc<str>, Arc<LinkPool>)> {
        let mut rounds = self.rounds.subscribe();
        let last = *rounds.borrow_and_update();
        if let Some(found) = self.known_peer(forwarded, tried) {
            return Some(found);
        }
        self.prepare();
        if last.is_some_and(|ended| ended.elapsed() < ASK_INTERVAL) {
            return None;
        }
        let limit = forwarded.deadline.min(Instant::now() + ASK_TIMEOUT + ASK_INTERVAL);
        let _ = tokio::time::timeout_at(limit, rounds.changed()).await;
        self.known_peer(forwarded, tried)
    }

    fn known_peer(&self, forwarded: &ForwardedRequest, tried: &[Arc<str>]) -> Option<(Arc<str>, Arc<LinkPool>)> {
        let document = self.board.document_version().max(self.newest_document.load(Ordering::Relaxed));
        let peer = self.peers.lock().choose(&forwarded.service, document, tried, self.board.clock.now())?;
        let pool = self.links.lock().get(&peer).cloned()?;
        Some((peer, pool))
    }

    async fn exchange(&self, forwarded: &ForwardedRequest, pool: &Arc<LinkPool>, guard: ForwardGuard) -> Exchange {
        let limit = forwarded.deadline + ANSWER_MARGIN;
        let sending = async {
            let mut link = pool.take().await?;
            self.send(forwarded, &mut link).await?;
            Ok(link)
        };
        let mut link = match tokio::time::timeout_at(forwarded.deadline, sending).await {
            Ok(Ok(link)) => link,
            Ok(Err(LinkError { reason })) => return Exchange::NotTaken(reason),
            Err(_) => return Exchange::NotTaken("no time left to send".to_owned()),
        };
        let head = match tokio::time::timeout_at(limit, link.receive()).await {
            Ok(Ok(AnswerKind::Head(head))) => head,
            Ok(Ok(AnswerKind::Refused(message))) => {
                pool.release(link);
                return match message.elsewhere && message.not_run {
                    true => Exchange::NotTaken(message.detail),
                    false => Exchange::Refused(message.into()),
                };
            }
            Ok(Ok(_)) => return Exchange::Unknown("an unexpected frame".to_owned()),
            Ok(Err(LinkError { reason })) => return Exchange::Unknown(reason),
            Err(_) => return Exchange::Unknown("the deadline passed".to_owned()),
        };
        self.newest_document.fetch_max(head.document_version, Ordering::Relaxed);
        let is_stream = head.streams;
        let Some(head) = read_head(head) else { return Exchange::Unknown("an invalid head".to_owned()) };
        let body = AnswerBody { link, pool: Arc::clone(pool), limit, _guard: guard };
        if is_stream {
            return Exchange::Answered(Box::new(head), ResponseBody::Events(body.into_events()));
        }
        match body.collect(&self.board).await {
            Ok(body) => Exchange::Answered(Box::new(head), ResponseBody::Buffered(body)),
            Err(LinkError { reason }) => Exchange::Unknown(reason),
        }
    }

    /// Sends a request; after an error its peer cannot have received the whole of it.
    async fn send(&self, forwarded: &ForwardedRequest, link: &mut ForwardLink) -> Result<(), LinkError> {
        let ForwardedRequest { request, deadline, dispatches, .. } = forwarded;
        let remaining = deadline.saturating_duration_since(Instant::now());
        let message = ForwardedRequestMessage {
            instance: self.board.instance.name.to_string(),
            method: request.method.to_string(),
            target: request.target.to_string(),
            headers: encode_headers(&self.callers.encode_headers(request, remaining)),
            body_length: request.body.len() as u64,
            dispatches: *dispatches,
            document_version: self.board.document_version(),
        };
        link.send(ForwardKind::Request(message)).await?;
        let mut rest = request.body.clone();
        while !rest.is_empty() {
            let piece = rest.split_to(rest.len().min(BODY_PIECE_BYTES));
            link.send(ForwardKind::Body(piece)).await?;
        }
        Ok(())
    }
}

fn read_head(message: ResponseHeadMessage) -> Option<Parts> {
    let status = StatusCode::from_u16(u16::try_from(message.status).ok()?).ok()?;
    let (mut head, ()) = http::Response::new(()).into_parts();
    head.status = status;
    head.headers = decode_headers(message.headers)?;
    Some(head)
}

/// Body of an answer that a peer passes on.
struct AnswerBody {
    link: ForwardLink,
    pool: Arc<LinkPool>,
    limit: Instant,
    _guard: ForwardGuard,
}

impl AnswerBody {
    /// Next piece; `None` at the end of the whole body.
    async fn next(&mut self) -> Result<Option<Bytes>, LinkError> {
        match tokio::time::timeout_at(self.limit, self.link.receive()).await {
            Ok(Ok(AnswerKind::Body(piece))) => Ok(Some(piece)),
            Ok(Ok(AnswerKind::End(_))) => Ok(None),
            Ok(Ok(_)) => Err(LinkError::new("an unexpected frame within a body")),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(LinkError::new("the deadline passed")),
        }
    }

    async fn collect(mut self, board: &Blackboard) -> Result<Bytes, LinkError> {
        let mut buffered = BufferedBody::new(&board.buffered).charged(board.clients.charge());
        while let Some(piece) = self.next().await? {
            buffered.push(piece).map_err(LinkError::new)?;
        }
        self.pool.release(self.link);
        Ok(buffered.into_bytes())
    }

    fn into_events(self) -> EventStream {
        Box::pin(stream::unfold(Some(self), |state| async move {
            let mut body = state?;
            match body.next().await {
                Ok(Some(piece)) => Some((Ok(piece), Some(body))),
                Ok(None) => {
                    body.pool.release(body.link);
                    None
                }
                Err(_) => Some((Err(StreamAborted), None)),
            }
        }))
    }
}
