//! Entry point of the `milletlock` program. All code is in the library; see [`milletlock::cli`].

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    milletlock::cli::main()
}
