//! Registry of the streams that this instance relays, so that a resumed stream replaces its older relay.

use std::collections::BTreeMap;
use std::sync::Arc;

use coltsfootpick_core::names::RecordId;
use coltsfootpick_core::shard_credit::Ticket;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use crate::event;
use crate::events::Event;
use crate::instance::Instance;

/// Newest relay of each stream.
#[derive(Debug, Default)]
pub struct StreamRegistry {
    latest: Mutex<BTreeMap<RecordId, LatestRelay>>,
}

#[derive(Debug)]
struct LatestRelay {
    ticket: Ticket,
    superseded: CancellationToken,
}

impl StreamRegistry {
    /// Ends this instance's relay of `id` without cancelling the stream or billing it, because another relay resumes
    /// the stream.
    pub fn supersede(&self, id: &RecordId) {
        if let Some(older) = self.latest.lock().remove(id) {
            event!(Event::StreamTakenOver, "request={id}");
            older.superseded.cancel();
        }
    }
}

/// Registration of one relay of a stream.
#[derive(Debug)]
pub struct RelayGuard {
    instance: Arc<Instance>,
    id: RecordId,
    ticket: Ticket,
    superseded: CancellationToken,
}

impl RelayGuard {
    /// Registers a relay of `id` as the latest; an older relay continues but no longer cancels the stream at the
    /// engine.
    pub fn register(instance: &Arc<Instance>, id: &RecordId) -> Self {
        let superseded = CancellationToken::new();
        let ticket = instance.next_ticket();
        let latest = LatestRelay { ticket, superseded: superseded.clone() };
        instance.streams.latest.lock().insert(id.clone(), latest);
        Self { instance: Arc::clone(instance), id: id.clone(), ticket, superseded }
    }

    /// Token that is cancelled once another relay resumes the stream.
    pub fn superseded(&self) -> CancellationToken {
        self.superseded.clone()
    }

    /// Returns true while no later relay of the stream is registered.
    pub fn is_latest(&self) -> bool {
        self.instance.streams.latest.lock().get(&self.id).is_some_and(|latest| latest.ticket == self.ticket)
    }
}

impl Drop for RelayGuard {
    fn drop(&mut self) {
        let mut latest = self.instance.streams.latest.lock();
        if latest.get(&self.id).is_some_and(|latest| latest.ticket == self.ticket) {
            latest.remove(&self.id);
        }
    }
}
