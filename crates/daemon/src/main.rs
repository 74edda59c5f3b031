//! Binary `primrosechute`.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::command::main()
}
