//! Tells the other instances which software version began each stream, and learns it from them when a caller takes a
//! stream up. See `docs/ROUTING.md#versions`.
//!
//! Each run keeps one record in the store. It names the versions that serve and, while there are several, the streams of
//! each. The records are read when a caller takes up a stream that this instance does not know.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::ceilings::instance_of;
use coltsfootpick_core::names::ServiceName;
use coltsfootpick_core::stream_origins::{
    Continuation, ORIGIN_TTL, OriginReport, REPORT_INTERVAL, REPORT_TTL, StreamKey, StreamOrigin,
};
use coltsfootpick_wire::stream_origins::StreamRecordMessage;
use parking_lot::Mutex;
use prost::Message;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::blackboard::Blackboard;
use crate::interfaces::{KeyedLog, KeyedRecord, RecordDecoder, Topic};
use crate::server_list::ServerList;
use crate::shared_read::{Freshness, SharedRead};
use crate::topic_reader::read_newest;

/// Shortest interval between two records.
const WRITE_INTERVAL_MIN: Duration = Duration::from_millis(200);

/// Interval between two records for each instance of the fleet, so that all together make at most 500 writes a second.
const WRITE_INTERVAL_SHARE: Duration = Duration::from_millis(2);

/// Time that an append to the store takes as a rule.
const APPEND_TIME: Duration = Duration::from_millis(50);

/// Longest wait for the records of the others.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Shortest pause between two reads of the records.
const READ_PAUSE_MIN: Duration = Duration::from_millis(100);

/// Bytes a second that all instances together read of the records at most, a quarter of what the store delivers.
const READ_BYTES_PER_SECOND: f64 = 20e6;

/// Instances that report the versions in service also when nothing changes.
const REPORTERS: u32 = 6;

/// Key of the order in which instances report.
const REPORTERS_KEY: u64 = 0x7665_7273_696f_6e73;

/// Registry of the streams that are or were open at any instance.
#[derive(Debug)]
pub struct StreamRegistry {
    board: Arc<Blackboard>,
    store: Arc<dyn KeyedLog>,
    /// Key of the own record, which names this run.
    run: Arc<str>,
    started: Instant,
    servers: ServerList,
    /// When the last successful read of the records began.
    read_at: Mutex<Option<Instant>>,
    reads: SharedRead,
}

impl StreamRegistry {
    /// Creates the registry of the run `run`, which has the form `INSTANCE/RUN`.
    pub fn new(
        board: Arc<Blackboard>,
        store: Arc<dyn KeyedLog>,
        decoder: Arc<dyn RecordDecoder>,
        run: Arc<str>,
    ) -> Arc<Self> {
        let servers = ServerList::new(Arc::clone(&board), Arc::clone(&store), decoder);
        let (started, read_at, reads) = (Instant::now(), Mutex::default(), SharedRead::default());
        Arc::new(Self { board, store, run, started, servers, read_at, reads })
    }

    /// Where a stream may go on that a caller takes up.
    ///
    /// Reads the newest server entries unless several versions are known to serve. If this instance still cannot tell, reads
    /// the records of the others, and once more after they had time to write.
    pub async fn continuation(&self, key: Option<StreamKey>, service: &ServiceName) -> Continuation {
        let mut found = self.known(key, service, true);
        let is_list_read = matches!(found, Continuation::Single(_));
        if is_list_read {
            if !self.servers.read_versions().await {
                return Continuation::Unproven;
            }
            found = self.known(key, service, self.knows_past(service));
        }
        // The record of a stream that has just begun is written within one interval.
        for wait in [Duration::ZERO, self.write_interval() + APPEND_TIME] {
            if found != Continuation::Unknown {
                break;
            }
            tokio::time::sleep(wait).await;
            if !self.refresh().await {
                return Continuation::Unproven;
            }
            found = self.known(key, service, is_list_read && self.knows_past(service));
            if key.is_none() {
                break;
            }
        }
        found
    }

    /// Waits until the server table holds all servers that the store lists now; false if that takes too long.
    pub async fn catch_up(&self) -> bool {
        self.servers.catch_up().await
    }

    /// Whether this instance knows all versions of `service` that have served within [`ORIGIN_TTL`]: it has seen them itself,
    /// or another run has told it.
    fn knows_past(&self, service: &ServiceName) -> bool {
        let Some(since) = self.servers.complete_since() else { return false };
        let is_told = || {
            let now = self.board.clock.now();
            self.has_read_since(since) && self.board.stream_origins.lock().is_attested(service, now)
        };
        since.elapsed() >= ORIGIN_TTL || is_told()
    }

    /// Whether the records were read after `since`; they tell of versions that have left before.
    fn has_read_since(&self, since: Instant) -> bool {
        self.read_at.lock().is_some_and(|at| at >= since)
    }

