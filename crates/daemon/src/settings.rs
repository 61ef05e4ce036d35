//! Settings of one instance, parsed from an INI file and validated as a whole; `docs/SETTINGS.md` lists all keys.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::document::KeyHash;
use coltsfootpick_core::ini::{self, Fault, Section, fault};
use coltsfootpick_core::models::ModelLoadRate;
use coltsfootpick_core::names::{AvailabilityZoneName, InstanceName, RegionName, is_valid_name};
use coltsfootpick_core::placement::PolicyKind;
use coltsfootpick_core::snapshot_schedule::SnapshotLimits;
use coltsfootpick_process::settings_file::{SettingsError, read_settings};
use derive_more::Debug;

/// Minimum length of the peer key, in bytes.
pub const PEER_KEY_MIN_BYTES: usize = 32;

const NAME_RULE: &str = "1 to 64 letters, digits, '-', '_' or '.'";
const POLICY_RULE: &str = "scored, two-choices, least-loaded, prefix-hash or round-robin";
const ADDRESS_RULE: &str = "an IP address and port, such as 127.0.0.1:8080";

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this instance, unique in the fleet.
    pub name: InstanceName,
    /// Availability zone of this instance.
    pub zone: AvailabilityZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Secret shared by the fleet, which authenticates peer links and resume tokens.
    #[debug("hidden")]
    pub secret: Arc<[u8]>,
    /// Number of worker threads of the runtime.
    pub worker_threads: usize,
    /// Address of the platform's log.
    pub log_address: SocketAddr,
    /// Address of the platform's instance list.
    pub list_address: SocketAddr,
    /// Interval of reading the instance list and of polling engines.
    pub poll_interval: Duration,
    /// Timeout of one call to the platform.
    pub platform_timeout: Duration,
    /// Number of ledger shards; the same on every instance, and never changed.
    pub shards: u32,
    /// Interval over which ledger entries are batched into one append.
    pub batch_interval: Duration,
    /// Time without heartbeats after which other instances close an incarnation; see `docs/OPERATING.md`.
    pub silence_timeout: Duration,
    /// When snapshots are written.
    pub snapshots: SnapshotLimits,
    /// Largest accepted request body, in bytes.
    pub body_bytes: usize,
    /// Largest answer of a plain service, in bytes.
    pub answer_bytes: usize,
    /// Deadline of a request that specifies none.
    pub default_deadline: Duration,
    /// Longest deadline that a request may specify.
    pub deadline_max: Duration,
    /// Most requests open at once.
    pub open_max: usize,
    /// Most requests that this instance has open at once on one backend server.
    pub server_requests: usize,
    /// Longest admission queue of one service and priority class, in requests.
    pub queue_requests: usize,
    /// Timeout for receiving a caller's headers or body.
    pub receive_timeout: Duration,
    /// Time without data after which a backend connection is replaced.
    pub liveness_timeout: Duration,
    /// Time for which a stream continues after its caller disconnected, so that it can be resumed.
    pub resume_grace: Duration,
    /// Timeout for the answer of an at-most-once call.
    pub call_timeout: Duration,
    /// Longest time for open requests to finish after a stop signal.
    pub drain_timeout: Duration,
    /// Placement policy; see `docs/ROUTING.md`.
    pub policy: PolicyKind,
    /// Rate limit of the weight store for model loads of the whole fleet.
    pub load_rate: ModelLoadRate,
    /// Interval of heartbeats on a peer link.
    pub heartbeat_interval: Duration,
    /// Target number of peer links per instance in a fleet too large for a full mesh.
    pub neighbours: usize,
    /// Least severe level that is logged.
    pub log_level: log::LevelFilter,
    /// Most trace lines kept for operators; 0 disables the trace.
    pub trace_lines: usize,
    /// Operators and the hashes of their keys.
    pub operator_keys: Vec<Operator>,
}

/// An operator who may give orders.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Name of the operator, stored with every order.
    pub name: Arc<str>,
    /// Hash of the operator's key.
    pub key: KeyHash,
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        read_settings(path, Self::parse)
    }

    /// Parses and validates the text of a settings file; returns all faults found.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let (sections, mut faults) = ini::parse(text);
        let mut parsed = Sections::default();
        for section in sections {
            parsed.add(section, &mut faults);
        }
        let settings = parsed.read(&mut faults);
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }
}

/// Sections of a settings file, by kind.
#[derive(Default)]
struct Sections {
    instance: Option<Section>,
    platform: Option<Section>,
    ledger: Option<Section>,
    limits: Option<Section>,
    placement: Option<Section>,
    peers: Option<Section>,
    logs: Option<Section>,
    operators: Vec<Section>,
}

