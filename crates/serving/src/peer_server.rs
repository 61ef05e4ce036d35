//! Server for requests of other instances.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use coltsfootpick_core::client_limits::{Phase, SocketKind};
use coltsfootpick_core::loans::{Loan, SettlementBatch, SettlementInbox};
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::quarantine::SuspectReport;
use coltsfootpick_core::units::Tokens;
use coltsfootpick_process::socket_limits;
use coltsfootpick_wire::ceilings::into_report;
use coltsfootpick_wire::loans::{LoanMessage, LoanRequestMessage};
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use futures_util::{SinkExt, StreamExt};
use parking_lot::Mutex;
use prost::Message;
use tokio::net::TcpListener;
use tokio_util::codec::Framed;

use crate::blackboard::Blackboard;
use crate::charged_codec::ChargedCodec;
use crate::client_connections::{Connection, accept_client};
use crate::log_event;
use crate::log_events::LogEvent;
use crate::metered_stream::MeteredStream;
use crate::peer_client::FRAME_MAX_BYTES;

/// Maximum number of granted loans remembered; a remembered loan can be cancelled if the borrower got no answer.
const GRANTED_MAX: usize = 4_096;

/// Maximum number of requests of one connection that are answered at the same time.
const ANSWERS_MAX: usize = 64;

/// Loan that a borrower asks for.
#[derive(Clone, Debug)]
pub struct LoanTerms {
    /// Run that asks.
    pub borrower: Arc<str>,
    /// The account.
    pub account: ClientAccountName,
    /// Smallest loan that the borrower can use.
    pub least: Tokens,
    /// Largest loan that the borrower wants.
    pub most: Tokens,
    /// Version of the document in force at the borrower.
    pub document: u64,
}

/// Answers requests of other instances.
pub trait PeerHandler: Send + Sync + std::fmt::Debug {
    /// Lends as `terms` ask; the loan is zero if fewer than the least tokens become available soon.
    fn lend(&self, terms: LoanTerms) -> BoxFuture<'_, Loan>;

    /// Cancels a granted loan whose answer did not reach the borrower.
    fn cancel_loan(&self, account: &ClientAccountName, amount: Tokens);

    /// Applies a borrower's settlements.
    fn settle(&self, batch: &SettlementBatch);

    /// Wall-clock time of this instance in milliseconds since the Unix epoch.
    fn unix_millis(&self) -> u64;

    /// Adds a peer's reports of suspected requests.
    fn merge_suspects(&self, reports: Vec<SuspectReport>);

    /// Reports of suspected requests that changed after `revision`, and the revision from which to continue.
    fn suspects_since(&self, revision: u64) -> (Vec<SuspectReport>, u64);
}

/// Loans and settlements of all borrowers.
#[derive(Debug, Default)]
struct LoanBook {
    /// Account and amount of each recent loan, by the borrower's holder name and request id.
    granted: BTreeMap<(Arc<str>, u64), (ClientAccountName, Tokens)>,
    /// Keys of `granted`, oldest first.
    order: VecDeque<(Arc<str>, u64)>,
    settlements: SettlementInbox,
}

impl LoanBook {
    fn note_granted(&mut self, borrower: &Arc<str>, id: u64, account: ClientAccountName, amount: Tokens) {
        let key = (Arc::clone(borrower), id);
        self.order.push_back(key.clone());
        self.granted.insert(key, (account, amount));
        while self.order.len() > GRANTED_MAX {
            self.order.pop_front().map(|key| self.granted.remove(&key));
        }
    }
}

/// Accepts connections of other instances and answers their requests.
pub async fn serve_peers(board: Arc<Blackboard>, listener: TcpListener, handler: Arc<dyn PeerHandler>) {
    let book = Arc::new(Mutex::new(LoanBook::default()));
    loop {
        let name = "a peer connection";
        let accepted = accept_client(&board, &listener, SocketKind::Peer, name, socket_limits::PEER).await;
        let (stream, client) = accepted;
        let connection = PeerConnection { handler: Arc::clone(&handler), book: Arc::clone(&book), revision: 0 };
        let frames = Framed::new(stream, ChargedCodec::new(FRAME_MAX_BYTES, board.clients.charge()));
        tokio::spawn(async move {
            tokio::select! {
                () = connection.run(frames, &client) => {}
                () = client.closed() => {}
            }
        });
    }
}

