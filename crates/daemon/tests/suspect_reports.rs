//! Suspect reports of one instance reach all others.

mod common;

use coltsfootpick_core::quarantine::{Fingerprint, QuarantineStatus};
use common::{Fleet, eventually};

const FINGERPRINT: Fingerprint = Fingerprint([7; 16]);

fn status(fleet: &Fleet, index: usize) -> QuarantineStatus {
    let instance = &fleet.instances[index].instance;
    instance.suspects.status(FINGERPRINT, instance.deps.clock.now())
}

fn record_loss(fleet: &Fleet, index: usize, server: &str) {
    let instance = &fleet.instances[index].instance;
    instance.suspects.record_loss(instance, FINGERPRINT, &server.into());
}

/// Losses seen by two instances without a link add up to a quarantine on both, and on an instance added later.
#[tokio::test(flavor = "multi_thread")]
async fn losses_add_up() {
    let mut fleet = Fleet::start(3, 1).await;
    fleet.wait_for_links().await;
    let (first, last) = (&fleet.instances[0].instance, &fleet.instances[2].instance);
    fleet.platform.list_server(common::server("instance-2", "coltsfootpick", common::CLOSED_ADDRESS));
    eventually("the list is read", || first.peers.listed().iter().any(|peer| peer.address == common::CLOSED_ADDRESS))
        .await;
    first.peers.links().iter().filter(|link| link.peer == last.settings.name).for_each(|link| link.closed.cancel());
    record_loss(&fleet, 0, "engine-0");
    eventually("the suspect report has arrived", || status(&fleet, 2) == QuarantineStatus::Suspect).await;
    record_loss(&fleet, 2, "engine-1");
    eventually("the quarantine is known everywhere", || {
        (0..3).all(|index| status(&fleet, index) == QuarantineStatus::Quarantined)
    })
    .await;
    fleet.add_instance("late").await;
    eventually("the late instance knows the quarantine", || status(&fleet, 3) == QuarantineStatus::Quarantined).await;
}
