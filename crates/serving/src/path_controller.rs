//! Finds out whether this instance has lost its path to the servers of a service, and when it is back.
//!
//! Connections opened for a probe go to the pool of their server, so that requests use them. See `docs/ROUTING.md#paths`.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::{BackendServerName, ServiceName};
use coltsfootpick_core::path_health::PathState;
use futures_util::future::join_all;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::blackboard::Blackboard;
use crate::forwarder::Forwarder;
use crate::paths::ServicePath;
use crate::servers::Server;

/// Interval at which the paths are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for a connection of a probe; a healthy one takes two round trips between regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which further servers are probed; a healthy connection takes less.
const HEDGE_DELAY: Duration = Duration::from_millis(50);

/// Servers probed when a path is suspected.
const SUSPECT_PROBES: usize = 4;

/// Servers probed in one round while a path is lost.
const LOST_PROBES: usize = 2;

/// Interval between two rounds of probes of a lost path.
const LOST_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which servers that could not be reached are probed.
const UNREACHED_INTERVAL: Duration = Duration::from_secs(1);

/// Unreached servers probed in one interval by one instance.
const UNREACHED_PROBES: usize = 4;

/// Controller of the paths to the backend servers.
#[derive(Debug)]
pub struct PathController {
    board: Arc<Blackboard>,
    forwarder: Arc<Forwarder>,
    lost_probed_at: Instant,
    unreached_probed_at: Instant,
}

/// Connects to `server` and returns whether that succeeds; the path learns of the result.
pub async fn probe(board: &Blackboard, path: &ServicePath, server: &Server) -> bool {
    match server.pool.connect_within(usize::MAX, PROBE_TIMEOUT).await {
        Ok(lease) => {
            path.note_connected();
            server.set_unreached(false);
            server.pool.release(lease, None);
            true
        }
        Err(error) => {
            path.note_connect_error(&server.entry.name, &error, board.servers.usable_count(&server.entry.service));
            false
        }
    }
}

/// Probes the first server, and the others if it takes longer than a connection usually does.
///
/// Peers are asked as soon as the first one has not answered, so that they are known once the path counts as lost.
async fn probe_any(board: &Blackboard, path: &ServicePath, servers: &[Arc<Server>], forwarder: &Forwarder) -> bool {
    let Some((first, rest)) = servers.split_first() else { return false };
    let mut first = std::pin::pin!(probe(board, path, first));
    let at_once = tokio::time::timeout(HEDGE_DELAY, first.as_mut()).await;
    if at_once == Ok(true) {
        return true;
    }
    forwarder.prepare();
    let others = join_all(rest.iter().map(|server| probe(board, path, server)));
    match at_once {
        Ok(_) => others.await.contains(&true),
        Err(_) => {
            let (is_reached, others) = tokio::join!(first, others);
            is_reached || others.contains(&true)
        }
    }
}

/// Up to `count` servers to probe: those not known to have failed first, each from another availability zone if possible.
fn pick_servers(board: &Blackboard, path: &ServicePath, service: &ServiceName, count: usize) -> Vec<Arc<Server>> {
    let mut servers = board.servers.of_service(service);
    servers.retain(|server| !server.is_leaving());
    servers.sort_by_cached_key(|server| (path.has_failed(&server.entry.name), rand::random::<u32>()));
    let mut zones = BTreeSet::new();
    let (first, rest): (Vec<_>, Vec<_>) =
        servers.into_iter().partition(|server| zones.insert(server.entry.location.zone.clone()));
    first.into_iter().chain(rest).take(count).collect()
}

/// Whether another server than `lost` can be connected to, so that it was this one that failed and not the path.
///
/// Servers that had failed before tell nothing; without any other the server is held to have failed.
pub async fn confirm_path(board: &Blackboard, service: &ServiceName, lost: &BackendServerName) -> bool {
    let path = board.paths.of(service);
    let mut others = pick_servers(board, &path, service, SUSPECT_PROBES);
    others
        .retain(|server| server.entry.name != *lost && !path.has_failed(&server.entry.name) && !server.is_unreached());
    others.truncate(LOST_PROBES);
    let probes = others.iter().map(|server| probe(board, &path, server));
    others.is_empty() || join_all(probes).await.contains(&true)
}

impl PathController {
    /// Creates a controller that writes the paths of `board` and has `forwarder` prepared when it may be needed.
    pub fn new(board: Arc<Blackboard>, forwarder: Arc<Forwarder>) -> Self {
        let now = Instant::now();
        Self { board, forwarder, lost_probed_at: now, unreached_probed_at: now }
    }

    /// Checks the paths until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        while tokio::time::timeout(CHECK_INTERVAL, stop.cancelled()).await.is_err() {
            let is_lost_due = self.lost_probed_at.elapsed() >= LOST_INTERVAL;
            let mut has_lost = false;
            for (service, path) in self.board.paths.all() {
                path.update();
                match path.state() {
                    PathState::Suspect if path.begin_probe() => self.probe_service(service, path, SUSPECT_PROBES),
                    PathState::Lost if is_lost_due => {
                        has_lost = true;
                        self.probe_service(service, path, LOST_PROBES);
                    }
                    _ => {}
                }
            }
            if has_lost {
                self.lost_probed_at = Instant::now();
            }
            if self.unreached_probed_at.elapsed() >= UNREACHED_INTERVAL {
                self.unreached_probed_at = Instant::now();
                self.probe_unreached();
            }
        }
    }

    fn probe_service(&self, service: ServiceName, path: Arc<ServicePath>, count: usize) {
        let (board, forwarder) = (Arc::clone(&self.board), Arc::clone(&self.forwarder));
        tokio::spawn(async move {
            let servers = pick_servers(&board, &path, &service, count);
            let is_reached = probe_any(&board, &path, &servers, &forwarder).await;
            path.end_probe();
            if is_reached && path.state() == PathState::Returning {
                forgive(&board, &service);
            }
        });
    }

    /// Probes servers that could not be reached, so that no request has to find out that they are back.
    fn probe_unreached(&self) {
        for (service, path) in self.board.paths.all() {
            if path.state() != PathState::Sound {
                continue;
            }
            let mut servers = self.board.servers.of_service(&service);
            servers.retain(|server| server.is_unreached() && !server.is_leaving());
            servers.sort_by_cached_key(|_| rand::random::<u32>());
            servers.truncate(UNREACHED_PROBES);
            if servers.is_empty() {
                continue;
            }
            tokio::spawn(async move {
                for server in servers {
                    if server.pool.connect_within(usize::MAX, PROBE_TIMEOUT).await.is_ok() {
                        server.set_unreached(false);
                        server.load.lock().forgive();
                    }
                }
            });
        }
    }
}

/// Takes back what the loss of the path has made of the health of its servers.
fn forgive(board: &Blackboard, service: &ServiceName) {
    for server in board.servers.of_service(service) {
        server.set_unreached(false);
        server.load.lock().forgive();
    }
}
