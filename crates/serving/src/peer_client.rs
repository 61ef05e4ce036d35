//! Client for requests to other instances: loans of credit, settlements and reports of suspected requests.
//!
//! Connections are opened on first use and carry many requests at a time. A connection is closed when a request gets
//! no answer in time, since it may go silent while new ones work. See `docs/CREDIT.md#loans`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::loans::SettlementBatch;
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::units::Tokens;
use coltsfootpick_process::socket_limits;
use coltsfootpick_wire::ceilings::into_report;
use coltsfootpick_wire::loans::{LoanMessage, LoanRequestMessage};
use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::blackboard::Blackboard;
use crate::crash_detection::SUSPECTS_PER_RECORD;
use crate::log_event;
use crate::log_events::LogEvent;

/// Time limit for connecting to a peer; regions are about 16 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time limit for the answer to a request; after it, the connection is closed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time during which a peer is not asked after its connection failed; it doubles with each further failure.
const RECONNECT_MIN: Duration = Duration::from_secs(1);

/// Longest time during which a peer is not asked after failed connections.
const RECONNECT_MAX: Duration = Duration::from_secs(8);

/// Maximum number of requests queued for one connection; further ones fail.
const QUEUE_LENGTH: usize = 256;

/// Maximum length of a frame that holds one request or its answer.
pub(crate) const FRAME_MAX_BYTES: usize = 64 << 10;

/// Content of a request to a peer; the default one only exchanges clocks and reports of suspects.
#[derive(Clone, Debug, Default)]
pub struct PeerRequest {
    /// Account, smallest and largest usable amount of the wanted loan.
    pub loan: Option<(ClientAccountName, Tokens, Tokens)>,
    /// Settlements of earlier loans of the peer.
    pub settlements: Option<SettlementBatch>,
}

/// Called with the answer, or with nothing when the request failed.
pub type AnswerHandler = Box<dyn FnOnce(Option<LoanMessage>) + Send>;

struct QueuedRequest {
    request: PeerRequest,
    on_answer: AnswerHandler,
}

struct OpenRequest {
    on_answer: AnswerHandler,
    expires_at: Instant,
    /// Revision of the suspects that the peer knows once it has answered.
    revision: u64,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// Queue of the open connection, if there is one.
    queue: Option<mpsc::Sender<QueuedRequest>>,
    /// When the peer may be asked again after a failed connection.
    retry_at: Option<Instant>,
    /// Connections that failed since the last answer.
    failures: u32,
    /// Ids of requests that got no answer; the next request tells the peer to cancel their loans.
    unanswered: Vec<u64>,
    /// Revision of the suspects that the peer knows.
    revision: u64,
}

/// Client of the other instances.
#[derive(derive_more::Debug)]
pub struct PeerClient {
    holder: Arc<str>,
    #[debug(skip)]
    board: Arc<Blackboard>,
    /// Known peers, by the holder name of their run.
    peers: Mutex<BTreeMap<Arc<str>, Peer>>,
    /// Holder name of the newest run, by instance name.
    runs: Mutex<BTreeMap<Arc<str>, Arc<str>>>,
    next_id: AtomicU64,
}

impl PeerClient {
    /// Creates a client without peers for the run `holder`.
    pub fn new(holder: Arc<str>, board: Arc<Blackboard>) -> Arc<Self> {
        let (peers, runs, next_id) = (Mutex::default(), Mutex::default(), AtomicU64::new(1));
        Arc::new(Self { holder, board, peers, runs, next_id })
    }

    /// Adds the newest run of a peer, and returns the run that it replaces.
    pub fn add(&self, instance: &Arc<str>, run: &Arc<str>, address: SocketAddr) -> Option<Arc<str>> {
        let before = self.runs.lock().insert(Arc::clone(instance), Arc::clone(run)).filter(|before| before != run);
        let mut peers = self.peers.lock();
        if let Some(before) = &before {
            peers.remove(before);
        }
        peers.entry(Arc::clone(run)).or_insert_with(|| Peer {
            address,
            queue: None,
            retry_at: None,
            failures: 0,
            unanswered: Vec::new(),
            revision: 0,
        });
        before
    }

    /// Name of this run as a holder of credit.
    pub const fn holder(&self) -> &Arc<str> {
        &self.holder
    }

    /// Newest run of `instance`, if it is another instance that may be asked now.
    pub fn available_run(&self, instance: &str) -> Option<Arc<str>> {
        let run = self.runs.lock().get(instance).cloned()?;
        self.is_available(&run).then_some(run)
    }

    /// Whether `run` is known and not paused after a failed connection.
    pub fn is_available(&self, run: &str) -> bool {
        let now = Instant::now();
        self.peers.lock().get(run).is_some_and(|peer| peer.retry_at.is_none_or(|until| until <= now))
    }

