//! Links of this instance to its peers, and the state that each peer last reported; see `docs/PEERS.md`.

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

/// Capacity of a link's send queue, in messages; when it is full, heartbeats are dropped and requests fail.
pub const LINK_QUEUE_MAX: usize = 256;

/// Most links on a path between an instance and the log.
pub const HOPS_MAX: u32 = 4;

/// Time for which the log must be unreachable before requests without credit are refused.
const UNREACHABLE_GRACE: Duration = Duration::from_millis(300);

/// Why a request to a peer has no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RequestError {
    /// The request was not sent.
    #[display("the link takes no question now")]
    NotSent,
    /// The request was sent but no answer arrived.
    #[display("the peer gave no answer")]
    NoAnswer,
}

/// State that a peer reported in its last heartbeat.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Number of links between the peer and the log.
    pub hops: u32,
    /// Credit that the peer can spend while the log is unreachable, by budget.
    pub credit: BTreeMap<BudgetKey, Tokens>,
    /// True once the peer accepts no new requests.
    pub draining: bool,
}

impl Default for PeerState {
    fn default() -> Self {
        Self { hops: HOPS_UNREACHABLE, credit: BTreeMap::new(), draining: false }
    }
}

/// An open link to a peer.
#[derive(Debug)]
pub struct Link {
    /// Name of the peer.
    pub peer: InstanceName,
    /// Address where the peer serves callers.
    pub caller_address: SocketAddr,
    /// State that the peer reported in its last heartbeat.
    pub state: Mutex<PeerState>,
    /// Heartbeats that the peer already knows, so that they are not relayed to it again.
    pub known_heartbeats: Mutex<SentHeartbeats>,
    /// Cancelled to close the link.
    pub closed: CancellationToken,
    side: Side,
    out: mpsc::Sender<PeerBody>,
    next_number: AtomicU64,
    pending: Mutex<BTreeMap<u64, oneshot::Sender<LogReply>>>,
}

impl Link {
    /// Creates a link that queues its messages in `out`; `salt` varies the order in which heartbeats are relayed.
    pub fn new(
        peer: InstanceName,
        caller_address: SocketAddr,
        side: Side,
        out: mpsc::Sender<PeerBody>,
        salt: u64,
    ) -> Self {
        Self {
            peer,
            caller_address,
            state: Mutex::default(),
            known_heartbeats: Mutex::new(SentHeartbeats::new(salt)),
            closed: CancellationToken::new(),
            side,
            out,
            next_number: AtomicU64::new(1),
            pending: Mutex::default(),
        }
    }

    /// Returns the number of links between the peer and the log, as last reported.
    pub fn distance(&self) -> u32 {
        self.state.lock().hops
    }

    /// Queues a message; returns false if the queue is full or the link is closed.
    pub fn send(&self, body: PeerBody) -> bool {
        self.out.try_send(body).is_ok()
    }