    fn known(&self, key: Option<StreamKey>, service: &ServiceName, knows_servers: bool) -> Continuation {
        let (now, present) = (self.board.clock.now(), self.board.servers.origins());
        let mut origins = self.board.stream_origins.lock();
        origins.note_servers(present, now);
        origins.continuation(key, service, knows_servers, now)
    }

    /// Reads the records of all runs, unless that has just been done; returns whether it succeeded.
    async fn refresh(&self) -> bool {
        self.reads.get(Freshness::LastAllowed, READ_TIMEOUT, || self.read_records()).await
    }

    /// Reads the records of all other runs; returns the pause before the next read.
    async fn read_records(&self) -> Option<Duration> {
        let began = Instant::now();
        let (records, _) = read_newest(&*self.store, Topic::Streams).await.ok()?;
        let bytes: usize = records.iter().filter_map(|record| Some(record.value.as_ref()?.len())).sum();
        for record in records.into_iter().filter(|record| record.key != self.run) {
            if let Some((reports, age)) = self.decode(&record) {
                self.board.stream_origins.lock().merge(reports, age, self.board.clock.now());
            }
        }
        *self.read_at.lock() = Some(began);
        Some(self.read_pause(bytes))
    }

    /// Pause after a read of `bytes`, so that unknown streams, which a caller may name at will, do not take the store's
    /// bandwidth from the rest.
    fn read_pause(&self, bytes: usize) -> Duration {
        let size = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let seconds = size(bytes) * size(self.board.fleet_size()) / READ_BYTES_PER_SECOND;
        READ_PAUSE_MIN.max(Duration::from_secs_f64(seconds))
    }

    /// Reports of a record that may still matter, and its age.
    fn decode(&self, record: &KeyedRecord) -> Option<(Vec<OriginReport>, Duration)> {
        let message = match StreamRecordMessage::decode(record.value.clone()?) {
            Ok(message) => message,
            Err(error) => {
                self.board.note_skipped(Topic::Streams, &record.key, &error);
                return None;
            }
        };
        let age = Duration::from_millis(self.board.clock.unix_millis().saturating_sub(message.at));
        let reports = message.reports.into_iter().map(Into::into).collect();
        Some((reports, age)).filter(|_| age < REPORT_TTL)
    }

    /// Keeps the record of this run up to date until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let mut written_at: Option<Instant> = None;
        let mut has_cleaned = false;
        while tokio::time::timeout(self.write_interval(), stop.cancelled()).await.is_err() {
            if self.servers.complete_since().is_some_and(|since| !self.has_read_since(since)) {
                self.refresh().await;
            }
            let now = self.board.clock.now();
            let present = self.board.servers.origins();
            let (reports, has_news) = {
                let mut origins = self.board.stream_origins.lock();
                origins.note_servers(present, now);
                (origins.own_reports(now), origins.take_news())
            };
            let is_reporter = || self.board.fleet_turn(REPORTERS_KEY) < REPORTERS;
            let is_old = written_at.is_some_and(|at| at.elapsed() >= REPORT_INTERVAL) && is_reporter();
            if !reports.is_empty() && (has_news || is_old) {
                written_at = Some(Instant::now());
                self.write(reports).await;
            }
            if !has_cleaned && self.started.elapsed() >= ORIGIN_TTL * 2 {
                has_cleaned = self.remove_earlier_runs().await;
            }
        }
    }

    /// Interval between two records of one run.
    pub fn write_interval(&self) -> Duration {
        let fleet_size = u32::try_from(self.board.fleet_size()).unwrap_or(u32::MAX);
        WRITE_INTERVAL_SHARE.saturating_mul(fleet_size).max(WRITE_INTERVAL_MIN)
    }

    async fn write(&self, reports: Vec<OriginReport>) {
        let at = self.board.clock.unix_millis();
        let origins: Vec<StreamOrigin> = reports.iter().map(|report| report.origin.clone()).collect();
        let message = StreamRecordMessage { at, reports: reports.into_iter().map(Into::into).collect() };
        let record = KeyedRecord { key: Arc::clone(&self.run), value: Some(message.encode_to_vec().into()) };
        let written = self.store.append(Topic::Streams, None, vec![record]).await;
        let mut known = self.board.stream_origins.lock();
        match written {
            Ok(_) => known.note_recorded(origins),
            Err(error) => {
                log::debug!("streams not written: {error}");
                known.repeat_reports();
            }
        }
    }

    /// Removes the records of earlier runs of this instance, whose streams have ended; true once that is done.
    async fn remove_earlier_runs(&self) -> bool {
        let Ok((records, _)) = read_newest(&*self.store, Topic::Streams).await else { return false };
        let is_earlier = |key: &str| instance_of(key) == instance_of(&self.run) && *key != *self.run;
        let earlier: Vec<KeyedRecord> = records
            .into_iter()
            .filter(|record| is_earlier(&record.key))
            .map(|record| KeyedRecord { value: None, ..record })
            .collect();
        earlier.is_empty() || self.store.append(Topic::Streams, None, earlier).await.is_ok()
    }
}
