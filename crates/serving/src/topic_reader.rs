//! Reads one topic of the store: first the newest record of each key, then every record as it is written.
//!
//! If the store dropped records before they were read, the newest record of each key is read again; until then the sink
//! keeps its current state.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use coltsfootpick_core::units::LogPosition;

use crate::interfaces::{KeyedLog, KeyedRecord, NewestPage, StoreError, Topic};
use crate::log_event;
use crate::log_events::LogEvent;

/// Receives the records of a topic.
pub trait RecordSink: Send {
    /// Replaces the state by the newest record of every key; keys without a record were deleted.
    fn replace_all(&mut self, records: Vec<KeyedRecord>);

    /// Applies one further record.
    fn apply(&mut self, record: KeyedRecord);

    /// Called when the store answers again after it did not for the time `outage`.
    fn note_recovery(&mut self, outage: Duration);

    /// Called when the store came back from an older copy; the next call is [`Self::replace_all`] with its records.
    fn note_restored(&mut self);

    /// Called after each read whose records were passed on, with the position after them.
    fn note_read(&mut self, _next: LogPosition) {}

    /// Called after a read that began at `began` and showed everything that was written by then.
    fn note_caught_up(&mut self, _began: Instant) {}

    /// Called after every read, to do what is due by time alone.
    fn tick(&mut self);
}

/// How often and how long the store is polled for new records.
#[derive(Clone, Copy, Debug)]
pub struct PollPolicy {
    /// Longest time that a read waits at the store for a record.
    pub max_wait: Duration,
    /// Pause after a read that returned records, so that the next read returns several at once.
    pub batch_pause: Duration,
}

/// First pause after a failed call; it doubles with each failure up to [`RETRY_MAX`].
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Longest pause after a failed call; the time limit for a document to come into force allows for two of them.
const RETRY_MAX: Duration = Duration::from_millis(400);

/// Shortest outage that is reported to the sink.
const OUTAGE_MIN: Duration = Duration::from_millis(600);

/// Reads the newest record of every key of a topic, and the offset from which to continue.
///
/// # Errors
///
/// Fails if one of the calls to the store fails.
pub async fn read_newest(store: &dyn KeyedLog, topic: Topic) -> Result<(Vec<KeyedRecord>, LogPosition), StoreError> {
    let mut records = Vec::new();
    let mut start: Option<LogPosition> = None;
    loop {
        let after = records.last().map(|record: &KeyedRecord| Arc::clone(&record.key));
        let NewestPage { records: page, has_more, end } = store.newest_page(topic, after).await?;
        let is_stuck = has_more && page.is_empty();
        records.extend(page);
        // The pages are not a consistent snapshot, so reading continues from the end offset of the first page.
        let start = *start.get_or_insert(end);
        if end.era != start.era {
            return Err(StoreError::Restored);
        }
        if !has_more || is_stuck {
            return Ok((records, start));
        }
    }
}

/// Reads `topic` into `sink` until `stop` is cancelled.
pub async fn follow(
    store: Arc<dyn KeyedLog>,
    topic: Topic,
    policy: PollPolicy,
    mut sink: impl RecordSink,
    stop: CancellationToken,
) {
    let mut next: Option<LogPosition> = None;
    let mut failure: Option<(Instant, StoreError)> = None;
    let mut last_success = Instant::now();
    let mut pause = RETRY_MIN;
    // Era of the records that the sink has, unless it was told that the next ones come from an older copy.
    let mut read_era: Option<u64> = None;
    while !stop.is_cancelled() {
        let began = Instant::now();
        let fetched = tokio::select! {
            fetched = fetch(&*store, topic, policy, next) => fetched,
            () = stop.cancelled() => return,
        };
        match fetched {
            Ok(fetched) => {
                if let Some((since, error)) = failure.take() {
                    let outage = since.elapsed();
                    let outage_ms = outage.as_millis();
                    log_event!(
                        LogEvent::DependencyRecovered,
                        "store topic={topic} outage_ms={outage_ms} last={error:?}"
                    );
                    if outage >= OUTAGE_MIN {
                        sink.note_recovery(outage);
                    }
                }
                last_success = Instant::now();
                pause = RETRY_MIN;
                next = Some(fetched.end);
                let is_empty = fetched.records.is_empty();
                note_era(topic, fetched.end.era, &mut read_era, &mut sink);
                deliver(fetched, began, &mut sink);
                if !is_empty {
                    tokio::time::sleep(policy.batch_pause).await;
                }
            }
            Err(StoreError::Trimmed) => {
                log_event!(LogEvent::TopicReread, "topic={topic} from={}", next.unwrap_or_default().offset);
                next = None;
            }
            Err(StoreError::Restored) => {
                let LogPosition { era, offset } = next.unwrap_or_default();
                log_event!(LogEvent::StoreRestored, "topic={topic} era={era} from={offset}");
                next = None;
                read_era = None;
                sink.note_restored();
            }
            Err(error) => {
                if failure.is_none() {
                    log_event!(LogEvent::DependencyLost, "store topic={topic} error={error:?}");
                    failure = Some((last_success, error));
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(RETRY_MAX);
            }
        }
        sink.tick();
    }
}

struct FetchedRecords {
    records: Vec<KeyedRecord>,
    end: LogPosition,
    is_snapshot: bool,
    /// Whether the records reach the end of the topic.
    is_caught_up: bool,
}

async fn fetch(
    store: &dyn KeyedLog,
    topic: Topic,
    policy: PollPolicy,
    next: Option<LogPosition>,
) -> Result<FetchedRecords, StoreError> {
    let Some(from) = next else {
        let (records, end) = read_newest(store, topic).await?;
        return Ok(FetchedRecords { records, end, is_snapshot: true, is_caught_up: true });
    };
    let batch = store.read(topic, from, policy.max_wait).await?;
    let is_caught_up = batch.next >= batch.end;
    Ok(FetchedRecords { records: batch.records, end: batch.next, is_snapshot: false, is_caught_up })
}

/// Tells the sink of an older copy from which the store came back after its records were dropped here.
fn note_era(topic: Topic, era: u64, known: &mut Option<u64>, sink: &mut impl RecordSink) {
    if known.replace(era).is_some_and(|known| known < era) {
        log_event!(LogEvent::StoreRestored, "topic={topic} era={era}");
        sink.note_restored();
    }
}

fn deliver(fetched: FetchedRecords, began: Instant, sink: &mut impl RecordSink) {
    let FetchedRecords { records, end, is_snapshot, is_caught_up } = fetched;
    match is_snapshot {
        true => sink.replace_all(records),
        false => records.into_iter().for_each(|record| sink.apply(record)),
    }
    sink.note_read(end);
    if is_caught_up {
        sink.note_caught_up(began);
    }
}
