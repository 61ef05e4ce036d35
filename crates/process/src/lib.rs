//! Parts that the long-running programs share: command line, settings file, start and exit code.

pub mod args;
pub mod exit;
pub mod settings_file;
pub mod start;
