//! Background task that reads the platform's instance list.

use std::sync::Arc;

use coltsfootpick_core::backends::ServerListing;
use coltsfootpick_core::gossip::GossipFact;
use coltsfootpick_wire::platform::{ListedServer, ListedState};

use crate::instance::Instance;
use crate::peer_gossip;
use crate::peers::ListedPeer;

/// Service name under which the instances of the fleet are listed.
pub const FLEET_SERVICE: &str = "coltsfootpick";

/// Reads the list at the poll interval until the instance stops.
pub async fn follow_list(instance: Arc<Instance>) {
    let mut interval = tokio::time::interval(instance.settings.poll_interval);
    while !instance.stopped.is_cancelled() {
        interval.tick().await;
        match instance.deps.list.servers().await {
            Ok(servers) => update(&instance, servers),
            Err(error) => log::debug!("instance list: {error}"),
        }
    }
}

fn update(instance: &Arc<Instance>, servers: Vec<ListedServer>) {
    let (fleet, backends): (Vec<_>, Vec<_>) = servers.into_iter().partition(|server| server.service == FLEET_SERVICE);
    let peers = fleet.into_iter().filter(|server| *server.name != *instance.settings.name);
    let peers = peers.map(|server| ListedPeer { name: server.name.into(), address: server.address });
    instance.peers.set_listed(peers.collect());
    let backends: Vec<ServerListing> = backends.into_iter().map(to_listing).collect();
    let leaving: Vec<GossipFact> = backends.iter().filter(|server| server.leaving).map(leaving_fact).collect();
    instance.board.backends.write().update(backends);
    for fact in leaving {
        peer_gossip::publish_observed(instance, fact);
    }
    peer_gossip::reapply_leaving(instance);
    instance.queues.refresh(instance);
}

fn leaving_fact(server: &ServerListing) -> GossipFact {
    GossipFact::Leaving { service: server.service.clone(), server: server.name.clone() }
}

fn to_listing(server: ListedServer) -> ServerListing {
    ServerListing {
        name: server.name.into(),
        service: server.service.into(),
        address: server.address,
        zone: server.zone.into(),
        region: server.region.into(),
        leaving: server.state == ListedState::Leaving,
    }
}
