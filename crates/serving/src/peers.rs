//! Loans of credit between instances: the client that requests them, the server that grants them, and the list of peers.
//!
//! Connections are opened on first use and closed when a request gets no answer in time, since a connection may go
//! silent while new ones work. See `docs/CREDIT.md#loans`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::ceilings::Loan;
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::units::Tokens;
use coltsfootpick_wire::loans::{InstanceMessage, LoanMessage, LoanRequestMessage};
use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::interfaces::{KeyedLog, KeyedRecord, Topic};
use crate::listener::accept_next;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::settings::Settings;
use crate::topic_reader::RecordSink;

/// Time limit for connecting to a peer; regions are about 16 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time limit for the answer to a loan request; after it, the connection is closed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time during which a peer is not asked after its connection failed.
const RECONNECT_PAUSE: Duration = Duration::from_secs(1);

/// Maximum number of loan requests queued for one connection; further ones are dropped.
const QUEUE_LENGTH: usize = 64;

/// Maximum length of a frame that holds one loan request or its answer.
const FRAME_MAX_BYTES: usize = 64 << 10;

/// Maximum number of granted loans remembered; a remembered loan can be cancelled if the borrower got no answer.
const GRANTED_MAX: usize = 1_024;

/// Pause before a failed write of the instance record is tried again.
const PUBLISH_RETRY: Duration = Duration::from_millis(500);

/// Lends and borrows credit on behalf of this instance.
pub trait LoanHandler: Send + Sync + std::fmt::Debug {
    /// Lends up to `most` tokens of `account`; the loan is zero if fewer than `least` are available.
    fn lend(&self, account: &ClientAccountName, least: Tokens, most: Tokens) -> Loan;

    /// Cancels a granted loan whose answer did not reach the borrower.
    fn cancel_loan(&self, account: &ClientAccountName, amount: Tokens);

    /// Adds a loan of `peer`; a loan of zero tokens means that `peer` refused.
    fn receive_loan(&self, peer: &str, account: &ClientAccountName, loan: Loan);

    /// Wall-clock time of this instance in milliseconds since the Unix epoch.
    fn unix_millis(&self) -> u64;

    /// Records the wall-clock time at `peer`, in milliseconds since the Unix epoch.
    fn note_clock(&self, peer: &str, clock: u64);

    /// Records that the connection to `peer` failed.
    fn note_unreachable(&self, peer: &str);
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    /// Queue of the open connection, if there is one.
    queue: Option<mpsc::Sender<LoanRequestMessage>>,
    /// When the peer may be asked again after a failed connection.
    retry_at: Option<Instant>,
}

/// Client that requests loans from the other instances.
#[derive(Debug)]
pub struct PeerClient {
    holder: Arc<str>,
    /// Known peers, by the holder name of their run.
    known: Mutex<BTreeMap<Arc<str>, Peer>>,
    /// Ids of requests that got no answer, by peer; the next request tells the peer to cancel those loans.
    unanswered: Mutex<BTreeMap<Arc<str>, Vec<u64>>>,
    next_id: AtomicU64,
}

impl PeerClient {
    /// Creates a client without peers for the run `holder`.
    pub fn new(holder: Arc<str>) -> Arc<Self> {
        Arc::new(Self { holder, known: Mutex::default(), unanswered: Mutex::default(), next_id: AtomicU64::new(1) })
    }

