//! Index of the prompt prefixes that each backend server probably has cached.
//!
//! Engines publish cache events late and with gaps. The index therefore records this instance's own dispatches and
//! uses the events only to correct them. See `docs/ROUTING.md`.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasherDefault, Hasher};

use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::BackendServerName;
use crate::units::Instant;

/// Length of a prompt block, the unit of hashing, in bytes.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Maximum number of blocks of a prompt that are hashed and looked up.
pub const PREFIX_BLOCKS_MAX: usize = 64;

/// Maximum number of servers recorded per block.
const BLOCK_SERVERS_MAX: usize = 4;

/// Maximum number of servers that a lookup returns.
const MATCHES_MAX: usize = 6;

const SHARDS: usize = 16;

/// Hash of a prompt from its start to the end of a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockHash(pub u64);

/// Returns the hashes of the complete blocks of `prompt`, each seeded with the previous one.
pub fn block_hashes(prompt: &str) -> Vec<BlockHash> {
    let blocks = prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES).take(PREFIX_BLOCKS_MAX);
    let chained = blocks.scan(0, |seed, block| {
        *seed = xxh3_64_with_seed(block, *seed);
        Some(BlockHash(*seed))
    });
    chained.collect()
}

/// Change of a server's prefix cache, as published by the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number, which increases by one per event and restarts with the server.
    pub sequence: u64,
    /// Estimated time of the change on this instance's clock.
    pub at: Instant,
    /// Blocks that were added to the cache.
    pub stored: Vec<BlockHash>,
    /// Blocks that were removed from the cache.
    pub evicted: Vec<BlockHash>,
}

/// Server that probably has a prefix of a prompt cached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixMatch {
    /// Name of the server.
    pub server: BackendServerName,
    /// Number of leading blocks that it has cached; halved if a gap in its events may hide an eviction.
    pub blocks: usize,
}

/// Server that has a block cached, with the time of the newest dispatch or event that shows it.
#[derive(Clone, Debug)]
struct CacheEntry {
    server: BackendServerName,
    at: Instant,
}

type BlockEntries = [Option<CacheEntry>; BLOCK_SERVERS_MAX];

/// Hasher that returns block hashes unchanged, because they are hashes already.
#[derive(Clone, Copy, Debug, Default)]
struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64_with_seed(bytes, self.0);
    }

    fn write_u64(&mut self, i: u64) {
        self.0 = i;
    }
}

/// Two generations of blocks; when the recent one is full, it replaces the previous one.
#[derive(Debug, Default)]
struct PrefixShard {
    recent: HashMap<BlockHash, BlockEntries, BuildHasherDefault<BlockHasher>>,
    previous: HashMap<BlockHash, BlockEntries, BuildHasherDefault<BlockHasher>>,
}

impl PrefixShard {
    fn entries_mut(&mut self, block: BlockHash) -> Option<&mut BlockEntries> {
        self.recent.get_mut(&block).or_else(|| self.previous.get_mut(&block))
    }

    fn add(&mut self, block: BlockHash, server: &BackendServerName, at: Instant, capacity: usize) {
        let known = self.recent.get_mut(&block).and_then(|entries| entry_of(entries, server));
        if let Some(entry) = known {
            entry.at = entry.at.max(at);
            return;
        }
        if self.recent.len() >= capacity && !self.recent.contains_key(&block) {
            self.previous = std::mem::take(&mut self.recent);
        }
        let older = self.previous.remove(&block);
        let entries = self.recent.entry(block).or_insert_with(|| older.unwrap_or_default());
        if let Some(entry) = entry_of(entries, server) {
            entry.at = entry.at.max(at);
            return;
        }
        let oldest = entries.iter_mut().min_by_key(|slot| slot.as_ref().map(|known| known.at));
        if let Some(slot) = oldest {
            *slot = Some(CacheEntry { server: server.clone(), at });
        }
    }
}

fn entry_of<'a>(entries: &'a mut BlockEntries, server: &BackendServerName) -> Option<&'a mut CacheEntry> {
    entries.iter_mut().flatten().find(|known| known.server == *server)
}

