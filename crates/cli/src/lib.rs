//! Command line client of the operators' interface, which any instance serves; see `docs/OPERATING.md`.

pub mod args;
pub mod client;
pub mod completions;
pub mod error;
pub mod exit;
pub mod run;
pub mod table;