    /// Peers that are not paused after a failed connection.
    pub fn available(&self) -> Vec<Arc<str>> {
        let now = Instant::now();
        let known = self.known.lock();
        let available = known.iter().filter(|(_, peer)| peer.retry_at.is_none_or(|until| until <= now));
        available.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Queues a loan request to `peer` and passes its answer to `handler`.
    pub fn request_loan(
        self: &Arc<Self>,
        handler: &Arc<dyn LoanHandler>,
        peer: &Arc<str>,
        account: &ClientAccountName,
        least: Tokens,
        most: Tokens,
    ) {
        let request = LoanRequestMessage {
            request_id: self.next_id.fetch_add(1, Ordering::Relaxed),
            holder: self.holder.to_string(),
            account: account.to_string(),
            least: least.0,
            most: most.0,
            cancelled: self.unanswered.lock().get(peer).cloned().unwrap_or_default(),
        };
        let mut known = self.known.lock();
        let Some(entry) = known.get_mut(peer) else { return };
        let address = entry.address;
        let queue = entry.queue.get_or_insert_with(|| {
            let (queue, requests) = mpsc::channel(QUEUE_LENGTH);
            tokio::spawn(Arc::clone(self).run_connection(Arc::clone(peer), address, requests, Arc::clone(handler)));
            queue
        });
        if let Err(error) = queue.try_send(request) {
            log::debug!("loan request to {peer} not sent: {error}");
        }
    }

    async fn run_connection(
        self: Arc<Self>,
        peer: Arc<str>,
        address: SocketAddr,
        mut requests: mpsc::Receiver<LoanRequestMessage>,
        handler: Arc<dyn LoanHandler>,
    ) {
        let reason = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                log_event!(LogEvent::PeerConnected, "peer={peer} address={address}");
                self.send_requests(&peer, stream, &mut requests, &handler).await
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no connection in time".to_owned(),
        };
        log_event!(LogEvent::PeerLost, "peer={peer} reason={reason:?}");
        if let Some(entry) = self.known.lock().get_mut(&peer) {
            entry.queue = None;
            entry.retry_at = Some(Instant::now() + RECONNECT_PAUSE);
        }
        handler.note_unreachable(&peer);
    }

    /// Sends queued requests one at a time until the connection fails; returns the reason.
    async fn send_requests(
        &self,
        peer: &Arc<str>,
        stream: TcpStream,
        requests: &mut mpsc::Receiver<LoanRequestMessage>,
        handler: &Arc<dyn LoanHandler>,
    ) -> String {
        if let Err(error) = stream.set_nodelay(true) {
            return error.to_string();
        }
        let mut frames = framed(stream);
        while let Some(request) = requests.recv().await {
            let (id, cancelled) = (request.request_id, request.cancelled.len());
            let answer = tokio::time::timeout(ANSWER_TIMEOUT, async {
                frames.send(Bytes::from(request.encode_to_vec())).await?;
                frames.next().await.transpose()
            });
            let loan = match answer.await {
                Ok(Ok(Some(frame))) => LoanMessage::decode(frame).map_err(|error| error.to_string()),
                Ok(Ok(None)) => Err("the peer closed the connection".to_owned()),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err("no answer in time".to_owned()),
            };
            match loan {
                Ok(loan) if loan.request_id == id => {
                    self.clear_unanswered(peer, cancelled);
                    handler.note_clock(peer, loan.timestamp);
                    let account = ClientAccountName::from(loan.account);
                    handler.receive_loan(
                        peer,
                        &account,
                        Loan { amount: Tokens(loan.amount), headroom: Tokens(loan.headroom) },
                    );
                }
                Ok(loan) => {
                    self.unanswered.lock().entry(Arc::clone(peer)).or_default().push(id);
                    return format!("answer to loan request {} in place of {id}", loan.request_id);
                }
                Err(reason) => {
                    self.unanswered.lock().entry(Arc::clone(peer)).or_default().push(id);
                    return reason;
                }
            }
        }
        "no longer needed".to_owned()
    }

