//! What the long-running programs share around their work: command line, settings file and exit code.

pub mod args;
pub mod exit;
pub mod settings_file;
pub mod start;
