//! Writes to the terminal. Only these functions do so; everything else goes through the log.

use std::io::{self, Write};

/// Writes a text and a newline to standard output.
pub fn text(text: &str) {
    // A closed pipe, for example to `head`, is not an error of the command.
    let _ = writeln!(io::stdout().lock(), "{}", text.trim_end());
}

/// Writes a text and a newline to standard error.
pub fn error(text: &str) {
    let _ = writeln!(io::stderr().lock(), "{}", text.trim_end());
}
