//! Command line of primrosechute for operators.

#![forbid(unsafe_code)]

mod call;
mod command;
mod entries;
mod file;
mod http;
mod key;
mod output;
mod send;
mod sheets;
mod sse;
mod status;

fn main() -> std::process::ExitCode {
    command::main()
}
