//! Links of this instance to others, and what each peer last said of itself; see `docs/PEERS.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use coltsfootpick_core::membership::SentHeartbeats;
use coltsfootpick_core::names::{BudgetKey, InstanceName};
use coltsfootpick_core::units::Tokens;
use coltsfootpick_wire::frame::Side;
use coltsfootpick_wire::peer::{HOPS_UNREACHABLE, LogOperation, LogReply, LogRequest, LogResponse, PeerBody};
use derive_more::Display;
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Messages that wait for one link; beyond it heartbeats are skipped and questions refused.
pub const QUEUE_MAX: usize = 256;

/// Most links between an instance and the log.
pub const HOPS_MAX: u32 = 4;

/// Time for which the log must be out of reach before requests without credit are refused.
const LOST_GRACE: Duration = Duration::from_millis(300);

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AskError {
    /// The question was not sent.
    #[display("the link takes no question now")]
    NotSent,
    /// The question was sent and no answer came.
    #[display("the peer gave no answer")]
    NoAnswer,
}

/// What a peer last said of itself.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Links between the peer and the log.
    pub hops: u32,
    /// Credit that it could spend while the log is out of its reach.
    pub credit: BTreeMap<BudgetKey, Tokens>,
    /// True once it takes no new work.
    pub draining: bool,
}

impl Default for PeerState {
    fn default() -> Self {
        Self { hops: HOPS_UNREACHABLE, credit: BTreeMap::new(), draining: false }
    }
}

/// One open link.
#[derive(Debug)]
pub struct Link {
    /// Instance at the other end.
    pub peer: InstanceName,
    /// Where the peer serves callers.
    pub callers: SocketAddr,
    /// What the peer last said of itself.
    pub state: Mutex<PeerState>,
    /// Beats that the peer knows already.
    pub told: Mutex<SentHeartbeats>,
    /// Cancelled to close the link.
    pub closed: CancellationToken,
    side: Side,
    out: mpsc::Sender<PeerBody>,
    next: AtomicU64,
    asked: Mutex<BTreeMap<u64, oneshot::Sender<LogReply>>>,
}

impl Link {
    /// Starts a link whose messages go out through `out`; `salt` orders what it tells first.
    pub fn new(peer: InstanceName, callers: SocketAddr, side: Side, out: mpsc::Sender<PeerBody>, salt: u64) -> Self {
        Self {
            peer,
            callers,
            state: Mutex::default(),
            told: Mutex::new(SentHeartbeats::new(salt)),
            closed: CancellationToken::new(),
            side,
            out,
            next: AtomicU64::new(1),
            asked: Mutex::default(),
        }
    }

    /// Links between the peer and the log, as it last said.
    pub fn distance(&self) -> u32 {
        self.state.lock().hops
    }

    /// Queues a message; false when the queue is full or the link closed.
    pub fn send(&self, body: PeerBody) -> bool {
        self.out.try_send(body).is_ok()
    }

    /// Asks the peer and waits for its answer for at most `timeout`.
    pub async fn ask(
        &self,
        through: Vec<String>,
        stream: String,
        question: LogOperation,
        timeout: Duration,
    ) -> Result<LogReply, AskError> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.asked.lock().insert(number, sender);
        let ask = LogRequest { number, through, stream, operation: Some(question) };
        if !self.send(PeerBody::LogRequest(ask)) {
            self.asked.lock().remove(&number);
            return Err(AskError::NotSent);
        }
        let answer = tokio::select! {
            answer = tokio::time::timeout(timeout, receiver) => answer.ok().and_then(Result::ok),
            () = self.closed.cancelled() => None,
        };
        self.asked.lock().remove(&number);
        answer.ok_or(AskError::NoAnswer)
    }

    /// Hands an answer to whoever asked.
    pub fn take_answer(&self, answer: LogResponse) {
        let asked = self.asked.lock().remove(&answer.number);
        if let (Some(sender), Some(reply)) = (asked, answer.reply) {
            let _ = sender.send(reply);
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LinkKey {
    peer: InstanceName,
    is_dialed: bool,
}

impl LinkKey {
    fn of(link: &Link) -> Self {
        Self { peer: link.peer.clone(), is_dialed: link.side == Side::Dialer }
    }
}

/// Where an instance of the fleet listens for links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedPeer {
    /// Name.
    pub name: InstanceName,
    /// Address.
    pub address: SocketAddr,
}

/// Links and reach of one instance.
#[derive(Debug)]
pub struct Peers {
    /// Address where this instance serves callers, once it listens.
    pub callers: OnceLock<SocketAddr>,
    /// Wakes the heartbeat before its time.
    pub beat_now: Notify,
    /// Wakes the task that passes suspicions on.
    pub suspects: Notify,
    links: Mutex<BTreeMap<LinkKey, Arc<Link>>>,
    listed: Mutex<Vec<ListedPeer>>,
    dialing: Mutex<BTreeSet<InstanceName>>,
    direct: watch::Sender<bool>,
    lost: Mutex<Option<Instant>>,
    relayed: AtomicBool,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            callers: OnceLock::new(),
            beat_now: Notify::new(),
            suspects: Notify::new(),
            links: Mutex::default(),
            listed: Mutex::default(),
            dialing: Mutex::default(),
            direct: watch::Sender::new(true),
            lost: Mutex::default(),
            relayed: AtomicBool::new(false),
        }
    }
}

