//! Connections that clients have open to one instance: their states, their time limits, and room for new ones.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use coltsfootpick_core::client_limits::{
    CloseReason, ConnectionView, Phase, SocketKind, TimeLimits, advance, choose_victims,
};
use coltsfootpick_core::units::Instant;
use coltsfootpick_process::socket_limits::SocketLimits;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::blackboard::Blackboard;
use crate::client_budget::{BudgetFull, Charge, SocketSlot};
use crate::listener::accept_next;
use crate::log_event;
use crate::log_events::LogEvent;
use crate::metered_stream::MeteredStream;
use crate::metrics::Metrics;

/// Bytes that an idle connection takes: its buffers, its task and its state, measured (`docs/CAPACITY.md#connections`).
const CONNECTION_BYTES: u64 = 36 << 10;

/// Bytes of a head that fit into the buffers of an idle connection.
const HEAD_FREE_BYTES: u64 = 4 << 10;

/// Steps in which the buffer for a longer head is charged; the buffer at most doubles when it grows.
const HEAD_STEP_BYTES: u64 = 16 << 10;

/// Interval at which overdue connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Part of a kind's connections that makes room at a time. The states of all connections are read for that, so the
/// cost for each new connection does not grow with their number.
const VICTIMS_PART: usize = 16;

/// Time for a head beyond what the document states, since an instance that was frozen reads late.
const HEAD_MARGIN: Duration = Duration::from_secs(1);

/// Time after a search that found no connection to close before the next one.
const SEARCH_PAUSE: Duration = Duration::from_millis(20);

/// State of one connection; its stream and its requests update it.
#[derive(Debug)]
pub struct Connection {
    board: Arc<Blackboard>,
    id: u64,
    kind: SocketKind,
    state: Mutex<State>,
    /// Notified to close the connection.
    closing: Notify,
    is_closing: AtomicBool,
    _slot: SocketSlot,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    since: Instant,
    received: u64,
    unread_since: Option<Instant>,
    /// Charge of a head that does not fit into the buffers of an idle connection.
    head: Option<Charge>,
}

impl Connection {
    /// Begins a phase.
    pub fn begin(&self, phase: Phase) {
        let mut state = self.state.lock();
        (state.phase, state.since, state.received, state.head) = (phase, self.board.clock.now(), 0, None);
    }

    /// Charges the buffer for the next bytes of a head.
    ///
    /// # Errors
    ///
    /// Fails if the budget does not admit them.
    pub fn before_read(&self) -> Result<(), BudgetFull> {
        let mut state = self.state.lock();
        if !matches!(state.phase, Phase::Idle | Phase::Head) || state.received < HEAD_FREE_BYTES {
            return Ok(());
        }
        let needed = (state.received / HEAD_STEP_BYTES + 2) * HEAD_STEP_BYTES;
        let head = state.head.get_or_insert_with(|| self.board.clients.charge());
        head.grow_to(needed)
    }

    /// Records received bytes; the first ones begin a head.
    pub fn note_received(&self, bytes: usize) {
        let mut state = self.state.lock();
        if state.phase == Phase::Idle {
            (state.phase, state.since, state.received) = (Phase::Head, self.board.clock.now(), 0);
        }
        state.received += bytes as u64;
    }

    /// Records that the client reads no further for now.
    pub fn note_unread(&self) {
        let mut state = self.state.lock();
        state.unread_since.get_or_insert_with(|| self.board.clock.now());
    }

    /// Records that the client has read `bytes` that waited.
    pub fn note_read(&self, bytes: usize) {
        let mut state = self.state.lock();
        if let Some(since) = state.unread_since {
            state.unread_since = Some(advance(since, bytes as u64, self.board.clock.now()));
        }
    }

    /// Records that nothing waits to be read.
    pub fn note_all_read(&self) {
        self.state.lock().unread_since = None;
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.closing.notified().await;
    }

    fn view(&self) -> ConnectionView {
        let state = self.state.lock();
        let State { phase, since, received, unread_since, .. } = *state;
        ConnectionView { id: self.id, kind: self.kind, phase, since, received, unread_since }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.board.connections.table.lock().remove(&self.id);
    }
}

/// Connections of all kinds.
#[derive(Debug, Default)]
pub struct ClientConnections {
    /// Connections by number; the table keeps none alive.
    table: Mutex<HashMap<u64, Weak<Connection>>>,
    next_id: AtomicU64,
    last_search: Mutex<[Instant; SocketKind::ALL.len()]>,
}

impl ClientConnections {
    fn views(&self, kind: Option<SocketKind>) -> Vec<(Arc<Connection>, ConnectionView)> {
        let open: Vec<_> = self.table.lock().values().filter_map(Weak::upgrade).collect();
        let of_kind = open.into_iter().filter(|connection| kind.is_none_or(|kind| connection.kind == kind));
        let open = of_kind.filter(|connection| !connection.is_closing.load(Ordering::Relaxed));
        open.map(|connection| (Arc::clone(&connection), connection.view())).collect()
    }
}

