//! Command line client for operators.

use std::process::ExitCode;

use coltsfootpick_cli::args::{self, Command, parse_args};
use coltsfootpick_cli::error::print_error;
use coltsfootpick_cli::exit::Exit;
use coltsfootpick_cli::run;

fn main() -> ExitCode {
    match execute() {
        Ok(exit) => exit.into(),
        Err(error) => {
            print_error(&error);
            Exit::from_error(&error).into()
        }
    }
}

fn execute() -> eyre::Result<Exit> {
    let args = parse_args(std::env::args().skip(1))?;
    match args.command {
        Command::Help => {
            print!("{}", args::usage());
            Ok(Exit::Success)
        }
        Command::Version => {
            println!("coltsfootpick {}", env!("CARGO_PKG_VERSION"));
            Ok(Exit::Success)
        }
        _ => run::run(&args),
    }
}
