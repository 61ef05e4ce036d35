//! Routing, credit and membership logic of the instances, free of I/O.
//!
//! Callers pass in the time and the random generator; outcomes are returned as values. The state of one instance
//! lives on the sharded [`blackboard`], and each other module makes one kind of decision on it. See
//! `docs/DESIGN.md` for the design.

mod account_credit;
pub mod admission;
pub mod attempts;
pub mod audit;
pub mod backends;
pub mod blackboard;
pub mod brittle_servers;
pub mod ceilings;
pub mod chat;
pub mod client_limits;
pub mod cold_servers;
pub mod cost_policy;
pub mod document;
pub mod document_diff;
mod engine_placement;
pub mod environments;
pub mod evacuations;
pub mod fleet_load;
pub mod forgotten_use;
pub mod forward_peers;
pub mod gossip;
pub mod headroom;
pub mod holder_credit;
pub mod home_regions;
pub mod ini;
pub mod ledger;
mod left_out;
pub mod lenders;
pub mod link_load;
pub mod load_collector;
pub mod load_update;
pub mod load_view;
mod loan_division;
pub mod loan_queue;
pub mod loans;
pub mod membership;
pub mod models;
pub mod names;
pub mod own_load;
pub mod ownership;
pub mod part_blame;
pub mod part_evidence;
pub mod path_health;
pub mod placement;
pub mod prefixes;
pub mod quarantine;
pub mod rate;
pub mod record;
pub mod refusal;
pub mod retry;
pub mod routes;
pub mod selection;
pub mod server_access;
pub mod server_limits;
pub mod shard;
pub mod shard_credit;
pub mod sizing;
pub mod snapshot_schedule;
pub mod stream_origins;
pub mod trace;
pub mod units;
mod zone_cost;
pub mod zone_shares;
