//! HTTP calls to a model engine for one request: start, resume, cancel and reachability check.

use bytes::Bytes;
use coltsfootpick_core::backends::ServerListing;
use coltsfootpick_core::names::RecordId;
use coltsfootpick_core::units::Tokens;
use http::{HeaderValue, Method, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Deserialize;

use crate::http::{CallError, HttpClient, call, read_body, request};
use crate::instance::Instance;
use crate::peer_gossip;

const REPORT_MAX_BYTES: usize = 64 << 10;

/// Why an engine returned no stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The request was not sent.
    NotSent(String),
    /// The engine answered with a status other than 200.
    Refused(String),
    /// The request may have been sent, but no answer arrived.
    NoAnswer(String),
}

/// Engine's answer to a cancellation: the tokens to bill.
#[derive(Debug, Deserialize)]
struct ProducedTokens {
    prompt: u64,
    completion: u64,
}

/// A request and the engine to send it to.
#[derive(Clone, Copy, Debug)]
pub struct EngineCall<'a> {
    /// Calling instance.
    pub instance: &'a Instance,
    /// Engine to call.
    pub server: &'a ServerListing,
    /// Request id.
    pub id: &'a RecordId,
    /// Request body.
    pub body: &'a Bytes,
}

impl EngineCall<'_> {
    /// Starts the request and returns its event stream.
    pub async fn open(&self) -> Result<Incoming, OpenError> {
        let opened = match self.post(&self.instance.deps.client).await {
            // The pooled connection may have died before or after the engine received the request, so ask the engine
            // before sending again.
            Err(ExchangeError::Silent(_)) => match self.get(0).await {
                Err(ExchangeError::Status(StatusCode::NOT_FOUND)) => self.post(&self.instance.unpooled).await,
                other => other.map_err(ExchangeError::into_maybe_sent),
            },
            other => other,
        };
        opened.map_err(ExchangeError::into_open_error)
    }

    async fn post(&self, client: &HttpClient) -> Result<Incoming, ExchangeError> {
        let mut request = request(Method::POST, self.server.address, "/v1/chat/completions", self.body.clone());
        let headers = request.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        self.exchange(client, request).await
    }

    /// Fetches a running stream over a new connection, since a pooled one may be dead.
    async fn get(&self, from: u64) -> Result<Incoming, ExchangeError> {
        let path = format!("/v1/streams/{}?from={from}", self.id);
        let request = request(Method::GET, self.server.address, &path, Bytes::new());
        self.exchange(&self.instance.unpooled, request).await
    }

    /// Resumes the running stream at chunk `from` over a new connection.
    pub async fn resume(&self, from: u64) -> Result<Incoming, OpenError> {
        self.get(from).await.map_err(ExchangeError::into_open_error)
    }

    async fn exchange(
        &self,
        client: &HttpClient,
        mut request: http::Request<Full<Bytes>>,
    ) -> Result<Incoming, ExchangeError> {
        let id = HeaderValue::from_str(self.id).expect("a request id is a header value");
        request.headers_mut().insert("x-request-id", id);
        match call(client, self.server.address, request, self.instance.settings.liveness_timeout).await {
            Ok(answer) => {
                peer_gossip::note_leaving(self.instance, answer.headers(), self.server);
                match answer.status() {
                    StatusCode::OK => Ok(answer.into_body()),
                    status => Err(ExchangeError::Status(status)),
                }
            }
            Err(error @ CallError::NotSent(_)) => Err(ExchangeError::NotSent(error.to_string())),
            Err(error @ CallError::Silent(_)) => Err(ExchangeError::Silent(error.to_string())),
            Err(error) => Err(ExchangeError::NoAnswer(error.to_string())),
        }
    }

    /// Cancels the stream and returns the prompt and completion tokens that the engine reports, if it answers.
    pub async fn cancel(&self) -> Option<Tokens> {
        let path = format!("/v1/streams/{}", self.id);
        let request = request(Method::DELETE, self.server.address, &path, Bytes::new());
        let timeout = self.instance.settings.liveness_timeout;
        let answer = call(&self.instance.unpooled, self.server.address, request, timeout).await.ok()?;
        let body = read_body(answer.into_body(), REPORT_MAX_BYTES, timeout).await.ok()?;
        let produced: ProducedTokens = serde_json::from_slice(&body).ok()?;
        Some(Tokens(produced.prompt.saturating_add(produced.completion)))
    }

    /// Returns true if the server no longer answers `/load`, as opposed to having failed only this request.
    pub async fn is_unreachable(&self) -> bool {
        let request = request(Method::GET, self.server.address, "/load", Bytes::new());
        let timeout = self.instance.settings.liveness_timeout;
        let answer = call(&self.instance.unpooled, self.server.address, request, timeout).await;
        !answer.is_ok_and(|answer| answer.status().is_success())
    }
}

/// Why an HTTP exchange returned no body.
enum ExchangeError {
    NotSent(String),
    NoAnswer(String),
    Silent(String),
    Status(StatusCode),
}

impl ExchangeError {
    /// Converts to a failure after which the request may have been sent, because an earlier attempt may have sent it.
    fn into_maybe_sent(self) -> Self {
        match self {
            Self::NotSent(reason) | Self::NoAnswer(reason) | Self::Silent(reason) => Self::NoAnswer(reason),
            Self::Status(status) => Self::NoAnswer(format!("status {status}")),
        }
    }

    fn into_open_error(self) -> OpenError {
        match self {
            Self::NotSent(reason) => OpenError::NotSent(reason),
            Self::NoAnswer(reason) | Self::Silent(reason) => OpenError::NoAnswer(reason),
            Self::Status(status) => OpenError::Refused(format!("status {status}")),
        }
    }
}