/// Sequence of a server's cache events: next expected number, and the times of the last gap and the last restart.
#[derive(Clone, Copy, Debug, Default)]
struct EventState {
    next: u64,
    gap: Option<Instant>,
    reset: Option<Instant>,
}

/// Bounded index of prompt prefixes by server, in shards with a lock each.
#[derive(Debug)]
pub struct PrefixIndex {
    shards: Vec<Mutex<PrefixShard>>,
    events: Mutex<BTreeMap<BackendServerName, EventState>>,
    capacity: usize,
}

impl Default for PrefixIndex {
    fn default() -> Self {
        Self::new(32 << 10)
    }
}

impl PrefixIndex {
    /// Creates an empty index of at most `blocks` blocks in each of two generations.
    pub fn new(blocks: usize) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self { shards, events: Mutex::default(), capacity: (blocks / SHARDS).max(1) }
    }

    /// Returns the number of recorded blocks.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock()).map(|shard| shard.recent.len() + shard.previous.len()).sum()
    }

    /// Returns whether no block is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that a prompt consisting of `blocks` was sent to `server` at `now`.
    pub fn record(&self, blocks: &[BlockHash], server: &BackendServerName, now: Instant) {
        for block in blocks {
            self.shard(*block).lock().add(*block, server, now, self.capacity);
        }
    }

    /// Returns the servers with the longest cached prefixes of a prompt consisting of `blocks`, longest first.
    ///
    /// Prefixes shorter than half the longest one are left out.
    pub fn matches(&self, blocks: &[BlockHash]) -> Vec<PrefixMatch> {
        let mut matches: Vec<PrefixMatch> = Vec::with_capacity(MATCHES_MAX);
        let mut longest = 0;
        for (index, block) in blocks.iter().enumerate().rev() {
            let mut shard = self.shard(*block).lock();
            for entry in shard.entries_mut(*block).into_iter().flatten().flatten() {
                if matches.iter().all(|found| found.server != entry.server) {
                    let blocks = self.trusted_blocks(entry, index + 1);
                    matches.push(PrefixMatch { server: entry.server.clone(), blocks });
                    longest = longest.max(index + 1);
                }
            }
            if matches.len() >= MATCHES_MAX || 2 * index < longest {
                break;
            }
        }
        matches.retain(|found| found.blocks > 0);
        matches.truncate(MATCHES_MAX);
        matches
    }

    /// Applies a cache event of `server` to the index.
    ///
    /// After a gap in the sequence numbers, [`matches`](Self::matches) counts only half the blocks of older entries;
    /// after a restart of the sequence it ignores them. An eviction doesn't remove entries that are newer than it.
    pub fn apply_event(&self, server: &BackendServerName, event: &CacheEvent) {
        self.note_sequence(server, event);
        for block in &event.evicted {
            if let Some(entries) = self.shard(*block).lock().entries_mut(*block) {
                let is_evicted = |known: &CacheEntry| known.server == *server && known.at <= event.at;
                entries.iter_mut().filter(|slot| slot.as_ref().is_some_and(is_evicted)).for_each(|slot| *slot = None);
            }
        }
        self.record(&event.stored, server, event.at);
    }

    fn note_sequence(&self, server: &BackendServerName, event: &CacheEvent) {
        let mut events = self.events.lock();
        let state = events.entry(server.clone()).or_default();
        match event.sequence {
            number if number < state.next => state.reset = Some(event.at),
            number if number > state.next => state.gap = Some(event.at),
            _ => {}
        }
        state.next = event.sequence + 1;
    }

    fn trusted_blocks(&self, entry: &CacheEntry, blocks: usize) -> usize {
        match self.events.lock().get(&entry.server) {
            Some(state) if state.reset.is_some_and(|reset| entry.at < reset) => 0,
            Some(state) if state.gap.is_some_and(|gap| entry.at < gap) => blocks / 2,
            _ => blocks,
        }
    }

    fn shard(&self, block: BlockHash) -> &Mutex<PrefixShard> {
        let index = usize::try_from((block.0 >> 32) % SHARDS as u64).unwrap_or_default();
        &self.shards[index]
    }
}
