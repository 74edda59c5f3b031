//! Measures the memory of one member under a steady load while nobody fetches its metrics. No case: it
//! only shows a slope. With `FETCH=1`, the metrics are fetched every 5 s.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, config};
use crate::http;
use crate::record::Record;
use crate::worker::Plan;

pub fn play(record: &Arc<Record>, temp: &Path) -> Verdict {
    let fleet = Arc::new(Fleet::new(Arc::clone(record), temp, &["costa-atl-a"], 500));
    let open = config(1, "app", &["key-1"]).replace(r#""rate_per_s":203784"#, r#""rate_per_s":0"#);
    fleet.store.put("op/config", &open);
    for _ in 0..2 {
        fleet.add_worker(&Plan {
            service: "app",
            zone: "costa-atl-a",
            slots: 64,
            work: Duration::ZERO,
            goes_dark: false,
        });
    }
    fleet.start_members();
    thread::sleep(Duration::from_secs(2));
    let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    for client in 0..16 {
        let address = SocketAddr::from((fleet.members[0].ip, 8221));
        let (stop, served) = (Arc::clone(&stop), Arc::clone(&served));
        thread::spawn(move || {
            let mut stream = TcpStream::connect(address).expect("a channel");
            let _ = stream.set_nodelay(true);
            let mut rx = BufReader::new(stream.try_clone().expect("a channel"));
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let head = format!("POST /swap/confirm HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: load-{client}-{number}\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n");
                if stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                match http::read(&mut rx) {
                    Some(answer) if answer.status() == 200 => {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    Some(_) => {}
                    None => return,
                }
            }
        });
    }
    let fetch = std::env::var("FETCH").as_deref() == Ok("1");
    for _ in 0..10 {
        for _ in 0..2 {
            thread::sleep(Duration::from_secs(5));
            if fetch {
                fleet.fetch_metrics(0);
            }
        }
        record.show(&format!("{} requests served, memory of the member {}", served.load(Ordering::SeqCst), fleet.memory(0)));
    }
    stop.store(true, Ordering::SeqCst);
    fleet.stop_members();
    Verdict { broken: false }
}
