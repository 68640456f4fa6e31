//! The milletlock program.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    milletlock::cli::main()
}
