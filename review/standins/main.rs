//! Plays the cases of the review against the project's own programs: `standins CASE FOLDER TEMP`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0`
//! in the environment, the disruption is left out.

mod calls;
mod cold;
mod fleet;
mod http;
mod leaving;
mod memory;
mod poison;
mod record;
mod silent;
mod store;
mod worker;

use std::path::PathBuf;
use std::sync::Arc;

use record::Record;

/// Whether the rule of a case was broken.
pub struct Verdict {
    pub broken: bool,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, temp] = args.as_slice() else {
        eprintln!("standins CASE FOLDER TEMP");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (folder, temp) = (PathBuf::from(folder), PathBuf::from(temp));
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "poison" => poison::play(&record, &temp, trouble),
        "poison-large" => poison::play_large(&record, &temp, trouble),
        "poison-dark" => poison::play_dark(&record, &temp, trouble),
        "memory" => memory::play(&record, &temp),
        "cold" => cold::play(&record, &temp, trouble),
        "silent" => silent::play(&record, &temp, trouble),
        "cut" => leaving::play(&record, &temp, trouble),
        _ => panic!("no such case"),
    });
    let code = match played {
        Ok(Verdict { broken: true }) => {
            record.show("the rule is broken");
            1
        }
        Ok(Verdict { broken: false }) => {
            record.show("the rule held");
            0
        }
        Err(_) => {
            record.show("the case couldn't run");
            2
        }
    };
    record.flush();
    std::process::exit(code);
}
