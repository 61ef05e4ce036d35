//! In-memory store of keyed records with configurable faults.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::units::{LogPosition, Offset};
use coltsfootpick_serving::interfaces::{
    KeyedLog, KeyedRecord, NewestPage, RecordBatch, StoreError, Topic, WriteSequence,
};
use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time after which a call to a silent store fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Every call is refused and takes no effect.
    Busy,
    /// No call is answered, and none takes effect.
    Silent,
    /// Writes take effect, but their responses are lost.
    ResponseLost,
    /// Writes are not answered; they take effect when [`KeyedStore::apply_delayed`] is called.
    Delayed,
}

#[derive(Debug, Default)]
struct TopicLog {
    records: Vec<KeyedRecord>,
    /// Time at which each record was written.
    written_at: Vec<Instant>,
    /// Index of the first record that was not trimmed.
    first_readable: usize,
}

type DelayedWrite = (Topic, Option<WriteSequence>, Vec<KeyedRecord>);

impl TopicLog {
    fn push(&mut self, records: Vec<KeyedRecord>) {
        self.written_at.resize(self.records.len() + records.len(), Instant::now());
        self.records.extend(records);
    }
}

/// Sequence numbers of a writer's accepted write, and the end of the topic after it.
#[derive(Clone, Copy, Debug)]
struct LastWrite {
    epoch: u64,
    number: u64,
    end: Offset,
    written_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<&'static str, TopicLog>,
    /// Accepted writes by topic and writer, the oldest first.
    writes: BTreeMap<(&'static str, Arc<str>), Vec<LastWrite>>,
    /// Number of times that the store came back from an older copy.
    era: u64,
    delayed: Vec<DelayedWrite>,
    fault: StoreFault,
    calls: usize,
}

/// In-memory store; its clones share the records and the fault.
#[derive(Clone, Debug, Default)]
pub struct KeyedStore {
    state: Arc<Mutex<State>>,
    /// Fault of this path to the store, besides that of the store itself.
    path_fault: Arc<Mutex<StoreFault>>,
    appended: Arc<Notify>,
}

const fn name(topic: Topic) -> &'static str {
    match topic {
        Topic::Documents => "documents",
        Topic::Servers => "servers",
        Topic::Credit => "credit",
        Topic::Instances => "instances",
        Topic::Observations => "observations",
        Topic::Streams => "streams",
    }
}

impl KeyedStore {
    /// Sets the fault of all calls from now on.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.lock().fault = fault;
    }

    /// Another path to the same records, which faults of its own may affect.
    #[must_use]
    pub fn other_path(&self) -> Self {
        Self { path_fault: Arc::default(), ..self.clone() }
    }

    /// Sets the fault of the calls by this path alone; it does not apply to writes that are answered late.
    pub fn set_path_fault(&self, fault: StoreFault) {
        *self.path_fault.lock() = fault;
    }

    /// Position after the newest record of a topic.
    pub fn end(&self, topic: Topic) -> LogPosition {
        let state = self.state.lock();
        let length = state.topics.get(name(topic)).map_or(0, |log| log.records.len());
        LogPosition::new(state.era, Offset(length as u64))
    }

    /// Number of calls so far.
    pub fn call_count(&self) -> usize {
        self.state.lock().calls
    }

    /// Writes a record as an operator or a backend server does, regardless of the fault.
    pub fn put(&self, topic: Topic, key: &str, value: Option<&[u8]>) {
        let value = value.map(bytes::Bytes::copy_from_slice);
        let record = KeyedRecord { key: key.into(), value };
        self.state.lock().topics.entry(name(topic)).or_default().push(vec![record]);
        self.appended.notify_waiters();
    }

    /// Trims a topic: reads from an offset before its end fail; the newest record of each key stays available.
    pub fn trim(&self, topic: Topic) {
        let mut state = self.state.lock();
        let log = state.topics.entry(name(topic)).or_default();
        log.first_readable = log.records.len();
    }

    /// Replaces the content by a copy of `age` before now, in which later records and write sequences are unknown.
    pub fn restore_copy(&self, age: Duration) {
        let mut state = self.state.lock();
        let is_kept = |at: &Instant| at.elapsed() >= age;
        for log in state.topics.values_mut() {
            let kept = log.written_at.iter().take_while(|at| is_kept(at)).count();
            log.records.truncate(kept);
            log.written_at.truncate(kept);
            log.first_readable = log.first_readable.min(kept);
        }
        for writes in state.writes.values_mut() {
            writes.retain(|write| is_kept(&write.written_at));
        }
        state.era += 1;
        drop(state);
        self.appended.notify_waiters();
    }

    /// Applies the delayed writes that are still in sequence.
    pub fn apply_delayed(&self) {
        let mut state = self.state.lock();
        for (topic, sequence, records) in std::mem::take(&mut state.delayed) {
            let _ = write(&mut state, topic, sequence, records);
        }
    }

    /// Newest value of each key that was not deleted.
    pub fn latest_values(&self, topic: Topic) -> BTreeMap<Arc<str>, bytes::Bytes> {
        let state = self.state.lock();
        let records = state.topics.get(name(topic)).map(|log| log.records.clone()).unwrap_or_default();
        newest(&records)
    }
}

