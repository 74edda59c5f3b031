//! Command line of primrosechute for operators.

#![forbid(unsafe_code)]

mod command;
mod file;
mod output;
mod sheets;

fn main() -> std::process::ExitCode {
    command::main()
}
