//! Fakes of the systems around a fleet, simulations and load generators, for tests, demos and measurements.
//! The fleet's own programs do not use this crate.

pub mod budget_schemes;
pub mod budget_simulation;
pub mod caller;
pub mod endless_answers;
pub mod engine;
pub mod engine_load;
pub mod engine_model;
pub mod engine_placement_simulation;
pub mod keyed_store;
pub mod ledger_simulation;
pub mod linear_fit;
pub mod load_generator;
pub mod plain_protocol;
pub mod plain_service;
pub mod platform;
pub mod ports;
pub mod relay;
pub mod replay;
pub mod request_harness;
pub mod routing_simulation;
pub mod scripted_server;
pub mod server;
pub mod sse;
pub mod zone_loads;
pub mod zone_simulation;
