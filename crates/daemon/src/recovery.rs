//! Going on from snapshots: at start, after the log dropped records, and from a peer while the log is down.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::units::Offset;
use coltsfootpick_wire::snapshot::{Snapshot, SnapshotAssembler};

use crate::event;
use crate::events::Event;
use crate::follower::{EnvironmentStream, Followed};
use crate::instance::Instance;
use crate::platform::{Log, LogError};

/// Pause before a snapshot is looked for again.
const RECOVERY_PAUSE: Duration = Duration::from_millis(200);

/// Whole snapshots kept, so that an unreadable newest one has a substitute.
const CANDIDATES_MAX: usize = 2;

/// Reads one snapshot stream on from where the last read ended.
#[derive(Debug)]
pub struct SnapshotReader {
    stream: String,
    next: Offset,
    assembler: SnapshotAssembler,
    newest: Option<Offset>,
}

impl SnapshotReader {
    /// Starts at the oldest record kept of `stream`.
    pub fn new(stream: String) -> Self {
        Self { stream, next: Offset::default(), assembler: SnapshotAssembler::default(), newest: None }
    }

    /// Reads to the end of the stream and returns the whole snapshots found, none older than the newest seen; newest first.
    pub async fn read_on(&mut self, log: &dyn Log) -> Result<Vec<Snapshot>, LogError> {
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
                found.extend(self.take_in(record.offset, &record.bytes));
                found.sort_by_key(|snapshot| std::cmp::Reverse(snapshot.next));
                found.truncate(CANDIDATES_MAX);
            }
        }
        found.retain(|snapshot| self.newest.is_none_or(|newest| snapshot.next >= newest));
        self.newest = self.newest.max(found.first().map(|snapshot| snapshot.next));
        Ok(found)
    }

    fn take_in(&mut self, offset: Offset, bytes: &[u8]) -> Option<Snapshot> {
        match self.assembler.take_in(bytes) {
            Ok(snapshot) => snapshot,
            Err(error) => {
                event!(Event::RecordSkipped, "stream={} offset={offset} error={error}", self.stream);
                None
            }
        }
    }
}

/// Installs the newest snapshot of `stream` and returns once everything before `least` is covered.
///
/// While no whole snapshot reaches `least`, the instance lacks the stream and says so, since going on
/// would leave records out that other instances have applied.
pub(crate) async fn recover(instance: &Instance, stream: &dyn Followed, least: Offset) {
    let mut reader = SnapshotReader::new(stream.snapshot_stream());
    let mut is_told = false;
    loop {
        let reason = match reader.read_on(&*instance.deps.log).await {
            Ok(found) => {
                install_newest(stream, &found);
                if stream.next() >= least {
                    return instance.clear_blocked(&stream.stream());
                }
                format!("records before {least} were dropped and no whole snapshot covers them")
            }
            Err(error) => format!("its snapshots cannot be read: {error}"),
        };
        if !is_told {
            event!(Event::StreamLacking, "stream={} reason={reason:?}", stream.stream());
        }
        is_told = true;
        instance.mark_blocked(&stream.stream(), reason);
        tokio::select! {
            () = tokio::time::sleep(RECOVERY_PAUSE) => {}
            () = instance.stopped.cancelled() => return,
        }
    }
}

/// Installs the first snapshot that can be read; an unreadable one is passed over.
fn install_newest(stream: &dyn Followed, newest_first: &[Snapshot]) {
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

/// Environments of this instance, for a peer that cannot read the log.
pub fn environments_snapshot(instance: &Arc<Instance>) -> Snapshot {
    EnvironmentStream::new(Arc::clone(instance)).snapshot()
}

/// Takes a peer's environments in when they are further than this instance's; tells whether they were.
///
/// An older or equal offset changes nothing, so that a stale peer reverts nothing.
pub fn take_environments(instance: &Arc<Instance>, peer: &str, snapshot: &Snapshot) -> bool {
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
