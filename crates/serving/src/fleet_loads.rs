//! Load of the engines that instances exchange: own report, view of the others, and progress of own requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::fleet_load::{EngineId, EngineLoad, FleetEngine};
use coltsfootpick_core::load_view::LoadView;
use coltsfootpick_core::own_load::{OwnLoad, nominal_first_event_ms, nominal_step_ms};
use coltsfootpick_core::selection::{Generation, Selection};
use coltsfootpick_core::units::Instant;
use parking_lot::Mutex;

use crate::blackboard::{Blackboard, InstanceClock};
use crate::servers::Server;

/// Maximum number of instances whose addresses are kept.
const ADDRESSES_MAX: usize = 8_192;

/// Largest part of a pause during which the relay was not reading, for the pause to count as a sample: a caller that reads
/// slowly would otherwise make the engine look slow.
const UNREAD_PART_MAX: f64 = 0.2;

/// Loads as this instance knows them.
#[derive(Debug, Default)]
pub struct FleetLoads {
    /// Load and samples of this instance.
    pub own: Mutex<OwnLoad>,
    /// Loads and samples of all others.
    pub view: Mutex<LoadView>,
    /// Addresses at which instances exchange loads.
    addresses: Mutex<BTreeMap<Arc<str>, SocketAddr>>,
}

impl FleetLoads {
    /// Sets the address at which `instance` exchanges loads; without one it takes no part.
    pub fn set_address(&self, instance: &Arc<str>, address: Option<SocketAddr>) {
        let mut addresses = self.addresses.lock();
        match address {
            None => drop(addresses.remove(instance)),
            Some(address) if addresses.len() < ADDRESSES_MAX || addresses.contains_key(instance) => {
                addresses.insert(Arc::clone(instance), address);
            }
            Some(_) => {}
        }
    }

    /// Address at which `instance` exchanges loads, if it takes part.
    pub fn address(&self, instance: &str) -> Option<SocketAddr> {
        self.addresses.lock().get(instance).copied()
    }

    /// What the fleet knows of `servers`, all those of one service; empty without a current view.
    pub fn engines(&self, servers: &[Arc<Server>], now: Instant) -> BTreeMap<EngineId, FleetEngine> {
        if self.view.lock().age(now).is_none() {
            return BTreeMap::new();
        }
        let ids: Vec<EngineId> = servers.iter().map(|server| server.entry.engine_id()).collect();
        let (view, own) = (self.view.lock(), self.own.lock());
        let engines = view.engines(&ids, &own, now).unwrap_or_default();
        ids.into_iter().zip(engines).collect()
    }
}

/// Progress of one request at an engine, which the own report tells until this is dropped.
#[derive(Debug)]
pub struct EngineProgress {
    loads: Arc<FleetLoads>,
    clock: InstanceClock,
    engine: EngineId,
    /// Load that is in the own report.
    load: EngineLoad,
    /// Nominal time to the first event; `None` if slots were all taken, since the wait for one tells no speed.
    nominal_ms: Option<f64>,
    event_tokens: u64,
    started: Instant,
    last_event: Option<Instant>,
    reading_since: Instant,
    /// Events of the stream so far, from the first time that they were counted.
    events: u64,
}

impl EngineProgress {
    /// Adds a request that is sent to `server`; `None` if its service has no engines.
    pub fn start(
        board: &Blackboard,
        server: &Server,
        selection: &Selection,
        generation: Option<&Generation>,
    ) -> Option<Self> {
        let generation = generation?;
        let table = board.routes()?;
        let event_tokens = table.service(&server.entry.service)?.engines.as_ref()?.event_tokens;
        let (loads, clock) = (Arc::clone(&board.loads), board.clock);
        let (engine, started) = (server.entry.engine_id(), clock.now());
        let others = loads.view.lock().load(engine, started).unwrap_or_default();
        let before = loads.own.lock().load(engine).plus(others);
        let load = EngineLoad { open: 1, prefill: selection.uncached, held: generation.prompt.0 };
        if !loads.own.lock().add(engine, load) {
            return None;
        }
        let nominal_ms = (before.open < u64::from(server.entry.slots))
            .then(|| nominal_first_event_ms(float(before.prefill), selection.uncached, generation.prompt.0));
        let (last_event, reading_since, events) = (None, started, 0);
        Some(Self { loads, clock, engine, load, nominal_ms, event_tokens, started, last_event, reading_since, events })
    }

    /// Records that the stream is being read from now on.
    pub fn note_reading(&mut self) {
        self.reading_since = self.clock.now();
    }

    /// Records that the stream has brought `events` in total.
    pub fn note_events(&mut self, events: u64) {
        let now = self.clock.now();
        // The view is locked before the own report, here and in `FleetLoads::engines`.
        let others = self.loads.view.lock().load(self.engine, now).unwrap_or_default();
        let mut own = self.loads.own.lock();
        let previous = self.last_event.replace(now);
        let new_events = match previous {
            // A resumed stream counts the events of earlier servers.
            None => 1,
            Some(_) => events.saturating_sub(self.events),
        };
        self.events = events;
        let added = EngineLoad { held: new_events.saturating_mul(self.event_tokens), ..EngineLoad::default() };
        if own.add(self.engine, added) {
            self.load = self.load.plus(added);
        }
        match previous {
            None => {
                let computed = EngineLoad { prefill: self.load.prefill, ..EngineLoad::default() };
                own.remove(self.engine, computed);
                self.load = self.load.minus(computed);
                if let Some(nominal_ms) = self.nominal_ms {
                    own.note_prefill(self.engine, now.since(self.started), nominal_ms, now);
                }
            }
            Some(previous) => {
                let pause = now.since(previous);
                let unread = self.reading_since.since(previous);
                let steps = new_events.saturating_mul(self.event_tokens);
                if steps > 0 && unread <= pause.mul_f64(UNREAD_PART_MAX) {
                    let running = own.load(self.engine).plus(others).open;
                    let step = Duration::from_secs_f64(pause.as_secs_f64() / float(steps));
                    own.note_step(self.engine, step, nominal_step_ms(float(running)), now);
                }
            }
        }
    }
}

impl Drop for EngineProgress {
    fn drop(&mut self) {
        self.loads.own.lock().remove(self.engine, self.load);
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn float(value: u64) -> f64 {
    value as f64
}
