//! HTTP client of a fleet's callers, for demos, load generation and tests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

/// Error of a call that got no response, or only part of one.
#[derive(Clone, Debug, Display, Error)]
#[display("no answer: {message}")]
pub struct CallFailed {
    message: String,
}

impl CallFailed {
    /// Creates the error from a description of its cause.
    pub const fn new(message: String) -> Self {
        Self { message }
    }
}

/// Response that was received completely.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Request id from the fleet, if the response has one.
    pub request_id: Option<String>,
    /// Seconds to wait before a retry, if the response says so.
    pub retry_after: Option<u64>,
    /// Complete body.
    pub body: Bytes,
    /// Time from the start of the call to the first chunk of the body.
    pub first_chunk: Duration,
    /// Times between successive chunks of the body.
    pub chunk_gaps: Vec<Duration>,
}

impl CallResponse {
    /// Parses the body as JSON; returns null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Code of a refusal; empty if the response is not a refusal.
    pub fn code(&self) -> String {
        self.json()["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Run status of a refusal, such as `not-run`; empty if the response is not a refusal.
    pub fn run_status(&self) -> String {
        self.json()["run"].as_str().unwrap_or_default().to_owned()
    }

    /// Data fields of the server-sent events in the body.
    pub fn events(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body);
        text.lines().filter_map(|line| line.strip_prefix("data: ")).map(str::to_owned).collect()
    }

    /// Returns whether a stream ended with its final event, `[DONE]`.
    pub fn is_complete(&self) -> bool {
        self.events().last().is_some_and(|data| data == "[DONE]")
    }

    /// Generated text of a stream.
    pub fn text(&self) -> String {
        let chunks = self.events().into_iter().filter_map(|data| serde_json::from_str::<Value>(&data).ok());
        chunks.map(|chunk| chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()).collect()
    }
}

/// Open stream; dropping it closes its connection.
#[derive(Debug)]
pub struct OpenStream {
    /// HTTP status.
    pub status: StatusCode,
    /// Request id from the fleet.
    pub request_id: String,
    /// Token with which the stream is resumed.
    pub resume_token: String,
    body: Incoming,
    buffer: String,
}

/// Server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Number of the event, from its `id` field.
    pub number: u64,
    /// Content of the `data` field.
    pub data: String,
}

impl StreamEvent {
    /// Generated text in the event.
    pub fn text(&self) -> String {
        let chunk: Value = serde_json::from_str(&self.data).unwrap_or_default();
        chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
    }
}

impl OpenStream {
    /// Reads the next event; returns `None` if the stream ended, broke off or is malformed.
    pub async fn next_event(&mut self) -> Option<StreamEvent> {
        loop {
            if let Some(end) = self.buffer.find("\n\n") {
                let block: String = self.buffer.drain(..end + 2).collect();
                let field = |name: &str| block.lines().find_map(|line| line.strip_prefix(name)).map(str::to_owned);
                let number = field("id: ")?.parse().ok()?;
                let event = StreamEvent { number, data: field("data: ")? };
                return Some(event);
            }
            let data = self.body.frame().await?.ok()?.into_data().ok()?;
            self.buffer.push_str(std::str::from_utf8(&data).ok()?);
        }
    }

    /// Reads `count` events, or fewer if the stream ends before.
    pub async fn next_events(&mut self, count: usize) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        while events.len() < count {
            let Some(event) = self.next_event().await else { break };
            events.push(event);
        }
        events
    }
}

/// HTTP client with the credential of one caller.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client<HttpConnector, Full<Bytes>>,
    credential: String,
}

impl Caller {
    /// Creates a caller with a credential of the form `environment:account:key`.
    pub fn new(credential: &str) -> Self {
        Self { http: Client::builder(TokioExecutor::new()).build_http(), credential: format!("Bearer {credential}") }
    }

    /// Sends a request with additional headers and reads the complete response.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<CallResponse, CallFailed> {
        let start = Instant::now();
        let response = self.exchange(address, method, path, headers, body.into()).await?;
        let status = response.status();
        let header_text =
            |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        let request_id = header_text("x-request-id");
        let retry_after = header_text("retry-after").and_then(|value| value.parse().ok());
        let mut chunks = Vec::new();
        let mut times = Vec::new();
        let mut stream = response.into_body();
        while let Some(frame) = stream.frame().await {
            let frame = frame.map_err(|error| CallFailed::new(error.to_string()))?;
            times.push(start.elapsed());
            chunks.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        let first_chunk = times.first().copied().unwrap_or_default();
        let chunk_gaps = times.windows(2).map(|pair| pair[1].saturating_sub(pair[0])).collect();
        Ok(CallResponse { status, request_id, retry_after, body: chunks.into(), first_chunk, chunk_gaps })
    }

    /// Sends a request and waits for the head of the response.
    async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>, CallFailed> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, &self.credential)
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body)).map_err(|error| CallFailed::new(error.to_string()))?;
        self.http.request(request).await.map_err(|error| CallFailed::new(error.to_string()))
    }

    /// Requests a stream of up to `tokens` tokens and returns it before any event is read.
    pub async fn open_stream(
        &self,
        address: SocketAddr,
        model: &str,
        prompt: &str,
        tokens: u64,
    ) -> Result<OpenStream, CallFailed> {
        let body = chat_body(model, prompt, tokens, true);
        self.start_stream(address, Method::POST, "/v1/chat/completions", &[], body.to_string()).await
    }

    /// Resumes a stream after the event `last`, or from its start if there is none.
    pub async fn resume_stream(
        &self,
        address: SocketAddr,
        token: &str,
        last: Option<u64>,
    ) -> Result<OpenStream, CallFailed> {
        let last_id = last.map(|number| number.to_string()).unwrap_or_default();
        let headers = [("last-event-id", last_id.as_str())];
        let headers = if last.is_some() { headers.as_slice() } else { &[] };
        self.start_stream(address, Method::GET, &format!("/v1/streams/{token}"), headers, String::new()).await
    }

    async fn start_stream(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<OpenStream, CallFailed> {
        let response = self.exchange(address, method, path, headers, body.into()).await?;
        let header_text = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (request_id, resume_token) = (header_text("x-request-id"), header_text("x-resume-token"));
        Ok(OpenStream {
            status: response.status(),
            request_id,
            resume_token,
            body: response.into_body(),
            buffer: String::new(),
        })
    }

    /// Requests a chat completion of up to `tokens` tokens and reads the complete response.
    pub async fn chat(
        &self,
        address: SocketAddr,
        model: &str,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> Result<CallResponse, CallFailed> {
        let body = chat_body(model, prompt, tokens, stream);
        self.send(address, Method::POST, "/v1/chat/completions", &[], body.to_string()).await
    }

    /// Makes an at-most-once call with the idempotency key `key`.
    pub async fn apply(&self, address: SocketAddr, service: &str, key: &str) -> Result<CallResponse, CallFailed> {
        let path = format!("/v1/services/{service}/apply");
        self.send(address, Method::POST, &path, &[("idempotency-key", key)], "{}").await
    }
}

/// Body of a chat request with one message.
pub fn chat_body(model: &str, prompt: &str, tokens: u64, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    })
}
