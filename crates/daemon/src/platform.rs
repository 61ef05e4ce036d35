//! Interfaces to the platform's append-only log and instance list, and their HTTP client; see `docs/OWN-PLATFORM.md`.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use coltsfootpick_core::names::InstanceName;
use coltsfootpick_core::units::Offset;
use coltsfootpick_wire::platform::{AppendResponse, ListedServer, ReadResponse, StoredRecord};
use derive_more::{Display, Error};
use futures_util::future::BoxFuture;
use http::{HeaderValue, Method, StatusCode};

use crate::http::{CallError, HttpClient, call, read_body, request};

const ANSWER_MAX_BYTES: usize = 64 << 20;

/// Why a log operation failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum LogError {
    /// The operation had no effect.
    #[display("the log is unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// An append may have taken effect.
    #[display("the append may have taken effect: {_0}")]
    Unknown(#[error(not(source))] String),
    /// The requested records were dropped; the oldest retained record has this offset.
    #[display("records before {_0} were dropped")]
    Trimmed(#[error(not(source))] Offset),
}

/// One record, not yet decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRecord {
    /// Offset in its stream.
    pub offset: Offset,
    /// Encoded record.
    pub bytes: Bytes,
}

/// Append-only log of several streams.
pub trait Log: Send + Sync + std::fmt::Debug {
    /// Appends one record and returns its offset.
    fn append(&self, stream: String, bytes: Vec<u8>) -> BoxFuture<'_, Result<Offset, LogError>>;

    /// Reads records starting at `from`; waits up to `wait` for the first one.
    fn read(&self, stream: String, from: Offset, wait: Duration) -> BoxFuture<'_, Result<Vec<RawRecord>, LogError>>;
}

/// List of live and leaving servers; it may be stale.
pub trait InstanceList: Send + Sync + std::fmt::Debug {
    /// Returns the listed servers.
    fn servers(&self) -> BoxFuture<'_, Result<Vec<ListedServer>, CallError>>;
}

/// HTTP client of the platform.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: HttpClient,
    log: SocketAddr,
    list: SocketAddr,
    name: HeaderValue,
    timeout: Duration,
}

impl HttpPlatform {
    /// Creates a client of the services at `log` and `list` that identifies itself as the instance `name`.
    pub fn new(client: HttpClient, log: SocketAddr, list: SocketAddr, name: &InstanceName, timeout: Duration) -> Self {
        let name = HeaderValue::from_str(name).unwrap_or_else(|_| HeaderValue::from_static("unnamed"));
        Self { client, log, list, name, timeout }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut request = request(method, address, path, body);
        request.headers_mut().insert("x-client", self.name.clone());
        let response = call(&self.client, address, request, timeout).await?;
        let status = response.status();
        Ok((status, read_body(response.into_body(), ANSWER_MAX_BYTES, timeout).await?))
    }

    async fn append_record(&self, stream: &str, bytes: Vec<u8>) -> Result<Offset, LogError> {
        let path = format!("/streams/{stream}");
        let answer = self.exchange(self.log, Method::POST, &path, bytes.into(), self.timeout).await;
        match answer {
            Ok((StatusCode::OK, body)) => match serde_json::from_slice::<AppendResponse>(&body) {
                Ok(appended) => Ok(Offset(appended.offset)),
                Err(error) => Err(LogError::Unknown(error.to_string())),
            },
            Ok((status @ (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS), _)) => {
                Err(LogError::Unavailable(status.to_string()))
            }
            Ok((status, _)) => Err(LogError::Unknown(status.to_string())),
            Err(error @ CallError::NotSent(_)) => Err(LogError::Unavailable(error.to_string())),
            Err(error @ (CallError::NoAnswer(_) | CallError::Silent(_))) => Err(LogError::Unknown(error.to_string())),
        }
    }

    async fn read_records(&self, stream: &str, from: Offset, wait: Duration) -> Result<Vec<RawRecord>, LogError> {
        let path = format!("/streams/{stream}?from={from}&wait_ms={}", wait.as_millis());
        let unavailable = |text: String| LogError::Unavailable(text);
        let (status, body) = self
            .exchange(self.log, Method::GET, &path, Bytes::new(), self.timeout + wait)
            .await
            .map_err(|error| unavailable(error.to_string()))?;
        if !matches!(status, StatusCode::OK | StatusCode::GONE) {
            return Err(unavailable(status.to_string()));
        }
        let records: ReadResponse = serde_json::from_slice(&body).map_err(|error| unavailable(error.to_string()))?;
        if status == StatusCode::GONE {
            return Err(LogError::Trimmed(Offset(records.first)));
        }
        records.records.iter().map(decode_stored).collect()
    }

    async fn read_list(&self) -> Result<Vec<ListedServer>, CallError> {
        let (status, body) = self.exchange(self.list, Method::GET, "/instances", Bytes::new(), self.timeout).await?;
        if status != StatusCode::OK {
            return Err(CallError::NoAnswer(status.to_string()));
        }
        serde_json::from_slice(&body).map_err(|error| CallError::NoAnswer(error.to_string()))
    }
}

fn decode_stored(record: &StoredRecord) -> Result<RawRecord, LogError> {
    let bytes = BASE64_STANDARD.decode(&record.data).map_err(|error| LogError::Unavailable(error.to_string()))?;
    Ok(RawRecord { offset: Offset(record.offset), bytes: bytes.into() })
}

impl Log for HttpPlatform {
    fn append(&self, stream: String, bytes: Vec<u8>) -> BoxFuture<'_, Result<Offset, LogError>> {
        Box::pin(async move { self.append_record(&stream, bytes).await })
    }

    fn read(&self, stream: String, from: Offset, wait: Duration) -> BoxFuture<'_, Result<Vec<RawRecord>, LogError>> {
        Box::pin(async move { self.read_records(&stream, from, wait).await })
    }
}

impl InstanceList for HttpPlatform {
    fn servers(&self) -> BoxFuture<'_, Result<Vec<ListedServer>, CallError>> {
        Box::pin(self.read_list())
    }
}
