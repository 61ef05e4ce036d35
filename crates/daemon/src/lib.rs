//! One instance of the router fleet: sockets, tasks and clocks around the decisions of `coltsfootpick-core`.
//!
//! `docs/DESIGN.md` in the repository root is the design of record.

pub mod admission;
pub mod appender;
pub mod args;
pub mod at_most_once;
pub mod audit;
pub mod callers;
pub mod chat;
pub mod choose;
pub mod clock;
pub mod credentials;
pub mod credit;
pub mod engine_call;
pub mod events;
pub mod follower;
pub mod forward;
pub mod http;
pub mod in_flight;
pub mod instance;
pub mod instance_list;
pub mod listener;
pub mod load;
pub mod metrics;
pub mod models;
pub mod operators;
pub mod peer_gossip;
pub mod peer_link;
pub mod peer_log;
pub mod peer_requests;
pub mod peer_suspects;
pub mod peer_tasks;
pub mod peers;
pub mod plain;
pub mod platform;
pub mod problem;
pub mod recorder;
pub mod recovery;
pub mod relay;
pub mod run;
pub mod settings;
pub mod silent_holders;
pub mod snapshotter;
pub mod sse;
pub mod streams;
pub mod suspects;
