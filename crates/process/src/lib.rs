//! Parts that the long-running programs share: command line, settings file, start and exit code.

pub mod args;
pub mod entry_point;
pub mod exit;
pub mod settings_file;
