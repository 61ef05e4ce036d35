//! Software versions that began the recent streams, so that a stream goes on only at the version that began it.
//!
//! Callers take a stream up at any instance, often because the one that began it has died, so instances tell each other
//! while servers of several versions serve. What nobody knows goes on nowhere. See `docs/ROUTING.md#versions`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use derive_more::Display;
use xxhash_rust::xxh3::xxh3_64;

use crate::names::{ClientAccountName, ServiceName, SoftwareVersion};
use crate::units::Instant;

/// Time for which an origin is remembered; streams are shorter.
pub const ORIGIN_TTL: Duration = Duration::from_secs(20);

/// Interval at which a few instances report the versions that serve, also when nothing changes.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Clocks of two instances may differ by this much.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(5);

/// Age of a report up to which its servers may be serving still.
const REPORT_AGE_MARGIN: Duration = Duration::from_secs(REPORT_INTERVAL.as_secs() + CLOCK_MARGIN.as_secs());

/// Age from which a report tells nothing of versions that served lately.
pub const REPORT_TTL: Duration = Duration::from_secs(ORIGIN_TTL.as_secs() + REPORT_AGE_MARGIN.as_secs());

/// Maximum number of streams that are remembered, the newest ones.
const STREAMS_MAX: usize = 65_536;

/// Maximum number of streams in one record, the newest ones; they take 8 bytes each.
const REPORTED_MAX: usize = 8_192;

/// Identifies a stream by its client account and the attempt that brought its first event.
///
/// The account is part of it, since callers choose the ids of their attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Key of the stream whose first event came in `attempt` of a caller of `account`.
    pub fn of(account: &ClientAccountName, attempt: &str) -> Self {
        Self(xxh3_64(format!("{account}\n{attempt}").as_bytes()))
    }
}

/// Service and software version of the server that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamOrigin {
    /// Service of the server.
    pub service: ServiceName,
    /// Version of its software.
    pub version: SoftwareVersion,
}

/// Streams of one origin, as one instance reports them; without streams it tells that servers of this version serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginReport {
    /// The origin.
    pub origin: StreamOrigin,
    /// Streams that began there.
    pub streams: Vec<StreamKey>,
}

/// Where a stream that a caller takes up may go on.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Continuation {
    /// At servers of its origin, which this instance has known for this long.
    #[display("version={:?} age_ms={}", &*_0.version, _1.as_millis())]
    At(StreamOrigin, Duration),
    /// At servers of this origin, the only one of its service that has served lately.
    #[display("one-version={:?}", &*_0.version)]
    Single(StreamOrigin),
    /// Nowhere, since its origin is not known.
    #[display("unknown")]
    Unknown,
    /// Nowhere at this instance, which cannot ask the store at present.
    #[display("unproven")]
    Unproven,
}

impl Continuation {
    /// Short name for counters.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::At(..) => "known",
            Self::Single(_) => "one-version",
            Self::Unknown => "unknown",
            Self::Unproven => "unproven",
        }
    }
}

#[derive(Clone, Debug)]
struct KnownStream {
    origin: StreamOrigin,
    at: Instant,
    /// Whether the stream began or went on at this instance.
    is_own: bool,
}

/// Origins of recent streams as one instance knows them.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    streams: BTreeMap<StreamKey, KnownStream>,
    /// Keys of `streams` by age, the oldest first.
    order: VecDeque<(Instant, StreamKey)>,
    /// When servers of each origin served last.
    served: BTreeMap<StreamOrigin, Instant>,
    /// Services of which other runs have told which versions served lately, and until when that counts.
    attested: BTreeMap<ServiceName, Instant>,
    /// Origins that the record of this run names, so that they outlast the death of all instances.
    recorded: BTreeSet<StreamOrigin>,
    has_news: bool,
}

impl StreamOrigins {
    /// Records that the servers of `present` serve.
    pub fn note_servers(&mut self, present: impl IntoIterator<Item = StreamOrigin>, now: Instant) {
        for origin in present {
            self.has_news |= self.served.insert(origin, now).is_none();
        }
        let before = self.served.len();
        self.served.retain(|_, at| now.since(*at) < ORIGIN_TTL);
        self.has_news |= self.served.len() < before;
        self.forget_old(now);
    }

    /// Records that a stream has brought an event from a server of `origin` at this instance.
    pub fn note_stream(&mut self, key: StreamKey, origin: StreamOrigin, now: Instant) {
        // Streams of a single version need no record each: the version itself is recorded.
        self.has_news |= self.is_mixed(&origin.service, now);
        self.insert(key, KnownStream { origin, at: now, is_own: true });
    }