    fn clear_unanswered(&self, peer: &Arc<str>, count: usize) {
        if let Some(unanswered) = self.unanswered.lock().get_mut(peer) {
            unanswered.drain(..count.min(unanswered.len()));
        }
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_framed(stream)
}

/// Recently granted loans, kept so that a loan can be cancelled if its answer got lost.
#[derive(Debug, Default)]
struct GrantedLoans {
    /// Account and amount of each loan, by the borrower's holder name and request id.
    loans: BTreeMap<(String, u64), (ClientAccountName, Tokens)>,
    /// Keys of `loans`, oldest first.
    order: std::collections::VecDeque<(String, u64)>,
}

impl GrantedLoans {
    fn answer(&mut self, handler: &dyn LoanHandler, request: &LoanRequestMessage) -> LoanMessage {
        for id in &request.cancelled {
            if let Some((account, amount)) = self.loans.remove(&(request.holder.clone(), *id)) {
                handler.cancel_loan(&account, amount);
            }
        }
        let account = ClientAccountName::from(request.account.as_str());
        let loan = handler.lend(&account, Tokens(request.least), Tokens(request.most));
        if !loan.amount.is_zero() {
            let key = (request.holder.clone(), request.request_id);
            self.order.push_back(key.clone());
            self.loans.insert(key, (account, loan.amount));
        }
        while self.order.len() > GRANTED_MAX {
            self.order.pop_front().map(|key| self.loans.remove(&key));
        }
        LoanMessage {
            request_id: request.request_id,
            account: request.account.clone(),
            amount: loan.amount.0,
            headroom: loan.headroom.0,
            timestamp: handler.unix_millis(),
        }
    }
}

/// Accepts connections of other instances and answers their loan requests.
pub async fn serve_peers(listener: TcpListener, handler: Arc<dyn LoanHandler>) {
    let granted = Arc::new(Mutex::new(GrantedLoans::default()));
    loop {
        let stream = accept_next(&listener, "a peer connection").await;
        tokio::spawn(serve_connection(stream, Arc::clone(&handler), Arc::clone(&granted)));
    }
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn LoanHandler>, granted: Arc<Mutex<GrantedLoans>>) {
    let mut frames = framed(stream);
    while let Some(frame) = frames.next().await {
        let decoded = frame
            .map_err(|error| error.to_string())
            .and_then(|frame| LoanRequestMessage::decode(frame).map_err(|error| error.to_string()));
        let request = match decoded {
            Ok(request) => request,
            Err(error) => {
                log::warn!("closing a peer connection after an undecodable frame: {error}");
                return;
            }
        };
        let answer = granted.lock().answer(&*handler, &request);
        log_event!(
            LogEvent::CreditLent,
            "peer={} account={} least={} amount={} left={}",
            request.holder,
            request.account,
            request.least,
            answer.amount,
            answer.headroom
        );
        if let Err(error) = frames.send(Bytes::from(answer.encode_to_vec())).await {
            log::debug!("answer to {} not sent: {error}", request.holder);
            return;
        }
    }
}

/// Record that publishes the peer address of this run.
pub fn instance_record(settings: &Settings, holder: &Arc<str>) -> KeyedRecord {
    let message = InstanceMessage { address: settings.peer_address.to_string(), holder: holder.to_string() };
    KeyedRecord { key: Arc::clone(&settings.instance.name), value: Some(message.encode_to_vec().into()) }
}

/// Writes the instance record until it succeeds; writing it more than once is harmless.
pub async fn publish_record(store: Arc<dyn KeyedLog>, record: KeyedRecord, stop: CancellationToken) {
    while !stop.is_cancelled() {
        match store.append(Topic::Instances, None, vec![record.clone()]).await {
            Ok(_) => return,
            Err(error) => log_event!(LogEvent::DependencyLost, "store topic=instances error={error:?}"),
        }
        tokio::time::sleep(PUBLISH_RETRY).await;
    }
}

/// Controller that keeps the list of peers in line with the instance records.
#[derive(Debug)]
pub struct PeerController {
    /// Client whose peers are updated.
    pub peers: Arc<PeerClient>,
    /// Holder name of the newest run, by instance name.
    pub runs: BTreeMap<Arc<str>, Arc<str>>,
}

impl RecordSink for PeerController {
    fn replace_all(&mut self, records: Vec<KeyedRecord>) {
        for record in records {
            self.apply(record);
        }
    }

    fn apply(&mut self, record: KeyedRecord) {
        let Some(value) = record.value else { return };
        let decoded = InstanceMessage::decode(value).map_err(|error| error.to_string());
        let entry = decoded.and_then(|message| {
            let address = message.address.parse().map_err(|error| format!("address {:?}: {error}", message.address));
            address.map(|address: SocketAddr| (Arc::<str>::from(message.holder), address))
        });
        match entry {
            Ok((holder, _)) if holder == self.peers.holder => {}
            Ok((holder, address)) => {
                let mut known = self.peers.known.lock();
                if let Some(before) = self.runs.insert(record.key, Arc::clone(&holder)).filter(|run| *run != holder) {
                    known.remove(&before);
                    self.peers.unanswered.lock().remove(&before);
                }
                log_event!(LogEvent::PeerListed, "peer={holder} address={address}");
                known.insert(holder, Peer { address, queue: None, retry_at: None });
            }
            Err(reason) => {
                log_event!(LogEvent::RecordSkipped, "topic=instances key={:?} reason={reason}", record.key);
            }
        }
    }

    fn note_recovery(&mut self, _outage: Duration) {}

    fn tick(&mut self) {}
}
