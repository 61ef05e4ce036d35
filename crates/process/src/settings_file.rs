//! Reads a settings file and reports all its faults together.

use std::path::{Path, PathBuf};

use coltsfootpick_core::ini::Fault;
use derive_more::{Display, Error};

/// Reason why settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read {}: {source}", path.display())]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The file was read, but its settings are not valid.
    #[display("{} faults in {}:{}", faults.len(), path.display(), fault_lines(faults))]
    Faults {
        /// Path of the settings file.
        path: PathBuf,
        /// All faults found.
        faults: Vec<Fault>,
    },
}

fn fault_lines(faults: &[Fault]) -> String {
    faults.iter().fold(String::new(), |lines, fault| lines + "\n  " + &fault.to_string())
}

/// Reads the settings file at `path` and parses its text with `parse`.
pub fn read_settings<S>(path: &Path, parse: impl FnOnce(&str) -> Result<S, Vec<Fault>>) -> Result<S, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
    parse(&text).map_err(|faults| SettingsError::Faults { path: path.to_owned(), faults })
}
