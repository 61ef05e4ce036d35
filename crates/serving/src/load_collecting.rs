//! Collector of loads: accepts links of instances, links to other collectors, and sends sums over them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::fleet_load::{LoadTable, SILENCE_MAX, UPDATE_INTERVAL};
use coltsfootpick_core::lenders::Fleet;
use coltsfootpick_core::load_collector::{LINKS_MAX, LoadCollector, Reporter};
use coltsfootpick_core::load_update::UpdateSender;
use coltsfootpick_core::names::AvailabilityZoneName;
use coltsfootpick_process::socket_limits;
use coltsfootpick_wire::fleet_load::LoadFrame;
use parking_lot::Mutex;
use prost::Message;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use crate::blackboard::Blackboard;
use crate::listener::accept_next;
use crate::load_exchange::CANDIDATES_MAX;
use crate::load_link::{ANSWER_TIMEOUT, LoadLink};
use crate::log_event;
use crate::log_events::LogEvent;

/// Bytes per second that a collector sends to an instance, network headers included. With what the instance sends this
/// stays under 10 KB/s.
pub const DOWN_BYTES_PER_SECOND: f64 = 7_000.0;

/// Bytes per second that a collector sends to another.
pub const ACROSS_BYTES_PER_SECOND: f64 = 10_000.0;

/// Updates queued for one link; the next one tells everything if one didn't fit.
const QUEUE_LENGTH: usize = 2;

/// Interval at which missing links to other collectors are noticed.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a link to a zone after which the collector with the greater name connects too; before, only the one with
/// the lesser name does, so that two collectors don't open two links.
const CONNECT_TURN: Duration = Duration::from_millis(600);

/// Pause between two attempts to connect to the same collector of the own zone.
const OWN_ZONE_PAUSE: Duration = Duration::from_secs(1);

/// Link over which updates are sent.
#[derive(Debug)]
struct OutgoingLink {
    /// Whether this instance opened the link.
    is_opener: bool,
    reporter: Reporter,
    instance: Arc<str>,
    sender: UpdateSender,
    queue: mpsc::Sender<Bytes>,
}

/// Attempts to connect to a zone, or to a collector of the own zone.
#[derive(Debug)]
struct Attempts {
    missing_since: Instant,
    next_at: Instant,
    count: usize,
}

/// Collector part of the exchange of loads.
#[derive(Debug)]
pub struct LoadCollecting {
    board: Arc<Blackboard>,
    state: Mutex<LoadCollector>,
    links: Mutex<BTreeMap<u64, OutgoingLink>>,
    next_link: AtomicU64,
    /// Whether this instance is its own collector.
    is_local: AtomicBool,
    stop: CancellationToken,
}

impl LoadCollecting {
    /// Collector without links.
    pub fn new(board: Arc<Blackboard>, stop: CancellationToken) -> Arc<Self> {
        let (state, links, next_link) = (Mutex::default(), Mutex::default(), AtomicU64::new(1));
        Arc::new(Self { board, state, links, next_link, is_local: AtomicBool::new(false), stop })
    }

    /// Sets whether this instance is its own collector.
    pub fn set_local(&self, is_local: bool) {
        self.is_local.store(is_local, Ordering::Relaxed);
    }

    /// Whether this instance reports to itself or other instances report to it.
    pub fn is_active(&self) -> bool {
        self.is_local.load(Ordering::Relaxed) || self.state.lock().has_members()
    }

    /// Whether there is a link to the collector `instance`.
    pub fn has_collector(&self, instance: &Arc<str>) -> bool {
        self.state.lock().has_collector(instance)
    }

    /// Instances of `zone` that take part, the strongest first, as many as are tried as collectors.
    pub fn candidates(&self, zone: &AvailabilityZoneName) -> Vec<Arc<str>> {
        let strongest = self.board.with_fleet(|fleet| fleet.strongest_of(zone));
        strongest.into_iter().filter(|name| self.takes_part(name)).take(CANDIDATES_MAX).collect()
    }

    fn takes_part(&self, name: &str) -> bool {
        *name == *self.board.instance.name || self.board.loads.address(name).is_some()
    }

    /// Ends all links; the other ends connect again.
    pub fn close_all(&self) {
        self.links.lock().clear();
    }

