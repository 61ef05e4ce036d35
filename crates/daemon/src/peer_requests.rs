//! Relays log requests of peers: answers them from the log, or passes them on to a peer that is nearer to it.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::environments::Environments;
use coltsfootpick_core::units::Offset;
use coltsfootpick_wire::peer::{
    LogOperation, LogReply, LogRequest, LogResponse, PeerBody, RelayedRecord, RelayedRecords,
};
use tokio::sync::Semaphore;

use crate::instance::Instance;
use crate::peers::Link;
use crate::platform::{LogError, RawRecord};

/// Longest wait of a relayed read for new records, so that the requester soon tries its direct connection again.
pub const RELAY_WAIT: Duration = Duration::from_secs(1);

/// Largest total size of the records in one answer; an answer has at least one record even if that is larger.
const ANSWER_MAX_BYTES: usize = 1 << 20;

const LEDGER_PREFIX: &str = "ledger-";

/// Answers a peer's request in a task of its own; refuses it if too many of that peer's requests are in progress.
pub fn handle_request(instance: &Arc<Instance>, link: &Arc<Link>, permits: &Arc<Semaphore>, request: LogRequest) {
    let Ok(permit) = Arc::clone(permits).try_acquire_owned() else {
        let reply = LogReply::Unavailable("too many questions".to_owned());
        link.send(PeerBody::LogResponse(LogResponse { request_id: request.request_id, reply: Some(reply) }));
        return;
    };
    let (instance, link) = (Arc::clone(instance), Arc::clone(link));
    tokio::spawn(async move {
        let request_id = request.request_id;
        let reply = tokio::select! {
            reply = answer(&instance, request) => reply,
            () = link.closed.cancelled() => return,
        };
        link.send(PeerBody::LogResponse(LogResponse { request_id, reply: Some(reply) }));
        drop(permit);
    });
}

/// Returns whether requests for the stream are relayed: the environments and the ledger shards.
fn is_relayed_stream(stream: &str) -> bool {
    let shard = stream.strip_prefix(LEDGER_PREFIX).map(str::parse::<u32>);
    stream == Environments::STREAM || matches!(shard, Some(Ok(_)))
}

async fn answer(instance: &Instance, request: LogRequest) -> LogReply {
    let LogRequest { through, stream, operation, .. } = request;
    match operation {
        _ if !is_relayed_stream(&stream) => LogReply::Unavailable("an unknown stream".to_owned()),
        Some(LogOperation::Append(bytes)) => match instance.peer_log.append_through(through, stream, bytes).await {
            Ok(offset) => LogReply::Appended(offset.0),
            Err(error) => error_reply(error),
        },
        Some(LogOperation::Read(read)) => {
            let wait = Duration::from_millis(read.wait).min(RELAY_WAIT);
            match instance.peer_log.read_through(through, stream, Offset(read.from), wait).await {
                Ok(records) => LogReply::Records(within_limit(records)),
                Err(error) => error_reply(error),
            }
        }
        None => LogReply::Unavailable("an unknown question".to_owned()),
    }
}

fn error_reply(error: LogError) -> LogReply {
    match error {
        LogError::Unavailable(text) => LogReply::Unavailable(text),
        LogError::Unknown(text) => LogReply::Unknown(text),
        LogError::Trimmed(first) => LogReply::Trimmed(first.0),
    }
}

/// Keeps as many leading records as fit into one answer.
fn within_limit(records: Vec<RawRecord>) -> RelayedRecords {
    let mut bytes = 0;
    let mut relayed = Vec::new();
    for record in records {
        bytes += record.bytes.len();
        if bytes > ANSWER_MAX_BYTES && !relayed.is_empty() {
            break;
        }
        relayed.push(RelayedRecord { offset: record.offset.0, bytes: record.bytes });
    }
    RelayedRecords { records: relayed }
}
