//! A resumable stream whose worker pauses, and another worker that needs a while for its first event.

#[path = "parts.rs"]
mod parts;

use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use parts::*;

const ZONES: [&str; 3] = ["riga-a", "riga-b", "riga-c"];
const SLOTS: usize = 11;
/// A worker may go on so long with a request that has gone on at another one.
const BOUND_S: f64 = 0.4;
const STREAMS: usize = 12;
const EVENTS: usize = 20;
const EVENT_GAP: Duration = Duration::from_millis(60);
/// Events before the pause.
const BEFORE_PAUSE: usize = 4;
/// Longest pause after which clients still wait: the longest of two seconds, four times the objective
/// of 300 ms and eight times the pause of 200 ms.
const PATIENCE: Duration = Duration::from_millis(2000);
const PAUSE: Duration = Duration::from_millis(1900);
/// Time of a worker from the beginning of a run that resumes a stream to its first event.
const FIRST_EVENT: Duration = Duration::from_millis(800);

/// Work of one worker on one request.
#[derive(Clone, Debug)]
struct Work {
    worker: String,
    from: f64,
    /// `None` while it goes on.
    to: Option<f64>,
    events: usize,
}

type Works = Arc<Mutex<HashMap<String, Vec<Work>>>>;

/// Waits, unless the caller closes the channel. Returns whether it is still open.
fn work_for(stream: &TcpStream, time: Duration) -> bool {
    let end = std::time::Instant::now() + time;
    while std::time::Instant::now() < end {
        if is_closed(stream) {
            return false;
        }
        thread::sleep(ms(5));
    }
    true
}

fn run(worker: &Worker, request: &Request, stream: &TcpStream, works: &Works, trouble: bool) -> bool {
    let last = request.header("last-event-id").and_then(|id| id.parse::<usize>().ok());
    let at = {
        let mut works = works.lock().expect("works");
        let of_request = works.entry(request.id()).or_default();
        of_request.push(Work {
            worker: worker.id(),
            from: worker.log.now(),
            to: None,
            events: 0,
        });
        of_request.len() - 1
    };
    worker.log.line(&format!("worker {} begins {} after event {last:?}", worker.id(), request.id()));
    let done = stream_events(worker, request, stream, last.unwrap_or(0), trouble, |events| {
        works.lock().expect("works").get_mut(&request.id()).expect("work")[at].events = events;
    });
    let mut works = works.lock().expect("works");
    works.get_mut(&request.id()).expect("work")[at].to = Some(worker.log.now());
    worker.log.line(&format!("worker {} ends {}: {}", worker.id(), request.id(), if done { "complete" } else { "channel closed" }));
    done
}

fn stream_events(
    worker: &Worker,
    request: &Request,
    stream: &TcpStream,
    last: usize,
    trouble: bool,
    mut count: impl FnMut(usize),
) -> bool {
    if !work_for(stream, if last > 0 { FIRST_EVENT } else { ms(60) }) {
        return false;
    }
    if !worker.stream_head(request, stream) {
        return false;
    }
    for event in last + 1..=EVENTS {
        if !send_chunk(stream, &format!("id: {event}\ndata: {event}\n\n")) {
            return false;
        }
        count(event - last);
        // The request is preempted and read again from the start.
        let gap = if trouble && last == 0 && event == BEFORE_PAUSE { PAUSE } else { EVENT_GAP };
        if !work_for(stream, gap) {
            return false;
        }
    }
    send_last_chunk(stream)
}

fn main() {
    let mut site = Site::new(&record_path());
    let routes = [RouteDoc {
        name: "quick-mix",
        prefix: "/mix/",
        kind: "streaming",
        service: "formula-llm",
        timeout_ms: 15_000,
        target_ms: 300,
        attempts: 2,
        resumable: true,
    }];
    let tenants = "[{\"name\":\"chain\",\"api_keys\":[\"key-chain\"],\"priority\":1}]";
    site.store.put("op/config", &config(1, &routes, tenants));
    let works: Works = Arc::default();
    let trouble = has_trouble();
    let handler: Handler = {
        let works = Arc::clone(&works);
        Arc::new(move |worker, request, stream| run(worker, request, stream, &works, trouble))
    };
    for zone in ZONES {
        site.worker("formula-llm", zone, SLOTS, Arc::clone(&handler));
    }
    site.start_members(&ZONES);

    let mut whole = 0;
    for at in 0..STREAMS {
        let id = new_id();
        let head = format!(
            "POST /mix/{at} HTTP/1.1\r\nHost: salon.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Count: 1200,200\r\nX-Prefix-Hash: a1:60,{id}:1140\r\nX-Deadline-Ms: 15000\r\nAuthorization: Bearer key-chain\r\n"
        );
        let log = site.log.clone();
        let answer = call_with(site.members[at % ZONES.len()].entry(), &head, "prompt", PATIENCE, |text| {
            log.line(&format!("{id} the client gets {:?}", text));
        });
        let ids: Vec<&str> = answer.body.lines().filter_map(|l| l.strip_prefix("id: ")).collect();
        let expected: Vec<String> = (1..=EVENTS).map(|id| id.to_string()).collect();
        let is_whole = answer.whole && ids == expected;
        whole += usize::from(is_whole);
        site.log.say(&format!("{id}: {}, {} events, whole {is_whole}", answer.status, ids.len()));
    }
    thread::sleep(ms(1500));

    let works = works.lock().expect("works").clone();
    let mut broken = 0;
    for (id, works) in &works {
        for (at, later) in works.iter().enumerate().skip(1) {
            let end = |work: &Work| work.to.unwrap_or(f64::MAX);
            for before in &works[..at] {
                let both = end(before).min(end(later)) - later.from;
                if before.worker != later.worker && both > BOUND_S {
                    broken += 1;
                    site.log.say(&format!("{id}: {} works on it for {both:.3} s after it has gone on at {}", before.worker, later.worker));
                }
            }
        }
    }
    let text = format!("{broken} of {STREAMS} streams ({whole} whole) were worked on by two workers for over {BOUND_S} s");
    finish(site, broken > 0, &text);
}
