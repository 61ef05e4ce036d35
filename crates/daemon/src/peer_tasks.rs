//! Background tasks of the peer links: accepting, dialing, heartbeats, and probing the log while it is not directly
//! reachable.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::environments::Environments;
use coltsfootpick_core::membership::neighbours;
use coltsfootpick_core::names::{Incarnation, InstanceName};
use coltsfootpick_wire::frame::Side;
use coltsfootpick_wire::peer::PeerBody;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::instance::Instance;
use crate::peer_gossip;
use crate::peer_link::{self, link_timeout};
use crate::peers::ListedPeer;
use crate::platform::LogError;

/// Most accepted links, including those in their handshake.
const ACCEPTED_MAX: usize = 128;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts links until the instance stops.
pub async fn accept_links(instance: Arc<Instance>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(ACCEPTED_MAX));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = instance.stopped.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { continue };
        let instance = Arc::clone(&instance);
        tokio::spawn(async move {
            peer_link::run(&instance, stream, Side::Listener, None).await;
            drop(permit);
        });
    }
}

/// Dials the peers that this instance should be linked to, until the instance stops.
pub async fn dial_peers(instance: Arc<Instance>) {
    let mut interval = tokio::time::interval(instance.settings.heartbeat_interval);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        let listed = instance.peers.listed();
        for peer in missing_peers(&instance, &listed) {
            if instance.peers.start_dialing(&peer.name) {
                tokio::spawn(dial_peer(Arc::clone(&instance), peer));
            }
        }
    }
}

fn missing_peers(instance: &Instance, listed: &[ListedPeer]) -> Vec<ListedPeer> {
    let names: BTreeSet<InstanceName> = listed.iter().map(|peer| peer.name.clone()).collect();
    let neighbours = neighbours(&instance.settings.name, &names, instance.settings.neighbours);
    let targets = listed.iter().filter(|peer| neighbours.contains(&&peer.name));
    targets.filter(|peer| !instance.peers.is_linked(&peer.name)).cloned().collect()
}

async fn dial_peer(instance: Arc<Instance>, peer: ListedPeer) {
    let connected = tokio::time::timeout(link_timeout(&instance), TcpStream::connect(peer.address)).await;
    match connected {
        Ok(Ok(stream)) => peer_link::run(&instance, stream, Side::Dialer, Some(&peer.name)).await,
        Ok(Err(error)) => log::debug!("dial peer={}: {error}", peer.name),
        Err(_) => log::debug!("dial peer={}: timeout", peer.name),
    }
    instance.peers.stop_dialing(&peer.name);
}

/// Sends heartbeats until the instance stops.
pub async fn send_heartbeats(instance: Arc<Instance>) {
    let mut interval = tokio::time::interval(instance.settings.heartbeat_interval);
    while !instance.stopped.is_cancelled() {
        tokio::select! {
            _ = interval.tick() => {}
            () = instance.peers.heartbeat_now.notified() => {}
        }
        let now = instance.deps.clock.now();
        // Lock order: shards before the membership.
        let own = own_incarnations(&instance);
        instance.board.membership.lock().tick(own, now, instance.settings.silence_timeout);
        for link in instance.peers.links() {
            let heartbeat = peer_gossip::heartbeat(&instance, &link, now);
            link.send(PeerBody::Heartbeat(heartbeat));
        }
    }
}

/// Returns the incarnations under which this instance writes. They differ between shards only after one was closed.
fn own_incarnations(instance: &Instance) -> BTreeSet<Incarnation> {
    instance.board.shards.iter().map(|cell| cell.lock().credit.holder().clone()).collect()
}

/// Probes the log while it is not directly reachable, until the instance stops.
pub async fn probe_log(instance: Arc<Instance>) {
    let mut interval = tokio::time::interval(instance.settings.heartbeat_interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        if instance.peers.has_direct_log() {
            continue;
        }
        let next = instance.board.environments.read().next;
        let answer = instance.direct_log.read(Environments::STREAM.to_owned(), next, Duration::ZERO).await;
        if matches!(answer, Ok(_) | Err(LogError::Trimmed(_))) {
            instance.peers.set_direct_log(true);
            // Not left to the next read of a follower, which returns only after its full wait if there are no new
            // records.
            instance.peers.set_log_reachable(true);
        }
    }
}
