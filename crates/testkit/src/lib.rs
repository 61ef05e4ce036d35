//! Stand-ins for what surrounds the fleet; not shipped.

pub mod baselines;
pub mod budget_load;
pub mod caller;
pub mod engine;
pub mod keyed_store;
pub mod load;
pub mod plain_protocol;
pub mod plain_service;
pub mod platform;
pub mod ports;
pub mod relay;
pub mod replay;
pub mod request_harness;
pub mod routing_world;
pub mod scripted_server;
pub mod server;
pub mod slope;
pub mod sse;
pub mod world;
