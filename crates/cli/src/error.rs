//! Prints the error that ends the program.

/// Prints an error and its causes on standard error.
pub fn print_error(error: &eyre::Report) {
    eprintln!("coltsfootpick: {error:#}");
}
