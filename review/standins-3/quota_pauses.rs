//! Short pauses of the member that gives out the rate of a tenant.

#[path = "parts.rs"]
mod parts;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use parts::*;

const RATE: f64 = 175_965.0;
const BURST: f64 = 175_965.0;
const OVERAGE: f64 = 0.25;
const SLACK: f64 = 140_000.0;
const WINDOW_S: f64 = 8.0;
/// Prompt tokens and maximum output tokens of a request.
const TOKENS: (u32, u32) = (3000, 400);
/// The tenant asks for this many times its rate: six times its usual, of which the rate is 1.8.
const DEMAND: f64 = 6.0 / 1.8;
const ZONES: [&str; 7] = ["riga-a", "riga-a", "riga-b", "riga-b", "riga-c", "riga-c", "riga-d"];
const WORKERS: usize = 12;
const SLOTS: usize = 11;
const CLIENTS_PER_MEMBER: usize = 24;
const LENGTH_S: f64 = 11.0;
/// Number of pauses, their length and the time from one to the next.
const PAUSES: usize = 5;
const PAUSE: Duration = Duration::from_millis(1000);
const EVERY_S: f64 = 2.0;

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
    let tenants = format!(
        "[{{\"name\":\"chain\",\"api_keys\":[\"key-chain\"],\"priority\":1,\"unit\":\"token\",\"uncached_tokens\":200,\"rate_per_s\":{RATE},\"burst\":{BURST}}}]"
    );
    site.store.put("op/config", &config(1, &routes, &tenants));
    let handler: Handler = Arc::new(|worker, request, stream| {
        thread::sleep(ms(60));
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
        let zone = ["riga-a", "riga-b", "riga-c", "riga-d"][at % 4];
        site.worker("formula-llm", zone, SLOTS, Arc::clone(&handler));
    }
    site.start_members(&ZONES);

    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new([const { AtomicUsize::new(0) }; 4]);
    let tokens = f64::from(TOKENS.0 + TOKENS.1);
    let per_s = DEMAND * RATE / tokens;
    let threads = CLIENTS_PER_MEMBER * ZONES.len();
    let interval = Duration::from_secs_f64(threads as f64 / per_s);
    let started = site.log.now();
    let mut clients = Vec::new();
    let sent_at: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    for at in 0..threads {
        let entry = site.members[at % ZONES.len()].entry();
        let (stop, counts, log) = (Arc::clone(&stop), Arc::clone(&counts), site.log.clone());
        let sent_at = Arc::clone(&sent_at);
        clients.push(thread::spawn(move || {
            let mut next = log.now() + interval.as_secs_f64() * at as f64 / threads as f64;
            while !stop.load(Ordering::Relaxed) {
                log.sleep_until(next);
                // A client that was held up doesn't catch up.
                next = (next + interval.as_secs_f64()).max(log.now());
                let id = new_id();
                let head = format!(
                    "POST /mix/{at} HTTP/1.1\r\nHost: salon.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\nX-Token-Count: {},{}\r\nX-Prefix-Hash: a1:60,{id}:{}\r\nX-Deadline-Ms: 15000\r\nAuthorization: Bearer key-chain\r\n",
                    TOKENS.0, TOKENS.1, TOKENS.0 - 60
                );
                let sent = log.now();
                sent_at.lock().expect("times").insert(id.clone(), sent);
                let answer = call(entry, &head, "prompt", Duration::from_secs(3));
                log.line(&format!("{id} sent {sent:.3} to {entry}: {} {}", answer.status, answer.body.len()));
                let kind = match answer.status {
                    200 => 0,
                    429 => 1,
                    503 => 2,
                    _ => 3,
                };
                counts[kind].fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    let trouble = has_trouble();
    let mut at = started + 1.0;
    for _ in 0..PAUSES {
        site.log.sleep_until(at);
        let owner = site.first_owner();
        let member = &site.members[owner];
        site.log.say(&format!("{} decides for most runs", member.ip));
        if trouble {
            member.signal("STOP");
            site.log.say(&format!("{} stands still", member.ip));
            thread::sleep(PAUSE);
            member.signal("CONT");
            site.log.say(&format!("{} goes on", member.ip));
        }
        at += EVERY_S;
    }
    site.log.sleep_until(started + LENGTH_S);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }

    let arrivals = site.arrivals.lock().expect("arrivals").clone();
    let sent_at = sent_at.lock().expect("times").clone();
    // Requests that are both sent and run inside a window, as the rule counts them.
    let runs: Vec<(f64, f64, u64)> = arrivals
        .iter()
        .filter(|a| a.ran)
        .filter_map(|a| Some((*sent_at.get(&a.id)?, a.at, a.tokens)))
        .collect();
    let (mut most, mut most_at) = (0, 0.0);
    for &(from, ..) in &runs {
        let inside = runs.iter().filter(|&&(sent, ran, _)| sent >= from && ran <= from + WINDOW_S);
        let sum: u64 = inside.map(|&(.., tokens)| tokens).sum();
        if sum > most {
            (most, most_at) = (sum, from);
        }
    }
    for a in &arrivals {
        site.log.line(&format!("{:.3} worker {} gets {}: ran {}, {} tokens", a.at, a.worker, a.id, a.ran, a.tokens));
    }
    let bound = (RATE * WINDOW_S + BURST) * (1.0 + OVERAGE) + SLACK;
    let count = |at: usize| counts[at].load(Ordering::Relaxed);
    site.log.say(&format!("answers: {} of 200, {} of 429, {} of 503, {} others", count(0), count(1), count(2), count(3)));
    let text = format!("most tokens in 8 s: {most}, from {most_at:.3} s on; the bound is {bound:.0}");
    finish(site, most as f64 > bound, &text);
}
