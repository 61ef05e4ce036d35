//! Exit codes, listed in `docs/OPERATING.md`.

use std::process::ExitCode;

use crate::args::ArgsError;
use crate::client::ClientError;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The command failed and had no effect.
    Failure = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The order or the document is invalid, another operator's change came first, or an audit found an overspent
    /// budget. The command had no effect.
    Refused = 3,
    /// The order may have taken effect; repeat it with the same `--id` or run `history`.
    Unknown = 4,
}

impl Exit {
    /// Returns the exit code for an error that ends the command.
    pub fn from_error(error: &eyre::Report) -> Self {
        match error.downcast_ref::<ClientError>() {
            Some(ClientError::Unknown(_)) => Self::Unknown,
            Some(ClientError::Refused(_)) => Self::Refused,
            None if error.is::<ArgsError>() => Self::Usage,
            _ => Self::Failure,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
