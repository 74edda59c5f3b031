//! A request that crashes the workers that run it, and sound requests of the same caller that differ from
//! it in their query alone.

#[path = "parts.rs"]
mod parts;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use parts::*;

const ZONES: [&str; 4] = ["riga-a", "riga-b", "riga-c", "riga-d"];
const WORKERS: usize = 4;
const SLOTS: usize = 6;
const STABLE_WINDOW_S: f64 = 3.0;
/// More retries than this, so long after the third crash, break the rule.
const MAX_LATE: usize = 3;
const DOWN: Duration = Duration::from_millis(2500);
const LENGTH_S: f64 = 36.0;
/// Interval at which the request comes again.
const AGAIN_S: f64 = 1.0;
const POISON: &str = "card=666";
/// The same in the path, for comparison.
const POISON_PATH: &str = "card/666";

/// Whether the number of the card stands in the path, where it tells requests apart.
fn is_control() -> bool {
    std::env::var("CONTROL").as_deref() == Ok("path")
}

fn lookup(card: usize) -> String {
    if is_control() {
        format!("/cards/lookup/card/{card}")
    } else {
        format!("/cards/lookup?card={card}")
    }
}

fn is_poison(target: &str) -> bool {
    target.ends_with(POISON) || target.ends_with(POISON_PATH)
}

fn main() {
    let mut site = Site::new(&record_path());
    let route = |name, prefix, kind, attempts| RouteDoc {
        name,
        prefix,
        kind,
        service: "salon-app",
        timeout_ms: 1500,
        target_ms: 300,
        attempts,
        resumable: false,
    };
    let routes = [
        route("card-lookup", "/cards/", "idempotent", 2),
        route("stock-order", "/orders/", "non_idempotent", 1),
    ];
    let tenants = "[{\"name\":\"chain\",\"api_keys\":[\"key-chain\"],\"priority\":1}]";
    site.store.put("op/config", &config(1, &routes, tenants));
    // Times of crashes by the request.
    let crashes: Arc<Mutex<Vec<f64>>> = Arc::default();
    let crashed = Arc::clone(&crashes);
    let handler: Handler = Arc::new(move |worker, request, stream| {
        if is_poison(&request.target) {
            crashed.lock().expect("crashes").push(worker.log.now());
            worker.crash(DOWN);
            return false;
        }
        thread::sleep(ms(60));
        worker.answer(request, stream, &format!("{{\"for\":\"{}\"}}", request.id()))
    });
    for at in 0..WORKERS {
        site.worker("salon-app", ZONES[at], SLOTS, Arc::clone(&handler));
    }
    site.start_members(&ZONES);

    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<[[AtomicUsize; 3]; 2]> = Arc::default();
    let started = site.log.now();
    let mut clients = Vec::new();
    // Sound clients: lookups and orders, each 12 a second.
    for at in 0..8 {
        let entries: Vec<_> = site.members.iter().map(Member::entry).collect();
        let (stop, log, counts) = (Arc::clone(&stop), site.log.clone(), Arc::clone(&counts));
        clients.push(thread::spawn(move || {
            let mut random = Random(77 + at as u64);
            while !stop.load(Ordering::Relaxed) {
                let id = new_id();
                let is_order = at % 2 == 1;
                let path = match is_order {
                    false => format!("GET {}", lookup(1000 + random.below(5000))),
                    true => format!("POST /orders/place/{}", random.below(5000)),
                };
                let head = format!("{path} HTTP/1.1\r\nHost: salon.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-chain\r\n");
                let body = if is_order { "tubes=2" } else { "" };
                let entry = entries[random.below(entries.len())];
                let answer = call(entry, &head, body, Duration::from_secs(4));
                log.line(&format!("{id} {path} to {entry}: {}", answer.status));
                let kind = match answer.status {
                    200 => 0,
                    503 | 429 => 1,
                    _ => 2,
                };
                counts[usize::from(is_order)][kind].fetch_add(1, Ordering::Relaxed);
                thread::sleep(ms(330 - 60));
            }
        }));
    }
    thread::sleep(ms(4000));
    // The same path, caller and body, at any member.
    let mut random = Random(4711);
    let mut refused = 0;
    let mut sent = 0;
    let mut at = site.log.now();
    while has_trouble() && at < started + LENGTH_S {
        let id = new_id();
        let head = format!("GET {} HTTP/1.1\r\nHost: salon.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-chain\r\n", lookup(666));
        let entry = site.members[random.below(ZONES.len())].entry();
        let answer = call(entry, &head, "", Duration::from_secs(4));
        sent += 1;
        refused += usize::from(answer.status == 503);
        site.log.line(&format!("{id} the crashing request to {entry}: {}", answer.status));
        at += AGAIN_S;
        site.log.sleep_until(at);
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
        let late = arrivals.iter().filter(|a| is_poison(&a.target) && a.at > from);
        late.count()
    });
    for (name, counts) in ["lookups", "orders"].iter().zip(counts.iter()) {
        let count = |at: usize| counts[at].load(Ordering::Relaxed);
        site.log.say(&format!("sound {name}: {} served, {} refused, {} failed", count(0), count(1), count(2)));
    }
    site.log.say(&format!("the crashing request came {sent} times, {refused} were refused; {} crashes", crashes.len()));
    let text = format!("{late} arrivals of it later than 3 s after the third crash; the bound is {MAX_LATE}");
    finish(site, late > MAX_LATE, &text);
}
