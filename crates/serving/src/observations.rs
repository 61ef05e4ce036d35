//! Shares what the instances observe of backend servers: each keeps one record of it in the store and reads those of all
//! others. See `docs/ADMISSION.md#parts`.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::brittle_servers::BrittleReport;
use coltsfootpick_core::part_evidence::PartReport;
use coltsfootpick_core::server_limits::LimitReport;
use coltsfootpick_wire::observations::ObservationMessage;
use prost::Message;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::blackboard::Blackboard;
use crate::crash_detection::note_changes;
use crate::dispatch::{note_brittle_changes, note_limit_changes};
use crate::interfaces::{KeyedLog, KeyedRecord, Topic};
use crate::topic_reader::{PollPolicy, RecordSink, follow};

/// Polling of the observations: an idle fleet makes one call in eight seconds an instance, and hundreds of instances
/// that learn of a crash make four a second each.
const OBSERVATION_POLL: PollPolicy =
    PollPolicy { max_wait: Duration::from_secs(8), batch_pause: Duration::from_millis(250) };

/// Pause after a write, so that the next one holds several crashes.
const WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Pause before a failed write is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time for each instance of the fleet over which reports of the same complete answers are spread, so that the first one
/// spares the others: about what an append takes.
const ANSWER_SPREAD: Duration = Duration::from_millis(2);

/// Starts the tasks that read and write observations, until `stop` is cancelled.
pub fn start(board: &Arc<Blackboard>, store: &Arc<dyn KeyedLog>, stop: &CancellationToken) -> Vec<JoinHandle<()>> {
    let listed = CancellationToken::new();
    let sink = ObservationController { board: Arc::clone(board), listed: listed.clone() };
    let writing = write_reports(Arc::clone(board), Arc::clone(store), listed);
    let writing = stop.clone().run_until_cancelled_owned(writing);
    vec![
        tokio::spawn(follow(Arc::clone(store), Topic::Observations, OBSERVATION_POLL, sink, stop.clone())),
        tokio::spawn(async move {
            writing.await;
        }),
    ]
}

/// Waits until there is something to report.
async fn wait_for_news(board: &Blackboard) {
    loop {
        let has_part_news = board.part_blame.lock().take_news();
        let has_brittle_news = board.brittle_servers.lock().take_news();
        if board.server_limits.lock().take_news() || has_part_news || has_brittle_news {
            return;
        }
        if !board.part_blame.lock().has_answers() {
            board.observation_news.notified().await;
            continue;
        }
        let fleet_size = u32::try_from(board.fleet_size()).unwrap_or(u32::MAX);
        tokio::time::sleep(ANSWER_SPREAD.saturating_mul(fleet_size).mul_f64(rand::random())).await;
        if board.part_blame.lock().has_answers() {
            return;
        }
    }
}

/// Writes the own observations whenever there is news; the record of an earlier run is read first, which it replaces.
async fn write_reports(board: Arc<Blackboard>, store: Arc<dyn KeyedLog>, listed: CancellationToken) {
    listed.cancelled().await;
    loop {
        wait_for_news(&board).await;
        let now = board.clock.now();
        let parts = board.part_blame.lock().own_reports(now);
        let limits = board.server_limits.lock().own_reports(now);
        let brittle = board.brittle_servers.lock().own_reports(now);
        let message = ObservationMessage {
            parts: parts.into_iter().map(Into::into).collect(),
            limits: limits.into_iter().map(Into::into).collect(),
            brittle: brittle.into_iter().map(Into::into).collect(),
        };
        let record = KeyedRecord { key: Arc::clone(&board.instance.name), value: Some(message.encode_to_vec().into()) };
        if let Err(error) = store.append(Topic::Observations, None, vec![record]).await {
            log::debug!("observations not written: {error}");
            board.part_blame.lock().repeat_reports();
            board.server_limits.lock().repeat_reports();
            board.brittle_servers.lock().repeat_reports();
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
}

/// Controller that merges the observations of all instances.
#[derive(Debug)]
struct ObservationController {
    board: Arc<Blackboard>,
    /// Cancelled once the records were read.
    listed: CancellationToken,
}

impl RecordSink for ObservationController {
    fn replace_all(&mut self, records: Vec<KeyedRecord>) {
        for record in records {
            self.apply(record);
        }
        self.listed.cancel();
    }

    fn apply(&mut self, record: KeyedRecord) {
        let Some(value) = record.value else { return };
        let message = match ObservationMessage::decode(value) {
            Ok(message) => message,
            Err(error) => {
                self.board.note_skipped(Topic::Observations, &record.key, &error);
                return;
            }
        };
        let (clock, is_own) = (self.board.clock.reading(), record.key == self.board.instance.name);
        let parts: Vec<PartReport> = message.parts.into_iter().map(Into::into).collect();
        let changes = self.board.part_blame.lock().merge(parts, is_own, clock);
        note_changes(&self.board, &changes, &record.key);
        let limits: Vec<LimitReport> = message.limits.into_iter().map(Into::into).collect();
        let changes = self.board.server_limits.lock().merge(limits, clock);
        note_limit_changes(&self.board, &changes, &record.key);
        let brittle: Vec<BrittleReport> = message.brittle.into_iter().map(Into::into).collect();
        let changes = self.board.brittle_servers.lock().merge(brittle, clock);
        note_brittle_changes(&self.board, &changes, &record.key);
    }

    fn note_recovery(&mut self, _outage: Duration) {}

    fn note_restored(&mut self) {
        self.board.part_blame.lock().repeat_reports();
        self.board.server_limits.lock().repeat_reports();
        self.board.brittle_servers.lock().repeat_reports();
        self.board.stream_origins.lock().repeat_reports();
        self.board.observation_news.notify_one();
    }

    fn tick(&mut self) {}
}
