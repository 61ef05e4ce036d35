//! Start of a program: what its command line asks for, to the exit code.

use std::path::Path;
use std::process::ExitCode;

use crate::args::{Command, Program};
use crate::exit::Exit;
use crate::settings_file::SettingsError;

/// Does what the command line asks for: `read` reads the settings, `run` runs the program with them until it stops.
pub fn start<S>(
    program: &Program,
    read: impl FnOnce(&Path) -> Result<S, SettingsError>,
    run: impl FnOnce(S, &Path) -> eyre::Result<Exit>,
) -> ExitCode {
    match obey(program, read, run) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("{}: {error:#}", program.name);
            Exit::from_error(&error).into()
        }
    }
}

fn obey<S>(
    program: &Program,
    read: impl FnOnce(&Path) -> Result<S, SettingsError>,
    run: impl FnOnce(S, &Path) -> eyre::Result<Exit>,
) -> eyre::Result<Exit> {
    let default = program.config_variable.and_then(|variable| std::env::var(variable).ok());
    match program.parse(std::env::args().skip(1), default)? {
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