    /// Accepts links of instances and collectors.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(LINKS_MAX));
        loop {
            let stream = accept_next(&listener, "a load link", socket_limits::PEER).await;
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else { continue };
            let this = Arc::clone(&self);
            let stop = self.stop.clone();
            tokio::spawn(stop.run_until_cancelled_owned(async move {
                let mut link = LoadLink::new(stream, &this.board);
                match tokio::time::timeout(SILENCE_MAX, link.greeting()).await {
                    Ok(Ok(hello)) => {
                        let reporter = if hello.is_collector { Reporter::Collector } else { Reporter::Member };
                        // A collector without members has nothing to tell; the opener tries the next one.
                        if reporter == Reporter::Member || this.is_active() {
                            this.serve(link, reporter, &hello.instance.into(), false).await;
                        }
                    }
                    Ok(Err(error)) => log_event!(LogEvent::LoadLinkLost, "from=unknown reason={error}"),
                    Err(_) => log_event!(LogEvent::LoadLinkLost, "from=unknown reason=\"no greeting\""),
                }
                drop(permit);
            }));
        }
    }

    /// Exchanges updates over a link until it ends.
    async fn serve(&self, mut link: LoadLink, reporter: Reporter, instance: &Arc<str>, is_opener: bool) {
        if !is_opener && reporter == Reporter::Collector && self.keeps_own_link(instance) {
            return;
        }
        let number = self.next_link.fetch_add(1, Ordering::Relaxed);
        if !self.state.lock().open(reporter, instance, number, self.board.clock.now()) {
            log_event!(LogEvent::LoadLinkLost, "from={instance} reason=\"too many links\"");
            return;
        }
        let (queue, updates) = mpsc::channel(QUEUE_LENGTH);
        let rate = if reporter == Reporter::Member { DOWN_BYTES_PER_SECOND } else { ACROSS_BYTES_PER_SECOND };
        let outgoing = OutgoingLink {
            is_opener,
            reporter,
            instance: Arc::clone(instance),
            sender: UpdateSender::new(rate),
            queue,
        };
        {
            let mut links = self.links.lock();
            // An older link of the same sender ends when its queue is dropped.
            links.retain(|_, other| other.reporter != reporter || other.instance != *instance);
            links.insert(number, outgoing);
        }
        // Dropping the guard ends the link also if this task is cancelled.
        let _guard = LinkGuard { collecting: self, reporter, instance, number };
        log_event!(LogEvent::LoadLinkOpened, "from={instance} kind={reporter:?}");
        let reason = self.relay(&mut link, updates, reporter, instance, number, is_opener).await;
        log_event!(LogEvent::LoadLinkLost, "from={instance} kind={reporter:?} reason={reason:?}");
    }

    /// Whether the own link to the collector `instance` is kept when that opens one as well. Of two links that collectors
    /// open to each other at the same moment, the one of the lesser name stays; otherwise each end would close the older
    /// one, which are both.
    fn keeps_own_link(&self, instance: &Arc<str>) -> bool {
        self.board.instance.name < *instance
            && self
                .links
                .lock()
                .values()
                .any(|link| link.is_opener && link.reporter == Reporter::Collector && link.instance == *instance)
    }

    async fn relay(
        &self,
        link: &mut LoadLink,
        mut updates: mpsc::Receiver<Bytes>,
        reporter: Reporter,
        instance: &Arc<str>,
        number: u64,
        is_opener: bool,
    ) -> String {
        let mut silent_at = Instant::now() + if is_opener { ANSWER_TIMEOUT } else { SILENCE_MAX };
        loop {
            tokio::select! {
                // Frames first, since those that arrived while this instance was frozen are no silence.
                biased;
                update = link.receive() => match update {
                    Ok(update) => {
                        self.state.lock().apply(reporter, instance, number, update, self.board.clock.now());
                        silent_at = Instant::now() + SILENCE_MAX;
                    }
                    Err(error) => return error.to_string(),
                },
                update = updates.recv() => {
                    let Some(update) = update else { return "replaced by a newer link".to_owned() };
                    if let Err(error) = link.send_bytes(update).await {
                        return error.to_string();
                    }
                }
                () = tokio::time::sleep_until(silent_at) => return "silence".to_owned(),
            }
        }
    }

    /// Sends sums on all links, and keeps the view of an instance that is its own collector.
    pub async fn send_updates(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(UPDATE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut has_view = false;
        loop {
            ticks.tick().await;
            let now = self.board.clock.now();
            if self.is_local.load(Ordering::Relaxed) || !self.links.lock().is_empty() {
                self.send_sums();
            }
            let (age, engines) = {
                let view = self.board.loads.view.lock();
                (view.age(now), view.len())
            };
            self.board.metrics.note_load_view(age, engines);
            if has_view != age.is_some() {
                has_view = age.is_some();
                log_event!(LogEvent::LoadViewChanged, "current={has_view} engines={engines}");
            }
        }
    }

    fn send_sums(&self) {
        let now = self.board.clock.now();
        let is_local = self.is_local.load(Ordering::Relaxed);
        let state = self.state.lock();
        let mut members = state.sum(Reporter::Member, now);
        let collectors = state.sum(Reporter::Collector, now);
        if is_local {
            let mut others = members.clone();
            others.add(&collectors);
            self.board.loads.view.lock().replace(others, now);
            members.add(&self.board.loads.own.lock().table(now));
        }
        let mut total = members.clone();
        total.add(&collectors);
        let nothing = LoadTable::default();
        for link in self.links.lock().values_mut().filter(|link| link.sender.is_due(now)) {
            let update = match link.reporter {
                Reporter::Collector => link.sender.next(&members, now),
                Reporter::Member => {
                    let own = state.told_by(Reporter::Member, &link.instance, now).unwrap_or(&nothing);
                    link.sender.next(&total.without(own), now)
                }
            };
            let Some(update) = update else { continue };
            let bytes = Bytes::from(LoadFrame::update(&update).encode_to_vec());
            link.sender.note_sent(bytes.len(), now);
            if link.queue.try_send(bytes).is_err() {
                link.sender.note_dropped();
            }
        }
    }

    /// Keeps links to a collector of each other zone and to those of the own zone that come before this one. A collector to
    /// which nobody reports also links to those after it, since the others may be unable to reach it.
    pub async fn connect_collectors(self: Arc<Self>) {
        let mut attempts: BTreeMap<Arc<str>, Attempts> = BTreeMap::new();
        let mut ticks = tokio::time::interval(CONNECT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if !self.is_active() {
                attempts.clear();
                continue;
            }
            for (key, instances, is_own_zone) in self.missing_links(&mut attempts) {
                let now = Instant::now();
                let attempt = attempts.entry(key).or_insert(Attempts { missing_since: now, next_at: now, count: 0 });
                let Some(next) = instances.get(attempt.count % instances.len().max(1)) else { continue };
                let is_turn = is_own_zone || self.board.instance.name < *next || attempt.count > 0;
                if now < attempt.next_at || !(is_turn || attempt.missing_since.elapsed() >= CONNECT_TURN) {
                    continue;
                }
                attempt.count += 1;
                attempt.next_at = now + if is_own_zone { OWN_ZONE_PAUSE } else { ANSWER_TIMEOUT * 2 };
                let (this, next) = (Arc::clone(&self), Arc::clone(next));
                tokio::spawn(self.stop.clone().run_until_cancelled_owned(async move { this.connect(&next).await }));
            }
        }
    }

    /// Zones and collectors of the own zone to which there is no link, with the instances to try; forgets the attempts of
    /// the others.
    fn missing_links(&self, attempts: &mut BTreeMap<Arc<str>, Attempts>) -> Vec<(Arc<str>, Vec<Arc<str>>, bool)> {
        let own_zone = &self.board.instance.location.zone;
        let mut missing = Vec::new();
        for zone in self.board.with_fleet(Fleet::zones) {
            let candidates = self.candidates(&zone);
            if zone == *own_zone {
                let own = candidates.iter().position(|name| *name == self.board.instance.name);
                let has_members = self.state.lock().has_members();
                let is_wanted = |at: usize| own.is_none_or(|own| at < own || (at > own && !has_members));
                for (_, name) in candidates.into_iter().enumerate().filter(|(at, _)| is_wanted(*at)) {
                    if !self.has_collector(&name) {
                        missing.push((Arc::from(format!("instance {name}")), vec![name], true));
                    }
                }
            } else if !self.has_link_to(&zone) {
                missing.push((Arc::from(format!("zone {zone}")), candidates, false));
            }
        }
        attempts.retain(|key, _| missing.iter().any(|(other, ..)| other == key));
        missing
    }

    /// Whether there is a link to a collector of `zone`.
    fn has_link_to(&self, zone: &AvailabilityZoneName) -> bool {
        let instances = self.board.with_fleet(|fleet| fleet.strongest_of(zone));
        instances.iter().any(|name| self.has_collector(name))
    }

    async fn connect(&self, instance: &Arc<str>) {
        let Some(address) = self.board.loads.address(instance) else { return };
        match LoadLink::connect(address, &self.board, true).await {
            Ok(link) => self.serve(link, Reporter::Collector, instance, true).await,
            Err(error) => log::debug!("no load link to {instance}: {error}"),
        }
    }
}

/// Closes a link when it is dropped.
struct LinkGuard<'a> {
    collecting: &'a LoadCollecting,
    reporter: Reporter,
    instance: &'a Arc<str>,
    number: u64,
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        self.collecting.links.lock().remove(&self.number);
        self.collecting.state.lock().close(self.reporter, self.instance, self.number);
    }
}
