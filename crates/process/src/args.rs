//! Command line of a program that reads one settings file.

use std::path::PathBuf;

use derive_more::{Display, Error};
use getopts::Options;

/// Name of a program and the texts of its `--help`.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the program.
    pub name: &'static str,
    /// Rest of the usage line, after the program's name.
    pub usage: &'static str,
    /// Help text of `--config`.
    pub config_help: &'static str,
    /// Environment variable with the path of the settings file; `None` when the program reads no such variable.
    pub config_variable: Option<&'static str>,
}

/// Command given on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the usage.
    Help,
    /// Print the version.
    Version,
    /// Check a settings file.
    Check(PathBuf),
    /// Run with a settings file.
    Run(PathBuf),
}

/// Error in the command line.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{message}; try --help")]
pub struct ArgsError {
    message: String,
}

impl Program {
    fn options(&self) -> Options {
        let mut options = Options::new();
        options.optopt("c", "config", self.config_help, "FILE");
        options.optflag("", "check", "check the settings and exit");
        options.optflag("h", "help", "print this help");
        options.optflag("V", "version", "print the version");
        options
    }

    /// Returns the text of `--help`.
    pub fn help(&self) -> String {
        self.options().usage(&format!("Usage: {} {}", self.name, self.usage))
    }

    /// Parses the arguments that follow the program's name.
    ///
    /// `default_config` is the path of the settings file when `--config` is absent.
    pub fn parse(
        &self,
        args: impl Iterator<Item = String>,
        default_config: Option<String>,
    ) -> Result<Command, ArgsError> {
        let matches = self.options().parse(args).map_err(|error| ArgsError { message: error.to_string() })?;
        if let Some(extra) = matches.free.first() {
            return Err(ArgsError { message: format!("unexpected argument '{extra}'") });
        }
        match matches.opt_str("config").or(default_config).map(PathBuf::from) {
            _ if matches.opt_present("help") => Ok(Command::Help),
            _ if matches.opt_present("version") => Ok(Command::Version),
            None => Err(ArgsError { message: self.missing_config() }),
            Some(path) if matches.opt_present("check") => Ok(Command::Check(path)),
            Some(path) => Ok(Command::Run(path)),
        }
    }

    fn missing_config(&self) -> String {
        match self.config_variable {
            Some(variable) => format!("neither --config nor {variable} names a settings file"),
            None => "--config is required".to_owned(),
        }
    }
}
