//! `record.txt` of a case, with times since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record; clones share it.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes one line, which begins with the time in seconds.
    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        // A record that can't be written shows in its length; the case goes on.
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}
