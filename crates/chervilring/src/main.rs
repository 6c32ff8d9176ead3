//! The `chervilring` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    chervilring::main()
}
