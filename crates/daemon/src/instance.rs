//! What the tasks of one instance share.

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
use coltsfootpick_core::trace::Step;
use coltsfootpick_core::wallet::Ticket;
use parking_lot::Mutex;
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admission::AdmissionQueues;
use crate::clock::Clock;
use crate::http::{HttpClient, unpooled_client};
use crate::in_flight::Runs;
use crate::metrics::Metrics;
use crate::peer_log::PeerLog;
use crate::peers::Peers;
use crate::platform::{InstanceList, Log};
use crate::recorder::Recorder;
use crate::settings::Settings;
use crate::streams::Streams;
use crate::suspects::Suspects;

/// Borders of an instance, which a test replaces.
#[derive(Clone, Debug)]
pub struct Dependencies {
    /// Platform's log.
    pub log: Arc<dyn Log>,
    /// Platform's instance list.
    pub list: Arc<dyn InstanceList>,
    /// Client towards backend servers.
    pub client: HttpClient,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Shared state of one instance.
#[derive(Debug)]
pub struct Instance {
    /// Checked settings.
    pub settings: Settings,
    /// Borders to the world.
    pub deps: Dependencies,
    /// State that the controllers read and write.
    pub board: Blackboard,
    /// Way of choosing backend servers.
    pub policy: Box<dyn Policy>,
    /// Recording of the run.
    pub recorder: Recorder,
    /// Counters.
    pub metrics: Metrics,
    /// Cancelled once the instance takes no new work.
    pub draining: CancellationToken,
    /// Cancelled once streams under way are cut off.
    pub abort: CancellationToken,
    /// Cancelled once the background tasks must end.
    pub stopped: CancellationToken,
    /// Queues in front of the backend servers.
    pub queues: AdmissionQueues,
    /// Links to other instances.
    pub peers: Arc<Peers>,
    /// The platform's log itself, without the way through peers.
    pub direct_log: Arc<dyn Log>,
    /// The log by any way; `deps.log` is the same.
    pub peer_log: Arc<PeerLog>,
    /// Requests suspected of crashing backend servers.
    pub suspects: Suspects,
    /// Budget of repeats.
    pub retries: Mutex<RetryBudget>,
    /// Streams that this instance relays.
    pub streams: Streams,
    /// Calls that must not repeat and are under way here.
    pub in_flight: Runs,
    /// Client that opens a connection for each call.
    pub unpooled: HttpClient,
    /// Requests under way.
    pub open: TaskTracker,
    /// Requests taken in that have no head of an answer yet; a stop waits for them before the open ones.
    pub awaiting_head: TaskTracker,
    shard_changes: Vec<watch::Sender<u64>>,
    caught_up: Vec<AtomicBool>,
    environments_read: AtomicBool,
    blocked: Mutex<BTreeMap<String, String>>,
    environment_change: watch::Sender<u64>,
    tickets: AtomicU64,
    rng: Mutex<ChaCha12Rng>,
}

impl Instance {
    /// Builds the state of a fresh run.
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
            streams: Streams::default(),
            in_flight: Runs::default(),
            unpooled: unpooled_client(),
            open: TaskTracker::new(),
            awaiting_head: TaskTracker::new(),
            shard_changes: (0..shards).map(|_| watch::Sender::new(0)).collect(),
            caught_up: (0..shards).map(|_| AtomicBool::new(false)).collect(),
            environments_read: AtomicBool::new(false),
            blocked: Mutex::default(),
            environment_change: watch::Sender::new(0),
            tickets: AtomicU64::new(1),
            rng: Mutex::new(rng),
            peers,
            direct_log,
            peer_log,
            settings,
            deps,
        })
    }

    /// Draws a random number.
    pub fn random_u64(&self) -> u64 {
        self.rng.lock().next_u64()
    }

    /// Runs `choose` with the instance's generator.
    pub fn with_rng<T>(&self, choose: impl FnOnce(&mut ChaCha12Rng) -> T) -> T {
        choose(&mut self.rng.lock())
    }

    /// Draws an identifier for a request or record.
    pub fn random_id(&self) -> RecordId {
        RecordId::from(format!("{:016x}{:016x}", self.random_u64(), self.random_u64()))
    }

    /// Next request number.
    pub fn next_ticket(&self) -> Ticket {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Wakes everyone who waits for a change of `shard`.
    pub fn shard_changed(&self, shard: ShardIndex) {
        self.shard_changes[shard.0 as usize].send_modify(|count| *count += 1);
    }

    /// Changes of the shard that carries `key`.
    pub fn watch_shard(&self, key: &BudgetKey) -> watch::Receiver<u64> {
        self.shard_changes[self.board.shard_of(key).0 as usize].subscribe()
    }

    /// Changes of `shard`.
    pub fn watch_shard_index(&self, shard: ShardIndex) -> watch::Receiver<u64> {
        self.shard_changes[shard.0 as usize].subscribe()
    }

    /// Waits at most `timeout` until `holds` is true of the fold of `shard`; false when it did not become so.
    pub async fn wait_for_shard(&self, shard: ShardIndex, timeout: Duration, holds: impl Fn(&Shard) -> bool) -> bool {
        let cell = &self.board.shards[shard.0 as usize];
        wait_until(self.watch_shard_index(shard), timeout, || holds(&cell.lock().fold)).await
    }

    /// Wakes everyone who waits for a change of the environments.
    pub fn environments_changed(&self) {
        self.environment_change.send_modify(|count| *count += 1);
    }

    /// Changes of the environments.
    pub fn watch_environments(&self) -> watch::Receiver<u64> {
        self.environment_change.subscribe()
    }

    /// Notes that `shard` was read to the end of its stream once.
    pub fn mark_caught_up(&self, shard: ShardIndex) {
        self.caught_up[shard.0 as usize].store(true, Ordering::Release);
    }

    /// Notes that records of `shard` are missing until a snapshot covers them.
    pub fn mark_behind(&self, shard: ShardIndex) {
        self.caught_up[shard.0 as usize].store(false, Ordering::Release);
    }

    /// Notes that records of the environments are missing until a snapshot covers them.
    pub fn mark_environments_behind(&self) {
        self.environments_read.store(false, Ordering::Release);
    }

    /// Notes why `stream` cannot be followed.
    pub fn mark_blocked(&self, stream: &str, reason: String) {
        self.blocked.lock().insert(stream.to_owned(), reason);
    }

    /// Notes that `stream` can be followed.
    pub fn clear_blocked(&self, stream: &str) {
        self.blocked.lock().remove(stream);
    }

    /// Tells whether the shard that carries `key` was read to its end once.
    pub fn is_caught_up(&self, key: &BudgetKey) -> bool {
        self.is_shard_caught_up(self.board.shard_of(key))
    }

    /// Tells whether `shard` was read to its end once.
    pub fn is_shard_caught_up(&self, shard: ShardIndex) -> bool {
        self.caught_up[shard.0 as usize].load(Ordering::Acquire)
    }

    /// Notes that the environments were read to the end of their stream once.
    pub fn mark_environments_read(&self) {
        self.environments_read.store(true, Ordering::Release);
    }

    /// Tells whether the environments were read to the end of their stream and nothing of it is missing.
    pub fn are_environments_read(&self) -> bool {
        self.environments_read.load(Ordering::Acquire)
    }

    /// What the instance still lacks before it serves everything.
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

/// Recorder whose first line tells the run, so that a replay begins as this instance does.
fn new_recorder(settings: &Settings, holder: &Incarnation, clock: &dyn Clock) -> Recorder {
    let recorder = Recorder::new(settings.name.clone(), settings.trace_lines);
    recorder.note(clock.now(), || Step::Starts { run: holder.run, shards: settings.shards }, || None);
    recorder
}

/// Waits at most `timeout` until `holds`, which is looked at after each change; false when it did not become true.
pub async fn wait_until(mut change: watch::Receiver<u64>, timeout: Duration, holds: impl Fn() -> bool) -> bool {
    let waiting = async { while !holds() && change.changed().await.is_ok() {} };
    tokio::time::timeout(timeout, waiting).await.is_ok()
}
