//! State shared by the tasks of one instance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use coltsfootpick_core::blackboard::Blackboard;
use coltsfootpick_core::environments::Environments;
use coltsfootpick_core::names::{BudgetKey, Incarnation, RecordId};
use coltsfootpick_core::placement::Policy;
use coltsfootpick_core::retry::RetryBudget;
use coltsfootpick_core::shard::{Shard, ShardIndex};
use coltsfootpick_core::shard_credit::Ticket;
use coltsfootpick_core::trace::Step;
use parking_lot::Mutex;
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admission::AdmissionQueues;
use crate::clock::Clock;
use crate::http::{HttpClient, unpooled_client};
use crate::in_flight::InFlightCalls;
use crate::metrics::Metrics;
use crate::peer_log::PeerLog;
use crate::peers::Peers;
use crate::platform::{InstanceList, Log};
use crate::recorder::Recorder;
use crate::settings::Settings;
use crate::streams::StreamRegistry;
use crate::suspects::Suspects;

/// External dependencies of an instance, replaceable in tests.
#[derive(Clone, Debug)]
pub struct Dependencies {
    /// Log of the platform.
    pub log: Arc<dyn Log>,
    /// Instance list of the platform.
    pub list: Arc<dyn InstanceList>,
    /// HTTP client for backend servers, with a connection pool.
    pub client: HttpClient,
    /// Monotonic clock.
    pub clock: Arc<dyn Clock>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Shared state of one instance.
#[derive(Debug)]
pub struct Instance {
    /// Validated settings.
    pub settings: Settings,
    /// External dependencies.
    pub deps: Dependencies,
    /// Blackboard that the controllers read and write.
    pub board: Blackboard,
    /// Placement policy.
    pub policy: Box<dyn Policy>,
    /// Trace recorder.
    pub recorder: Recorder,
    /// Counters and gauges served at `/metrics`.
    pub metrics: Metrics,
    /// Cancelled when the instance stops accepting requests.
    pub draining: CancellationToken,
    /// Cancelled at the drain timeout, which aborts the open streams.
    pub abort: CancellationToken,
    /// Cancelled when the background tasks must end.
    pub stopped: CancellationToken,
    /// Admission queues.
    pub queues: AdmissionQueues,
    /// Links to other instances.
    pub peers: Arc<Peers>,
    /// The platform's log over its own interface, never through peers.
    pub direct_log: Arc<dyn Log>,
    /// The log, directly or through peers; `deps.log` is the same object.
    pub peer_log: Arc<PeerLog>,
    /// Requests suspected of crashing backend servers.
    pub suspects: Suspects,
    /// Limits the retries of this instance and of its callers.
    pub retries: Mutex<RetryBudget>,
    /// Streams that this instance relays.
    pub streams: StreamRegistry,
    /// At-most-once calls in flight on this instance.
    pub in_flight: InFlightCalls,
    /// HTTP client without a pool, which opens a connection for each call.
    pub unpooled: HttpClient,
    /// Tasks of the open requests; a stop waits for their end.
    pub open: TaskTracker,
    /// Accepted requests whose response head has not been sent; a stop waits for these before it waits for `open`.
    pub awaiting_head: TaskTracker,
    shard_changes: Vec<watch::Sender<u64>>,
    /// Whether each shard has been read to its end, with no records missing.
    caught_up: Vec<AtomicBool>,
    environments_read: AtomicBool,
    /// Streams that cannot be followed, with the reasons.
    blocked: Mutex<BTreeMap<String, String>>,
    environment_change: watch::Sender<u64>,
    next_ticket: AtomicU64,
    rng: Mutex<ChaCha12Rng>,
}

impl Instance {
    /// Builds the state of a new run.
    pub fn new(settings: Settings, mut deps: Dependencies) -> Arc<Self> {
        let peers = Arc::<Peers>::default();
        let direct_log = Arc::clone(&deps.log);
        let (name, timeout) = (settings.name.clone(), settings.platform_timeout);
        let peer_log = Arc::new(PeerLog::new(Arc::clone(&direct_log), Arc::clone(&peers), name, timeout));
        deps.log = Arc::<PeerLog>::clone(&peer_log);
        let mut rng = ChaCha12Rng::seed_from_u64(deps.seed);
        let holder = Incarnation { instance: settings.name.clone(), run: rng.next_u64() };
        let shards = settings.shards;
        Arc::new(Self {
            board: Blackboard::new(&holder, shards),
            recorder: new_recorder(&settings, &holder, &*deps.clock),
            policy: settings.policy.build(),
            metrics: Metrics::default(),
            draining: CancellationToken::new(),
            abort: CancellationToken::new(),
            stopped: CancellationToken::new(),
            queues: AdmissionQueues::default(),
            suspects: Suspects::default(),
            retries: Mutex::default(),
            streams: StreamRegistry::default(),
            in_flight: InFlightCalls::default(),
            unpooled: unpooled_client(),
            open: TaskTracker::new(),
            awaiting_head: TaskTracker::new(),
            shard_changes: (0..shards).map(|_| watch::Sender::new(0)).collect(),
            caught_up: (0..shards).map(|_| AtomicBool::new(false)).collect(),
            environments_read: AtomicBool::new(false),
            blocked: Mutex::default(),
            environment_change: watch::Sender::new(0),
            next_ticket: AtomicU64::new(1),
            rng: Mutex::new(rng),
            peers,
            direct_log,
            peer_log,
            settings,
            deps,
        })
    }

