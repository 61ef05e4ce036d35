//! Settings of one instance of the request path; `docs/SETTINGS.md#edge` lists them.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::ceilings::CeilingPolicy;
use coltsfootpick_core::ini::{self, Fault, Section, fault};
use coltsfootpick_core::names::{AvailabilityZoneName, RegionName};
use coltsfootpick_core::spread::Place;
use coltsfootpick_process::settings_file::{SettingsError, read_settings};

use crate::blackboard::{Identity, RetryLimit};

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who the instance is.
    pub identity: Identity,
    /// Every availability zone and its region.
    pub locations: Vec<Place>,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where readiness and metrics are asked for.
    pub status_address: SocketAddr,
    /// Where metrics alone are asked for, if anywhere.
    pub metrics_address: Option<SocketAddr>,
    /// Where other instances connect.
    pub peer_address: SocketAddr,
    /// The store.
    pub store_address: SocketAddr,
    /// Time from a stop signal to the end.
    pub grace: Duration,
    /// How far ceilings stand above what was used.
    pub ceilings: CeilingPolicy,
    /// Least severe log lines written.
    pub log_level: String,
}

/// Bytes in a megabit.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Sections of the file, each once.
const SECTIONS: [&str; 6] = ["instance", "listen", "store", "credit", "repeats", "logs"];

impl Settings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        read_settings(path, Self::parse)
    }

    /// Checks the text of a file, or lists everything wrong with it.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let (mut sections, mut faults) = ini::parse(text);
        let mut take = |kind: &str, faults: &mut Vec<Fault>| {
            let at = sections.iter().position(|section| section.kind == kind);
            match at {
                Some(at) => sections.remove(at),
                None => missing(kind, faults),
            }
        };
        let [mut instance, mut listen, mut store, mut credit, mut repeats, mut logs] =
            SECTIONS.map(|kind| take(kind, &mut faults));
        let locations = read_locations(&mut instance);
        let location = read_location(&mut instance, &locations);
        let settings = (|| {
            Some(Self {
                identity: Identity {
                    name: Arc::from(instance.required("name", "the instance's name")),
                    location: location?,
                    retries: RetryLimit {
                        ratio: repeats.parsed("ratio", "repeats a request, from 0 to 1").unwrap_or(0.0),
                        slack: u32::try_from(repeats.number("slack", 0..=1_000_000, 0)).ok()?,
                    },
                    link_rate: instance.parsed("link-mbps", "megabits a second").map(|rate: f64| rate * BYTES_PER_MBIT),
                },
                locations,
                caller_address: address(&mut listen, "callers")?,
                status_address: address(&mut listen, "ready")?,
                peer_address: address(&mut listen, "peers")?,
                metrics_address: listen.parsed("metrics", "IP:PORT"),
                store_address: address(&mut store, "address")?,
                grace: Duration::from_secs(instance.number("grace-s", 1..=3_600, 8)),
                ceilings: read_ceilings(&mut credit),
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

/// An absent section is empty; keys that it must have are found missing from it.
fn missing(kind: &str, faults: &mut Vec<Fault>) -> Section {
    let (mut sections, _) = ini::parse(&format!("[{kind}]"));
    if matches!(kind, "instance" | "listen" | "store") {
        faults.push(fault(0, kind, "", "nothing", "the section"));
    }
    sections.remove(0)
}

fn address(section: &mut Section, key: &'static str) -> Option<SocketAddr> {
    section.required_parsed(key, "IP:PORT")
}

fn read_ceilings(credit: &mut Section) -> CeilingPolicy {
    let default = CeilingPolicy::default();
    CeilingPolicy {
        share: credit.number("share-percent", 1..=100, default.share),
        base: credit.number("base-percent", 1..=100, default.base),
        window: credit.millis("window-ms", 100..=600_000, millis(default.window)),
        silence: credit.millis("silence-ms", 1_000..=3_600_000, millis(default.silence)),
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn read_locations(instance: &mut Section) -> Vec<Place> {
    let listed = instance.list("zones");
    let mut locations = Vec::with_capacity(listed.len());
    for word in listed {
        match word.split_once(':') {
            Some((zone, region)) => {
                locations.push(Place { zone: AvailabilityZoneName::from(zone), region: RegionName::from(region) });
            }
            None => instance.note("zones", &word, "ZONE:REGION, separated by commas"),
        }
    }
    locations
}

fn read_location(instance: &mut Section, locations: &[Place]) -> Option<Place> {
    let zone = instance.required("zone", "an availability zone of the list zones");
    let location = locations.iter().find(|location| *location.zone == *zone).cloned();
    if location.is_none() && !zone.is_empty() {
        instance.note("zone", &zone, "an availability zone of the list zones");
    }
    location
}
