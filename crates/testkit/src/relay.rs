//! TCP relay in front of a stand-in that can lose track of its open connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::server::ANY_PORT;

const BUFFER_BYTES: usize = 16 << 10;

/// Relay that serves until it is dropped.
#[derive(Debug)]
pub struct TcpRelay {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<State>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct State {
    age: AtomicU64,
    resets: watch::Sender<u64>,
    delay_ms: AtomicU64,
    loses_answers: AtomicBool,
    opened: AtomicU64,
    trap: Mutex<Option<Vec<u8>>>,
}

impl State {
    /// Takes the trap when `bytes` spring it.
    fn springs(&self, bytes: &[u8]) -> bool {
        let mut trap = self.trap.lock();
        let is_sprung = trap.as_ref().is_some_and(|start| bytes.starts_with(start));
        if is_sprung {
            trap.take();
        }
        is_sprung
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

    /// Drops everything on the connections that are open now, without closing them; new ones work.
    pub fn silence(&self) {
        self.state.age.fetch_add(1, Ordering::SeqCst);
    }

    /// Closes the connections that are open now.
    pub fn close_connections(&self) {
        self.state.resets.send_modify(|count| *count += 1);
    }

    /// Delays every piece of data in both directions from now on.
    pub fn set_delay(&self, span: Duration) {
        self.state.delay_ms.store(u64::try_from(span.as_millis()).unwrap_or(u64::MAX), Ordering::SeqCst);
    }

    /// Lets what the target says go missing, while it goes on hearing.
    pub fn lose_answers(&self, loses: bool) {
        self.state.loses_answers.store(loses, Ordering::SeqCst);
    }

    /// Silences the one connection on which the next request that starts with `start` is sent, and swallows it.
    pub fn drop_request(&self, start: &str) {
        *self.state.trap.lock() = Some(start.as_bytes().to_vec());
    }

    /// True once nothing is left to swallow.
    pub fn has_dropped(&self) -> bool {
        self.state.trap.lock().is_none()
    }

    /// Connections opened so far.
    pub fn connection_count(&self) -> u64 {
        self.state.opened.load(Ordering::SeqCst)
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<State>) {
    while let Ok((near, _)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(target).await else { continue };
        state.opened.fetch_add(1, Ordering::SeqCst);
        let born = state.age.load(Ordering::SeqCst);
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(copy(near_read, far_write, Arc::clone(&state), born, false));
        tokio::spawn(copy(far_read, near_write, Arc::clone(&state), born, true));
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, state: Arc<State>, born: u64, is_answer: bool) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut resets = state.resets.subscribe();
    loop {
        let is_silent = || state.age.load(Ordering::SeqCst) != born;
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = resets.changed() => return,
        };
        let count = match read {
            // The far end learns nothing of a close that was lost.
            Ok(0) | Err(_) if is_silent() => std::future::pending().await,
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        if state.springs(&buffer[..count]) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(state.delay_ms.load(Ordering::SeqCst))).await;
        let is_lost = is_silent() || (is_answer && state.loses_answers.load(Ordering::SeqCst));
        if !is_lost && to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
