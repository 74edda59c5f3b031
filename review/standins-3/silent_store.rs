//! All open channels to the store go silent just as a key is taken away.

#[path = "parts.rs"]
mod parts;

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use parts::*;

const ZONES: [&str; 4] = ["riga-a", "riga-b", "riga-c", "riga-d"];
const STABLE_WINDOW_S: f64 = 3.0;
const CONFIG_APPLY_S: f64 = 2.0;

fn main() {
    let mut site = Site::new(&record_path());
    let routes = || {
        [RouteDoc {
            name: "stock-order",
            prefix: "/orders/",
            kind: "non_idempotent",
            service: "salon-app",
            timeout_ms: 1500,
            target_ms: 300,
            attempts: 1,
            resumable: false,
        }]
    };
    let tenants = |keys: &str| format!("[{{\"name\":\"chain\",\"api_keys\":[{keys}],\"priority\":1}}]");
    site.store.put("op/config", &config(1, &routes(), &tenants("\"key-old\",\"key-new\"")));
    let handler: Handler = Arc::new(|worker, request, stream| {
        thread::sleep(ms(10));
        worker.answer(request, stream, "{}")
    });
    // They start together, so their reports to the store come together as well, every 1.2 s.
    for zone in ZONES {
        site.worker("salon-app", zone, 6, Arc::clone(&handler));
    }
    site.start_members(&ZONES);
    // Each report ends the watches, and they begin again 0.4 s later.
    let revision = site.store.revision();
    while site.store.revision() == revision {
        thread::sleep(ms(1));
    }
    thread::sleep(ms(460));
    let silent_at = site.log.now();
    if has_trouble() {
        site.store.silence_open_channels();
        site.log.say("all open channels to the store are silent, new ones work");
    }
    site.store.put("op/config", &config(5, &routes(), &tenants("\"key-new\"")));
    let acked_at = site.log.now();
    site.log.say("version 5 without key-old is acknowledged");
    let in_touch_at = silent_at + STABLE_WINDOW_S;
    let from = in_touch_at.max(acked_at + CONFIG_APPLY_S) + 0.01;
    site.log.sleep_until(from);
    let late: Arc<Mutex<Vec<(f64, String, u16)>>> = Arc::default();
    let mut clients = Vec::new();
    for member in &site.members {
        let (entry, log, late) = (member.entry(), site.log.clone(), Arc::clone(&late));
        clients.push(thread::spawn(move || {
            while log.now() < from + 1.0 {
                let id = new_id();
                let head = format!("POST /orders/place HTTP/1.1\r\nHost: salon.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer key-old\r\n");
                let sent = log.now();
                let answer = call(entry, &head, "tubes=2", ms(3000));
                log.line(&format!("{id} sent {sent:.3} to {entry}: {}", answer.status));
                late.lock().expect("late").push((sent, id, answer.status));
                thread::sleep(ms(10));
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let late = late.lock().expect("late").clone();
    let ran = site.arrivals.lock().expect("arrivals").clone();
    let ran: Vec<&(f64, String, u16)> = late.iter().filter(|(_, id, _)| ran.iter().any(|a| a.ran && a.id == *id)).collect();
    let last = ran.iter().map(|(sent, ..)| *sent - acked_at).fold(0.0, f64::max);
    let text = format!("{} of {} requests with the dropped key ran, the last one sent {last:.3} s after the ack, by machines in touch", ran.len(), late.len());
    finish(site, !ran.is_empty(), &text);
}
