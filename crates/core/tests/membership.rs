//! Heartbeats, failure detection, rendezvous hashing and links of the fleet, with simulated time.

use std::collections::BTreeSet;
use std::time::Duration;

use coltsfootpick_core::membership::{MemberStatus, Membership, SentHeartbeats, neighbours, rendezvous_order};
use coltsfootpick_core::names::{Incarnation, InstanceName};
use coltsfootpick_core::units::Instant;

const TIMEOUT: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Instant {
    Instant(Duration::from_secs(seconds))
}

fn member(name: &str) -> Incarnation {
    Incarnation { instance: name.into(), run: 1 }
}

fn own(name: &str) -> BTreeSet<Incarnation> {
    BTreeSet::from([member(name)])
}

#[test]
fn forwarded_heartbeats() {
    let (mut first, mut middle, mut last) = (Membership::default(), Membership::default(), Membership::default());
    let (mut to_middle, mut to_last) = (SentHeartbeats::default(), SentHeartbeats::default());
    for second in 1..60 {
        first.tick(own("a"), at(second), TIMEOUT);
        middle.tick(own("b"), at(second), TIMEOUT);
        last.tick(own("c"), at(second), TIMEOUT);
        middle.merge(&first.heartbeats_for(&mut to_middle, 8, at(second), TIMEOUT), at(second));
        last.merge(&middle.heartbeats_for(&mut to_last, 8, at(second), TIMEOUT), at(second));
        assert_eq!(last.status(&member("a"), at(second), TIMEOUT), MemberStatus::Alive);
    }
    for second in 60..69 {
        last.merge(&middle.heartbeats_for(&mut to_last, 8, at(second), TIMEOUT), at(second));
    }
    assert_eq!(last.status(&member("a"), at(69), TIMEOUT), MemberStatus::Silent);
}

#[test]
fn stale_heartbeats() {
    let mut membership = Membership::default();
    let heartbeat = |counter| [coltsfootpick_core::membership::Heartbeat { member: member("a"), counter }];
    membership.merge(&heartbeat(5), at(1));
    membership.merge(&heartbeat(4), at(9));
    membership.merge(&heartbeat(5), at(10));
    assert_eq!(membership.silence(&member("a"), at(11)), TIMEOUT);
}

#[test]
fn sent_once() {
    let mut membership = Membership::default();
    let mut sent = SentHeartbeats::default();
    membership.tick(own("a"), at(1), TIMEOUT);
    assert_eq!(membership.heartbeats_for(&mut sent, 8, at(1), TIMEOUT).len(), 1);
    assert!(membership.heartbeats_for(&mut sent, 8, at(1), TIMEOUT).is_empty());
}

#[test]
fn unknown_member() {
    let mut membership = Membership::default();
    assert_eq!(membership.silence(&member("gone"), at(50)), Duration::ZERO);
    assert_eq!(membership.silence(&member("gone"), at(61)), Duration::from_secs(11));
}

#[test]
fn stable_rendezvous_order() {
    let names: Vec<InstanceName> = (0..6).map(|number| InstanceName::from(format!("instance-{number}"))).collect();
    let keys: Vec<String> = (0..6_000).map(|number| format!("account-{number}")).collect();
    let removed = &names[3];
    for key in &keys {
        let before = rendezvous_order(key, &names)[0];
        let after = rendezvous_order(key, names.iter().filter(|name| *name != removed))[0];
        assert!(before == removed || before == after);
    }
    let moved = keys.iter().filter(|key| rendezvous_order(key, &names)[0] == removed).count();
    assert!((700..1_300).contains(&moved), "a sixth of the keys moves to another instance: {moved}");
}

#[test]
fn bounded_neighbours() {
    let names: BTreeSet<InstanceName> = (0..420).map(|number| InstanceName::from(format!("node-{number}"))).collect();
    for name in &names {
        let chosen = neighbours(name, &names, 8);
        assert_eq!(chosen.len(), 4);
        assert!(!chosen.contains(&name));
    }
    let few: BTreeSet<InstanceName> = names.iter().take(6).cloned().collect();
    let links: usize = few.iter().map(|name| neighbours(name, &few, 8).len()).sum();
    assert_eq!(links, 15, "each pair is linked once");
}

/// Default number of nodes in [`large_fleet`]; the environment variable `NODES` overrides it.
const NODES: usize = 40;

/// With eight heartbeats per round and link, heartbeats must reach all nodes of a sparsely linked fleet in time.
#[test]
fn large_fleet() {
    const HEARTBEATS_MAX: usize = 8;
    const ROUNDS: u64 = 180;
    let count = std::env::var("NODES").map_or(NODES, |text| text.parse().unwrap());
    // Failure timeouts from `docs/PEERS.md`: 20 s for a small fleet, 180 s for one of the planned size.
    let timeout = Duration::from_secs(if count > 100 { 180 } else { 20 });
    let names: BTreeSet<InstanceName> = (0..count).map(|number| InstanceName::from(format!("node-{number}"))).collect();
    let index = |name: &InstanceName| names.iter().position(|other| other == name).unwrap();
    let dialed = names.iter().enumerate().flat_map(|(from, name)| {
        neighbours(name, &names, 8).into_iter().map(move |to| (from, index(to))).collect::<Vec<_>>()
    });
    let mut links: Vec<(usize, usize, SentHeartbeats)> = dialed
        .flat_map(|(from, to)| [(from, to), (to, from)])
        .zip(1..)
        .map(|((from, to), salt)| (from, to, SentHeartbeats::new(salt)))
        .collect();
    let mut nodes: Vec<Membership> = (0..count).map(|_| Membership::default()).collect();
    let (mut oldest, mut total) = (Duration::ZERO, 0);
    for round in 1..=ROUNDS {
        for (node, name) in nodes.iter_mut().zip(&names) {
            node.tick(own(name), at(round), timeout);
        }
        for (from, to, sent) in &mut links {
            let heartbeats = nodes[*from].heartbeats_for(sent, HEARTBEATS_MAX, at(round), timeout);
            total += heartbeats.len();
            nodes[*to].merge(&heartbeats, at(round));
        }
        for node in nodes.iter().filter(|_| round > ROUNDS / 2) {
            assert_eq!(node.members(at(round)).count(), count, "round {round}");
            oldest = oldest.max(node.members(at(round)).map(|(_, age)| age).max().unwrap());
        }
    }
    let per_node = total / count / usize::try_from(ROUNDS).unwrap();
    println!("nodes={count} links={} oldest={oldest:?} heartbeats_per_node_and_round={per_node}", links.len() / 2);
    assert!(oldest < timeout / 2, "no live node is suspected: {oldest:?}");
}
