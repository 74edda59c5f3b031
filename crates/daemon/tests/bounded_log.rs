//! Log output never blocks the daemon, and its rate is bounded.

use std::io::Write;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use daemon::{BoundedLog, LineBudget};
use logforth::Append;
use logforth::record::{Level, Record};

/// A writer whose output is never read: each write blocks forever.
struct BlockedWriter(Mutex<Receiver<()>>);

impl Write for BlockedWriter {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.lock().expect("receiver").recv();
        Ok(0)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("buffer").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn record(level: Level) -> Record<'static> {
    let builder = Record::builder().level(level).target("test");
    builder.payload(format_args!("a line")).build()
}

/// Guards against requests that wait until log output is read.
#[test]
fn a_blocked_reader_only_drops_lines() {
    let (_tx, rx) = channel();
    let log = BoundedLog::start(BlockedWriter(Mutex::new(rx))).expect("log");

    // The lines of five seconds overflow the queue. All calls return although nothing is ever
    // written.
    let (done, returned) = channel();
    std::thread::spawn(move || {
        for _ in 0..5 {
            for _ in 0..4_000 {
                log.append(&record(Level::Warn), &[]).expect("append");
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        done.send(log.dropped()).expect("the test is still waiting");
    });
    let dropped = returned
        .recv_timeout(Duration::from_secs(30))
        .expect("no call blocks");

    assert!(dropped > 10_000, "{dropped} dropped");
}

/// Guards against more lines a second than the budget allows: of ten times as many, the rest is
/// dropped. Lines of served requests never use up the budget for lines of failed ones.
#[test]
fn rate_of_lines_is_bounded() {
    let mut budget = LineBudget::default();
    for second in 0..5 {
        let now = Duration::from_secs(second + 1);
        let served = (0..1000).filter(|_| budget.take(now, Level::Info)).count();
        let failed = (0..3000).filter(|_| budget.take(now, Level::Warn)).count();

        assert_eq!((served, failed), (100, 300));
    }
}

/// Guards against log lines that are split or interleaved.
#[test]
fn lines_are_whole() {
    let out = SharedBuffer::default();
    let log = BoundedLog::start(out.clone()).expect("log");
    for _ in 0..50 {
        log.append(&record(Level::Info), &[]).expect("append");
    }
    let text = loop {
        let text = String::from_utf8(out.0.lock().expect("buffer").clone()).expect("text");
        if text.lines().count() == 50 {
            break text;
        }
        std::thread::yield_now();
    };

    assert!(
        text.lines()
            .all(|line| line.starts_with('{') && line.ends_with('}'))
    );
    assert_eq!(log.dropped(), 0);
}
