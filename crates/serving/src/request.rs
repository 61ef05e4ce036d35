//! Request of a caller, as every dialect hands it in.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::spread::Generation;
use http::{HeaderMap, Method};
use tokio::time::Instant;

/// One sending of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identity of this sending; a repeat by the caller has another one.
    pub id: Arc<str>,
    /// Method.
    pub method: Method,
    /// Host that it names.
    pub host: Arc<str>,
    /// Path and query, byte for byte.
    pub target: Arc<str>,
    /// Headers that go to the backend server.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Key of a client account.
    pub api_key: Option<Arc<str>>,
    /// Time that the caller waits, counted from the arrival.
    pub timeout: Option<Duration>,
    /// Size of the generation asked for, or none for a plain call.
    pub generation: Option<Generation>,
    /// When it had arrived whole.
    pub arrived: Instant,
}

impl CallerRequest {
    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}
