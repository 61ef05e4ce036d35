//! Calls of one request to one model engine: start, resume, cancel, and whether the engine is still there.

use bytes::Bytes;
use coltsfootpick_core::backends::Listed;
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

/// Why an engine gave no stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Nothing was sent.
    Unsent(String),
    /// The engine answered with another status.
    Refused(String),
    /// It may have been sent, and no answer came.
    Unanswered(String),
}

#[derive(Debug, Deserialize)]
struct Produced {
    prompt: u64,
    completion: u64,
}

/// One request on its way to one engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineCall<'a> {
    /// Instance that calls.
    pub instance: &'a Instance,
    /// Engine.
    pub server: &'a Listed,
    /// Request id.
    pub id: &'a RecordId,
    /// Body of the request.
    pub body: &'a Bytes,
}

impl EngineCall<'_> {
    /// Starts the request and gives its stream.
    pub async fn open(&self) -> Result<Incoming, OpenError> {
        let opened = match self.post(&self.instance.deps.client).await {
            // The connection may have gone silent before or after the engine took the request.
            Err(Exchange::Silent(_)) => match self.get(0).await {
                Err(Exchange::Status(StatusCode::NOT_FOUND)) => self.post(&self.instance.unpooled).await,
                other => other.map_err(Exchange::into_sent),
            },
            other => other,
        };
        opened.map_err(Exchange::into_error)
    }

    async fn post(&self, client: &HttpClient) -> Result<Incoming, Exchange> {
        let mut question = request(Method::POST, self.server.address, "/v1/chat/completions", self.body.clone());
        let headers = question.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        self.exchange(client, question).await
    }

    /// Asks for a running stream on a new connection, which cannot have gone silent before.
    async fn get(&self, from: u64) -> Result<Incoming, Exchange> {
        let path = format!("/v1/streams/{}?from={from}", self.id);
        let question = request(Method::GET, self.server.address, &path, Bytes::new());
        self.exchange(&self.instance.unpooled, question).await
    }

    /// Gives the running stream from the chunk `from` on, over a new connection.
    pub async fn resume(&self, from: u64) -> Result<Incoming, OpenError> {
        self.get(from).await.map_err(Exchange::into_error)
    }

    async fn exchange(
        &self,
        client: &HttpClient,
        mut question: http::Request<Full<Bytes>>,
    ) -> Result<Incoming, Exchange> {
        let id = HeaderValue::from_str(self.id).expect("a request id is a header value");
        question.headers_mut().insert("x-request-id", id);
        match call(client, self.server.address, question, self.instance.settings.liveness_timeout).await {
            Ok(answer) => {
                peer_gossip::note_leaving(self.instance, answer.headers(), self.server);
                match answer.status() {
                    StatusCode::OK => Ok(answer.into_body()),
                    status => Err(Exchange::Status(status)),
                }
            }
            Err(error @ CallError::NotSent(_)) => Err(Exchange::NotSent(error.to_string())),
            Err(error @ CallError::Silent(_)) => Err(Exchange::Silent(error.to_string())),
            Err(error) => Err(Exchange::NoAnswer(error.to_string())),
        }
    }

    /// Cancels the stream and tells what the engine says it produced.
    pub async fn cancel(&self) -> Option<Tokens> {
        let path = format!("/v1/streams/{}", self.id);
        let order = request(Method::DELETE, self.server.address, &path, Bytes::new());
        let timeout = self.instance.settings.liveness_timeout;
        let answer = call(&self.instance.unpooled, self.server.address, order, timeout).await.ok()?;
        let body = read_body(answer.into_body(), REPORT_MAX_BYTES, timeout).await.ok()?;
        let produced: Produced = serde_json::from_slice(&body).ok()?;
        Some(Tokens(produced.prompt.saturating_add(produced.completion)))
    }

    /// Tells a lost server from one that only failed this request.
    pub async fn is_lost(&self) -> bool {
        let question = request(Method::GET, self.server.address, "/load", Bytes::new());
        let timeout = self.instance.settings.liveness_timeout;
        let answer = call(&self.instance.unpooled, self.server.address, question, timeout).await;
        !answer.is_ok_and(|answer| answer.status().is_success())
    }
}

/// Why an exchange gave no body.
enum Exchange {
    NotSent(String),
    NoAnswer(String),
    Silent(String),
    Status(StatusCode),
}

impl Exchange {
    /// Same failure when an earlier exchange may have sent the request.
    fn into_sent(self) -> Self {
        match self {
            Self::NotSent(reason) | Self::NoAnswer(reason) | Self::Silent(reason) => Self::NoAnswer(reason),
            Self::Status(status) => Self::NoAnswer(format!("status {status}")),
        }
    }

    fn into_error(self) -> OpenError {
        match self {
            Self::NotSent(reason) => OpenError::Unsent(reason),
            Self::NoAnswer(reason) | Self::Silent(reason) => OpenError::Unanswered(reason),
            Self::Status(status) => OpenError::Refused(format!("status {status}")),
        }
    }
}
