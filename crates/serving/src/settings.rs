//! Settings file of one instance; `docs/SETTINGS.md#edge` lists the keys.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::headroom::CeilingPolicy;
use coltsfootpick_core::ini::{self, Fault, Section, fault};
use coltsfootpick_core::names::{AvailabilityZoneName, RegionName};
use coltsfootpick_core::selection::Location;
use coltsfootpick_core::zone_shares::ZoneRule;
use coltsfootpick_process::own_limits;
use coltsfootpick_process::settings_file::{SettingsError, read_settings};

use crate::blackboard::InstanceSpec;
use crate::client_budget::ClientLimits;
use crate::load_exchange::LoadSharing;
use crate::retry_share::RetryLimit;

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
    /// Listen address for requests that other instances forward.
    pub forward_address: SocketAddr,
    /// Listen address for the exchange of loads; `None` if the instance takes no part.
    pub load_address: Option<SocketAddr>,
    /// Whether instances exchange loads.
    pub load_sharing: LoadSharing,
    /// Rule by which requests leave the zone of the instance.
    pub zone_rule: ZoneRule,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Longest time from a stop signal to the end of the process.
    pub grace: Duration,
    /// How far credit ceilings are raised above the settled use.
    pub ceiling_policy: CeilingPolicy,
    /// Limits on what clients make the instance hold.
    pub client_limits: ClientLimits,
    /// Least severe level of log lines that are written.
    pub log_level: String,
}

/// Bytes per second in one megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Longest time from a stop signal to the end of the process if the file does not set it, in seconds.
const GRACE_DEFAULT_S: f64 = 8.0;

/// Largest accepted number of retries that the fleet may make beyond its ratio.
const SLACK_MAX: f64 = 1e9;

/// Range of accepted link capacities, in megabits per second.
const LINK_RANGE_MBPS: std::ops::RangeInclusive<f64> = 0.001..=1e9;

/// Largest accepted share of processor cores.
const CPU_SHARE_MAX: f64 = 1_024.0;

/// Sections of the file; each appears at most once.
const SECTIONS: [&str; 9] = ["instance", "listen", "store", "credit", "repeats", "load", "limits", "routing", "logs"];

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
        let [mut instance, mut listen, mut store, mut credit, mut repeats, mut load, mut limits, mut routing, mut logs] =
            SECTIONS.map(|kind| take_section(kind, &mut faults));
        let locations = read_locations(&mut instance);
        let location = read_location(&mut instance, &locations);
        let settings = (|| {
            let peer_address = required_address(&mut listen, "peers")?;
            let load_sharing = load.parsed("share", "on, off or auto").unwrap_or_default();
            let load_address = read_load_address(&mut listen, peer_address);
            Some(Self {
                instance: InstanceSpec {
                    name: Arc::from(instance.required("name", "the instance's name")),
                    location: location?,
                    retries: read_retry_limit(&mut repeats),
                    link_rate: read_link_rate(&mut instance),
                    capacity: read_capacity(&mut instance),
                },
                locations,
                caller_address: required_address(&mut listen, "callers")?,
                status_address: required_address(&mut listen, "ready")?,
                peer_address,
                forward_address: read_forward_address(&mut listen, peer_address)?,
                load_address: load_address.filter(|_| load_sharing != LoadSharing::Off),
                load_sharing,
                zone_rule: routing.parsed("zones", "cost or shares").unwrap_or_default(),
                metrics_address: listen.parsed("metrics", "IP:PORT"),
                store_address: required_address(&mut store, "address")?,
                grace: Duration::from_secs_f64(instance.decimal("grace-s", 1.0..=3_600.0, GRACE_DEFAULT_S)),
                ceiling_policy: read_ceiling_policy(&mut credit),
                client_limits: read_client_limits(&mut limits),
                log_level: logs.text("level").unwrap_or_else(|| "info".to_owned()),
            })
        })();
        for section in [instance, listen, store, credit, repeats, load, limits, routing, logs] {
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

/// Reads the address for forwarded requests; without one it is the next port after that for other instances.
fn read_forward_address(listen: &mut Section, peers: SocketAddr) -> Option<SocketAddr> {
    let next = peers.port().checked_add(1).map(|port| SocketAddr::new(peers.ip(), port));
    let address = listen.parsed("forwards", "IP:PORT").or(next);
    if address.is_none() {
        listen.add_fault("forwards", "", "IP:PORT, since no port follows that of peers");
    }
    address
}

/// Reads the address for the exchange of loads; without one it is the second port after that for other instances. There
/// is none if that port doesn't exist or another listener has it.
fn read_load_address(listen: &mut Section, peers: SocketAddr) -> Option<SocketAddr> {
    let second = peers.port().checked_add(2).map(|port| SocketAddr::new(peers.ip(), port));
    let others = ["callers", "ready", "forwards", "metrics"].map(|key| listen.text(key));
    let is_free = |address: &SocketAddr| !others.iter().flatten().any(|other| other.parse() == Ok(*address));
    listen.parsed("loads", "IP:PORT").or_else(|| second.filter(is_free))
}

/// Reads the retry limit; a fraction of a retry is not usable and is dropped.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the value lies within the checked range")]
fn read_retry_limit(repeats: &mut Section) -> RetryLimit {
    RetryLimit {
        ratio: repeats.decimal("ratio", 0.0..=1.0, 0.0),
        slack: repeats.decimal("slack", 0.0..=SLACK_MAX, 0.0) as u32,
    }
}

/// Reads the share of a processor core in thousandths, or 0 if the file does not state it.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the value lies within the checked range")]
fn read_capacity(instance: &mut Section) -> u32 {
    (instance.decimal("cpu-share", 0.0..=CPU_SHARE_MAX, 0.0) * 1e3) as u32
}

/// Reads the link capacity in bytes per second; without one, the link counts as unlimited.
fn read_link_rate(instance: &mut Section) -> Option<f64> {
    instance.text("link-mbps").filter(|text| !text.is_empty())?;
    Some(instance.decimal("link-mbps", LINK_RANGE_MBPS, *LINK_RANGE_MBPS.end()) * BYTES_PER_MBIT)
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

/// Reads the limits on what clients make the instance hold; without a value, the process's own limits hold.
fn read_client_limits(limits: &mut Section) -> ClientLimits {
    let mut read = ClientLimits::default();
    let own = own_limits::read();
    read.memory = read_count(limits, "memory-mb", 16.0..=1e6).map_or(own.memory, |count| Some(count << 20));
    read.descriptors = read_count(limits, "max-fds", 1.0..=1e7).map_or(own.descriptors, Some);
    let times = &mut read.times;
    times.body = limits.millis("body-stall-ms", 100..=600_000, millis(times.body));
    times.answer = limits.millis("answer-stall-ms", 1_000..=3_600_000, millis(times.answer));
    times.idle = limits.millis("idle-ms", 1_000..=3_600_000, millis(times.idle));
    read
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the value lies within the checked range")]
fn read_count(section: &mut Section, key: &'static str, range: std::ops::RangeInclusive<f64>) -> Option<u64> {
    section.text(key).filter(|text| !text.is_empty())?;
    let largest = *range.end();
    Some(section.decimal(key, range, largest) as u64)
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