fn close(board: &Blackboard, reasons: &[(&Connection, CloseReason)]) {
    let mut counts = std::collections::BTreeMap::new();
    for (connection, reason) in reasons {
        connection.is_closing.store(true, Ordering::Relaxed);
        connection.closing.notify_one();
        *counts.entry((connection.kind as usize, *reason)).or_insert(0_u32) += 1;
    }
    for ((kind, reason), count) in counts {
        let kind = SocketKind::ALL[kind];
        Metrics::count_many(&board.metrics.connections_closed, &reason.to_string(), u64::from(count));
        log_event!(
            LogEvent::ConnectionsClosed,
            "kind={kind:?} reason={reason} count={count} open={} held={}",
            board.clients.open_sockets(kind),
            board.clients.used()
        );
    }
}

/// Closes at most `count` connections of `kind`, or of callers, to make room.
fn make_room(board: &Blackboard, kind: SocketKind, count: usize) {
    let now = board.clock.now();
    {
        let last = &mut board.connections.last_search.lock()[kind as usize];
        if now.since(*last) < SEARCH_PAUSE && *last != Instant::default() {
            return;
        }
        *last = now;
    }
    let open = board.connections.views(Some(kind));
    let views: Vec<ConnectionView> = open.iter().map(|(_, view)| *view).collect();
    let victims: HashMap<u64, CloseReason> = choose_victims(&views, count, now).into_iter().collect();
    if !victims.is_empty() {
        // Room was found, so that the next search need not wait.
        board.connections.last_search.lock()[kind as usize] = Instant::default();
    }
    let chosen = open.iter().filter_map(|(connection, view)| Some((&**connection, *victims.get(&view.id)?)));
    close(board, &chosen.collect::<Vec<_>>());
}

/// Accepts the next connection of `kind` that the budgets admit; `name` describes it in log lines. Further ones are
/// closed at once.
pub async fn accept_client(
    board: &Arc<Blackboard>,
    listener: &TcpListener,
    kind: SocketKind,
    name: &str,
    limits: SocketLimits,
) -> (MeteredStream, Arc<Connection>) {
    loop {
        let stream = accept_next(listener, name, limits).await;
        if board.clients.open_sockets(kind) >= board.clients.sockets_max(kind) {
            make_room(board, kind, (board.clients.open_sockets(kind) / VICTIMS_PART).max(1));
            // Lets the closed connections end, which frees their descriptors.
            tokio::task::yield_now().await;
        }
        let Ok(slot) = board.clients.open_socket(kind, CONNECTION_BYTES) else {
            board.metrics.connections_refused.inc();
            continue;
        };
        let id = board.connections.next_id.fetch_add(1, Ordering::Relaxed);
        let phase = if matches!(kind, SocketKind::Peer | SocketKind::Forward) { Phase::Head } else { Phase::Idle };
        let since = board.clock.now();
        let connection = Arc::new(Connection {
            board: Arc::clone(board),
            id,
            kind,
            state: Mutex::new(State { phase, since, received: 0, unread_since: None, head: None }),
            closing: Notify::new(),
            is_closing: AtomicBool::new(false),
            _slot: slot,
        });
        board.connections.table.lock().insert(id, Arc::downgrade(&connection));
        return (MeteredStream::new(stream, Arc::clone(&connection)), connection);
    }
}

/// Time limits in force: the document states the time for a head, and how long a connection may at least be idle.
pub fn time_limits(board: &Blackboard) -> TimeLimits {
    let times = board.clients.limits().times;
    let limits = board.routes().and_then(|table| table.limits());
    let stated = limits.and_then(|limits| limits.head_timeout);
    let head = stated.map_or(times.head, |time| time.saturating_add(HEAD_MARGIN));
    let idle = limits.map_or(times.idle, |limits| times.idle.max(limits.idle_timeout));
    TimeLimits { head, idle, ..times }
}

/// Closes overdue connections, and idle and slow ones while too much memory is held.
pub async fn sweep(board: Arc<Blackboard>, stop: CancellationToken) {
    while tokio::time::timeout(SWEEP_INTERVAL, stop.cancelled()).await.is_err() {
        let (now, limits) = (board.clock.now(), time_limits(&board));
        let open = board.connections.views(None);
        let overdue = open.iter().filter_map(|(connection, view)| Some((&**connection, view.overdue(&limits, now)?)));
        close(&board, &overdue.collect::<Vec<_>>());
        drop(open);
        let excess = board.clients.excess();
        if excess > 0 {
            let count = usize::try_from(excess / CONNECTION_BYTES).unwrap_or(usize::MAX).saturating_add(1);
            make_room(&board, SocketKind::Caller, count);
        }
        let (used, refused) = (board.clients.used(), board.clients.refused());
        if board.clients.update() {
            let is_pressed = board.clients.is_pressed();
            log_event!(LogEvent::MemoryPressure, "pressed={is_pressed} held={used} refused={refused}");
        }
        board.metrics.client_bytes.set(i64::try_from(used).unwrap_or(i64::MAX));
        let callers = board.clients.open_sockets(SocketKind::Caller);
        board.metrics.caller_connections.set(i64::try_from(callers).unwrap_or(i64::MAX));
    }
}
