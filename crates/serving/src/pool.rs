//! Connections to one backend server: one request at a time on each, kept while nothing unexpected was seen on it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Time for a connection to be made; a healthy one takes two round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which unacknowledged bytes end a connection, so that a cut is noticed.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(3);

/// Time for which an idle connection is used again when the server does not tell; shorter than servers keep theirs.
const IDLE_DEFAULT: Duration = Duration::from_millis(900);

/// Part of the idle time that a server tells which is used, in tenths; the rest covers requests under way.
const IDLE_TENTHS: u32 = 7;

/// Connections kept idle to one server.
const IDLE_MAX: usize = 8;

/// Why there is no connection.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ConnectError {
    /// Every connection that this instance may hold is in use.
    #[display("all {_0} connections to the server are in use")]
    Full(#[error(not(source))] usize),
    /// None could be made.
    #[display("no connection: {_0}")]
    Failed(#[error(not(source))] String),
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    until: Instant,
    open: OpenCount,
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
struct OpenCount(Arc<AtomicUsize>);

impl OpenCount {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Connection in use by one request; dropped, it is closed.
#[derive(Debug)]
pub struct Lease {
    /// Where the request is handed in.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether another request used it before.
    pub reused: bool,
    open: OpenCount,
}

/// Connections to one server.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
    open: Arc<AtomicUsize>,
}

impl ConnectionPool {
    /// Empty pool.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::default(), open: Arc::default() }
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Takes the idle connection that was used last.
    pub fn take_idle(&self) -> Option<Lease> {
        let mut idle = self.idle.lock();
        let now = Instant::now();
        idle.retain(|kept| kept.until > now && !kept.sender.is_closed());
        let at = idle.iter().rposition(|kept| kept.sender.is_ready())?;
        let Idle { sender, open, .. } = idle.remove(at);
        Some(Lease { sender, reused: true, open })
    }

    /// Makes a connection unless `most` are open.
    pub async fn connect(&self, most: usize) -> Result<Lease, ConnectError> {
        if self.open() >= most {
            return Err(ConnectError::Full(most));
        }
        let open = OpenCount::new(&self.open);
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let failed = |error: &dyn std::fmt::Display| ConnectError::Failed(error.to_string());
        let stream = connecting.await.map_err(|error| failed(&error))?.map_err(|error| failed(&error))?;
        stream.set_nodelay(true).map_err(|error| failed(&error))?;
        let limited = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX));
        limited.map_err(|error| failed(&error))?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|error| failed(&error))?;
        let address = self.address;
        tokio::spawn(async move {
            // Requests see the same error by their own sender; this line is for faults of idle connections.
            if let Err(error) = connection.await {
                log::debug!("connection to {address}: {error}");
            }
        });
        Ok(Lease { sender, reused: false, open })
    }

    /// Keeps a connection whose answer was read whole.
    pub fn release(&self, lease: Lease, told: Option<Duration>) {
        let span = told.map_or(IDLE_DEFAULT, |told| told / 10 * IDLE_TENTHS);
        let mut idle = self.idle.lock();
        if idle.len() < IDLE_MAX && !lease.sender.is_closed() {
            idle.push(Idle { sender: lease.sender, until: Instant::now() + span, open: lease.open });
        }
    }

    /// Closes idle connections whose time is over.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.lock().retain(|kept| kept.until > now && !kept.sender.is_closed());
    }
}
