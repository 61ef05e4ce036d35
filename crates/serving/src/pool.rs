//! Connection pool of one server: HTTP/1 connections with one request at a time, reused once a response is complete.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_process::socket_limits;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::client_budget::SocketSlot;

/// Time limit for connecting; a healthy connection takes two round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which an idle connection is reused if the server states no keep-alive time; servers keep theirs longer.
const IDLE_TIME_DEFAULT: Duration = Duration::from_millis(900);

/// Tenths of the server's keep-alive time during which an idle connection is reused; the rest covers the time that a
/// request is in flight.
const IDLE_TENTHS: u32 = 7;

/// Maximum number of bytes that a connection buffers, and so the maximum length of a response head.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Maximum number of idle connections kept to one server.
const IDLE_CONNECTIONS_MAX: usize = 8;

/// Error of opening a connection.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ConnectError {
    /// All connections that this instance may open are in use.
    #[display("all {_0} connections to the server are in use")]
    Full(#[error(not(source))] usize),
    /// Nothing listens at the address.
    #[display("no connection: {_0}")]
    Refused(#[error(not(source))] String),
    /// The connection could not be opened.
    #[display("no connection: {_0}")]
    Failed(#[error(not(source))] String),
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    expires_at: Instant,
    guard: OpenGuard,
    slot: Option<SocketSlot>,
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
struct OpenGuard(Arc<AtomicUsize>);

impl OpenGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Connection that one request uses; dropping it closes the connection.
#[derive(Debug)]
pub struct Lease {
    /// Sends the request on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether an earlier request used the connection.
    pub reused: bool,
    /// Place in the budget of the instance, if the connection takes one.
    pub slot: Option<SocketSlot>,
    guard: OpenGuard,
}

/// Pool of connections to one server.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    open_count: Arc<AtomicUsize>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::default(), open_count: Arc::default() }
    }

    /// Number of open connections, idle or in use.
    pub fn open_count(&self) -> usize {
        self.open_count.load(Ordering::Relaxed)
    }

    /// Takes the most recently used idle connection, if any.
    pub fn take_idle(&self) -> Option<Lease> {
        let mut idle = self.idle.lock();
        let now = Instant::now();
        idle.retain(|connection| connection.expires_at > now && !connection.sender.is_closed());
        let at = idle.iter().rposition(|connection| connection.sender.is_ready())?;
        let IdleConnection { sender, guard, slot, .. } = idle.remove(at);
        Some(Lease { sender, reused: true, slot, guard })
    }

    /// Opens a connection within the usual time.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::connect_within`] does.
    pub async fn connect(&self, limit: usize) -> Result<Lease, ConnectError> {
        self.connect_within(limit, CONNECT_TIMEOUT).await
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if `limit` connections are open already, or if the connection cannot be opened within `timeout`.
    pub async fn connect_within(&self, limit: usize, timeout: Duration) -> Result<Lease, ConnectError> {
        if self.open_count() >= limit {
            return Err(ConnectError::Full(limit));
        }
        let guard = OpenGuard::new(&self.open_count);
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(self.address));
        let failed = |error: &dyn std::fmt::Display| ConnectError::Failed(error.to_string());
        let stream = connecting.await.map_err(|error| failed(&error))?.map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => ConnectError::Refused(error.to_string()),
            _ => failed(&error),
        })?;
        stream.set_nodelay(true).map_err(|error| failed(&error))?;
        socket_limits::SERVER.apply(&stream).map_err(|error| failed(&error))?;
        let handshake = Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|error| failed(&error))?;
        let address = self.address;
        tokio::spawn(async move {
            // Requests get the same error from their sender; this line covers idle connections.
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        Ok(Lease { sender, reused: false, slot: None, guard })
    }

    /// Keeps a connection for reuse after the whole response was read; `keep_alive` is the time that the server stated.
    pub fn release(&self, lease: Lease, keep_alive: Option<Duration>) {
        let reuse_time = keep_alive.map_or(IDLE_TIME_DEFAULT, |time| time / 10 * IDLE_TENTHS);
        let mut idle = self.idle.lock();
        if idle.len() < IDLE_CONNECTIONS_MAX && !lease.sender.is_closed() {
            idle.push(IdleConnection {
                sender: lease.sender,
                expires_at: Instant::now() + reuse_time,
                guard: lease.guard,
                slot: lease.slot,
            });
        }
    }

    /// Whether an idle connection can be reused.
    pub fn has_idle(&self) -> bool {
        let now = Instant::now();
        self.idle.lock().iter().any(|connection| connection.expires_at > now && connection.sender.is_ready())
    }

    /// Closes idle connections that have expired.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.lock().retain(|connection| connection.expires_at > now && !connection.sender.is_closed());
    }
}
