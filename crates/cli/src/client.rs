//! Client of the operators' HTTP interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Reason why a request returned no result.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// The request was not sent.
    #[display("cannot reach the instance: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The instance refused the request, which had no effect.
    #[display("{_0}")]
    Refused(#[error(not(source))] String),
    /// The instance may have executed the order; the response is missing or does not tell.
    #[display("the order may have taken effect: {_0}")]
    Unknown(#[error(not(source))] String),
}

/// Client of one instance.
#[derive(Debug)]
pub struct Client {
    http: HyperClient<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    credential: String,
}

impl Client {
    /// Creates a client that sends requests to `address` as `operator`, authenticated by `key`.
    pub fn new(address: SocketAddr, operator: &str, key: &str) -> Self {
        let http = HyperClient::builder(TokioExecutor::new()).build_http();
        Self { http, address, credential: format!("Bearer {operator}:{key}") }
    }

    /// Sends a GET request to `path` and decodes the JSON body of the response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Posts an order as JSON to `path` and decodes the JSON body of the response.
    pub async fn post<T: DeserializeOwned>(&self, path: &str, order: &impl Serialize) -> Result<T, ClientError> {
        let body = serde_json::to_vec(order).map_err(|error| ClientError::Unreachable(error.to_string()))?;
        self.call(Method::POST, path, body.into()).await
    }

    async fn call<T: DeserializeOwned>(&self, method: Method, path: &str, body: Bytes) -> Result<T, ClientError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, &self.credential)
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| ClientError::Unreachable(error.to_string()))?;
        let response = match tokio::time::timeout(RESPONSE_TIMEOUT, self.http.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() => return Err(ClientError::Unreachable(self.address.to_string())),
            Ok(Err(error)) => return Err(ClientError::Unknown(error.to_string())),
            Err(_) => return Err(ClientError::Unknown("no response in time".to_owned())),
        };
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|error| ClientError::Unknown(error.to_string()))?;
        let body = body.to_bytes();
        match status.is_success() {
            true => serde_json::from_slice(&body).map_err(|error| ClientError::Unknown(error.to_string())),
            false => Err(refusal_error(&body)),
        }
    }
}

/// Returns the error for a problem response (RFC 9457); only `"run": "not-run"` proves that the request had no effect.
fn refusal_error(body: &[u8]) -> ClientError {
    let problem: Value = serde_json::from_slice(body).unwrap_or_default();
    let detail = problem["detail"].as_str().unwrap_or("the instance refused without a reason").to_owned();
    match problem["run"].as_str() {
        Some("not-run") => ClientError::Refused(detail),
        _ => ClientError::Unknown(detail),
    }
}
