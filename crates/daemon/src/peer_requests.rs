//! Questions of peers about the log, answered by the log itself or by a peer nearer to it.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::environments::Environments;
use coltsfootpick_core::units::Offset;
use coltsfootpick_wire::peer::{Answer, Ask, Body, Question, Records, RelayedRecord, Reply};
use tokio::sync::Semaphore;

use crate::instance::Instance;
use crate::peers::Link;
use crate::platform::{LogError, RawRecord};

/// Longest wait of a relayed read, so that the asker soon tries its own way again.
pub const RELAY_WAIT: Duration = Duration::from_secs(1);

/// Most bytes of records in one answer; at least one record is given.
const ANSWER_MAX_BYTES: usize = 1 << 20;

const LEDGER_PREFIX: &str = "ledger-";

/// Works on a question, unless too many of the same peer are under way.
pub fn take_ask(instance: &Arc<Instance>, link: &Arc<Link>, asks: &Arc<Semaphore>, ask: Ask) {
    let Ok(place) = Arc::clone(asks).try_acquire_owned() else {
        let reply = Reply::Unavailable("too many questions".to_owned());
        link.send(Body::Answer(Answer { number: ask.number, reply: Some(reply) }));
        return;
    };
    let (instance, link) = (Arc::clone(instance), Arc::clone(link));
    tokio::spawn(async move {
        let number = ask.number;
        let reply = tokio::select! {
            reply = answer(&instance, ask) => reply,
            () = link.closed.cancelled() => return,
        };
        link.send(Body::Answer(Answer { number, reply: Some(reply) }));
        drop(place);
    });
}

/// Only streams of the fleet are relayed.
fn is_known(stream: &str) -> bool {
    let shard = stream.strip_prefix(LEDGER_PREFIX).map(str::parse::<u32>);
    stream == Environments::STREAM || matches!(shard, Some(Ok(_)))
}

async fn answer(instance: &Instance, ask: Ask) -> Reply {
    let Ask { through, stream, question, .. } = ask;
    match question {
        _ if !is_known(&stream) => Reply::Unavailable("an unknown stream".to_owned()),
        Some(Question::Append(bytes)) => match instance.peer_log.append_through(through, stream, bytes).await {
            Ok(offset) => Reply::Appended(offset.0),
            Err(error) => failed(error),
        },
        Some(Question::Read(read)) => {
            let wait = Duration::from_millis(read.wait).min(RELAY_WAIT);
            match instance.peer_log.read_through(through, stream, Offset(read.from), wait).await {
                Ok(records) => Reply::Records(within_limit(records)),
                Err(error) => failed(error),
            }
        }
        None => Reply::Unavailable("an unknown question".to_owned()),
    }
}

fn failed(error: LogError) -> Reply {
    match error {
        LogError::Unavailable(text) => Reply::Unavailable(text),
        LogError::Unknown(text) => Reply::Unknown(text),
        LogError::Trimmed(first) => Reply::Trimmed(first.0),
    }
}

fn within_limit(records: Vec<RawRecord>) -> Records {
    let mut bytes = 0;
    let mut given = Vec::new();
    for record in records {
        bytes += record.bytes.len();
        if bytes > ANSWER_MAX_BYTES && !given.is_empty() {
            break;
        }
        given.push(RelayedRecord { offset: record.offset.0, bytes: record.bytes });
    }
    Records { records: given }
}