impl Peers {
    /// Adds a link; an older one from the same end to the same peer is closed.
    pub fn add(&self, link: &Arc<Link>) {
        let older = self.links.lock().insert(LinkKey::of(link), Arc::clone(link));
        if let Some(older) = older {
            older.closed.cancel();
        }
    }

    /// Removes a link that ended.
    pub fn remove(&self, link: &Arc<Link>) {
        let mut links = self.links.lock();
        let key = LinkKey::of(link);
        if links.get(&key).is_some_and(|known| Arc::ptr_eq(known, link)) {
            links.remove(&key);
        }
    }

    /// All open links.
    pub fn links(&self) -> Vec<Arc<Link>> {
        self.links.lock().values().map(Arc::clone).collect()
    }

    /// Tells whether a link to `peer` is open.
    pub fn is_linked(&self, peer: &InstanceName) -> bool {
        self.links.lock().keys().any(|key| key.peer == *peer)
    }

    /// Takes in the instances that the platform lists.
    pub fn set_listed(&self, listed: Vec<ListedPeer>) {
        *self.listed.lock() = listed;
    }

    /// Instances as last listed.
    pub fn listed(&self) -> Vec<ListedPeer> {
        self.listed.lock().clone()
    }

    /// Marks `peer` as being dialed; false when it is already.
    pub fn start_dialing(&self, peer: &InstanceName) -> bool {
        self.dialing.lock().insert(peer.clone())
    }

    /// Ends the mark of [`Self::start_dialing`].
    pub fn stop_dialing(&self, peer: &InstanceName) {
        self.dialing.lock().remove(peer);
    }

    /// Tells whether the log answers this instance itself.
    pub fn is_direct(&self) -> bool {
        *self.direct.borrow()
    }

    /// Notes whether the log answers this instance itself.
    pub fn set_direct(&self, is_up: bool) {
        let changed = self.direct.send_if_modified(|known| std::mem::replace(known, is_up) != is_up);
        if changed {
            self.beat_now.notify_one();
        }
    }

    /// Returns once the log no longer answers this instance itself.
    pub async fn direct_lost(&self) {
        let mut direct = self.direct.subscribe();
        let _ = direct.wait_for(|is_up| !is_up).await;
    }

    /// Links between this instance and the log, not counting paths through `except`.
    pub fn hops(&self, except: Option<&InstanceName>) -> u32 {
        if self.is_direct() {
            return 0;
        }
        let links = self.links();
        let others = links.iter().filter(|link| Some(&link.peer) != except);
        let nearest = others.map(|link| link.distance().saturating_add(1)).min();
        nearest.filter(|hops| *hops <= HOPS_MAX).unwrap_or(HOPS_UNREACHABLE)
    }

    /// Links that may lead to the log without passing `through`, the shortest path first.
    pub fn towards_log(&self, through: &[String]) -> Vec<Arc<Link>> {
        let mut links: Vec<(u32, Arc<Link>)> = self
            .links()
            .into_iter()
            .filter(|link| !through.iter().any(|name| **name == *link.peer))
            .map(|link| (link.distance(), link))
            .filter(|(hops, _)| *hops < HOPS_MAX)
            .collect();
        links.sort_by_key(|(hops, _)| *hops);
        links.into_iter().map(|(_, link)| link).collect()
    }

    /// Notes whether a read of the log came through on any path.
    pub fn set_reached(&self, is_reached: bool) {
        let mut lost = self.lost.lock();
        match is_reached {
            true => *lost = None,
            false if lost.is_none() => *lost = Some(Instant::now()),
            false => {}
        }
    }

    /// Tells whether the log is within reach on any path.
    pub fn is_log_reached(&self) -> bool {
        self.lost.lock().is_none_or(|since| since.elapsed() < LOST_GRACE)
    }

    /// Notes whether the log is read through a peer, and tells whether that is a change.
    pub fn set_relayed(&self, is_relayed: bool) -> bool {
        self.relayed.swap(is_relayed, Ordering::Relaxed) != is_relayed
    }
}
