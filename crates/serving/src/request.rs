//! Request of a caller in a form independent of the callers' protocol.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::selection::Generation;
use http::{HeaderMap, Method};
use tokio::time::Instant;

/// Stream that a caller takes up after its connection broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumedStream {
    /// Id of the last event that the caller received.
    pub last_event: Arc<str>,
    /// Id of the attempt that brought the first event, if the caller names exactly one.
    pub first_attempt: Option<Arc<str>>,
}

/// Request as one caller sent it; a retry by the caller is another request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Request id; a retry by the caller has another one.
    pub id: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Host of the request, without the port.
    pub host: Arc<str>,
    /// Path and query, unchanged.
    pub target: Arc<str>,
    /// Headers to forward to the backend server.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// API key of a client account, if the request has one.
    pub api_key: Option<Arc<str>>,
    /// Time that the caller waits for the response, counted from `arrived`.
    pub timeout: Option<Duration>,
    /// Size of the requested generation, or `None` for a plain call.
    pub generation: Option<Generation>,
    /// Stream that the caller takes up, if it has received events of it.
    pub resumed: Option<ResumedStream>,
    /// Time of arrival, from which the timeout is counted.
    pub arrived: Instant,
}

impl CallerRequest {
    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}
