//! Exit codes shared by all programs.

use std::process::ExitCode;

/// Success.
pub const OK: u8 = 0;
/// The program ran, with a negative result: a violated guarantee or a refused command.
pub const FAILED: u8 = 1;
/// The command line or the settings are invalid; nothing was started.
pub const USAGE: u8 = 2;
/// Something outside the process failed, such as an address in use or an unreachable peer.
pub const UNAVAILABLE: u8 = 3;

/// Prints an error to standard error and returns the exit code.
pub fn fail(code: u8, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::from(code)
}
