//! HTTP client for backend servers, peers and the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_process::socket_limits::SocketLimits;
use derive_more::{Display, Error};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const SOCKET_LIMITS: SocketLimits = SocketLimits {
    idle: Duration::from_secs(2),
    interval: Duration::from_secs(1),
    unacknowledged: Duration::from_secs(4),
};

/// HTTP client, with or without a connection pool.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Why a call failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[display("no connection to {_0}")]
    NotSent(#[error(not(source))] SocketAddr),
    /// The request may have been sent, but no complete answer arrived.
    #[display("no answer: {_0}")]
    NoAnswer(#[error(not(source))] String),
    /// The request may have been sent, but no response head arrived within this many milliseconds.
    #[display("no answer: silence for {_0} ms")]
    Silent(#[error(not(source))] u128),
}

/// Builds a client with a connection pool.
pub fn client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector())
}

/// Builds a client that opens a connection for each call, since a pooled connection may be dead without notice.
pub fn unpooled_client() -> HttpClient {
    Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).retry_canceled_requests(false).build(connector())
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(SOCKET_LIMITS.idle));
    connector.set_keepalive_interval(Some(SOCKET_LIMITS.interval));
    connector.set_keepalive_retries(Some(SOCKET_LIMITS.probes()));
    connector.set_tcp_user_timeout(Some(SOCKET_LIMITS.unacknowledged));
    connector
}

/// Builds a request to `address`.
pub fn request(method: Method, address: SocketAddr, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(body))
        .expect("the method, address and path form a request")
}

/// Sends a request and waits for the response head for at most `timeout`.
pub async fn call(
    client: &HttpClient,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response<Incoming>, CallError> {
    match tokio::time::timeout(timeout, client.request(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if error.is_connect() => Err(CallError::NotSent(address)),
        Ok(Err(error)) => Err(CallError::NoAnswer(error.to_string())),
        Err(_) => Err(CallError::Silent(timeout.as_millis())),
    }
}

/// Reads a complete body of at most `limit` bytes.
pub async fn read_body(body: Incoming, limit: usize, timeout: Duration) -> Result<Bytes, CallError> {
    match tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) => Err(CallError::NoAnswer(error.to_string())),
        Err(_) => Err(CallError::NoAnswer("the body stopped".to_owned())),
    }
}
