//! A request that takes the machine of each worker that begins to run it, and whose caller leaves before
//! the head of the answer.

#[path = "parts.rs"]
mod parts;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use parts::*;

const ZONES: [&str; 4] = ["riga-a", "riga-b", "riga-c", "riga-d"];
const WORKERS: usize = 12;
const SLOTS: usize = 11;
const STABLE_WINDOW_S: f64 = 3.0;
/// More retries than this, so long after the third crash, break the rule.
const MAX_LATE: usize = 3;
const DOWN: Duration = Duration::from_millis(3000);
const LENGTH_S: f64 = 50.0;
/// Gap after which clients abandon a stream, also before its first event: the longest of two seconds, four
/// times the objective of 400 ms and eight times the pause of 200 ms.
const PATIENCE: Duration = Duration::from_millis(2000);
const PAUSE_BETWEEN: Duration = Duration::from_millis(300);
const POISON: &str = "/shade/666";

fn main() {
    let mut site = Site::new(&record_path());
    let routes = [RouteDoc {
        name: "shade-check",
        prefix: "/shade/",
        kind: "streaming",
        service: "formula-llm",
        timeout_ms: 3000,
        target_ms: 400,
        attempts: 1,
        resumable: false,
    }];
    let tenants = "[{\"name\":\"chain\",\"api_keys\":[\"key-chain\"],\"priority\":1}]";
    site.store.put("op/config", &config(1, &routes, tenants));
    let crashes: Arc<Mutex<Vec<f64>>> = Arc::default();
    let crashed = Arc::clone(&crashes);
    // Before the caller leaves, the crash can be seen: with QUICK=1 the channel breaks at once.
    let is_quick = std::env::var("QUICK").as_deref() == Ok("1");
    let handler: Handler = Arc::new(move |worker, request, stream| {
        if request.target == POISON {
            crashed.lock().expect("crashes").push(worker.log.now());
            if is_quick {
                worker.crash(DOWN);
                return false;
            }
            worker.go_dark(DOWN);
            // The channel stays open until the machine is back.
            thread::sleep(DOWN);
            return false;
        }
        thread::sleep(ms(50));
        if !worker.stream_head(request, stream) {
            return false;
        }
        for event in 1..=5 {
            if !send_chunk(stream, &format!("id: {event}\ndata: x\n\n")) {
                return false;
            }
            thread::sleep(ms(10));
        }
        send_last_chunk(stream)
    });
    for at in 0..WORKERS {
        site.worker("formula-llm", ZONES[at % 4], SLOTS, Arc::clone(&handler));
    }
    site.start_members(&ZONES);

    let head = |path: &str, id: &str, part: &str| {
        format!("POST {path} HTTP/1.1\r\nHost: salon.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Count: 1800,40\r\nX-Prefix-Hash: a1:60,{part}:1740\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-chain\r\n")
    };
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicUsize; 3]> = Arc::default();
    let started = site.log.now();
    let mut clients = Vec::new();
    // Sound clients, 20 requests a second.
    for at in 0..6 {
        let entries: Vec<_> = site.members.iter().map(Member::entry).collect();
        let (stop, log, counts) = (Arc::clone(&stop), site.log.clone(), Arc::clone(&counts));
        clients.push(thread::spawn(move || {
            let mut random = Random(77 + at as u64);
            while !stop.load(Ordering::Relaxed) {
                let id = new_id();
                let entry = entries[random.below(entries.len())];
                let path = format!("/shade/{}", 1000 + random.below(5000));
                let answer = call(entry, &head(&path, &id, &id), &format!("shade {id}"), PATIENCE);
                log.line(&format!("{id} {path} to {entry}: {} whole {}", answer.status, answer.whole));
                let kind = match answer.status {
                    200 if answer.whole => 0,
                    503 | 429 => 1,
                    _ => 2,
                };
                counts[kind].fetch_add(1, Ordering::Relaxed);
                thread::sleep(ms(200));
            }
        }));
    }
    thread::sleep(ms(4000));
    let mut random = Random(4711);
    let (mut sent, mut refused) = (0, 0);
    while has_trouble() && site.log.now() < started + LENGTH_S {
        let id = new_id();
        let entry = site.members[random.below(ZONES.len())].entry();
        let answer = call(entry, &head(POISON, &id, "dead666"), "shade 666", PATIENCE);
        sent += 1;
        refused += usize::from(answer.status == 503);
        site.log.line(&format!("{id} the crashing request to {entry}: {}", answer.status));
        thread::sleep(PAUSE_BETWEEN + if answer.status == 0 { Duration::ZERO } else { PATIENCE });
    }
    site.log.sleep_until(started + LENGTH_S);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let crashes = crashes.lock().expect("crashes").clone();
    let arrivals = site.arrivals.lock().expect("arrivals").clone();
    for a in &arrivals {
        site.log.line(&format!("{:.3} worker {} gets {}: {}", a.at, a.worker, a.id, a.target));
    }
    let late = crashes.get(2).map_or(0, |third| {
        let from = third + STABLE_WINDOW_S;
        let late = arrivals.iter().filter(|a| a.target == POISON && a.at > from);
        late.count()
    });
    let count = |at: usize| counts[at].load(Ordering::Relaxed);
    site.log.say(&format!("sound requests: {} served, {} refused, {} failed", count(0), count(1), count(2)));
    site.log.say(&format!("the crashing request came {sent} times, {refused} were refused; {} crashes", crashes.len()));
    let text = format!("{late} arrivals of it later than 3 s after the third crash; the bound is {MAX_LATE}");
    finish(site, late > MAX_LATE, &text);
}