    /// Adds what another instance, or an earlier run of this one, reported `age` ago.
    ///
    /// Its servers may have served until its next report was due, also if it died in between.
    pub fn merge(&mut self, reports: Vec<OriginReport>, age: Duration, now: Instant) {
        let served_at = Instant(now.0.saturating_sub(age.saturating_sub(REPORT_AGE_MARGIN)));
        for OriginReport { origin, streams } in reports {
            let known = self.served.entry(origin.clone()).or_insert(served_at);
            *known = served_at.max(*known);
            self.attested.insert(origin.service.clone(), served_at.after(ORIGIN_TTL));
            for key in streams {
                if !self.streams.contains_key(&key) {
                    self.insert(key, KnownStream { origin: origin.clone(), at: now, is_own: false });
                }
            }
        }
    }

    /// Where the stream `key` may go on; `service` is the one that it would go to.
    ///
    /// `knows_servers` tells whether this instance knows all servers that have served within [`ORIGIN_TTL`], up to a moment
    /// after the caller came. The stream then began at a known version, whichever instance began it.
    pub fn continuation(
        &self,
        key: Option<StreamKey>,
        service: &ServiceName,
        knows_servers: bool,
        now: Instant,
    ) -> Continuation {
        match key.and_then(|key| self.streams.get(&key)) {
            Some(known) => Continuation::At(known.origin.clone(), now.since(known.at)),
            None if knows_servers => self.single(service, now).map_or(Continuation::Unknown, Continuation::Single),
            None => Continuation::Unknown,
        }
    }

    /// Only origin of `service` that has served within [`ORIGIN_TTL`], if there is just one.
    fn single(&self, service: &ServiceName, now: Instant) -> Option<StreamOrigin> {
        let mut recent = self.recent(service, now);
        recent.next().filter(|_| recent.next().is_none()).cloned()
    }

    fn recent<'a>(&'a self, service: &'a ServiceName, now: Instant) -> impl Iterator<Item = &'a StreamOrigin> {
        let recent = self.served.iter().filter(move |(_, at)| now.since(**at) < ORIGIN_TTL);
        recent.map(|(origin, _)| origin).filter(move |origin| origin.service == *service)
    }

    /// Whether another run has told which versions of `service` served within [`ORIGIN_TTL`].
    ///
    /// That no record names a second version proves nothing unless there is one that names the first.
    pub fn is_attested(&self, service: &ServiceName, now: Instant) -> bool {
        self.attested.get(service).is_some_and(|until| *until > now)
    }

    /// Records that the record of this run names these origins.
    pub fn note_recorded(&mut self, origins: impl IntoIterator<Item = StreamOrigin>) {
        self.recorded = origins.into_iter().collect();
    }

    /// Whether the record of this run names an origin.
    pub fn is_recorded(&self, origin: &StreamOrigin) -> bool {
        self.recorded.contains(origin)
    }

    /// Whether servers of several versions have served within [`ORIGIN_TTL`].
    pub fn is_mixed(&self, service: &ServiceName, now: Instant) -> bool {
        self.recent(service, now).count() > 1
    }

    /// Whether anything has changed since the last call that another instance may need.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Has the reports written again, since a write has failed.
    pub const fn repeat_reports(&mut self) {
        self.has_news = true;
    }

    /// All versions that served lately, with the newest own streams of services that have several of them.
    pub fn own_reports(&self, now: Instant) -> Vec<OriginReport> {
        let recent = self.served.iter().filter(|(_, at)| now.since(**at) < ORIGIN_TTL);
        let mut reports: BTreeMap<&StreamOrigin, Vec<StreamKey>> =
            recent.map(|(origin, _)| (origin, Vec::new())).collect();
        let recent = self.order.iter().rev().filter_map(|(_, key)| Some((key, self.streams.get(key)?)));
        for (key, known) in recent.filter(|(_, known)| known.is_own).take(REPORTED_MAX) {
            match reports.get_mut(&known.origin) {
                Some(streams) if self.is_mixed(&known.origin.service, now) => streams.push(*key),
                _ => {}
            }
        }
        let report = |(origin, streams): (&StreamOrigin, _)| OriginReport { origin: origin.clone(), streams };
        reports.into_iter().map(report).collect()
    }

    fn insert(&mut self, key: StreamKey, stream: KnownStream) {
        self.order.push_back((stream.at, key));
        self.streams.insert(key, stream);
        while self.order.len() > STREAMS_MAX {
            self.forget_first();
        }
    }

    fn forget_old(&mut self, now: Instant) {
        while self.order.front().is_some_and(|(at, _)| now.since(*at) >= ORIGIN_TTL) {
            self.forget_first();
        }
    }

    /// Forgets the oldest stream, unless it was recorded again since.
    fn forget_first(&mut self) {
        let Some((at, key)) = self.order.pop_front() else { return };
        if self.streams.get(&key).is_some_and(|known| known.at == at) {
            self.streams.remove(&key);
        }
    }
}
