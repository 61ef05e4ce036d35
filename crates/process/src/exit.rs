//! Exit codes, listed in `docs/OPERATING.md` and `docs/OPERATIONS.md`.

use std::process::ExitCode;

use crate::args::ArgsError;
use crate::settings_file::SettingsError;

/// Exit code of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The program stopped on request, after all its open requests had ended.
    Success = 0,
    /// The program failed while it ran.
    Failure = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings are wrong.
    Settings = 3,
    /// The program reached its drain deadline and aborted the requests still open.
    CutOff = 4,
    /// The program stopped before the log had accepted all of its bills and credit returns.
    Unsettled = 5,
}

impl Exit {
    /// Returns the exit code for an error that ends the program.
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