    /// Runs that are known and not paused after a failed connection.
    pub fn available(&self) -> Vec<Arc<str>> {
        let now = Instant::now();
        let peers = self.peers.lock();
        let available = peers.iter().filter(|(_, peer)| peer.retry_at.is_none_or(|until| until <= now));
        available.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Queues a request to the run `peer` and passes its answer to `on_answer`.
    pub fn send(self: &Arc<Self>, peer: &Arc<str>, request: PeerRequest, on_answer: AnswerHandler) {
        let mut peers = self.peers.lock();
        let Some(entry) = peers.get_mut(peer) else {
            drop(peers);
            return on_answer(None);
        };
        let address = entry.address;
        let queue = entry.queue.get_or_insert_with(|| {
            let (queue, requests) = mpsc::channel(QUEUE_LENGTH);
            tokio::spawn(Arc::clone(self).run_connection(Arc::clone(peer), address, requests));
            queue
        });
        let rejected = queue.try_send(QueuedRequest { request, on_answer });
        drop(peers);
        if let Err(error) = rejected {
            log::debug!("request to {peer} not sent: {error}");
            (error.into_inner().on_answer)(None);
        }
    }

    async fn run_connection(
        self: Arc<Self>,
        peer: Arc<str>,
        address: SocketAddr,
        mut requests: mpsc::Receiver<QueuedRequest>,
    ) {
        let mut open = BTreeMap::new();
        let reason = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                log_event!(LogEvent::PeerConnected, "peer={peer} address={address}");
                self.exchange(&peer, stream, &mut requests, &mut open).await
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no connection in time".to_owned(),
        };
        log_event!(LogEvent::PeerLost, "peer={peer} open={} reason={reason:?}", open.len());
        if let Some(entry) = self.peers.lock().get_mut(&peer) {
            let pause = RECONNECT_MIN.saturating_mul(1 << entry.failures.min(8)).min(RECONNECT_MAX);
            entry.queue = None;
            entry.retry_at = Some(Instant::now() + pause);
            entry.failures += 1;
            entry.unanswered.extend(open.keys());
        }
        for request in open.into_values() {
            (request.on_answer)(None);
        }
        requests.close();
        while let Some(request) = requests.recv().await {
            (request.on_answer)(None);
        }
    }

    /// Sends queued requests and passes on their answers until the connection fails; returns the reason.
    async fn exchange(
        &self,
        peer: &Arc<str>,
        stream: TcpStream,
        requests: &mut mpsc::Receiver<QueuedRequest>,
        open: &mut BTreeMap<u64, OpenRequest>,
    ) -> String {
        if let Err(error) = stream.set_nodelay(true).and_then(|()| socket_limits::PEER.apply(&stream)) {
            return error.to_string();
        }
        let mut frames = framed(stream);
        loop {
            // Requests have the same time limit, so the oldest one expires first.
            let expires_at = open.values().next().map(|request| request.expires_at);
            tokio::select! {
                queued = requests.recv() => {
                    let Some(queued) = queued else { return "no longer needed".to_owned() };
                    let id = self.next_id.fetch_add(1, Ordering::Relaxed);
                    let (message, revision) = self.encode(peer, id, &queued.request);
                    let expires_at = Instant::now() + ANSWER_TIMEOUT;
                    open.insert(id, OpenRequest { on_answer: queued.on_answer, expires_at, revision });
                    if let Err(error) = frames.send(Bytes::from(message.encode_to_vec())).await {
                        return error.to_string();
                    }
                }
                frame = frames.next() => match frame {
                    Some(Ok(frame)) => match LoanMessage::decode(frame) {
                        Ok(answer) => if let Err(reason) = self.accept(peer, answer, open) { return reason },
                        Err(error) => return error.to_string(),
                    },
                    Some(Err(error)) => return error.to_string(),
                    None => return "the peer closed the connection".to_owned(),
                },
                () = tokio::time::sleep_until(expires_at.unwrap_or_else(Instant::now)), if expires_at.is_some() => {
                    return "no answer in time".to_owned();
                }
            }
        }
    }

    fn encode(&self, peer: &Arc<str>, id: u64, request: &PeerRequest) -> (LoanRequestMessage, u64) {
        let (cancelled, known) = match self.peers.lock().get(peer) {
            Some(entry) => (entry.unanswered.clone(), entry.revision),
            None => (Vec::new(), 0),
        };
        let now = self.board.clock.now();
        let (suspects, revision) = self.board.quarantine.lock().reports_since(known, SUSPECTS_PER_RECORD, now);
        let mut message = LoanRequestMessage {
            request_id: id,
            holder: self.holder.to_string(),
            cancelled,
            suspects: suspects.iter().map(Into::into).collect(),
            document_version: self.board.routes().map_or(0, |table| table.version()),
            ..LoanRequestMessage::default()
        };
        if let Some((account, least, most)) = &request.loan {
            (message.account, message.least, message.most) = (account.to_string(), least.0, most.0);
        }
        if let Some(batch) = &request.settlements {
            message.settlement_number = batch.number;
            message.settlements = batch.entries.iter().map(Into::into).collect();
        }
        (message, revision)
    }

    /// Passes an answer on to its request.
    ///
    /// # Errors
    ///
    /// Fails if no request with the answer's id is open.
    fn accept(
        &self,
        peer: &Arc<str>,
        mut answer: LoanMessage,
        open: &mut BTreeMap<u64, OpenRequest>,
    ) -> Result<(), String> {
        let Some(request) = open.remove(&answer.request_id) else {
            return Err(format!("answer to the unknown request {}", answer.request_id));
        };
        if let Some(entry) = self.peers.lock().get_mut(peer) {
            entry.failures = 0;
            entry.revision = request.revision;
            // An earlier request of this connection told the peer to cancel these before it answered.
            entry.unanswered.clear();
        }
        let suspects = std::mem::take(&mut answer.suspects).into_iter().filter_map(into_report).collect();
        self.board.quarantine.lock().merge_reports(suspects, self.board.clock.now());
        (request.on_answer)(Some(answer));
        Ok(())
    }
}

/// Frames of a connection between instances.
pub fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_framed(stream)
}
