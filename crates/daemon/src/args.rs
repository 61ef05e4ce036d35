//! Command line of the daemon.

use coltsfootpick_process::args::Program;

/// The daemon and what its help says.
pub const PROGRAM: Program = Program {
    name: "coltsfootpickd",
    usage: "--config FILE [--check]",
    config_help: "settings file of this instance",
    config_variable: None,
};
