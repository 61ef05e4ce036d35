//! Encodings: records of our log streams, authenticated frames between instances, and the platform's protocol.

pub mod ceilings;
pub mod claims;
pub mod convert;
pub mod envelope;
pub mod frame;
pub mod loans;
pub mod messages;
pub mod operators;
pub mod peer;
mod peer_convert;
pub mod platform;
pub mod snapshot;
pub mod stream_token;
