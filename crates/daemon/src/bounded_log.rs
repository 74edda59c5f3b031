//! Log output that never blocks and is bounded in volume.

use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use logforth::layout::JsonLayout;
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error, Layout};
use metrics::counter;

/// Lines that may be queued for a slow writer; more are dropped. A line has about 300 bytes.
const QUEUED_LINES: usize = 1024;
/// Lines a second below the level of warnings.
const INFO_PER_S: u32 = 100;
/// Lines a second for warnings and errors, which have a budget of their own: lines of served
/// requests never take the place of lines of failed ones.
const WARN_PER_S: u32 = 300;
const SECOND: Duration = Duration::from_secs(1);

/// Log lines left in the current second.
#[derive(Debug)]
pub struct LineBudget {
    second: Duration,
    info: u32,
    warn: u32,
}

impl Default for LineBudget {
    fn default() -> Self {
        LineBudget {
            second: Duration::ZERO,
            info: INFO_PER_S,
            warn: WARN_PER_S,
        }
    }
}

impl LineBudget {
    /// Takes a line from the budget of its level. Returns false if the second has none left.
    pub fn take(&mut self, now: Duration, level: Level) -> bool {
        if now.saturating_sub(self.second) >= SECOND {
            *self = LineBudget {
                second: now,
                ..LineBudget::default()
            };
        }
        let left = if level >= Level::Warn {
            &mut self.warn
        } else {
            &mut self.info
        };
        let available = *left > 0;
        *left = left.saturating_sub(1);
        available
    }
}

/// Appends JSON lines to a writer on a thread of its own. Lines over the budget, and lines for
/// which the writer is too slow, are dropped and counted.
#[derive(Debug)]
pub struct BoundedLog {
    layout: JsonLayout,
    tx: SyncSender<Vec<u8>>,
    budget: Mutex<LineBudget>,
    start: Instant,
    dropped: AtomicU64,
}

impl BoundedLog {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    /// Fails if the thread can't be started.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUED_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(out, &rx))?;
        Ok(BoundedLog {
            layout: JsonLayout::default(),
            tx,
            budget: Mutex::default(),
            start: Instant::now(),
            dropped: AtomicU64::new(0),
        })
    }

    /// Lines dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn drop_line(&self, reason: &'static str) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        counter!("primrosechute_log_lines_dropped_total", "reason" => reason).increment(1);
    }
}

impl Append for BoundedLog {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let now = self.start.elapsed();
        let in_budget = match self.budget.lock() {
            Ok(mut budget) => budget.take(now, record.level()),
            Err(_) => false,
        };
        if !in_budget {
            self.drop_line("budget");
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        if self.tx.try_send(line).is_err() {
            self.drop_line("slow_reader");
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_lines(mut out: impl Write, rx: &Receiver<Vec<u8>>) {
    while let Ok(line) = rx.recv() {
        let mut block = line;
        // Lines that were queued meanwhile go out in one write.
        while let Ok(line) = rx.try_recv() {
            block.extend_from_slice(&line);
        }
        // If nothing reads the log, its lines are lost but requests are still served.
        let _ = out.write_all(&block).and_then(|()| out.flush());
    }
}
