//! `primrosectl`, the command line for operators of primrosechute.

#![forbid(unsafe_code)]

mod call;
mod command;
mod distribution;
mod duration;
mod entries;
mod explain;
mod file;
mod http;
mod jsonc;
mod key;
mod load;
mod mix;
mod output;
mod plan;
mod report;
mod result;
mod send;
mod sheets;
mod site;
mod sse;
mod status;
mod svg;
mod table;
mod tally;
mod verify;

fn main() -> std::process::ExitCode {
    command::main()
}
