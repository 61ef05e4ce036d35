//! Command line of the daemon.

use coltsfootpick_process::args::Program;

/// Command line of the daemon, with its help texts.
pub const PROGRAM: Program = Program {
    name: "coltsfootpickd",
    usage: "--config FILE [--check]",
    config_help: "settings file of this instance",
    config_variable: None,
};
