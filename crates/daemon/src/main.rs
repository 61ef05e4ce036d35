//! The daemon: one instance of the router fleet.

use std::process::ExitCode;

use coltsfootpick_process::entry_point::run_program;
use coltsfootpickd::args::PROGRAM;
use coltsfootpickd::run::run;
use coltsfootpickd::settings::Settings;

fn main() -> ExitCode {
    run_program(&PROGRAM, Settings::read, |settings, _| run(settings))
}
