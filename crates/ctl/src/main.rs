//! Command line of primrosechute for operators.

#![forbid(unsafe_code)]

mod command;
mod entries;
mod file;
mod http;
mod output;
mod sheets;
mod status;

fn main() -> std::process::ExitCode {
    command::main()
}
