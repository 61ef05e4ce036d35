//! Minimal protocol for backend servers and store records, for tests that do not depend on a platform's formats.

use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::names::{AvailabilityZoneName, RegionName};
use coltsfootpick_core::refusal::{Code, Refusal};
use coltsfootpick_core::routes::{CallerLimits, RouteTable};
use coltsfootpick_core::selection::{Generation, Location};
use coltsfootpick_core::units::Tokens;
use coltsfootpick_serving::interfaces::{
    BackendProtocol, CallerProtocol, DecodeError, DispatchContext, KeyedRecord, OperatorRecord, RecordDecoder,
    ResponseKind, ServerNotice,
};
use coltsfootpick_serving::request::{CallerRequest, ResumedStream};
use coltsfootpick_serving::servers::ServerEntry;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use tokio::time::Instant;

/// Callers' requests are forwarded with `x-id`, `x-key`, `x-left`, `x-size`, `x-last` and `x-first`.
///
/// Sends the headers `x-id`, `x-server`, `x-left`, `x-account` and `x-resumes`. The header `x-not-run` of a response
/// says that the request did not run, `x-leaving` that the server leaves, `x-pause` how many seconds it wants nothing, `x-limit` how
/// many requests a second it takes, `x-brittle` how many it may reject in a second, `x-cold` how many milliseconds it stays cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainProtocol;

impl BackendProtocol for PlainProtocol {
    fn encode(&self, request: &CallerRequest, context: &DispatchContext<'_>) -> Request<Full<Bytes>> {
        let builder = Request::builder()
            .method(request.method.clone())
            .uri(&*request.target)
            .header("host", &*request.host)
            .header("x-id", &*request.id)
            .header("x-server", &*context.server.name)
            .header("x-left", context.remaining.as_millis().to_string())
            .header("x-account", context.account.map_or("", |name| name))
            .header("x-resumes", context.last_event.unwrap_or_default());
        builder.body(Full::new(request.body.clone())).expect("the parts form a request")
    }

    fn classify_head(&self, request: &CallerRequest, head: &Parts, reused: bool) -> ResponseKind {
        let echoed_id = head.headers.get("x-id");
        let has_request_id = echoed_id.is_some_and(|id| id.as_bytes() == request.id.as_bytes());
        match head.status {
            _ if (echoed_id.is_some() || reused) && !has_request_id => ResponseKind::Unusable("another id"),
            StatusCode::MISDIRECTED_REQUEST => ResponseKind::OtherServer,
            _ if head.headers.contains_key("x-not-run") => ResponseKind::NotRun,
            _ if !has_request_id => ResponseKind::Unusable("another id"),
            _ => ResponseKind::Answer,
        }
    }

    fn notice(&self, head: &Parts) -> ServerNotice {
        let text = head.headers.get("x-pause").and_then(|value| value.to_str().ok());
        let pause = text.and_then(|text| text.parse().ok()).map(Duration::from_secs_f64);
        let invalid_pause = text.filter(|_| pause.is_none()).map(str::to_owned);
        let limit = head.headers.get("x-limit").and_then(|value| value.to_str().ok());
        let is_leaving = head.headers.contains_key("x-leaving");
        ServerNotice {
            is_leaving,
            pause,
            invalid_pause,
            limit: limit.and_then(|text| text.parse().ok()),
            invalid_limit: None,
            brittle: head.headers.get("x-brittle").and_then(|value| value.to_str().ok()?.parse().ok()),
            invalid_brittle: None,
            cold: head
                .headers
                .get("x-cold")
                .and_then(|value| value.to_str().ok()?.parse().ok())
                .map(Duration::from_millis),
        }
    }

    fn idle_time(&self, _head: &Parts) -> Option<Duration> {
        None
    }
}

