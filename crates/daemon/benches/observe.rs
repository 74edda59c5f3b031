//! Cost of a log line and of a metric update in a member.

use std::hint::black_box;
use std::time::{Duration, Instant};

use daemon::BoundedLog;
use logforth::Append;
use logforth::record::{Level, Record};
use metrics::{counter, histogram};
use metrics_exporter_prometheus::PrometheusBuilder;

/// Lines a second that the log accepts at the info level; more are dropped.
const LINES: u32 = 100;
const SECONDS: u32 = 3;
const UPDATES: u32 = 1_000_000;

fn main() {
    measure_lines();
    let _metrics = PrometheusBuilder::new()
        .install_recorder()
        .expect("no other recorder");
    measure_updates("counter with two labels", || {
        counter!("bench_answers_total", "kind" => "stream", "outcome" => "served").increment(1);
    });
    measure_updates("histogram with two labels", || {
        histogram!("bench_request_seconds", "kind" => "stream", "outcome" => "served").record(0.1);
    });
}

/// Measures lines within the budget, and lines over it.
fn measure_lines() {
    let log = BoundedLog::start(std::io::sink()).expect("a thread");
    let (mut within, mut over) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..SECONDS {
        within += time_appends(&log);
        over += time_appends(&log);
        std::thread::sleep(Duration::from_secs(1));
    }
    println!(
        "log line within the budget: {:?}",
        within / (SECONDS * LINES)
    );
    println!("log line over the budget: {:?}", over / (SECONDS * LINES));
}

/// Time to append `LINES` lines like that of a served request.
fn time_appends(log: &BoundedLog) -> Duration {
    let began = Instant::now();
    for _ in 0..LINES {
        let builder = Record::builder().level(Level::Info).target("bench");
        let record = builder
            .payload(format_args!(
                "entry: served id=9c41d07be2a35f68 route=r-1 workspace=salon owner=10.1.0.3 \
                 target=i-7f3a91c2 sends=1 waited_ms=3 first_ms=80 took_ms=540 events=42 config=7"
            ))
            .build();
        log.append(&record, &[]).expect("appended");
    }
    began.elapsed()
}

/// Measures one kind of metric update.
fn measure_updates(name: &str, update: impl Fn()) {
    let began = Instant::now();
    for _ in 0..UPDATES {
        black_box(&update)();
    }
    println!("{name}: {:?}", began.elapsed() / UPDATES);
}
