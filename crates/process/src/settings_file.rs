//! Reading of a settings file, with everything wrong with it told at once.

use std::path::{Path, PathBuf};

use coltsfootpick_core::ini::Fault;
use derive_more::{Display, Error};

/// Why settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read {}: {source}", path.display())]
    Read {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The file has faults.
    #[display("{} faults in {}:{}", faults.len(), path.display(), fault_lines(faults))]
    Faults {
        /// File.
        path: PathBuf,
        /// Everything wrong.
        faults: Vec<Fault>,
    },
}

fn fault_lines(faults: &[Fault]) -> String {
    faults.iter().fold(String::new(), |lines, fault| lines + "\n  " + &fault.to_string())
}

/// Reads a file and checks its text with `parse`.
pub fn read_settings<S>(path: &Path, parse: impl FnOnce(&str) -> Result<S, Vec<Fault>>) -> Result<S, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
    parse(&text).map_err(|faults| SettingsError::Faults { path: path.to_owned(), faults })
}
