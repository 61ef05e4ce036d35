//! Recovery from snapshots: at start, after the log dropped records, and from a peer while the log is down.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::units::Offset;
use coltsfootpick_wire::snapshot::{Snapshot, SnapshotAssembler};

use crate::event;
use crate::events::Event;
use crate::follower::{EnvironmentStream, FollowedStream};
use crate::instance::Instance;
use crate::platform::{Log, LogError};

/// Pause before the next attempt to find a snapshot.
const RECOVERY_PAUSE: Duration = Duration::from_millis(200);

/// Number of complete snapshots kept, so that an older one can replace an unreadable newest one.
const CANDIDATES_MAX: usize = 2;

/// Reads one snapshot stream incrementally.
#[derive(Debug)]
pub struct SnapshotReader {
    stream: String,
    next: Offset,
    assembler: SnapshotAssembler,
    newest: Option<Offset>,
}

impl SnapshotReader {
    /// Creates a reader that starts at the oldest retained record of `stream`.
    pub fn new(stream: String) -> Self {
        Self { stream, next: Offset::default(), assembler: SnapshotAssembler::default(), newest: None }
    }

    /// Reads on to the end of the stream and returns the newest complete snapshots found, newest first. Snapshots older
    /// than the newest of earlier reads are left out.
    pub async fn read_to_end(&mut self, log: &dyn Log) -> Result<Vec<Snapshot>, LogError> {
        let mut found: Vec<Snapshot> = Vec::new();
        loop {
            let records = match log.read(self.stream.clone(), self.next, Duration::ZERO).await {
                Ok(records) if records.is_empty() => break,
                Ok(records) => records,
                Err(LogError::Trimmed(first)) => {
                    self.next = first;
                    continue;
                }
                Err(error) => return Err(error),
            };
            for record in records {
                self.next = record.offset.next();
                found.extend(self.assemble(record.offset, &record.bytes));
                found.sort_by_key(|snapshot| std::cmp::Reverse(snapshot.next));
                found.truncate(CANDIDATES_MAX);
            }
        }
        found.retain(|snapshot| self.newest.is_none_or(|newest| snapshot.next >= newest));
        self.newest = self.newest.max(found.first().map(|snapshot| snapshot.next));
        Ok(found)
    }

    fn assemble(&mut self, offset: Offset, bytes: &[u8]) -> Option<Snapshot> {
        match self.assembler.add(bytes) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                event!(Event::RecordSkipped, "stream={} offset={offset} error={error}", self.stream);
                None
            }
        }
    }
}

/// Installs the newest snapshot of `stream`, and retries until all records before `required` are covered.
///
/// Until then the instance reports the stream as blocked: continuing without these records would diverge from
/// the instances that have applied them.
pub(crate) async fn recover(instance: &Instance, stream: &dyn FollowedStream, required: Offset) {
    let mut reader = SnapshotReader::new(stream.snapshot_stream());
    let mut is_logged = false;
    loop {
        let reason = match reader.read_to_end(&*instance.deps.log).await {
            Ok(found) => {
                install_newest(stream, &found);
                if stream.next() >= required {
                    return instance.clear_blocked(&stream.stream());
                }
                format!("records before {required} were dropped and no whole snapshot covers them")
            }
            Err(error) => format!("its snapshots cannot be read: {error}"),
        };
        if !is_logged {
            event!(Event::StreamBlocked, "stream={} reason={reason:?}", stream.stream());
        }
        is_logged = true;
        instance.mark_blocked(&stream.stream(), reason);
        tokio::select! {
            () = tokio::time::sleep(RECOVERY_PAUSE) => {}
            () = instance.stopped.cancelled() => return,
        }
    }
}

/// Installs the first snapshot that can be decoded and skips the others.
fn install_newest(stream: &dyn FollowedStream, newest_first: &[Snapshot]) {
    for snapshot in newest_first {
        match stream.install(snapshot) {
            Ok(is_ahead) => {
                let (stream, next, bytes) = (stream.stream(), snapshot.next, snapshot.payload.len());
                event!(Event::SnapshotRead, "stream={stream} next={next} bytes={bytes} installed={is_ahead}");
                return;
            }
            Err(error) => {
                event!(Event::RecordSkipped, "stream={} snapshot={} error={error}", stream.stream(), snapshot.next);
            }
        }
    }
}

/// Returns a snapshot of this instance's environments, for a peer that cannot read the log.
pub fn environments_snapshot(instance: &Arc<Instance>) -> Snapshot {
    EnvironmentStream::new(Arc::clone(instance)).snapshot()
}

/// Installs a peer's environments if they are ahead of this instance's; returns whether they were.
///
/// A snapshot that is not ahead changes nothing, so a stale peer cannot revert newer state.
pub fn install_environments(instance: &Arc<Instance>, peer: &str, snapshot: &Snapshot) -> bool {
    let stream = EnvironmentStream::new(Arc::clone(instance));
    match stream.install(snapshot) {
        Ok(true) => {
            event!(Event::SnapshotRead, "stream={} next={} peer={peer}", stream.stream(), snapshot.next);
            true
        }
        Ok(false) => false,
        Err(error) => {
            event!(Event::RecordSkipped, "stream={} peer={peer} error={error}", stream.stream());
            false
        }
    }
}
