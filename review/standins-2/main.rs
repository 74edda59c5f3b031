//! Stand-ins and drivers of the cases of the second review. Uses the standard library alone.
//!
//! `cases NAME FOLDER` plays a case and writes `record.txt` into its folder. It exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case couldn't run.

mod cold;
mod fleet;
mod http;
mod limit;
mod poison;
mod record;
mod roll;
mod stale_grant;
mod stall;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

/// A case that hangs is ended after this time.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("record.txt can't be written: {err}");
            return ExitCode::from(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        fleet::end_all();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let result = match case.as_str() {
        "stale-grant" => stale_grant::run(&record, has_trouble),
        "poison" => poison::run(&record, has_trouble),
        "limit" => limit::run(&record, has_trouble),
        "stall" => stall::run(&record, has_trouble),
        "cold" => cold::run(&record, has_trouble),
        other => Err(format!("unknown case {other}")),
    };
    fleet::end_all();
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(text) => {
            record.line(&format!("the case could not run: {text}"));
            eprintln!("the case could not run: {text}");
            ExitCode::from(2)
        }
    }
}
