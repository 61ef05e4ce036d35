//! Settings file of one instance; `docs/SETTINGS.md#edge` lists the keys.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::ceilings::CeilingPolicy;
use coltsfootpick_core::ini::{self, Fault, Section, fault};
use coltsfootpick_core::names::{AvailabilityZoneName, RegionName};
use coltsfootpick_core::selection::Location;
use coltsfootpick_process::settings_file::{SettingsError, read_settings};

use crate::blackboard::{InstanceSpec, RetryLimit};

/// Validated settings of one instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, location and limits of the instance.
    pub instance: InstanceSpec,
    /// All availability zones with their regions.
    pub locations: Vec<Location>,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for readiness probes and metrics.
    pub status_address: SocketAddr,
    /// Further listen address for metrics, if any.
    pub metrics_address: Option<SocketAddr>,
    /// Listen address for other instances.
    pub peer_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Longest time from a stop signal to the end of the process.
    pub grace: Duration,
    /// How far credit ceilings are raised above the settled use.
    pub ceiling_policy: CeilingPolicy,
    /// Least severe level of log lines that are written.
    pub log_level: String,
}

/// Bytes per second in one megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Sections of the file; each appears at most once.
const SECTIONS: [&str; 6] = ["instance", "listen", "store", "credit", "repeats", "logs"];

impl Settings {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or has faults.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        read_settings(path, Self::parse)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all faults found in the text.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let (mut sections, mut faults) = ini::parse(text);
        let mut take_section = |kind: &str, faults: &mut Vec<Fault>| {
            let at = sections.iter().position(|section| section.kind == kind);
            match at {
                Some(at) => sections.remove(at),
                None => missing_section(kind, faults),
            }
        };
        let [mut instance, mut listen, mut store, mut credit, mut repeats, mut logs] =
            SECTIONS.map(|kind| take_section(kind, &mut faults));
        let locations = read_locations(&mut instance);
        let location = read_location(&mut instance, &locations);
        let settings = (|| {
            Some(Self {
                instance: InstanceSpec {
                    name: Arc::from(instance.required("name", "the instance's name")),
                    location: location?,
                    retries: RetryLimit {
                        ratio: repeats.parsed("ratio", "repeats a request, from 0 to 1").unwrap_or(0.0),
                        slack: u32::try_from(repeats.number("slack", 0..=1_000_000, 0)).ok()?,
                    },
                    link_rate: instance.parsed("link-mbps", "megabits a second").map(|rate: f64| rate * BYTES_PER_MBIT),
                },
                locations,
                caller_address: required_address(&mut listen, "callers")?,
                status_address: required_address(&mut listen, "ready")?,
                peer_address: required_address(&mut listen, "peers")?,
                metrics_address: listen.parsed("metrics", "IP:PORT"),
                store_address: required_address(&mut store, "address")?,
                grace: Duration::from_secs(instance.number("grace-s", 1..=3_600, 8)),
                ceiling_policy: read_ceiling_policy(&mut credit),
                log_level: logs.text("level").unwrap_or_else(|| "info".to_owned()),
            })
        })();
        for section in [instance, listen, store, credit, repeats, logs] {
            section.finish(&mut faults);
        }
        for section in sections {
            faults.push(fault(section.line, &section.title(), "", "an unknown section", &SECTIONS.join(", ")));
        }
        settings.filter(|_| faults.is_empty()).ok_or(faults)
    }
}

/// Returns an empty section for an absent one, and adds a fault if the section is required.
fn missing_section(kind: &str, faults: &mut Vec<Fault>) -> Section {
    let (mut sections, _) = ini::parse(&format!("[{kind}]"));
    if matches!(kind, "instance" | "listen" | "store") {
        faults.push(fault(0, kind, "", "nothing", "the section"));
    }
    sections.remove(0)
}

fn required_address(section: &mut Section, key: &'static str) -> Option<SocketAddr> {
    section.required_parsed(key, "IP:PORT")
}

fn read_ceiling_policy(credit: &mut Section) -> CeilingPolicy {
    let default = CeilingPolicy::default();
    CeilingPolicy {
        share_percent: credit.number("share-percent", 1..=100, default.share_percent),
        base_percent: credit.number("base-percent", 1..=100, default.base_percent),
        window: credit.millis("window-ms", 100..=600_000, millis(default.window)),
        silence: credit.millis("silence-ms", 1_000..=3_600_000, millis(default.silence)),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn read_locations(instance: &mut Section) -> Vec<Location> {
    let words = instance.list("zones");
    let mut locations = Vec::with_capacity(words.len());
    for word in words {
        match word.split_once(':') {
            Some((zone, region)) => {
                locations.push(Location { zone: AvailabilityZoneName::from(zone), region: RegionName::from(region) });
            }
            None => instance.add_fault("zones", &word, "ZONE:REGION, separated by commas"),
        }
    }
    locations
}

fn read_location(instance: &mut Section, locations: &[Location]) -> Option<Location> {
    let zone = instance.required("zone", "an availability zone of the list zones");
    let location = locations.iter().find(|location| *location.zone == *zone).cloned();
    if location.is_none() && !zone.is_empty() {
        instance.add_fault("zone", &zone, "an availability zone of the list zones");
    }
    location
}
