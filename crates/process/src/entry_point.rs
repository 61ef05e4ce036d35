//! Entry point of a program: parses its command line, executes the command and maps the result to an exit code.

use std::path::Path;
use std::process::ExitCode;

use crate::args::{Command, Program};
use crate::exit::Exit;
use crate::settings_file::SettingsError;

/// Executes the command given on the command line and returns the exit code.
///
/// `read` reads the settings file; `run` runs the program with the settings until it stops. Prints errors on standard
/// error.
pub fn run_program<S>(
    program: &Program,
    read: impl FnOnce(&Path) -> Result<S, SettingsError>,
    run: impl FnOnce(S, &Path) -> eyre::Result<Exit>,
) -> ExitCode {
    match execute(program, read, run) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("{}: {error:#}", program.name);
            Exit::from_error(&error).into()
        }
    }
}

fn execute<S>(
    program: &Program,
    read: impl FnOnce(&Path) -> Result<S, SettingsError>,
    run: impl FnOnce(S, &Path) -> eyre::Result<Exit>,
) -> eyre::Result<Exit> {
    let default_config = program.config_variable.and_then(|variable| std::env::var(variable).ok());
    match program.parse(std::env::args().skip(1), default_config)? {
        Command::Help => print!("{}", program.help()),
        Command::Version => println!("{} {}", program.name, env!("CARGO_PKG_VERSION")),
        Command::Check(path) => {
            read(&path)?;
            println!("{} is valid", path.display());
        }
        Command::Run(path) => return run(read(&path)?, &path),
    }
    Ok(Exit::Success)
}