impl Sections {
    fn add(&mut self, section: Section, faults: &mut Vec<Fault>) {
        let slot = match section.kind.as_str() {
            "instance" => &mut self.instance,
            "platform" => &mut self.platform,
            "ledger" => &mut self.ledger,
            "limits" => &mut self.limits,
            "placement" => &mut self.placement,
            "peers" => &mut self.peers,
            "logs" => &mut self.logs,
            "operator" => return self.operators.push(section),
            _ => {
                let allowed = "instance, platform, ledger, limits, placement, peers, logs or operator NAME";
                return faults.push(fault(section.line, &section.title(), "", "an unknown section", allowed));
            }
        };
        match slot {
            Some(_) => faults.push(fault(
                section.line,
                &section.title(),
                "",
                "a duplicate section",
                "each section at most once",
            )),
            None => *slot = Some(section),
        }
    }

    fn read(self, faults: &mut Vec<Fault>) -> Option<Settings> {
        let mut instance = required_section(self.instance, "instance", faults);
        let mut platform = required_section(self.platform, "platform", faults);
        let mut ledger = self.ledger.unwrap_or_else(|| empty_section("ledger"));
        let mut limits = self.limits.unwrap_or_else(|| empty_section("limits"));
        let mut placement = self.placement.unwrap_or_else(|| empty_section("placement"));
        let mut peers = self.peers.unwrap_or_else(|| empty_section("peers"));
        let mut logs = self.logs.unwrap_or_else(|| empty_section("logs"));
        let operator_keys = self.operators.into_iter().filter_map(|section| read_operator(section, faults)).collect();
        let settings = RequiredSettings {
            name: read_name(&mut instance, "name"),
            zone: read_name(&mut instance, "zone"),
            region: read_name(&mut instance, "region"),
            caller_address: instance.required_parsed("callers", ADDRESS_RULE),
            operator_address: instance.required_parsed("operators", ADDRESS_RULE),
            peer_address: instance.required_parsed("peers", ADDRESS_RULE),
            secret: read_secret(&mut instance),
            log_address: platform.required_parsed("log", ADDRESS_RULE),
            list_address: platform.required_parsed("list", ADDRESS_RULE),
            policy: placement.parsed("policy", POLICY_RULE).unwrap_or_default(),
            load_rate: ModelLoadRate {
                loads: count(&mut placement, "loads", 1..=10_000, 4),
                window: placement.millis("loads-window-ms", 100..=3_600_000, 10_000),
            },
            heartbeat_interval: peers.millis("beat-ms", 50..=10_000, 500),
            neighbours: count(&mut peers, "neighbours", 1..=64, 8),
        };
        let settings =
            settings.finish(&mut instance, &mut platform, &mut ledger, &mut limits, &mut logs, operator_keys);
        for section in [instance, platform, ledger, limits, placement, peers, logs] {
            section.finish(faults);
        }
        settings
    }
}

/// Values that are required, or that are read before the remaining ones.
struct RequiredSettings {
    name: Option<String>,
    zone: Option<String>,
    region: Option<String>,
    caller_address: Option<SocketAddr>,
    operator_address: Option<SocketAddr>,
    peer_address: Option<SocketAddr>,
    secret: Option<Arc<[u8]>>,
    log_address: Option<SocketAddr>,
    list_address: Option<SocketAddr>,
    policy: PolicyKind,
    load_rate: ModelLoadRate,
    heartbeat_interval: Duration,
    neighbours: usize,
}

/// Values of the section `limits`.
struct Limits {
    body_bytes: usize,
    answer_bytes: usize,
    default_deadline: Duration,
    deadline_max: Duration,
    open_max: usize,
    server_requests: usize,
    queue_requests: usize,
    receive_timeout: Duration,
    liveness_timeout: Duration,
    resume_grace: Duration,
    call_timeout: Duration,
    drain_timeout: Duration,
}

impl Limits {
    fn read(limits: &mut Section) -> Self {
        Self {
            body_bytes: count(limits, "body-bytes", 1_024..=64 << 20, 1 << 20),
            answer_bytes: count(limits, "answer-bytes", 1_024..=64 << 20, 1 << 20),
            default_deadline: limits.millis("deadline-ms", 10..=3_600_000, 30_000),
            deadline_max: limits.millis("deadline-max-ms", 10..=3_600_000, 600_000),
            open_max: count(limits, "open-requests", 1..=1_000_000, 2_000),
            server_requests: count(limits, "server-requests", 1..=100_000, 64),
            queue_requests: count(limits, "queue-requests", 0..=100_000, 256),
            receive_timeout: limits.millis("receive-ms", 100..=600_000, 10_000),
            liveness_timeout: limits.millis("liveness-ms", 50..=600_000, 2_000),
            resume_grace: limits.millis("resume-ms", 0..=60_000, 5_000),
            call_timeout: limits.millis("call-ms", 50..=3_600_000, 30_000),
            drain_timeout: limits.millis("drain-ms", 0..=3_600_000, 30_000),
        }
    }
}

