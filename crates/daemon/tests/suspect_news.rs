//! Suspicions that one instance has and all must know.

mod common;

use coltsfootpick_core::quarantine::{Fingerprint, QuarantineStatus};
use common::{Fleet, eventually};

const PRINT: Fingerprint = Fingerprint([7; 16]);

fn standing(fleet: &Fleet, index: usize) -> QuarantineStatus {
    let instance = &fleet.instances[index].instance;
    instance.suspects.standing(PRINT, instance.borders.clock.now())
}

fn lose(fleet: &Fleet, index: usize, server: &str) {
    let instance = &fleet.instances[index].instance;
    instance.suspects.lose(instance, PRINT, &server.into());
}

/// Losses seen by two instances that have no link add up to a quarantine at both and at one that comes later.
#[tokio::test(flavor = "multi_thread")]
async fn losses_add_up() {
    let mut fleet = Fleet::start(3, 1).await;
    fleet.linked().await;
    let (first, last) = (&fleet.instances[0].instance, &fleet.instances[2].instance);
    fleet.platform.list_server(common::server("instance-2", "coltsfootpick", common::NOWHERE));
    eventually("the list is read", || first.peers.listed().iter().any(|peer| peer.address == common::NOWHERE)).await;
    first.peers.links().iter().filter(|link| link.peer == last.settings.name).for_each(|link| link.closed.cancel());
    lose(&fleet, 0, "engine-0");
    eventually("the suspicion has spread", || standing(&fleet, 2) == QuarantineStatus::Suspect).await;
    lose(&fleet, 2, "engine-1");
    eventually("the quarantine has spread", || {
        (0..3).all(|index| standing(&fleet, index) == QuarantineStatus::Quarantined)
    })
    .await;
    fleet.add_instance("late").await;
    eventually("the late one knows", || standing(&fleet, 3) == QuarantineStatus::Quarantined).await;
}