impl CallerProtocol for PlainProtocol {
    fn encode_headers(&self, request: &CallerRequest, remaining: Duration) -> HeaderMap {
        let mut fields = request.headers.clone();
        let mut set = |name: &'static str, text: &str| {
            fields.insert(name, HeaderValue::from_str(text).expect("tests send plain text"));
        };
        set("x-id", &request.id);
        set("host", &request.host);
        set("x-key", request.api_key.as_deref().unwrap_or_default());
        set("x-left", &remaining.as_millis().to_string());
        if let Some(Generation { prompt, output, .. }) = &request.generation {
            set("x-size", &format!("{prompt},{output}"));
        }
        if let Some(ResumedStream { last_event, first_attempt }) = &request.resumed {
            set("x-last", last_event);
            set("x-first", first_attempt.as_deref().unwrap_or_default());
        }
        fields
    }

    fn decode(&self, head: http::request::Parts, body: Bytes, arrived: Instant) -> Result<CallerRequest, Refusal> {
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let missing = |name: &str| Refusal::not_run(Code::BadRequest, format!("the request has no {name}"));
        let size = text("x-size").and_then(|size| size.split_once(','));
        let tokens = |text: &str| text.parse().map(Tokens).unwrap_or_default();
        Ok(CallerRequest {
            id: text("x-id").ok_or_else(|| missing("id"))?.into(),
            method: head.method.clone(),
            host: text("host").ok_or_else(|| missing("host"))?.into(),
            target: head.uri.to_string().into(),
            api_key: text("x-key").filter(|key| !key.is_empty()).map(Into::into),
            timeout: text("x-left").and_then(|left| left.parse().ok()).map(Duration::from_millis),
            generation: size.map(|(prompt, output)| Generation {
                prompt: tokens(prompt),
                output: tokens(output),
                parts: Vec::new(),
            }),
            resumed: text("x-last").map(|last| ResumedStream {
                last_event: last.into(),
                first_attempt: text("x-first").filter(|first| !first.is_empty()).map(Into::into),
            }),
            headers: HeaderMap::new(),
            body,
            arrived,
        })
    }
}

impl RecordDecoder for PlainProtocol {
    /// Decodes a document, which consists of its version number.
    fn document(&self, record: &KeyedRecord) -> Result<Option<RouteTable>, DecodeError> {
        let text = record_text(record)?;
        let version = text.parse().map_err(|error| DecodeError { reason: format!("version {text:?}: {error}") })?;
        Ok(Some(RouteTable::new(
            version,
            CallerLimits {
                body_bytes: 1 << 20,
                idle_timeout: Duration::from_secs(15),
                head_bytes: None,
                head_timeout: None,
            },
        )))
    }

    /// Decodes a document, or an evacuation under the key `evacuate/ZONE`.
    fn operator_record(&self, record: &KeyedRecord) -> Result<OperatorRecord, DecodeError> {
        if let Some(zone) = record.key.strip_prefix("evacuate/") {
            return Ok(OperatorRecord::Evacuation { zone: zone.into(), is_in_force: record.value.is_some() });
        }
        let table = self.document(record)?;
        Ok(table.map_or(OperatorRecord::Other, |table| OperatorRecord::Document(Box::new(table))))
    }

    /// Decodes a server entry of the form `SERVICE ADDRESS STATE STARTED_AT`, which `VERSION` and `COLD_MS` may follow.
    fn server(&self, record: &KeyedRecord) -> Result<ServerEntry, DecodeError> {
        let text = record_text(record)?;
        let words: Vec<&str> = text.split(' ').collect();
        let (service, address, state, started_at, version, cold) = match words[..] {
            [service, address, state, started_at] => (service, address, state, started_at, "v1", None),
            [service, address, state, started_at, version] => (service, address, state, started_at, version, None),
            [service, address, state, started_at, version, cold] => {
                (service, address, state, started_at, version, cold.parse().ok())
            }
            _ => return Err(DecodeError { reason: format!("entry {text:?}") }),
        };
        Ok(ServerEntry {
            name: (&*record.key).into(),
            service: service.into(),
            address: address
                .parse()
                .map_err(|error| DecodeError { reason: format!("address {address:?}: {error}") })?,
            location: test_location(),
            slots: 8,
            leaving: state == "leaving",
            started_at: started_at.parse().ok(),
            weights: 0,
            version: version.into(),
            cold_left: cold.map(Duration::from_millis),
        })
    }
}

fn record_text(record: &KeyedRecord) -> Result<&str, DecodeError> {
    let bytes = record.value.as_deref().unwrap_or_default();
    std::str::from_utf8(bytes).map_err(|error| DecodeError { reason: error.to_string() })
}

/// Location of all instances and servers in tests.
pub fn test_location() -> Location {
    Location { zone: AvailabilityZoneName::from("tunis-a"), region: RegionName::from("tunis") }
}