fn newest(records: &[KeyedRecord]) -> BTreeMap<Arc<str>, bytes::Bytes> {
    let mut newest = BTreeMap::new();
    for record in records {
        match &record.value {
            Some(value) => newest.insert(Arc::clone(&record.key), value.clone()),
            None => newest.remove(&record.key),
        };
    }
    newest
}

fn write(
    state: &mut State,
    topic: Topic,
    sequence: Option<WriteSequence>,
    records: Vec<KeyedRecord>,
) -> Result<LogPosition, StoreError> {
    let log = state.topics.entry(name(topic)).or_default();
    let end = Offset((log.records.len() + records.len()) as u64);
    if let Some(WriteSequence { writer, epoch, number }) = sequence {
        let key = (name(topic), writer);
        let writes = state.writes.entry(key).or_default();
        match writes.last() {
            Some(last) if (last.epoch, last.number) == (epoch, number) => {
                return Ok(LogPosition::new(state.era, last.end));
            }
            Some(last) if last.epoch > epoch || (last.epoch == epoch && last.number + 1 != number) => {
                return Err(StoreError::OutOfSequence(format!("{epoch}/{number} after {last:?}")));
            }
            None if number > 0 => {
                return Err(StoreError::OutOfSequence(format!("{epoch}/{number} of an unknown writer")));
            }
            _ => writes.push(LastWrite { epoch, number, end, written_at: Instant::now() }),
        }
    }
    log.push(records);
    Ok(LogPosition::new(state.era, end))
}

impl KeyedStore {
    /// Counts a call and fails it if the fault prevents it from taking effect.
    async fn begin_call(&self) -> Result<(), StoreError> {
        let fault = {
            let mut state = self.state.lock();
            state.calls += 1;
            state.fault
        };
        let path_fault = *self.path_fault.lock();
        let fault = if path_fault == StoreFault::None { fault } else { path_fault };
        match fault {
            StoreFault::None | StoreFault::ResponseLost | StoreFault::Delayed => Ok(()),
            StoreFault::Busy => Err(StoreError::Unavailable("busy".to_owned())),
            StoreFault::Silent => {
                tokio::time::sleep(CALL_TIMEOUT).await;
                Err(StoreError::Unavailable("silent".to_owned()))
            }
        }
    }
}

impl KeyedLog for KeyedStore {
    fn newest_page(&self, topic: Topic, _after: Option<Arc<str>>) -> BoxFuture<'_, Result<NewestPage, StoreError>> {
        Box::pin(async move {
            self.begin_call().await?;
            let state = self.state.lock();
            let log = state.topics.get(name(topic)).map(|log| log.records.clone()).unwrap_or_default();
            let end = LogPosition::new(state.era, Offset(log.len() as u64));
            let records = newest(&log).into_iter().map(|(key, value)| KeyedRecord { key, value: Some(value) });
            Ok(NewestPage { records: records.collect(), has_more: false, end })
        })
    }

    fn read(&self, topic: Topic, from: LogPosition, wait: Duration) -> BoxFuture<'_, Result<RecordBatch, StoreError>> {
        Box::pin(async move {
            self.begin_call().await?;
            let (era, from) = (from.era, usize::try_from(from.offset.0).unwrap_or(usize::MAX));
            let read_now = || {
                let state = self.state.lock();
                if state.era > era {
                    return Err(StoreError::Restored);
                }
                let log = state.topics.get(name(topic));
                let (records, first_readable) =
                    log.map_or((Vec::new(), 0), |log| (log.records.clone(), log.first_readable));
                if from < first_readable {
                    return Err(StoreError::Trimmed);
                }
                let next = LogPosition::new(era, Offset(records.len() as u64));
                Ok(RecordBatch { records: records.into_iter().skip(from).collect(), next, end: next })
            };
            let appended = self.appended.notified();
            let batch = read_now()?;
            if !batch.records.is_empty() || wait.is_zero() {
                return Ok(batch);
            }
            let _ = tokio::time::timeout(wait, appended).await;
            self.begin_call().await?;
            read_now()
        })
    }

    fn append(
        &self,
        topic: Topic,
        sequence: Option<WriteSequence>,
        records: Vec<KeyedRecord>,
    ) -> BoxFuture<'_, Result<LogPosition, StoreError>> {
        Box::pin(async move {
            self.begin_call().await?;
            let mut state = self.state.lock();
            if state.fault == StoreFault::Delayed {
                state.delayed.push((topic, sequence, records));
                return Err(StoreError::Unknown("late".to_owned()));
            }
            let written = write(&mut state, topic, sequence, records);
            self.appended.notify_waiters();
            match (state.fault, written) {
                (StoreFault::ResponseLost, _) => Err(StoreError::Unknown("lost".to_owned())),
                (_, written) => written,
            }
        })
    }
}