/// Connection of one other instance.
struct PeerConnection {
    handler: Arc<dyn PeerHandler>,
    book: Arc<Mutex<LoanBook>>,
    /// Revision of the suspects that the peer knows.
    revision: u64,
}

impl PeerConnection {
    async fn run(mut self, mut frames: Framed<MeteredStream, ChargedCodec>, client: &Connection) {
        let mut answers = FuturesUnordered::new();
        loop {
            tokio::select! {
                frame = frames.next(), if answers.len() < ANSWERS_MAX => match frame.map(decode) {
                    Some(Ok(request)) => {
                        client.begin(Phase::Working);
                        self.apply(&request);
                        answers.push(answer(Arc::clone(&self.handler), Arc::clone(&self.book), request));
                    }
                    Some(Err(error)) => {
                        log::warn!("closing a peer connection after an undecodable frame: {error}");
                        return;
                    }
                    None => return,
                },
                Some(mut answer) = answers.next() => {
                    let (suspects, revision) = self.handler.suspects_since(self.revision);
                    answer.suspects = suspects.iter().map(Into::into).collect();
                    self.revision = revision;
                    if let Err(error) = frames.send(Bytes::from(answer.encode_to_vec())).await {
                        log::debug!("answer to a peer not sent: {error}");
                        return;
                    }
                }
            }
        }
    }

    /// Applies what a request tells besides the loan that it asks for.
    fn apply(&self, request: &LoanRequestMessage) {
        let mut book = self.book.lock();
        let borrower: Arc<str> = request.holder.as_str().into();
        for id in &request.cancelled {
            if let Some((account, amount)) = book.granted.remove(&(Arc::clone(&borrower), *id)) {
                self.handler.cancel_loan(&account, amount);
            }
        }
        let number = request.settlement_number;
        if number > 0 && book.settlements.accept(&borrower, number) {
            let entries = request.settlements.iter().cloned().map(Into::into).collect();
            self.handler.settle(&SettlementBatch { number, entries });
        }
        let reports: Vec<SuspectReport> = request.suspects.iter().cloned().filter_map(into_report).collect();
        if !reports.is_empty() {
            self.handler.merge_suspects(reports);
        }
    }
}

fn decode(frame: Result<bytes::BytesMut, std::io::Error>) -> Result<LoanRequestMessage, String> {
    let frame = frame.map_err(|error| error.to_string())?;
    LoanRequestMessage::decode(frame).map_err(|error| error.to_string())
}

async fn answer(handler: Arc<dyn PeerHandler>, book: Arc<Mutex<LoanBook>>, request: LoanRequestMessage) -> LoanMessage {
    let account = ClientAccountName::from(request.account.as_str());
    let terms = LoanTerms {
        borrower: request.holder.as_str().into(),
        account: account.clone(),
        least: Tokens(request.least),
        most: Tokens(request.most),
        document: request.document_version,
    };
    let loan = match request.account.is_empty() {
        true => Loan::default(),
        false => handler.lend(terms).await,
    };
    if !loan.amount.is_zero() {
        let borrower: Arc<str> = request.holder.as_str().into();
        book.lock().note_granted(&borrower, request.request_id, account, loan.amount);
    }
    if !request.account.is_empty() {
        log_event!(
            LogEvent::CreditLent,
            "peer={} account={} least={} amount={} left={} exhausted={}",
            request.holder,
            request.account,
            request.least,
            loan.amount,
            loan.headroom,
            loan.is_exhausted
        );
    }
    LoanMessage {
        request_id: request.request_id,
        account: request.account,
        amount: loan.amount.0,
        headroom: loan.headroom.0,
        timestamp: handler.unix_millis(),
        exhausted: loan.is_exhausted,
        suspects: Vec::new(),
    }
}
