//! The record of what was sent, answered and run, and the one clock of a case.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    started: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Record {
            started: Instant::now(),
            out: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        self.line_at(self.now(), text);
    }

    pub fn line_at(&self, at: Duration, text: &str) {
        let mut out = self.out.lock().expect("record");
        let _ = writeln!(out, "{:9.3} {text}", at.as_secs_f64());
    }

    /// Writes a line that is also shown.
    pub fn show(&self, text: &str) {
        println!("{:9.3} {text}", self.now().as_secs_f64());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.out.lock().expect("record").flush();
    }
}
