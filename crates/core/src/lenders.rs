//! Fleet list, and which instances of a large fleet hold and lend the credit of an account.
//!
//! Answers the load of hundreds of instances that each take a few requests per second: headroom divided among all of
//! them would cover no single request. A few instances spread over the availability zones are lenders, and each
//! account has two of them. Every instance computes the same lenders from the fleet list. See `docs/CREDIT.md#roles`.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ceilings::WRITE_INTERVAL;
use crate::names::{AvailabilityZoneName, ClientAccountName};

/// Largest fleet, in instances, in which every instance holds headroom of every account.
pub const SHARED_FLEET_MAX: usize = 10;

/// Lenders that hold headroom of one account; with one, its death would block the account until a successor starts.
pub const LENDERS_PER_ACCOUNT: usize = 2;

/// Instances of a large fleet for each lender.
const INSTANCES_PER_LENDER: usize = 16;

/// Shortest time between two records of a lender. Estimated, not measured: with 24 accounts a record has some 500 bytes (35
/// for each account in use), and six lenders that each read those of all read 10 KB/s.
const LENDER_WRITE_INTERVAL_MIN: Duration = Duration::from_millis(300);

/// Time between two records of a lender for each lender of the fleet, which bounds their sum to 40 records per second.
const WRITE_INTERVAL_PER_LENDER: Duration = Duration::from_millis(25);

/// Smallest number of lenders of a large fleet.
const LENDERS_MIN: usize = 6;

/// Instance as the fleet list describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetMember {
    /// Availability zone of the instance.
    pub zone: AvailabilityZoneName,
    /// Share of a processor core that the instance may use, in thousandths; 0 if unknown.
    pub capacity: u32,
}

/// Role of an instance in the credit of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditRole {
    /// Every live instance holds a share; the value is their number.
    Shared(u64),
    /// One of the few instances of a large fleet that hold headroom and lend it to the others.
    Lender,
    /// An instance of a large fleet that borrows from the lenders.
    Borrower,
}

/// All instances known to one instance, itself included.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: BTreeMap<Arc<str>, FleetMember>,
    lenders: Vec<Arc<str>>,
}

impl Fleet {
    /// Adds or replaces a member, and returns whether the list changed.
    pub fn insert(&mut self, name: &Arc<str>, member: FleetMember) -> bool {
        if self.members.get(name) == Some(&member) {
            return false;
        }
        self.members.insert(Arc::clone(name), member);
        self.lenders = self.select_lenders();
        true
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether the fleet is so small that every instance holds headroom of every account.
    pub fn is_shared(&self) -> bool {
        self.len() <= SHARED_FLEET_MAX
    }

    /// Number of instances before `instance` in an order that is the same at every instance and differs by `key`.
    pub fn turn(&self, instance: &str, key: u64) -> u32 {
        let weight = |name: &str| xxh3_64(&[&key.to_le_bytes(), name.as_bytes()].concat());
        let own = weight(instance);
        let earlier = self.members.keys().filter(|name| weight(name) < own).count();
        u32::try_from(earlier).unwrap_or(u32::MAX)
    }

    /// Zones of all instances.
    pub fn zones(&self) -> Vec<AvailabilityZoneName> {
        let zones: BTreeSet<&AvailabilityZoneName> = self.members.values().map(|member| &member.zone).collect();
        zones.into_iter().cloned().collect()
    }

    /// Instances of `zone` in the order in which they become lenders, the strongest first.
    pub fn strongest_of(&self, zone: &AvailabilityZoneName) -> Vec<Arc<str>> {
        let of_zone = self.members.iter().filter(|(_, member)| member.zone == *zone);
        let mut instances: Vec<(&Arc<str>, u32)> = of_zone.map(|(name, member)| (name, member.capacity)).collect();
        instances.sort_by_cached_key(|(name, capacity)| (Reverse(*capacity), xxh3_64(name.as_bytes())));
        instances.into_iter().map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Lenders of a large fleet.
    pub fn lenders(&self) -> &[Arc<str>] {
        &self.lenders
    }

    /// Time between two records of a holder of credit. More lenders write less often, but never less often than the
    /// holders of a small fleet.
    pub fn write_interval(&self) -> Duration {
        if self.is_shared() {
            return WRITE_INTERVAL;
        }
        let lenders = u32::try_from(self.lenders.len()).unwrap_or(u32::MAX);
        WRITE_INTERVAL_PER_LENDER.saturating_mul(lenders).clamp(LENDER_WRITE_INTERVAL_MIN, WRITE_INTERVAL)
    }

    /// Lenders in the order in which they serve `account`: its own lenders, in two zones if possible, then the others.
    pub fn lenders_of(&self, account: &ClientAccountName) -> Vec<Arc<str>> {
        let weight = |name: &Arc<str>| xxh3_64(format!("{account}\n{name}").as_bytes());
        let mut ranked = self.lenders.clone();
        ranked.sort_by_cached_key(|name| Reverse(weight(name)));
        let zone = |name: &Arc<str>| self.members.get(name).map(|member| &member.zone);
        let other_zone = ranked.iter().position(|name| zone(name) != zone(&ranked[0]));
        if let Some(at) = other_zone.filter(|at| *at > 1) {
            ranked[1..=at].rotate_right(1);
        }
        ranked
    }

    /// Whether `instance` is one of the lenders of `account`.
    pub fn is_lender(&self, instance: &str, account: &ClientAccountName) -> bool {
        self.lenders.iter().any(|name| &**name == instance)
            && self.lenders_of(account).iter().take(LENDERS_PER_ACCOUNT).any(|name| &**name == instance)
    }

    /// Role of `instance` for `account`; a small fleet has `live` live instances.
    pub fn role(&self, instance: &str, account: &ClientAccountName, live: u64) -> CreditRole {
        match self.is_shared() {
            true => CreditRole::Shared(live),
            false if self.is_lender(instance, account) => CreditRole::Lender,
            false => CreditRole::Borrower,
        }
    }

    /// Selects the lenders: the strongest instances of each zone, the zones in turn.
    fn select_lenders(&self) -> Vec<Arc<str>> {
        if self.is_shared() {
            return Vec::new();
        }
        let mut zones: BTreeMap<&AvailabilityZoneName, Vec<(&Arc<str>, u32)>> = BTreeMap::new();
        for (name, member) in &self.members {
            zones.entry(&member.zone).or_default().push((name, member.capacity));
        }
        for instances in zones.values_mut() {
            instances.sort_by_cached_key(|(name, capacity)| (Reverse(*capacity), xxh3_64(name.as_bytes())));
        }
        let wanted = self.len().div_ceil(INSTANCES_PER_LENDER).max(LENDERS_MIN);
        let rounds = zones.values().map(Vec::len).max().unwrap_or_default();
        let in_turn = (0..rounds).flat_map(|round| zones.values().filter_map(move |zone| zone.get(round)));
        in_turn.take(wanted).map(|(name, _)| Arc::clone(name)).collect()
    }
}
