//! Other instances: where they listen, and the links over which credit is asked of them.
//!
//! Links are opened when they are first needed and closed when an ask stays without an answer, since a connection
//! may go silent while new ones work. See `docs/CREDIT.md#loans`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::ceilings::Loan;
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::units::Tokens;
use coltsfootpick_wire::loans::{AskMessage, InstanceMessage, LoanMessage};
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

/// Time for a link to be made; regions are some 16 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which an ask without an answer ends its link.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a peer whose link ended is not asked.
const PEER_REST: Duration = Duration::from_secs(1);

/// Asks that wait on one link.
const ASKS_QUEUED: usize = 64;

/// Longest frame.
const FRAME_MAX_BYTES: usize = 64 << 10;

/// Loans remembered, so that asks without an answer can be made void.
const LOANS_KEPT: usize = 1_024;

/// Pause before an announcement is written again.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(500);

/// Who gives and takes room on behalf of this instance.
pub trait LoanHandler: Send + Sync + std::fmt::Debug {
    /// Passes room on.
    fn lend(&self, account: &ClientAccountName, least: Tokens, most: Tokens) -> Loan;

    /// Takes back what was lent for an ask that got no answer.
    fn reclaim(&self, account: &ClientAccountName, amount: Tokens);

    /// Takes in room that `peer` passed on, and how much that has left.
    fn receive_loan(&self, peer: &str, account: &ClientAccountName, loan: Loan);

    /// Time of day, in milliseconds since 1970.
    fn unix_millis(&self) -> u64;

    /// Learns the time of day at `peer`.
    fn note_clock(&self, peer: &str, clock: u64);

    /// Learns that `peer` does not answer.
    fn note_unreachable(&self, peer: &str);
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    link: Option<mpsc::Sender<AskMessage>>,
    rest: Option<Instant>,
}

/// What is known of the other instances, by the name of their run.
#[derive(Debug)]
pub struct PeerClient {
    holder: Arc<str>,
    known: Mutex<BTreeMap<Arc<str>, Peer>>,
    void: Mutex<BTreeMap<Arc<str>, Vec<u64>>>,
    tickets: AtomicU64,
}

impl PeerClient {
    /// No peers yet, for the run `holder`.
    pub fn new(holder: Arc<str>) -> Arc<Self> {
        Arc::new(Self { holder, known: Mutex::default(), void: Mutex::default(), tickets: AtomicU64::new(1) })
    }

    /// Peers that may be asked now.
    pub fn available(&self) -> Vec<Arc<str>> {
        let now = Instant::now();
        let known = self.known.lock();
        let available = known.iter().filter(|(_, peer)| peer.rest.is_none_or(|until| until <= now));
        available.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Sends an ask to `peer`; its answer goes to `lender`.
    pub fn request_loan(
        self: &Arc<Self>,
        lender: &Arc<dyn LoanHandler>,
        peer: &Arc<str>,
        account: &ClientAccountName,
        least: Tokens,
        most: Tokens,
    ) {
        let ask = AskMessage {
            ticket: self.tickets.fetch_add(1, Ordering::Relaxed),
            holder: self.holder.to_string(),
            account: account.to_string(),
            least: least.0,
            most: most.0,
            void: self.void.lock().get(peer).cloned().unwrap_or_default(),
        };
        let mut known = self.known.lock();
        let Some(entry) = known.get_mut(peer) else { return };
        let address = entry.address;
        let link = entry.link.get_or_insert_with(|| {
            let (link, asks) = mpsc::channel(ASKS_QUEUED);
            tokio::spawn(Arc::clone(self).run_link(Arc::clone(peer), address, asks, Arc::clone(lender)));
            link
        });
        if let Err(error) = link.try_send(ask) {
            log::debug!("an ask to {peer} is not sent: {error}");
        }
    }

    async fn run_link(
        self: Arc<Self>,
        peer: Arc<str>,
        address: SocketAddr,
        mut asks: mpsc::Receiver<AskMessage>,
        lender: Arc<dyn LoanHandler>,
    ) {
        let reason = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                log_event!(LogEvent::PeerLinked, "peer={peer} address={address}");
                self.exchange(&peer, stream, &mut asks, &lender).await
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no connection in time".to_owned(),
        };
        log_event!(LogEvent::PeerLost, "peer={peer} reason={reason:?}");
        if let Some(entry) = self.known.lock().get_mut(&peer) {
            entry.link = None;
            entry.rest = Some(Instant::now() + PEER_REST);
        }
        lender.note_unreachable(&peer);
    }

