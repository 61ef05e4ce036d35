//! Lenders of a large fleet: few, in several zones, the same for every instance, and stable when instances join.

use std::collections::BTreeSet;
use std::sync::Arc;

use coltsfootpick_core::lenders::{CreditRole, Fleet, FleetMember, LENDERS_PER_ACCOUNT};
use coltsfootpick_core::names::{AvailabilityZoneName, ClientAccountName};
use test_case::test_case;

const ZONES: usize = 6;

fn zone_of(index: usize) -> AvailabilityZoneName {
    AvailabilityZoneName::from(format!("zone-{}", index % ZONES))
}

/// Fleet of `size` instances over six zones, of which the first `strong` have a larger share of a core.
fn fleet(size: usize, strong: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..size {
        let capacity = if index < strong { 500 } else { 120 };
        fleet.insert(&format!("edge-{index}").into(), FleetMember { zone: zone_of(index), capacity });
    }
    fleet
}

fn zone(name: &Arc<str>) -> AvailabilityZoneName {
    zone_of(name.trim_start_matches("edge-").parse().unwrap())
}

fn account(number: usize) -> ClientAccountName {
    ClientAccountName::from(format!("account-{number}"))
}

#[test_case(11, 6; "smallest large fleet")]
#[test_case(18, 6)]
#[test_case(75, 6)]
#[test_case(295, 19)]
#[test_case(420, 27)]
fn lender_count(size: usize, expected: usize) {
    assert_eq!(fleet(size, 0).lenders().len(), expected);
}

#[test]
fn small_fleet() {
    let fleet = fleet(10, 0);
    assert!(fleet.lenders().is_empty());
    assert_eq!(fleet.role("edge-0", &account(0), 10), CreditRole::Shared(10));
}

#[test]
fn strong_lenders() {
    let fleet = fleet(295, 18);
    let strong = fleet.lenders().iter().filter(|name| name.trim_start_matches("edge-").parse::<usize>().unwrap() < 18);
    assert_eq!(strong.count(), 18);
}

#[test_case(18)]
#[test_case(75)]
#[test_case(295)]
fn zones_apart(size: usize) {
    let fleet = fleet(size, 0);
    let zones: BTreeSet<_> = fleet.lenders().iter().map(zone).collect();
    assert_eq!(zones.len(), ZONES, "the lenders are in {zones:?}");
    for number in 0..200 {
        let lenders = fleet.lenders_of(&account(number));
        assert_ne!(zone(&lenders[0]), zone(&lenders[1]), "both lenders of account {number} are in one zone");
        assert_eq!(lenders.iter().collect::<BTreeSet<_>>().len(), fleet.lenders().len());
    }
}

#[test]
fn roles_agree() {
    let fleet = fleet(295, 18);
    for number in 0..50 {
        let account = account(number);
        let is_lender = |index: &usize| fleet.role(&format!("edge-{index}"), &account, 0) == CreditRole::Lender;
        assert_eq!((0..295).filter(is_lender).count(), LENDERS_PER_ACCOUNT);
    }
}

#[test]
fn accounts_spread() {
    let fleet = fleet(295, 18);
    let mut counts = std::collections::BTreeMap::<Arc<str>, usize>::new();
    for number in 0..1_900 {
        for lender in fleet.lenders_of(&account(number)).into_iter().take(LENDERS_PER_ACCOUNT) {
            *counts.entry(lender).or_default() += 1;
        }
    }
    let most = counts.values().max().unwrap();
    assert!(*most < 400, "one of {} lenders serves {most} of 3800 places", counts.len());
}

#[test]
fn stable_lenders() {
    let before = fleet(295, 18);
    let mut after = before.clone();
    after.insert(&"edge-295".into(), FleetMember { zone: zone_of(295), capacity: 120 });
    let is_moved = |number: &usize| {
        let two = |fleet: &Fleet| fleet.lenders_of(&account(*number))[..LENDERS_PER_ACCOUNT].to_vec();
        two(&before) != two(&after)
    };
    let moved = (0..1_000).filter(is_moved).count();
    assert!(moved < 150, "one more instance moves {moved} of 1000 accounts");
}
