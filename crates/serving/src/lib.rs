//! The way of a request through one instance: typed requests in, typed outcomes out.
//!
//! Borders to the store, to backend servers' dialect and to time are traits, so that every fault can be played
//! without a network. `docs/PLATFORM.md` tells how the parts meet. Modules import from their own group and from those
//! below it: the path of a request, what it and the controllers use, controllers that follow the store, shared state,
//! and types.

pub mod accepted_request;
pub mod open_request;
pub mod relay;
pub mod request_handler;

pub mod crash_detection;
pub mod credit_controller;
pub mod dispatch;
pub mod drain;
pub mod peers;

pub mod document_controller;
pub mod server_controller;
pub mod topic_reader;

pub mod blackboard;
pub mod counted_log;
pub mod pool;
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
