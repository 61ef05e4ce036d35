//! Request handling of one instance: takes typed caller requests and returns typed outcomes.
//!
//! The store and the protocol of the backend servers are traits (see [`interfaces`]), so tests can inject every fault
//! without a network. `docs/PLATFORM.md` describes how the parts work together.
//!
//! Modules are grouped in layers; a module imports only from its own layer and those below it: request handling;
//! dispatch, credit and shutdown; controllers that follow the store; shared state; types and utilities.

pub mod admitted_request;
pub mod forward_server;
pub mod open_request;
pub mod relay;
mod request_admission;
pub mod request_handler;
mod server_access;
mod server_choice;
mod stream_continuation;

pub mod crash_detection;
mod credit_borrowing;
pub mod credit_controller;
mod credit_loans;
mod credit_recovery;
mod credit_renewal;
pub mod dispatch;
pub mod drain;
mod forward_answer;
pub mod forward_link;
pub mod forwarder;
pub mod load_collecting;
pub mod load_exchange;
pub mod load_link;
pub mod observations;
pub mod peer_client;
pub mod peer_list;
pub mod peer_server;
pub mod server_list;
pub mod shared_read;
pub mod stream_registry;

pub mod document_controller;
pub mod path_controller;
pub mod server_controller;
pub mod topic_reader;
pub mod zone_routing;

pub mod blackboard;
pub mod buffered_body;
pub mod charged_codec;
pub mod client_budget;
pub mod client_connections;
mod cold_tracking;
pub mod counted_log;
pub mod fleet_loads;
mod homes;
pub mod list_progress;
pub mod metered_stream;
pub mod paths;
pub mod pool;
pub mod request_body;
pub mod retry_share;
pub mod servers;

pub mod event_stream;
pub mod interfaces;
pub mod listener;
pub mod log_events;
pub mod logging;
pub mod metrics;
pub mod outcome;
pub mod request;
pub mod settings;