    /// Sends a request to the peer and waits for the answer for at most `timeout`.
    pub async fn request(
        &self,
        through: Vec<String>,
        stream: String,
        operation: LogOperation,
        timeout: Duration,
    ) -> Result<LogReply, RequestError> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.pending.lock().insert(number, sender);
        let request = LogRequest { request_id: number, through, stream, operation: Some(operation) };
        if !self.send(PeerBody::LogRequest(request)) {
            self.pending.lock().remove(&number);
            return Err(RequestError::NotSent);
        }
        let answer = tokio::select! {
            answer = tokio::time::timeout(timeout, receiver) => answer.ok().and_then(Result::ok),
            () = self.closed.cancelled() => None,
        };
        self.pending.lock().remove(&number);
        answer.ok_or(RequestError::NoAnswer)
    }

    /// Delivers an answer to the request that waits for it.
    pub fn complete_request(&self, response: LogResponse) {
        let pending = self.pending.lock().remove(&response.request_id);
        if let (Some(sender), Some(reply)) = (pending, response.reply) {
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

/// A peer in the instance list, with the address where it accepts links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedPeer {
    /// Name of the peer.
    pub name: InstanceName,
    /// Address where the peer accepts links.
    pub address: SocketAddr,
}

/// Links of one instance, and whether it reaches the log.
#[derive(Debug)]
pub struct Peers {
    /// Address where this instance serves callers; set once it listens.
    pub caller_address: OnceLock<SocketAddr>,
    /// Triggers a heartbeat before the interval ends.
    pub heartbeat_now: Notify,
    /// Wakes the task that propagates suspect reports.
    pub suspects_changed: Notify,
    links: Mutex<BTreeMap<LinkKey, Arc<Link>>>,
    listed: Mutex<Vec<ListedPeer>>,
    dialing: Mutex<BTreeSet<InstanceName>>,
    is_direct: watch::Sender<bool>,
    unreachable_since: Mutex<Option<Instant>>,
    is_relayed: AtomicBool,
}

impl Default for Peers {
    fn default() -> Self {
        Self {
            caller_address: OnceLock::new(),
            heartbeat_now: Notify::new(),
            suspects_changed: Notify::new(),
            links: Mutex::default(),
            listed: Mutex::default(),
            dialing: Mutex::default(),
            is_direct: watch::Sender::new(true),
            unreachable_since: Mutex::default(),
            is_relayed: AtomicBool::new(false),
        }
    }
}

impl Peers {
    /// Adds a link. An older link to the same peer that was dialed by the same side is closed.
    pub fn add(&self, link: &Arc<Link>) {
        let older = self.links.lock().insert(LinkKey::of(link), Arc::clone(link));
        if let Some(older) = older {
            older.closed.cancel();
        }
    }

    /// Removes a closed link.
    pub fn remove(&self, link: &Arc<Link>) {
        let mut links = self.links.lock();
        let key = LinkKey::of(link);
        if links.get(&key).is_some_and(|current| Arc::ptr_eq(current, link)) {
            links.remove(&key);
        }
    }

    /// Returns all open links.
    pub fn links(&self) -> Vec<Arc<Link>> {
        self.links.lock().values().map(Arc::clone).collect()
    }

    /// Returns whether a link to `peer` is open.
    pub fn is_linked(&self, peer: &InstanceName) -> bool {
        self.links.lock().keys().any(|key| key.peer == *peer)
    }

    /// Replaces the peers by those of a new instance list.
    pub fn set_listed(&self, listed: Vec<ListedPeer>) {
        *self.listed.lock() = listed;
    }

    /// Returns the peers of the last instance list that was read.
    pub fn listed(&self) -> Vec<ListedPeer> {
        self.listed.lock().clone()
    }

    /// Marks `peer` as being dialed; returns false if it is already.
    pub fn start_dialing(&self, peer: &InstanceName) -> bool {
        self.dialing.lock().insert(peer.clone())
    }

    /// Removes the mark set by [`Self::start_dialing`].
    pub fn stop_dialing(&self, peer: &InstanceName) {
        self.dialing.lock().remove(peer);
    }

    /// Returns whether this instance reaches the log directly.
    pub fn has_direct_log(&self) -> bool {
        *self.is_direct.borrow()
    }

    /// Records whether this instance reaches the log directly; a change triggers a heartbeat.
    pub fn set_direct_log(&self, is_direct: bool) {
        let changed = self.is_direct.send_if_modified(|current| std::mem::replace(current, is_direct) != is_direct);
        if changed {
            self.heartbeat_now.notify_one();
        }
    }

    /// Waits until this instance no longer reaches the log directly.
    pub async fn direct_log_lost(&self) {
        let mut direct = self.is_direct.subscribe();
        let _ = direct.wait_for(|is_direct| !is_direct).await;
    }

    /// Returns the number of links between this instance and the log, ignoring paths through `except`.
    pub fn hops(&self, except: Option<&InstanceName>) -> u32 {
        if self.has_direct_log() {
            return 0;
        }
        let links = self.links();
        let others = links.iter().filter(|link| Some(&link.peer) != except);
        let nearest = others.map(|link| link.distance().saturating_add(1)).min();
        nearest.filter(|hops| *hops <= HOPS_MAX).unwrap_or(HOPS_UNREACHABLE)
    }

    /// Returns the links to peers that reach the log and are not in `through`, shortest path first.
    pub fn links_to_log(&self, through: &[String]) -> Vec<Arc<Link>> {
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

    /// Records whether a read of the log succeeded, directly or through a peer.
    pub fn set_log_reachable(&self, is_reachable: bool) {
        let mut since = self.unreachable_since.lock();
        match is_reachable {
            true => *since = None,
            false if since.is_none() => *since = Some(Instant::now()),
            false => {}
        }
    }

    /// Returns whether the log is reachable, directly or through a peer, or became unreachable only just now.
    pub fn is_log_reachable(&self) -> bool {
        self.unreachable_since.lock().is_none_or(|since| since.elapsed() < UNREACHABLE_GRACE)
    }

    /// Records whether the log is read through a peer; returns true if that changed.
    pub fn set_log_relayed(&self, is_relayed: bool) -> bool {
        self.is_relayed.swap(is_relayed, Ordering::Relaxed) != is_relayed
    }
}
