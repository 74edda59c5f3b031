//! Runs the binary.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

pub mod server;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

pub struct Run {
    pub code: Option<i32>,
    pub out: String,
    pub err: String,
}

impl Run {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

pub fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_primrosectl"));
    command.args(args).env_remove("PRIMROSECTL_KEY");
    command
}

pub fn finish(output: Output) -> Run {
    Run {
        code: output.status.code(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

pub fn run(args: &[&str]) -> Run {
    finish(command(args).output().unwrap())
}

pub fn example(path: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(path).display().to_string()
}

pub fn write(dir: &tempfile::TempDir, name: &str, text: &str) -> String {
    let path: PathBuf = dir.path().join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}
