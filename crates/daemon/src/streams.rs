//! Streams that this instance relays, so that a caller that comes back takes over from itself.

use std::collections::BTreeMap;
use std::sync::Arc;

use coltsfootpick_core::names::RecordId;
use coltsfootpick_core::shard_credit::Ticket;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::event;
use crate::events::Event;
use crate::instance::Instance;

/// Latest relay of each stream.
#[derive(Debug, Default)]
pub struct Streams {
    latest: Mutex<BTreeMap<RecordId, Latest>>,
}

#[derive(Debug)]
struct Latest {
    ticket: Ticket,
    superseded: CancellationToken,
}

impl Streams {
    /// Ends the relay of `id` without a cancel or a bill, since another relay goes on with the stream.
    ///
    /// Peers call this when the caller came back through another instance.
    pub fn supersede(&self, id: &RecordId) {
        if let Some(older) = self.latest.lock().remove(id) {
            event!(Event::StreamTaken, "request={id}");
            older.superseded.cancel();
        }
    }
}

/// One relay of a stream.
#[derive(Debug)]
pub struct StreamGuard {
    instance: Arc<Instance>,
    id: RecordId,
    ticket: Ticket,
    superseded: CancellationToken,
}

impl StreamGuard {
    /// Registers a relay of `id` as the latest; an older one goes on but no longer cancels at the engine.
    pub fn register(instance: &Arc<Instance>, id: &RecordId) -> Self {
        let superseded = CancellationToken::new();
        let ticket = instance.next_ticket();
        let latest = Latest { ticket, superseded: superseded.clone() };
        instance.streams.latest.lock().insert(id.clone(), latest);
        Self { instance: Arc::clone(instance), id: id.clone(), ticket, superseded }
    }

    /// Cancelled once another relay goes on with the stream.
    pub fn superseded(&self) -> CancellationToken {
        self.superseded.clone()
    }

    /// True while no later relay of the stream was registered.
    pub fn is_latest(&self) -> bool {
        self.instance.streams.latest.lock().get(&self.id).is_some_and(|latest| latest.ticket == self.ticket)
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let mut latest = self.instance.streams.latest.lock();
        if latest.get(&self.id).is_some_and(|known| known.ticket == self.ticket) {
            latest.remove(&self.id);
        }
    }
}
