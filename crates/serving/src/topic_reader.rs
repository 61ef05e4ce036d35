//! Follows one topic of the store: the newest record of each key once, then every record as it comes.
//!
//! When records were dropped before they were read, the newest of each key are read again; what was known meanwhile
//! stays in use until they are.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use coltsfootpick_core::units::Offset;

use crate::interfaces::{KeyedLog, KeyedRecord, NewestPage, StoreError, Topic};
use crate::log_event;
use crate::log_events::LogEvent;

/// Who takes in what is read.
pub trait RecordSink: Send {
    /// Takes in the newest record of every key; keys that are missing were dropped.
    fn replace_all(&mut self, records: Vec<KeyedRecord>);

    /// Takes in one more record.
    fn apply(&mut self, record: KeyedRecord);

    /// Learns that the store answers again after it did not for `outage`.
    fn note_recovery(&mut self, outage: Duration);

    /// Looks at what is due by time alone.
    fn tick(&mut self);
}

/// How often the store is asked.
#[derive(Clone, Copy, Debug)]
pub struct PollPolicy {
    /// Longest time that a read waits at the store.
    pub max_wait: Duration,
    /// Pause after a read that brought records, in which more gather.
    pub batch_pause: Duration,
}

/// First pause after a failed call; it doubles up to [`RETRY_MAX`].
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Longest pause after a failed call; the bound on stale configuration leaves room for two of them.
const RETRY_MAX: Duration = Duration::from_millis(400);

/// Shortest outage that is told to the sink.
const OUTAGE_MIN: Duration = Duration::from_millis(600);

/// Reads every newest record of a topic, and where to go on after them.
pub async fn read_newest(log: &dyn KeyedLog, topic: Topic) -> Result<(Vec<KeyedRecord>, Offset), StoreError> {
    let mut records = Vec::new();
    let mut start: Option<Offset> = None;
    loop {
        let after = records.last().map(|record: &KeyedRecord| Arc::clone(&record.key));
        let NewestPage { records: page, has_more, end } = log.newest(topic, after).await?;
        let is_stuck = has_more && page.is_empty();
        records.extend(page);
        // Pages are not a snapshot; what changed since the first is read again from its end.
        let start = *start.get_or_insert(end);
        if !has_more || is_stuck {
            return Ok((records, start));
        }
    }
}

/// Follows `topic` until `stop`.
pub async fn follow(
    log: Arc<dyn KeyedLog>,
    topic: Topic,
    policy: PollPolicy,
    mut sink: impl RecordSink,
    stop: CancellationToken,
) {
    let mut next: Option<Offset> = None;
    let mut lost: Option<(Instant, StoreError)> = None;
    let mut answered = Instant::now();
    let mut pause = RETRY_MIN;
    while !stop.is_cancelled() {
        let fetched = tokio::select! {
            fetched = fetch(&*log, topic, policy, next) => fetched,
            () = stop.cancelled() => return,
        };
        match fetched {
            Ok(fetched) => {
                if let Some((since, error)) = lost.take() {
                    let outage = since.elapsed();
                    let span = outage.as_millis();
                    log_event!(LogEvent::DependencyRecovered, "store topic={topic} outage_ms={span} last={error:?}");
                    if outage >= OUTAGE_MIN {
                        sink.note_recovery(outage);
                    }
                }
                answered = Instant::now();
                pause = RETRY_MIN;
                next = Some(fetched.end);
                let is_empty = fetched.records.is_empty();
                hand_over(fetched, &mut sink);
                if !is_empty {
                    tokio::time::sleep(policy.batch_pause).await;
                }
            }
            Err(StoreError::Trimmed) => {
                log_event!(LogEvent::TopicReread, "topic={topic} from={}", next.unwrap_or_default());
                next = None;
            }
            Err(error) => {
                if lost.is_none() {
                    log_event!(LogEvent::DependencyLost, "store topic={topic} error={error:?}");
                    lost = Some((answered, error));
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(RETRY_MAX);
            }
        }
        sink.tick();
    }
}

struct Fetched {
    records: Vec<KeyedRecord>,
    end: Offset,
    is_list: bool,
}

async fn fetch(
    log: &dyn KeyedLog,
    topic: Topic,
    policy: PollPolicy,
    next: Option<Offset>,
) -> Result<Fetched, StoreError> {
    let Some(from) = next else {
        let (records, end) = read_newest(log, topic).await?;
        return Ok(Fetched { records, end, is_list: true });
    };
    let batch = log.read(topic, from, policy.max_wait).await?;
    Ok(Fetched { records: batch.records, end: batch.next, is_list: false })
}

fn hand_over(fetched: Fetched, sink: &mut impl RecordSink) {
    if fetched.is_list {
        sink.replace_all(fetched.records);
        return;
    }
    for record in fetched.records {
        sink.apply(record);
    }
}
