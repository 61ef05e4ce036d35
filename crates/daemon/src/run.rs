//! Lifecycle of the daemon: background tasks, listeners and graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::shard::ShardIndex;
use coltsfootpick_process::exit::Exit;
use eyre::WrapErr;
use flexi_logger::{DeferredNow, Logger, Record};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::clock::SystemClock;
use crate::event;
use crate::events::Event;
use crate::instance::{Dependencies, Instance};
use crate::platform::HttpPlatform;
use crate::settings::Settings;
use crate::{
    appender, callers, follower, http, instance_list, listener, load, models, operators, peer_suspects, peer_tasks,
    silent_holders, snapshotter,
};

/// Longest wait at a stop for the last settlements and credit returns to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval of the check whether everything is written, and longest wait for the background tasks to end afterwards.
const FLUSH_PAUSE: Duration = Duration::from_millis(20);

/// Runs one instance until a signal or an operator stops it.
pub fn run(settings: Settings) -> eyre::Result<Exit> {
    let _logger = Logger::with(settings.log_level).format(log_line).start().wrap_err("cannot start the logger")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.worker_threads)
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")?;
    runtime.block_on(serve(settings))
}

fn log_line(out: &mut dyn std::io::Write, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
    write!(out, "{} {} {}", now.format("%Y-%m-%dT%H:%M:%S%.3fZ"), record.level(), record.args())
}

/// Listening sockets of one instance.
#[derive(Debug)]
pub struct Listeners {
    /// Socket for callers.
    pub callers: TcpListener,
    /// Socket for operators.
    pub operators: TcpListener,
    /// Socket for other instances.
    pub peers: TcpListener,
}

impl Listeners {
    /// Binds the addresses from the settings.
    pub async fn bind(settings: &Settings) -> eyre::Result<Self> {
        let bind = |address| async move {
            TcpListener::bind(address).await.wrap_err_with(|| format!("cannot listen on {address}"))
        };
        Ok(Self {
            callers: bind(settings.caller_address).await?,
            operators: bind(settings.operator_address).await?,
            peers: bind(settings.peer_address).await?,
        })
    }
}

/// Background tasks of a started instance.
#[derive(Debug)]
pub struct Tasks {
    set: JoinSet<()>,
    listening: CancellationToken,
}

/// Starts the background tasks and listeners of an instance.
pub fn start(instance: &Arc<Instance>, listeners: Listeners) -> Tasks {
    let mut set = JoinSet::new();
    let listening = CancellationToken::new();
    for index in 0..instance.settings.shards {
        set.spawn(follower::follow_shard(Arc::clone(instance), ShardIndex(index)));
        set.spawn(appender::append_shard(Arc::clone(instance), ShardIndex(index)));
        set.spawn(snapshotter::write_shard(Arc::clone(instance), ShardIndex(index)));
    }
    set.spawn(follower::follow_environments(Arc::clone(instance)));
    set.spawn(snapshotter::write_environments(Arc::clone(instance)));
    set.spawn(instance_list::follow_list(Arc::clone(instance)));
    set.spawn(load::follow_load(Arc::clone(instance)));
    set.spawn(models::order_models(Arc::clone(instance)));
    if let Ok(address) = listeners.callers.local_addr() {
        let _ = instance.peers.caller_address.set(address);
    }
    set.spawn(peer_tasks::accept_links(Arc::clone(instance), listeners.peers));
    set.spawn(peer_tasks::dial_peers(Arc::clone(instance)));
    set.spawn(peer_tasks::send_heartbeats(Arc::clone(instance)));
    set.spawn(peer_tasks::probe_log(Arc::clone(instance)));
    set.spawn(peer_suspects::propagate(Arc::clone(instance)));
    set.spawn(silent_holders::close_silent(Arc::clone(instance)));
    let header_timeout = instance.settings.receive_timeout;
    let callers = callers::router(Arc::clone(instance));
    let operators = operators::router(Arc::clone(instance));
    set.spawn(listener::serve(listeners.callers, callers, header_timeout, listening.clone()));
    set.spawn(listener::serve(listeners.operators, operators, header_timeout, listening.clone()));
    Tasks { set, listening }
}

async fn serve(settings: Settings) -> eyre::Result<Exit> {
    let client = http::client();
    let platform = HttpPlatform::new(
        client.clone(),
        settings.log_address,
        settings.list_address,
        &settings.name,
        settings.platform_timeout,
    );
    let platform = Arc::new(platform);
    let deps = Dependencies {
        log: Arc::<HttpPlatform>::clone(&platform),
        list: platform,
        client,
        clock: Arc::new(SystemClock::default()),
        seed: rand::random(),
    };
    let listeners = Listeners::bind(&settings).await?;
    let instance = Instance::new(settings, deps);
    let tasks = start(&instance, listeners);
    let holder = instance.board.shards.first().map(|cell| cell.lock().credit.holder().to_string());
    event!(Event::Started, "incarnation={}", holder.unwrap_or_default());
    wait_for_stop(&instance).await?;
    Ok(stop(&instance, tasks).await)
}

/// Waits for a signal or for an operator's drain order.
async fn wait_for_stop(instance: &Instance) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("cannot handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("cannot handle SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = instance.draining.cancelled() => {}
    }
    Ok(())
}

/// Stops the instance: refuses new requests, lets open ones finish, and returns unused credit.
pub async fn stop(instance: &Arc<Instance>, mut tasks: Tasks) -> Exit {
    instance.draining.cancel();
    instance.open.close();
    instance.awaiting_head.close();
    event!(Event::Draining, "open={}", instance.open.len());
    let aborted = !wait_for_requests(instance).await;
    if aborted {
        event!(Event::CutOff, "open={}", instance.open.len());
        // An aborted stream is billed for the tokens used so far.
        instance.abort.cancel();
    }
    let flushed = flush(instance).await;
    tasks.listening.cancel();
    instance.stopped.cancel();
    let _ = tokio::time::timeout(FLUSH_PAUSE, async { while tasks.set.join_next().await.is_some() {} }).await;
    match (aborted, flushed) {
        (true, _) => Exit::CutOff,
        (false, false) => Exit::Unsettled,
        (false, true) => {
            event!(Event::Stopped, "nothing was cut off");
            Exit::Success
        }
    }
}

/// Waits until all requests have ended; returns false at the drain timeout or at a second signal.
async fn wait_for_requests(instance: &Instance) -> bool {
    let second_signal = async {
        match signal(SignalKind::terminate()) {
            Ok(mut terminate) => terminate.recv().await,
            Err(_) => std::future::pending().await,
        }
    };
    let finished = async {
        instance.awaiting_head.wait().await;
        instance.open.wait().await;
    };
    tokio::select! {
        () = finished => true,
        () = tokio::time::sleep(instance.settings.drain_timeout) => false,
        _ = second_signal => false,
    }
}

/// Returns all credit and waits until the log has confirmed everything; returns false at the timeout.
async fn flush(instance: &Instance) -> bool {
    for cell in &instance.board.shards {
        cell.lock().credit.close();
    }
    let is_settled = || instance.board.shards.iter().all(|cell| cell.lock().is_settled());
    let settled = async {
        while !is_settled() {
            tokio::time::sleep(FLUSH_PAUSE).await;
        }
    };
    tokio::time::timeout(FLUSH_TIMEOUT, settled).await.is_ok()
}
