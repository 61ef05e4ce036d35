//! JSON bodies of the platform's HTTP interface: the append-only log, the server list and the model engines.
//!
//! The interface is described in `docs/OWN-PLATFORM.md`; the test kit's stand-in for the platform serves it too.

use coltsfootpick_core::models::ModelSpec;
use serde::{Deserialize, Serialize};

/// Response to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the appended record.
    pub offset: u64,
}

/// One record of a read response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Offset in its stream.
    pub offset: u64,
    /// Encoded record, in base64.
    pub data: String,
}

/// Response to a read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Oldest offset that the log still keeps.
    pub first: u64,
    /// Offset of the next append.
    pub next: u64,
    /// Records from the requested offset on.
    pub records: Vec<StoredRecord>,
}

/// State of a server in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The server accepts requests.
    Live,
    /// The server is about to stop.
    Leaving,
}

/// Server in the platform's list: an instance of the fleet or a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Server name.
    pub name: String,
    /// Service that the server runs; `coltsfootpick` for instances of the fleet.
    pub service: String,
    /// Address and port.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Whether the server accepts requests or is about to stop.
    pub state: ListedState,
}

/// One change of an engine's prefix cache, returned by `GET /cache-events?from=SEQUENCE`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheChange {
    /// Sequence number; it grows by one with each change within a run of the engine.
    pub sequence: u64,
    /// Time since the change, in ms.
    pub age_ms: u64,
    /// Hashes of the blocks that were added to the cache.
    pub stored: Vec<u64>,
    /// Hashes of the blocks that were evicted from the cache.
    pub evicted: Vec<u64>,
}

/// Order to an engine to load a model, sent by `POST /orders`; `GET /models` shows its effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token: offset of the claim that gave the sender the right to order models.
    pub token: u64,
    /// Model, version and adapters that the engine must have loaded.
    pub want: ModelSpec,
}
