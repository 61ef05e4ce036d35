//! State of a collector: what the instances of its zone and the other collectors have told.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::fleet_load::{LoadTable, SILENCE_MAX};
use crate::load_update::{LoadUpdate, ReceivedTable};
use crate::units::Instant;

/// Maximum number of links of a collector; a zone of the planned fleet has 60 instances.
pub const LINKS_MAX: usize = 256;

/// Maximum number of entries of all links together, about 6 MB; 60 instances with 1,700 engines tell 100,000 loads.
const ENTRIES_MAX: usize = 131_072;

/// Sender at the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reporter {
    /// Instance of the zone, which tells its own load.
    Member,
    /// Collector, which tells the sum of the instances that report to it.
    Collector,
}

#[derive(Debug)]
struct Link {
    number: u64,
    received: ReceivedTable,
}

/// What links have told a collector, by sender and instance name.
///
/// The newest link of a sender counts. The sums of two collectors of one zone are added, since each instance reports to
/// only one of them.
#[derive(Debug, Default)]
pub struct LoadCollector {
    links: BTreeMap<(Reporter, Arc<str>), Link>,
    entries: usize,
}

impl LoadCollector {
    /// Opens the link `number`, which replaces an older one of the same sender; false if there are too many.
    pub fn open(&mut self, reporter: Reporter, instance: &Arc<str>, number: u64, now: Instant) -> bool {
        let key = (reporter, Arc::clone(instance));
        if self.links.len() >= LINKS_MAX && !self.links.contains_key(&key) {
            return false;
        }
        let previous = self.links.insert(key, Link { number, received: ReceivedTable::new(now) });
        self.entries -= previous.map_or(0, |link| link.received.table().len());
        true
    }

    /// Applies an update of the link `number`; false if it doesn't count.
    pub fn apply(
        &mut self,
        reporter: Reporter,
        instance: &Arc<str>,
        number: u64,
        update: LoadUpdate,
        now: Instant,
    ) -> bool {
        let Some(link) = self.links.get_mut(&(reporter, Arc::clone(instance))).filter(|link| link.number == number)
        else {
            return false;
        };
        let before = link.received.table().len();
        if self.entries - before + update.loads.len() + update.speeds.len() > ENTRIES_MAX {
            return false;
        }
        let is_applied = link.received.apply(update, now);
        self.entries = self.entries - before + link.received.table().len();
        is_applied
    }

    /// Closes the link `number` and discards what it told, unless a newer link of the sender has replaced it.
    pub fn close(&mut self, reporter: Reporter, instance: &Arc<str>, number: u64) {
        let key = (reporter, Arc::clone(instance));
        if self.links.get(&key).is_some_and(|link| link.number == number)
            && let Some(link) = self.links.remove(&key)
        {
            self.entries -= link.received.table().len();
        }
    }

    /// Whether an instance other than the collector itself reports to it.
    pub fn has_members(&self) -> bool {
        self.links.keys().any(|(reporter, _)| *reporter == Reporter::Member)
    }

    /// Whether the collector `instance` has told something over its link; a frozen one accepts links and tells nothing.
    pub fn has_collector(&self, instance: &Arc<str>) -> bool {
        let link = self.links.get(&(Reporter::Collector, Arc::clone(instance)));
        link.is_some_and(|link| link.received.has_message())
    }

    /// Sum of what senders of one kind tell, without those that are silent.
    pub fn sum(&self, reporter: Reporter, now: Instant) -> LoadTable {
        let mut sum = LoadTable::default();
        for ((kind, _), link) in &self.links {
            if *kind == reporter && link.received.age(now) <= SILENCE_MAX {
                sum.add(link.received.table());
            }
        }
        sum
    }

    /// What one sender tells, unless it is silent.
    pub fn told_by(&self, reporter: Reporter, instance: &Arc<str>, now: Instant) -> Option<&LoadTable> {
        let link = self.links.get(&(reporter, Arc::clone(instance)))?;
        Some(link.received.table()).filter(|_| link.received.age(now) <= SILENCE_MAX)
    }
}