impl RequiredSettings {
    fn finish(
        self,
        instance: &mut Section,
        platform: &mut Section,
        ledger: &mut Section,
        limits: &mut Section,
        logs: &mut Section,
        operator_keys: Vec<Operator>,
    ) -> Option<Settings> {
        let worker_threads = count(instance, "threads", 1..=64, 2);
        let poll_interval = platform.millis("poll-ms", 50..=60_000, 500);
        let platform_timeout = platform.millis("timeout-ms", 50..=60_000, 2_000);
        let shards = u32::try_from(ledger.number("shards", 1..=1_024, 4)).unwrap_or(1);
        let batch_interval = ledger.millis("batch-ms", 1..=10_000, 50);
        let silence_timeout = ledger.millis("silence-ms", 1_000..=3_600_000, 10_000);
        let snapshots = SnapshotLimits {
            records: ledger.number("snapshot-records", 1..=10_000_000, 20_000),
            age: ledger.millis("snapshot-age-ms", 1_000..=86_400_000, 3_600_000),
        };
        let limits = Limits::read(limits);
        let trace_lines = count(logs, "trace-lines", 0..=1_000_000, 0);
        let log_level =
            logs.parsed("level", "off, error, warn, info, debug or trace").unwrap_or(log::LevelFilter::Info);
        Some(Settings {
            name: self.name?.into(),
            zone: self.zone?.into(),
            region: self.region?.into(),
            caller_address: self.caller_address?,
            operator_address: self.operator_address?,
            peer_address: self.peer_address?,
            secret: self.secret?,
            worker_threads,
            log_address: self.log_address?,
            list_address: self.list_address?,
            poll_interval,
            platform_timeout,
            shards,
            batch_interval,
            silence_timeout,
            snapshots,
            body_bytes: limits.body_bytes,
            answer_bytes: limits.answer_bytes,
            default_deadline: limits.default_deadline,
            deadline_max: limits.deadline_max,
            open_max: limits.open_max,
            server_requests: limits.server_requests,
            queue_requests: limits.queue_requests,
            receive_timeout: limits.receive_timeout,
            liveness_timeout: limits.liveness_timeout,
            resume_grace: limits.resume_grace,
            call_timeout: limits.call_timeout,
            drain_timeout: limits.drain_timeout,
            policy: self.policy,
            load_rate: self.load_rate,
            heartbeat_interval: self.heartbeat_interval,
            neighbours: self.neighbours,
            log_level,
            trace_lines,
            operator_keys,
        })
    }
}

fn required_section(section: Option<Section>, kind: &str, faults: &mut Vec<Fault>) -> Section {
    section.unwrap_or_else(|| {
        faults.push(fault(0, kind, "", "nothing", "the section"));
        empty_section(kind)
    })
}

fn empty_section(kind: &str) -> Section {
    let (mut sections, _) = ini::parse(&format!("[{kind}]"));
    sections.remove(0)
}

fn count(section: &mut Section, key: &'static str, range: std::ops::RangeInclusive<u64>, default: u64) -> usize {
    usize::try_from(section.number(key, range, default)).unwrap_or(usize::MAX)
}

fn read_name(section: &mut Section, key: &'static str) -> Option<String> {
    match section.required(key, NAME_RULE) {
        name if is_valid_name(&name) => Some(name),
        name if name.is_empty() => None,
        name => {
            section.add_fault(key, &name, NAME_RULE);
            None
        }
    }
}

fn read_secret(section: &mut Section) -> Option<Arc<[u8]>> {
    let allowed = "64 or more hexadecimal digits";
    let text = section.required("peer-key", allowed);
    match hex::decode(&text) {
        Ok(bytes) if bytes.len() >= PEER_KEY_MIN_BYTES => Some(Arc::from(bytes)),
        _ if text.is_empty() => None,
        _ => {
            section.add_fault("peer-key", "something else", allowed);
            None
        }
    }
}

fn read_operator(mut section: Section, faults: &mut Vec<Fault>) -> Option<Operator> {
    let allowed = "64 hexadecimal digits of a SHA-256";
    let text = section.required("key-sha256", allowed);
    let key = KeyHash::from_hex(&text);
    if key.is_none() && !text.is_empty() {
        section.add_fault("key-sha256", "something else", allowed);
    }
    let name = section.name.clone();
    if !is_valid_name(&name) {
        section.add_fault("", &name, NAME_RULE);
    }
    section.finish(faults);
    Some(Operator { name: Arc::from(name), key: key? })
}
