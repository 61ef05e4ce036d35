//! Parts that the long-running programs share: command line, settings file, entry point and exit codes.

pub mod args;
pub mod entry_point;
pub mod exit;
pub mod own_limits;
pub mod settings_file;
pub mod socket_limits;