    /// Draws a random 64-bit number.
    pub fn random_u64(&self) -> u64 {
        self.rng.lock().next_u64()
    }

    /// Calls `draw` with the instance's random number generator.
    pub fn with_rng<T>(&self, draw: impl FnOnce(&mut ChaCha12Rng) -> T) -> T {
        draw(&mut self.rng.lock())
    }

    /// Draws a random id for a request or record.
    pub fn random_id(&self) -> RecordId {
        RecordId::from(format!("{:016x}{:016x}", self.random_u64(), self.random_u64()))
    }

    /// Returns the next ticket, a request number unique within this run.
    pub fn next_ticket(&self) -> Ticket {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// Wakes all tasks that wait for a change of `shard`.
    pub fn shard_changed(&self, shard: ShardIndex) {
        self.shard_changes[shard.0 as usize].send_modify(|count| *count += 1);
    }

    /// Subscribes to changes of the shard that stores `key`.
    pub fn watch_shard(&self, key: &BudgetKey) -> watch::Receiver<u64> {
        self.shard_changes[self.board.shard_of(key).0 as usize].subscribe()
    }

    /// Subscribes to changes of `shard`.
    pub fn watch_shard_index(&self, shard: ShardIndex) -> watch::Receiver<u64> {
        self.shard_changes[shard.0 as usize].subscribe()
    }

    /// Waits until `condition` holds for the replayed state of `shard`; returns false after `timeout`.
    pub async fn wait_for_shard(
        &self,
        shard: ShardIndex,
        timeout: Duration,
        condition: impl Fn(&Shard) -> bool,
    ) -> bool {
        let cell = &self.board.shards[shard.0 as usize];
        wait_until(self.watch_shard_index(shard), timeout, || condition(&cell.lock().state)).await
    }

    /// Wakes all tasks that wait for a change of the environments.
    pub fn environments_changed(&self) {
        self.environment_change.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes of the environments.
    pub fn watch_environments(&self) -> watch::Receiver<u64> {
        self.environment_change.subscribe()
    }

    /// Marks `shard` as read to the end of its stream.
    pub fn mark_caught_up(&self, shard: ShardIndex) {
        self.caught_up[shard.0 as usize].store(true, Ordering::Release);
    }

    /// Marks `shard` as missing records until a snapshot covers them.
    pub fn mark_behind(&self, shard: ShardIndex) {
        self.caught_up[shard.0 as usize].store(false, Ordering::Release);
    }

    /// Marks the environments as missing records until a snapshot covers them.
    pub fn mark_environments_behind(&self) {
        self.environments_read.store(false, Ordering::Release);
    }

    /// Records that `stream` cannot be followed, for `reason`.
    pub fn mark_blocked(&self, stream: &str, reason: String) {
        self.blocked.lock().insert(stream.to_owned(), reason);
    }

    /// Records that `stream` can be followed again.
    pub fn clear_blocked(&self, stream: &str) {
        self.blocked.lock().remove(stream);
    }

    /// Returns whether the shard that stores `key` has been read to its end, with no records missing.
    pub fn is_caught_up(&self, key: &BudgetKey) -> bool {
        self.is_shard_caught_up(self.board.shard_of(key))
    }

    /// Returns whether `shard` has been read to its end, with no records missing.
    pub fn is_shard_caught_up(&self, shard: ShardIndex) -> bool {
        self.caught_up[shard.0 as usize].load(Ordering::Acquire)
    }

    /// Marks the environments as read to the end of their stream.
    pub fn mark_environments_read(&self) {
        self.environments_read.store(true, Ordering::Release);
    }

    /// Returns whether the environments have been read to the end of their stream, with no records missing.
    pub fn are_environments_read(&self) -> bool {
        self.environments_read.load(Ordering::Acquire)
    }

    /// Lists what keeps the instance from being ready; empty when it is ready.
    pub fn unready_reasons(&self) -> Vec<String> {
        let environments = (!self.are_environments_read()).then(|| Environments::STREAM.to_owned());
        let unread = self.caught_up.iter().zip(0..).filter(|(flag, _)| !flag.load(Ordering::Acquire));
        let streams = environments.into_iter().chain(unread.map(|(_, index)| ShardIndex(index).stream()));
        let blocked = self.blocked.lock();
        let explained = streams.map(|stream| match blocked.get(&stream) {
            Some(reason) => format!("{stream} ({reason})"),
            None => stream,
        });
        let draining = self.draining.is_cancelled().then(|| "work: the instance is stopping".to_owned());
        explained.chain(draining).collect()
    }
}

/// Creates a recorder whose first line names the run, so that a replay starts from the same incarnation.
fn new_recorder(settings: &Settings, holder: &Incarnation, clock: &dyn Clock) -> Recorder {
    let recorder = Recorder::new(settings.name.clone(), settings.trace_lines);
    recorder.note(clock.now(), || Step::Starts { run: holder.run, shards: settings.shards }, || None);
    recorder
}

/// Waits until `condition` holds, checking it after each change; returns false after `timeout`.
pub async fn wait_until(mut change: watch::Receiver<u64>, timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let waiting = async { while !condition() && change.changed().await.is_ok() {} };
    tokio::time::timeout(timeout, waiting).await.is_ok()
}
