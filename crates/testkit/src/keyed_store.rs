//! Store of keyed records in memory, with the faults of the real one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::units::Offset;
use coltsfootpick_serving::interfaces::{
    KeyedLog, KeyedRecord, NewestPage, RecordBatch, StoreError, Topic, WriteSequence,
};
use futures_util::future::BoxFuture;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Time after which a silent store's caller gives up.
const SILENCE: Duration = Duration::from_millis(500);

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// Every call is refused; nothing takes effect.
    Busy,
    /// No call is answered; nothing takes effect.
    Silent,
    /// Writes take effect and their answers are lost.
    AnswerLost,
    /// Writes are not answered, and take effect once [`KeyedStore::take_effect`] is called.
    Late,
}

#[derive(Debug, Default)]
struct Stream {
    records: Vec<KeyedRecord>,
    kept: usize,
}

type LateWrite = (Topic, Option<WriteSequence>, Vec<KeyedRecord>);

/// Newest turn of a writer, and the end of the stream after it.
#[derive(Clone, Copy, Debug)]
struct Taken {
    epoch: u64,
    number: u64,
    end: Offset,
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<&'static str, Stream>,
    turns: BTreeMap<(&'static str, Arc<str>), Taken>,
    late: Vec<LateWrite>,
    fault: Fault,
    calls: usize,
}

/// The store; clones share it.
#[derive(Clone, Debug, Default)]
pub struct KeyedStore {
    state: Arc<Mutex<State>>,
    written: Arc<Notify>,
}

const fn name(topic: Topic) -> &'static str {
    match topic {
        Topic::Documents => "documents",
        Topic::Servers => "servers",
        Topic::Credit => "credit",
        Topic::Instances => "instances",
    }
}

impl KeyedStore {
    /// Makes it misbehave from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.state.lock().fault = fault;
    }

    /// Calls so far.
    pub fn calls(&self) -> usize {
        self.state.lock().calls
    }

    /// Writes a record as an operator or server does, whatever the fault.
    pub fn put(&self, topic: Topic, key: &str, value: Option<&[u8]>) {
        let value = value.map(bytes::Bytes::copy_from_slice);
        let record = KeyedRecord { key: key.into(), value };
        self.state.lock().streams.entry(name(topic)).or_default().records.push(record);
        self.written.notify_waiters();
    }

    /// Drops the history of a topic; the newest record of each key stays.
    pub fn forget(&self, topic: Topic) {
        let mut state = self.state.lock();
        let stream = state.streams.entry(name(topic)).or_default();
        stream.kept = stream.records.len();
    }

    /// Lets late writes take effect whose turn it still is.
    pub fn take_effect(&self) {
        let mut state = self.state.lock();
        for (topic, sequence, records) in std::mem::take(&mut state.late) {
            let _ = write(&mut state, topic, sequence, records);
        }
    }

    /// Newest value of each key.
    pub fn newest_of(&self, topic: Topic) -> BTreeMap<Arc<str>, bytes::Bytes> {
        let state = self.state.lock();
        let records = state.streams.get(name(topic)).map(|stream| stream.records.clone()).unwrap_or_default();
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
) -> Result<Offset, StoreError> {
    let stream = state.streams.entry(name(topic)).or_default();
    let end = Offset((stream.records.len() + records.len()) as u64);
    if let Some(WriteSequence { writer, epoch, number }) = sequence {
        let key = (name(topic), writer);
        match state.turns.get(&key) {
            Some(taken) if (taken.epoch, taken.number) == (epoch, number) => return Ok(taken.end),
            Some(taken) if taken.epoch > epoch || (taken.epoch == epoch && taken.number + 1 != number) => {
                return Err(StoreError::OutOfSequence(format!("{epoch}/{number} after {taken:?}")));
            }
            _ => state.turns.insert(key, Taken { epoch, number, end }),
        };
    }
    stream.records.extend(records);
    Ok(end)
}

impl KeyedStore {
    /// Ends a call as the fault demands.
    async fn fail(&self) -> Result<(), StoreError> {
        let fault = {
            let mut state = self.state.lock();
            state.calls += 1;
            state.fault
        };
        match fault {
            Fault::None | Fault::AnswerLost | Fault::Late => Ok(()),
            Fault::Busy => Err(StoreError::Unavailable("busy".to_owned())),
            Fault::Silent => {
                tokio::time::sleep(SILENCE).await;
                Err(StoreError::Unavailable("silent".to_owned()))
            }
        }
    }
}

impl KeyedLog for KeyedStore {
    fn newest_page(&self, topic: Topic, _after: Option<Arc<str>>) -> BoxFuture<'_, Result<NewestPage, StoreError>> {
        Box::pin(async move {
            self.fail().await?;
            let state = self.state.lock();
            let all = state.streams.get(name(topic)).map(|stream| stream.records.clone()).unwrap_or_default();
            let end = Offset(all.len() as u64);
            let records = newest(&all).into_iter().map(|(key, value)| KeyedRecord { key, value: Some(value) });
            Ok(NewestPage { records: records.collect(), has_more: false, end })
        })
    }

    fn read(&self, topic: Topic, from: Offset, wait: Duration) -> BoxFuture<'_, Result<RecordBatch, StoreError>> {
        Box::pin(async move {
            self.fail().await?;
            let from = usize::try_from(from.0).unwrap_or(usize::MAX);
            let look = || {
                let state = self.state.lock();
                let stream = state.streams.get(name(topic));
                let (records, kept) = stream.map_or((Vec::new(), 0), |stream| (stream.records.clone(), stream.kept));
                if from < kept {
                    return Err(StoreError::Trimmed);
                }
                let next = Offset(records.len() as u64);
                Ok(RecordBatch { records: records.into_iter().skip(from).collect(), next })
            };
            let written = self.written.notified();
            let batch = look()?;
            if !batch.records.is_empty() || wait.is_zero() {
                return Ok(batch);
            }
            let _ = tokio::time::timeout(wait, written).await;
            self.fail().await?;
            look()
        })
    }

    fn append(
        &self,
        topic: Topic,
        sequence: Option<WriteSequence>,
        records: Vec<KeyedRecord>,
    ) -> BoxFuture<'_, Result<Offset, StoreError>> {
        Box::pin(async move {
            self.fail().await?;
            let mut state = self.state.lock();
            if state.fault == Fault::Late {
                state.late.push((topic, sequence, records));
                return Err(StoreError::Unknown("late".to_owned()));
            }
            let written = write(&mut state, topic, sequence, records);
            self.written.notify_waiters();
            match (state.fault, written) {
                (Fault::AnswerLost, _) => Err(StoreError::Unknown("lost".to_owned())),
                (_, written) => written,
            }
        })
    }
}
