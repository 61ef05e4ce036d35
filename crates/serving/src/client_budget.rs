//! Budget of bytes and sockets of one instance: what clients make it hold is charged before it is held, and released
//! when it is freed. `docs/OPERATIONS.md#clients-outside-the-limits` describes the limits.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use coltsfootpick_core::client_limits::{ByteBudget, ByteUse, ORDINARY_BYTES, SocketKind, TimeLimits, sockets_within};
use derive_more::{Display, Error};
use parking_lot::Mutex;

/// Time limits of clients if the settings do not change them. None is reached by a caller that sends its whole request
/// within the limits of the document and reads its answer as it arrives.
const TIME_LIMITS: TimeLimits = TimeLimits {
    // Until a document states the time for a head. Earlier versions waited as long.
    head: Duration::from_secs(60),
    // A body of 12 KB arrives at once; even the largest one makes progress every second on a narrow link.
    body: Duration::from_secs(3),
    // Servers keep an unread answer for some seconds.
    answer: Duration::from_secs(10),
    // Longer than any idle timeout that documents set.
    idle: Duration::from_secs(60),
};

/// Retry delay of a refusal for lack of memory. Connections that make no progress are closed after a fraction of this
/// time, and an instance that stays full is reported as not ready.
pub const MEMORY_BACKOFF: Duration = Duration::from_secs(1);

/// Limits of one instance on what clients make it hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Memory of the process in bytes; `None` if not limited.
    pub memory: Option<u64>,
    /// Descriptors that the process may have open; `None` if not limited.
    pub descriptors: Option<u64>,
    /// Time limits of connections.
    pub times: TimeLimits,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self { memory: None, descriptors: None, times: TIME_LIMITS }
    }
}

/// The budget does not admit further bytes.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the memory for requests and answers is used up")]
pub struct BudgetFull;

/// Budget of one instance.
#[derive(Debug)]
pub struct ClientBudget {
    limits: Mutex<ClientLimits>,
    bytes: Mutex<ByteBudget>,
    /// Open sockets of each kind, in the order of [`SocketKind::ALL`].
    sockets: [AtomicUsize; SocketKind::ALL.len()],
    /// Charges refused so far.
    refused: AtomicU64,
}

impl Default for ClientBudget {
    fn default() -> Self {
        Self {
            limits: Mutex::default(),
            bytes: Mutex::default(),
            sockets: Default::default(),
            refused: AtomicU64::new(0),
        }
    }
}

impl ClientBudget {
    /// Sets the limits; without a call nothing but times is limited.
    pub fn set_limits(&self, limits: ClientLimits) {
        self.bytes.lock().set_memory(limits.memory);
        *self.limits.lock() = limits;
    }

    /// Limits in force.
    pub fn limits(&self) -> ClientLimits {
        *self.limits.lock()
    }

    /// Bytes held.
    pub fn used(&self) -> u64 {
        self.bytes.lock().used()
    }

    /// Bytes above the level at which connections are closed.
    pub fn excess(&self) -> u64 {
        self.bytes.lock().excess()
    }

    /// Charges refused so far.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Whether the instance holds so much that callers should go elsewhere.
    pub fn is_pressed(&self) -> bool {
        self.bytes.lock().is_pressed()
    }

    /// Updates [`Self::is_pressed`]; returns whether it changed.
    pub fn update(&self) -> bool {
        self.bytes.lock().update()
    }

    /// Starts a charge of zero bytes.
    pub fn charge(self: &Arc<Self>) -> Charge {
        Charge { budget: Arc::clone(self), bytes: 0 }
    }

    /// Open sockets of `kind`.
    pub fn open_sockets(&self, kind: SocketKind) -> usize {
        self.sockets[kind as usize].load(Ordering::Relaxed)
    }

    /// Most sockets of `kind` that may be open now: its share, and what the other kinds have left of all.
    pub fn sockets_max(&self, kind: SocketKind) -> usize {
        let Some(descriptors) = self.limits.lock().descriptors else { return usize::MAX };
        let all = sockets_within(descriptors);
        let others = SocketKind::ALL.iter().filter(|other| **other != kind).map(|other| self.open_sockets(*other));
        let left = all.saturating_sub(others.sum::<usize>() as u64);
        usize::try_from(kind.share_of(all).min(left)).unwrap_or(usize::MAX)
    }

    /// Opens a socket of `kind` whose buffers take `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if there are as many sockets of the kind as there may be, or if the bytes are not admitted.
    pub fn open_socket(self: &Arc<Self>, kind: SocketKind, bytes: u64) -> Result<SocketSlot, BudgetFull> {
        if self.open_sockets(kind) >= self.sockets_max(kind) {
            return Err(BudgetFull);
        }
        let mut charge = self.charge();
        // A request that was read is better served than refused, so its connection to a server is not refused early.
        let is_outgoing = kind == SocketKind::Server;
        charge.grow_as(bytes, if is_outgoing { ByteUse::Ordinary } else { ByteUse::Connection })?;
        self.sockets[kind as usize].fetch_add(1, Ordering::Relaxed);
        Ok(SocketSlot { kind, charge })
    }
}

/// Open socket; dropping it releases its descriptor and its bytes.
#[derive(Debug)]
pub struct SocketSlot {
    kind: SocketKind,
    charge: Charge,
}

impl Drop for SocketSlot {
    fn drop(&mut self) {
        self.charge.budget.sockets[self.kind as usize].fetch_sub(1, Ordering::Relaxed);
    }
}

/// Charged bytes; dropping it releases them.
#[derive(Debug)]
pub struct Charge {
    budget: Arc<ClientBudget>,
    bytes: u64,
}

impl Charge {
    /// Charges further bytes of a request or an answer.
    ///
    /// # Errors
    ///
    /// Fails, and charges nothing, if the budget does not admit them.
    pub fn grow(&mut self, bytes: u64) -> Result<(), BudgetFull> {
        let is_ordinary = self.bytes.saturating_add(bytes) <= ORDINARY_BYTES;
        self.grow_as(bytes, if is_ordinary { ByteUse::Ordinary } else { ByteUse::Large })
    }

    /// Charges up to `bytes` in all, if fewer are charged.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::grow`] does.
    pub fn grow_to(&mut self, bytes: u64) -> Result<(), BudgetFull> {
        match bytes.checked_sub(self.bytes) {
            Some(more) if more > 0 => self.grow(more),
            _ => Ok(()),
        }
    }

    fn grow_as(&mut self, bytes: u64, byte_use: ByteUse) -> Result<(), BudgetFull> {
        if !self.budget.bytes.lock().charge(bytes, byte_use) {
            self.budget.refused.fetch_add(1, Ordering::Relaxed);
            return Err(BudgetFull);
        }
        self.bytes += bytes;
        Ok(())
    }

    /// Releases what is charged beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: u64) {
        let freed = self.bytes.saturating_sub(bytes);
        self.budget.bytes.lock().release(freed);
        self.bytes -= freed;
    }

    /// Bytes charged.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Ties the charge to `bytes`: it is released when their last copy is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ChargedBytes { bytes, _charge: self })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.bytes.lock().release(self.bytes);
    }
}

struct ChargedBytes {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
