//! The daemon: one instance of the router fleet.

use std::process::ExitCode;

use coltsfootpick_process::start::start;
use coltsfootpickd::args::PROGRAM;
use coltsfootpickd::run::run;
use coltsfootpickd::settings::Settings;

fn main() -> ExitCode {
    start(&PROGRAM, Settings::read, |settings, _| run(settings))
}
