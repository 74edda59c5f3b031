//! Runs `primrosectl` and collects its output.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

pub mod server;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

pub struct CommandResult {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl CommandResult {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap()
    }
}

pub fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosectl"));
    command.args(args).env_remove("PRIMROSECTL_KEY");
    command
}

pub fn command_result(output: Output) -> CommandResult {
    CommandResult {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

pub fn run(args: &[&str]) -> CommandResult {
    command_result(command(args).output().unwrap())
}

pub fn example_path(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(path).display().to_string()
}

pub fn write_file(dir: &tempfile::TempDir, name: &str, text: &str) -> String {
    let path: PathBuf = dir.path().join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}
