//! TCP relay that injects network faults between a client and a server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::server::ANY_PORT;

const BUFFER_BYTES: usize = 16 << 10;

/// How a partition shows at the client's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Open connections go silent, and new ones get no answer.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections go on, and new ones are refused.
    RefuseNew,
}

/// TCP relay that runs until it is dropped.
#[derive(Debug)]
pub struct TcpRelay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct State {
    /// Incremented by [`TcpRelay::silence`]; connections opened under an older epoch are silent.
    epoch: AtomicU64,
    close_count: watch::Sender<u64>,
    delay_ms: AtomicU64,
    drop_responses: AtomicBool,
    connections: AtomicU64,
    drop_prefix: Mutex<Option<Vec<u8>>>,
    cut: watch::Sender<Option<Cut>>,
}

impl State {
    /// Returns whether `bytes` start the request to drop; if so, later requests are not dropped.
    fn match_drop(&self, bytes: &[u8]) -> bool {
        let mut prefix = self.drop_prefix.lock();
        let is_match = prefix.as_ref().is_some_and(|start| bytes.starts_with(start));
        if is_match {
            prefix.take();
        }
        is_match
    }
}

impl TcpRelay {
    /// Relays connections to `target`.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let address = listener.local_addr()?;
        let state = Arc::<State>::default();
        let task = tokio::spawn(accept(listener, target, Arc::clone(&state)));
        Ok(Self { address, state, task })
    }

    /// Drops all data on the connections that are open now without closing them; new connections work.
    pub fn silence(&self) {
        self.state.epoch.fetch_add(1, Ordering::SeqCst);
    }

    /// Closes the connections that are open now.
    pub fn close_connections(&self) {
        self.state.close_count.send_modify(|count| *count += 1);
    }

    /// Partitions the client from the target until [`Self::heal`].
    pub fn cut(&self, cut: Cut) {
        self.state.cut.send_replace(Some(cut));
        match cut {
            Cut::Hang => self.silence(),
            Cut::Reset => self.close_connections(),
            Cut::RefuseNew => {}
        }
    }

    /// Ends a partition; connections that went silent stay so.
    pub fn heal(&self) {
        self.state.cut.send_replace(None);
    }

    /// From now on, delays data in both directions by `span` for each read.
    pub fn set_delay(&self, span: Duration) {
        self.state.delay_ms.store(u64::try_from(span.as_millis()).unwrap_or(u64::MAX), Ordering::SeqCst);
    }

    /// Sets whether data from the target is dropped; data to the target still passes.
    pub fn drop_responses(&self, enabled: bool) {
        self.state.drop_responses.store(enabled, Ordering::SeqCst);
    }

    /// Drops the next request that starts with `start`, and all later data of the client on that connection.
    pub fn drop_request(&self, start: &str) {
        *self.state.drop_prefix.lock() = Some(start.as_bytes().to_vec());
    }

    /// Returns whether the request to drop, if any, was dropped.
    pub fn has_dropped(&self) -> bool {
        self.state.drop_prefix.lock().is_none()
    }

    /// Number of connections opened so far.
    pub fn connection_count(&self) -> u64 {
        self.state.connections.load(Ordering::SeqCst)
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Pause before binding an address again that is still in use.
const BIND_PAUSE: Duration = Duration::from_millis(5);

/// Listens at `address` with a queue for `backlog` connections.
async fn listen(address: SocketAddr, backlog: u32) -> TcpListener {
    loop {
        let socket = TcpSocket::new_v4().expect("a socket can be created");
        let bound = socket.set_reuseaddr(true).and_then(|()| socket.bind(address));
        match bound.and_then(|()| socket.listen(backlog)) {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(BIND_PAUSE).await,
        }
    }
}

/// Time after which a connection that is not answered shows that the queue is full.
const FILL_TIME: Duration = Duration::from_millis(20);

/// Length of the queue of connections that are not accepted yet.
const BACKLOG: u32 = 1_024;

async fn accept(mut listener: TcpListener, target: SocketAddr, state: Arc<State>) {
    let address = listener.local_addr().expect("a bound socket has an address");
    let mut cuts = state.cut.subscribe();
    loop {
        let cut = *cuts.borrow_and_update();
        let Some(cut) = cut else {
            tokio::select! {
                () = relay_connections(&listener, target, &state) => return,
                _ = cuts.changed() => continue,
            }
        };
        drop(listener);
        // A listener whose queue is full gives new connections no answer.
        let blocker = match cut {
            Cut::Hang => {
                let full = listen(address, 0).await;
                let first = TcpStream::connect(address).await;
                let second = tokio::time::timeout(FILL_TIME, TcpStream::connect(address)).await;
                Some((full, first, second))
            }
            Cut::Reset | Cut::RefuseNew => None,
        };
        while cuts.borrow_and_update().is_some() {
            let _ = cuts.changed().await;
        }
        drop(blocker);
        listener = listen(address, BACKLOG).await;
    }
}

async fn relay_connections(listener: &TcpListener, target: SocketAddr, state: &Arc<State>) {
    while let Ok((client, _)) = listener.accept().await {
        let Ok(server) = TcpStream::connect(target).await else { continue };
        state.connections.fetch_add(1, Ordering::SeqCst);
        let epoch = state.epoch.load(Ordering::SeqCst);
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::spawn(copy(client_read, server_write, Arc::clone(state), epoch, false));
        tokio::spawn(copy(server_read, client_write, Arc::clone(state), epoch, true));
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, state: Arc<State>, epoch: u64, is_response: bool) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut closes = state.close_count.subscribe();
    loop {
        let is_silent = || state.epoch.load(Ordering::SeqCst) != epoch;
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = closes.changed() => {
                let _ = from.as_ref().set_zero_linger();
                return;
            }
        };
        let count = match read {
            // Keeps the other half open, since the far end of a silent connection does not see a close.
            Ok(0) | Err(_) if is_silent() => std::future::pending().await,
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        if state.match_drop(&buffer[..count]) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(state.delay_ms.load(Ordering::SeqCst))).await;
        let is_lost = is_silent() || (is_response && state.drop_responses.load(Ordering::SeqCst));
        if !is_lost && to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
