//! Suspicions that one instance has and all must know.

mod common;

use coltsfootpick_core::quarantine::{Fingerprint, Standing};
use common::{Fleet, eventually};

const PRINT: Fingerprint = Fingerprint([7; 16]);

fn standing(fleet: &Fleet, index: usize) -> Standing {
    let instance = &fleet.instances[index].instance;
    instance.suspects.status(PRINT, instance.deps.clock.now())
}

fn lose(fleet: &Fleet, index: usize, server: &str) {
    let instance = &fleet.instances[index].instance;
    instance.suspects.record_loss(instance, PRINT, &server.into());
}

/// Losses seen by two instances that have no link add up to a quarantine at both and at one that comes later.
#[tokio::test(flavor = "multi_thread")]
async fn losses_add_up() {
    let mut fleet = Fleet::start(3, 1).await;
    fleet.wait_for_links().await;
    let (first, last) = (&fleet.instances[0].instance, &fleet.instances[2].instance);
    fleet.platform.list(common::server("instance-2", "coltsfootpick", common::CLOSED_ADDRESS));
    eventually("the list is read", || first.peers.listed().iter().any(|peer| peer.address == common::CLOSED_ADDRESS))
        .await;
    first.peers.links().iter().filter(|link| link.peer == last.settings.name).for_each(|link| link.closed.cancel());
    lose(&fleet, 0, "engine-0");
    eventually("the suspicion has spread", || standing(&fleet, 2) == Standing::Suspect).await;
    lose(&fleet, 2, "engine-1");
    eventually("the quarantine has spread", || (0..3).all(|index| standing(&fleet, index) == Standing::Quarantined))
        .await;
    fleet.add_instance("late").await;
    eventually("the late one knows", || standing(&fleet, 3) == Standing::Quarantined).await;
}
