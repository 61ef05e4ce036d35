//! Encodings: records of the log streams and the store, messages between instances, and the bodies of HTTP interfaces.

pub mod ceilings;
pub mod convert;
pub mod envelope;
pub mod fleet_load;
pub mod forwarding;
pub mod frame;
pub mod loans;
pub mod messages;
pub mod observations;
pub mod operators;
pub mod ownership;
pub mod peer;
mod peer_convert;
pub mod platform;
pub mod snapshot;
pub mod stream_origins;
pub mod stream_token;
