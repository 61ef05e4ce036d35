//! Beats, silence and rendezvous_order without any clock or socket.

use std::collections::BTreeSet;
use std::time::Duration;

use coltsfootpick_core::membership::{MemberStatus, Membership, SentHeartbeats, neighbours, rendezvous_order};
use coltsfootpick_core::names::{Incarnation, InstanceName};
use coltsfootpick_core::units::Instant;

const SILENCE: Duration = Duration::from_secs(10);

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
fn through_another() {
    let (mut first, mut middle, mut last) = (Membership::default(), Membership::default(), Membership::default());
    let (mut to_middle, mut to_last) = (SentHeartbeats::default(), SentHeartbeats::default());
    for second in 1..60 {
        first.tick(own("a"), at(second), SILENCE);
        middle.tick(own("b"), at(second), SILENCE);
        last.tick(own("c"), at(second), SILENCE);
        middle.merge(&first.heartbeats_for(&mut to_middle, 8, at(second), SILENCE), at(second));
        last.merge(&middle.heartbeats_for(&mut to_last, 8, at(second), SILENCE), at(second));
        assert_eq!(last.status(&member("a"), at(second), SILENCE), MemberStatus::Alive);
    }
    for second in 60..69 {
        last.merge(&middle.heartbeats_for(&mut to_last, 8, at(second), SILENCE), at(second));
    }
    assert_eq!(last.status(&member("a"), at(69), SILENCE), MemberStatus::Silent);
}

#[test]
fn old_beats() {
    let mut membership = Membership::default();
    let news = |counter| [coltsfootpick_core::membership::Heartbeat { member: member("a"), counter }];
    membership.merge(&news(5), at(1));
    membership.merge(&news(4), at(9));
    membership.merge(&news(5), at(10));
    assert_eq!(membership.silence(&member("a"), at(11)), SILENCE);
}

#[test]
fn told_once() {
    let mut membership = Membership::default();
    let mut told = SentHeartbeats::default();
    membership.tick(own("a"), at(1), SILENCE);
    assert_eq!(membership.heartbeats_for(&mut told, 8, at(1), SILENCE).len(), 1);
    assert!(membership.heartbeats_for(&mut told, 8, at(1), SILENCE).is_empty());
}

#[test]
fn unknown_holder() {
    let mut membership = Membership::default();
    assert_eq!(membership.silence(&member("gone"), at(50)), Duration::ZERO);
    assert_eq!(membership.silence(&member("gone"), at(61)), Duration::from_secs(11));
}

#[test]
fn homes_move_little() {
    let names: Vec<InstanceName> = (0..6).map(|number| InstanceName::from(format!("instance-{number}"))).collect();
    let keys: Vec<String> = (0..6_000).map(|number| format!("account-{number}")).collect();
    let gone = &names[3];
    for key in &keys {
        let before = rendezvous_order(key, &names)[0];
        let after = rendezvous_order(key, names.iter().filter(|name| *name != gone))[0];
        assert!(before == gone || before == after);
    }
    let moved = keys.iter().filter(|key| rendezvous_order(key, &names)[0] == gone).count();
    assert!((700..1_300).contains(&moved), "a sixth of the keys moves: {moved}");
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

/// Nodes of [`large_fleet`] unless the environment variable `NODES` says otherwise.
const NODES: usize = 40;

/// Every node hears of every other through at most eight news a heartbeat and link, with bounded links.
#[test]
fn large_fleet() {
    const NEWS: usize = 8;
    const ROUNDS: u64 = 180;
    let count = std::env::var("NODES").map_or(NODES, |text| text.parse().unwrap());
    // The silence that `docs/PEERS.md` asks for: 20 s for a small fleet, 180 s for one of the planned size.
    let silence = Duration::from_secs(if count > 100 { 180 } else { 20 });
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
    let (mut oldest, mut told) = (Duration::ZERO, 0);
    for round in 1..=ROUNDS {
        for (node, name) in nodes.iter_mut().zip(&names) {
            node.tick(own(name), at(round), silence);
        }
        for (from, to, known) in &mut links {
            let news = nodes[*from].heartbeats_for(known, NEWS, at(round), silence);
            told += news.len();
            nodes[*to].merge(&news, at(round));
        }
        for node in nodes.iter().filter(|_| round > ROUNDS / 2) {
            assert_eq!(node.members(at(round)).count(), count, "round {round}");
            oldest = oldest.max(node.members(at(round)).map(|(_, quiet)| quiet).max().unwrap());
        }
    }
    let sent = told / count / usize::try_from(ROUNDS).unwrap();
    println!("nodes={count} links={} oldest={oldest:?} news_a_node_and_beat={sent}", links.len() / 2);
    assert!(oldest < silence / 2, "nobody alive is suspected: {oldest:?}");
}
