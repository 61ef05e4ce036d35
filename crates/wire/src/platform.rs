//! Bodies of the platform's HTTP interface: the append-only log, the instance list and model engines.
//!
//! The interface is described in `docs/OWN-PLATFORM.md`; the stand-in of the test kit serves the same.

use coltsfootpick_core::models::LoadedModel;
use serde::{Deserialize, Serialize};

/// Answer to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset given to the record.
    pub offset: u64,
}

/// One record read back.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Offset in its stream.
    pub offset: u64,
    /// Bytes in base64.
    pub data: String,
}

/// Answer to a read; `first` is the oldest offset still kept.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Oldest offset still kept.
    pub first: u64,
    /// Offset that the next append will get.
    pub next: u64,
    /// Records from the offset asked for.
    pub records: Vec<StoredRecord>,
}

/// State of a listed server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Takes work.
    Live,
    /// Is about to go.
    Leaving,
}

/// Server in the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Name.
    pub name: String,
    /// Service that it runs; `coltsfootpick` for instances of the fleet.
    pub service: String,
    /// Address and port.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Live or leaving.
    pub state: ListedState,
}

/// Change of an engine's prefix cache, at `GET /cache-events?from=SEQUENCE`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheChange {
    /// Number that grows by one with each change of an engine's run.
    pub sequence: u64,
    /// Time since the change, in ms.
    pub age_ms: u64,
    /// Hashes of blocks that are now cached.
    pub stored: Vec<u64>,
    /// Hashes of blocks that no longer are.
    pub evicted: Vec<u64>,
}

/// Order to an engine, at `POST /orders`; `GET /models` reads its effect back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number: the offset of the claim that gives the order.
    pub token: u64,
    /// What the engine shall have loaded.
    pub want: LoadedModel,
}