    /// Asks one after the other until the link fails, and tells why it did.
    async fn exchange(
        &self,
        peer: &Arc<str>,
        stream: TcpStream,
        asks: &mut mpsc::Receiver<AskMessage>,
        lender: &Arc<dyn LoanHandler>,
    ) -> String {
        if let Err(error) = stream.set_nodelay(true) {
            return error.to_string();
        }
        let mut frames = framed(stream);
        while let Some(ask) = asks.recv().await {
            let (ticket, void) = (ask.ticket, ask.void.len());
            let answer = tokio::time::timeout(ANSWER_TIMEOUT, async {
                frames.send(Bytes::from(ask.encode_to_vec())).await?;
                frames.next().await.transpose()
            });
            let loan = match answer.await {
                Ok(Ok(Some(frame))) => LoanMessage::decode(frame).map_err(|error| error.to_string()),
                Ok(Ok(None)) => Err("the peer closed the link".to_owned()),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err("no answer in time".to_owned()),
            };
            match loan {
                Ok(loan) if loan.ticket == ticket => {
                    self.forget_void(peer, void);
                    lender.note_clock(peer, loan.clock);
                    let account = ClientAccountName::from(loan.account);
                    lender.receive_loan(peer, &account, Loan { amount: Tokens(loan.amount), left: Tokens(loan.left) });
                }
                Ok(loan) => {
                    self.void.lock().entry(Arc::clone(peer)).or_default().push(ticket);
                    return format!("answer to the ask {} in place of {ticket}", loan.ticket);
                }
                Err(reason) => {
                    self.void.lock().entry(Arc::clone(peer)).or_default().push(ticket);
                    return reason;
                }
            }
        }
        "no longer needed".to_owned()
    }

    fn forget_void(&self, peer: &Arc<str>, count: usize) {
        if let Some(void) = self.void.lock().get_mut(peer) {
            void.drain(..count.min(void.len()));
        }
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_MAX_BYTES).new_framed(stream)
}

/// Loans given, so that asks whose answer got lost can be made void.
#[derive(Debug, Default)]
struct Given {
    loans: BTreeMap<(String, u64), (ClientAccountName, Tokens)>,
    order: std::collections::VecDeque<(String, u64)>,
}

impl Given {
    fn answer(&mut self, lender: &dyn LoanHandler, ask: &AskMessage) -> LoanMessage {
        for ticket in &ask.void {
            if let Some((account, amount)) = self.loans.remove(&(ask.holder.clone(), *ticket)) {
                lender.reclaim(&account, amount);
            }
        }
        let account = ClientAccountName::from(ask.account.as_str());
        let loan = lender.lend(&account, Tokens(ask.least), Tokens(ask.most));
        if !loan.amount.is_zero() {
            let key = (ask.holder.clone(), ask.ticket);
            self.order.push_back(key.clone());
            self.loans.insert(key, (account, loan.amount));
        }
        while self.order.len() > LOANS_KEPT {
            self.order.pop_front().map(|key| self.loans.remove(&key));
        }
        LoanMessage {
            ticket: ask.ticket,
            account: ask.account.clone(),
            amount: loan.amount.0,
            left: loan.left.0,
            clock: lender.unix_millis(),
        }
    }
}

/// Answers the asks of other instances.
pub async fn serve_peers(listener: TcpListener, lender: Arc<dyn LoanHandler>) {
    let given = Arc::new(Mutex::new(Given::default()));
    loop {
        let stream = accept_next(&listener, "a link").await;
        tokio::spawn(serve_link(stream, Arc::clone(&lender), Arc::clone(&given)));
    }
}

async fn serve_link(stream: TcpStream, lender: Arc<dyn LoanHandler>, given: Arc<Mutex<Given>>) {
    let mut frames = framed(stream);
    while let Some(frame) = frames.next().await {
        let asked = frame
            .map_err(|error| error.to_string())
            .and_then(|frame| AskMessage::decode(frame).map_err(|error| error.to_string()));
        let ask = match asked {
            Ok(ask) => ask,
            Err(error) => {
                log::warn!("a link is closed after a frame that cannot be read: {error}");
                return;
            }
        };
        let answer = given.lock().answer(&*lender, &ask);
        log_event!(
            LogEvent::CreditLent,
            "peer={} account={} least={} amount={} left={}",
            ask.holder,
            ask.account,
            ask.least,
            answer.amount,
            answer.left
        );
        if let Err(error) = frames.send(Bytes::from(answer.encode_to_vec())).await {
            log::debug!("an answer to {} is not sent: {error}", ask.holder);
            return;
        }
    }
}

/// Record that tells where this run of an instance listens.
pub fn instance_record(settings: &Settings, holder: &Arc<str>) -> KeyedRecord {
    let message = InstanceMessage { address: settings.peer_address.to_string(), holder: holder.to_string() };
    KeyedRecord { key: Arc::clone(&settings.identity.name), value: Some(message.encode_to_vec().into()) }
}

/// Writes the record of this run; writing it twice does no harm.
pub async fn publish_record(log: Arc<dyn KeyedLog>, record: KeyedRecord, stop: CancellationToken) {
    while !stop.is_cancelled() {
        match log.append(Topic::Instances, None, vec![record.clone()]).await {
            Ok(_) => return,
            Err(error) => log_event!(LogEvent::DependencyLost, "store topic=instances error={error:?}"),
        }
        tokio::time::sleep(ANNOUNCE_RETRY).await;
    }
}

/// Controller that keeps the list of peers.
#[derive(Debug)]
pub struct PeerController {
    /// Peers.
    pub peers: Arc<PeerClient>,
    /// Newest run by instance name.
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
                    self.peers.void.lock().remove(&before);
                }
                log_event!(LogEvent::PeerListed, "peer={holder} address={address}");
                known.insert(holder, Peer { address, link: None, rest: None });
            }
            Err(reason) => {
                log_event!(LogEvent::RecordSkipped, "topic=instances key={:?} reason={reason}", record.key);
            }
        }
    }

    fn note_recovery(&mut self, _outage: Duration) {}

    fn tick(&mut self) {}
}
