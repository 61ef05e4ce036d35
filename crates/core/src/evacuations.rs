//! Availability zones to whose servers nothing more may be sent, as operators request it.
//!
//! After the store came back from an older copy, a known evacuation that the copy lacks stays in force until operators
//! had time to write it again. See `docs/ROUTING.md#evacuations`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::names::AvailabilityZoneName;
use crate::units::Instant;

/// Time for which an evacuation that an older copy of the store lacks stays in force; operators rewrite what was lost.
pub const RESTORED_GRACE: Duration = Duration::from_secs(4);

/// Maximum number of evacuated zones; further ones are not recorded.
const ZONES_MAX: usize = 65_536;

/// Change of a zone, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Name of the zone.
    pub zone: AvailabilityZoneName,
    /// Whether the evacuation is in force now.
    pub is_in_force: bool,
}

/// Evacuations known to one instance.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Evacuated zones, with the end of the grace period of those that an older copy of the store lacks.
    zones: BTreeMap<AvailabilityZoneName, Option<Instant>>,
    /// Whether the next complete read comes from an older copy.
    is_restored: bool,
}

impl Evacuations {
    /// Whether nothing may be sent to servers of `zone`.
    pub fn is_in_force(&self, zone: &AvailabilityZoneName) -> bool {
        self.zones.contains_key(zone)
    }

    /// Number of evacuated zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Applies one record; returns a change.
    pub fn set(&mut self, zone: AvailabilityZoneName, is_in_force: bool) -> Option<EvacuationChange> {
        let is_known = self.is_in_force(&zone);
        match is_in_force {
            true if !is_known && self.zones.len() >= ZONES_MAX => return None,
            true => self.zones.insert(zone.clone(), None),
            false => self.zones.remove(&zone),
        };
        (is_known != is_in_force).then_some(EvacuationChange { zone, is_in_force })
    }

    /// Records that the store came back from an older copy, from which the next complete read is made.
    pub const fn note_restored(&mut self) {
        self.is_restored = true;
    }

    /// Applies a complete read, which ended at `now` and holds these evacuations; returns the changes.
    pub fn replace_all(&mut self, listed: BTreeSet<AvailabilityZoneName>, now: Instant) -> Vec<EvacuationChange> {
        let is_restored = std::mem::take(&mut self.is_restored);
        let missing: Vec<_> = self.zones.keys().filter(|zone| !listed.contains(*zone)).cloned().collect();
        let mut changes = Vec::new();
        for zone in missing {
            let grace = self.zones.get_mut(&zone).filter(|grace| is_restored || grace.is_some());
            match grace {
                Some(grace) if is_restored => *grace = Some(now.after(RESTORED_GRACE)),
                Some(_) => {}
                None => changes.extend(self.set(zone, false)),
            }
        }
        changes.extend(listed.into_iter().filter_map(|zone| self.set(zone, true)));
        changes
    }

    /// Lifts the evacuations that were not written again within their grace period; returns the changes.
    ///
    /// `read_began` is the start of the last read that showed everything written: an evacuation that was written again
    /// while the store did not answer must not be lifted.
    pub fn note_caught_up(&mut self, read_began: Instant) -> Vec<EvacuationChange> {
        let is_over = |grace: &Option<Instant>| grace.is_some_and(|until| until <= read_began);
        let over: Vec<_> =
            self.zones.iter().filter(|(_, grace)| is_over(grace)).map(|(zone, _)| zone.clone()).collect();
        over.into_iter().filter_map(|zone| self.set(zone, false)).collect()
    }
}
