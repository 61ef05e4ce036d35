//! Exit codes, listed in `docs/OPERATING.md` and `docs/OPERATIONS.md`.

use std::process::ExitCode;

use crate::args::ArgsError;
use crate::settings_file::SettingsError;

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Stopped as asked; nothing was cut off.
    Success = 0,
    /// Failed while running.
    Failure = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings are wrong.
    Settings = 3,
    /// Stopped at the drain deadline with requests under way.
    CutOff = 4,
    /// Stopped with bills or returns that the log did not take in time.
    Unsettled = 5,
}

impl Exit {
    /// Code for an error that ends the process.
    pub fn from_error(error: &eyre::Report) -> Self {
        match error {
            error if error.is::<ArgsError>() => Self::Usage,
            error if error.is::<SettingsError>() => Self::Settings,
            _ => Self::Failure,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
