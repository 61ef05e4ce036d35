//! Tasks of the peer links: accept, dial, beat, and probe the log while it is out of direct reach.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::environments::Environments;
use coltsfootpick_core::membership::neighbours;
use coltsfootpick_core::names::{Incarnation, InstanceName};
use coltsfootpick_wire::frame::Side;
use coltsfootpick_wire::peer::Body;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::instance::Instance;
use crate::peer_gossip;
use crate::peer_link::{self, link_deadline};
use crate::peers::ListedPeer;
use crate::platform::LogError;

/// Links and handshakes accepted at once.
const ACCEPTED_MAX: usize = 128;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts links until the instance stops.
pub async fn listen(instance: Arc<Instance>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(ACCEPTED_MAX));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = instance.stopped.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else { continue };
        let instance = Arc::clone(&instance);
        tokio::spawn(async move {
            peer_link::run(&instance, stream, Side::Listener, None).await;
            drop(place);
        });
    }
}

/// Opens the links that this instance should have until it stops.
pub async fn dial(instance: Arc<Instance>) {
    let mut interval = tokio::time::interval(instance.settings.heartbeat_interval);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        let listed = instance.peers.listed();
        for peer in missing(&instance, &listed) {
            if instance.peers.start_dialing(&peer.name) {
                tokio::spawn(dial_one(Arc::clone(&instance), peer));
            }
        }
    }
}

fn missing(instance: &Instance, listed: &[ListedPeer]) -> Vec<ListedPeer> {
    let names: BTreeSet<InstanceName> = listed.iter().map(|peer| peer.name.clone()).collect();
    let chosen = neighbours(&instance.settings.name, &names, instance.settings.neighbours);
    let wanted = listed.iter().filter(|peer| chosen.contains(&&peer.name));
    wanted.filter(|peer| !instance.peers.is_linked(&peer.name)).cloned().collect()
}

async fn dial_one(instance: Arc<Instance>, peer: ListedPeer) {
    let connected = tokio::time::timeout(link_deadline(&instance), TcpStream::connect(peer.address)).await;
    match connected {
        Ok(Ok(stream)) => peer_link::run(&instance, stream, Side::Dialer, Some(&peer.name)).await,
        Ok(Err(error)) => log::debug!("dial peer={}: {error}", peer.name),
        Err(_) => log::debug!("dial peer={}: timeout", peer.name),
    }
    instance.peers.stop_dialing(&peer.name);
}

/// Sends heartbeats until the instance stops.
pub async fn beat(instance: Arc<Instance>) {
    let mut interval = tokio::time::interval(instance.settings.heartbeat_interval);
    while !instance.stopped.is_cancelled() {
        tokio::select! {
            _ = interval.tick() => {}
            () = instance.peers.beat_now.notified() => {}
        }
        let now = instance.deps.clock.now();
        // Shards are locked before the membership everywhere.
        let own = own_runs(&instance);
        instance.board.membership.lock().beat(own, now, instance.settings.silence_timeout);
        for link in instance.peers.links() {
            let heartbeat = peer_gossip::heartbeat(&instance, &link, now);
            link.send(Body::Heartbeat(heartbeat));
        }
    }
}

/// Incarnations under which this instance writes now, one a shard after closes and else the same for all.
fn own_runs(instance: &Instance) -> BTreeSet<Incarnation> {
    instance.board.shards.iter().map(|cell| cell.lock().wallet.holder().clone()).collect()
}

/// Asks the log itself, while it is out of direct reach, whether it answers again.
pub async fn probe_log(instance: Arc<Instance>) {
    let mut interval = tokio::time::interval(instance.settings.heartbeat_interval);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        if instance.peers.is_direct() {
            continue;
        }
        let next = instance.board.environments.read().next;
        let answer = instance.direct_log.read(Environments::STREAM.to_owned(), next, Duration::ZERO).await;
        if matches!(answer, Ok(_) | Err(LogError::Trimmed(_))) {
            instance.peers.set_direct(true);
            // A follower's read of a quiet stream comes back only after its whole wait.
            instance.peers.set_reached(true);
        }
    }
}
