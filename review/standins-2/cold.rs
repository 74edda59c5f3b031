//! A worker turns cold, and all members are killed before its entry says so. Counts what it gets in a
//! second while it is cold.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, Member, ZONES};
use crate::http;
use crate::record::Record;
use crate::worker::{Identity, Next, Worker};

/// Bound of a cold worker, by the configuration and the settings of the members.
const COLD_PER_S: f64 = 23.0;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
const WINDOW: Duration = Duration::from_secs(1);

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"ask","host":"site.example","prefix":"/ask/","type":"streaming","timeout_ms":8000,"target_latency_ms":600,"priority":1,"service":"chute-llm","max_attempts":1,"public":true,"sticky":true,"resumable":false,"itl_target_ms":300}],
"services":[{"name":"chute-llm","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":23.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

const MEMBERS: usize = 9;
const WORKERS: u8 = 4;
/// The worker that turns cold, and for how long it is.
const COLD: &str = "i-0";
const COLD_TIME: Duration = Duration::from_millis(3000);
/// Requests a second at the whole fleet, all the time.
const PER_S: f64 = 160.0;
const CALM_TIME: Duration = Duration::from_millis(3500);
const TIME: Duration = Duration::from_secs(7);
/// The kill comes this long after the worker turned cold, and the processes are back after a short delay.
const KILL_AFTER: Duration = Duration::from_millis(100);
const RESTART_AFTER: Duration = Duration::from_millis(100);
/// Users that come back to each member at once when it is ready again.
const COME_BACK: usize = 12;
/// The worker's next status report, with its coldness, comes this long after it turned cold.
const REPORT_AFTER: Duration = Duration::from_millis(1100);

type Times = Arc<Mutex<Vec<Duration>>>;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let text = |err: std::io::Error| err.to_string();
    let fleet = Fleet::new(MEMBERS, record).map_err(text)?;
    fleet.store.put("op/config", &CONFIG.replace('\n', ""));
    let arrivals = Times::default();
    let is_cold = Arc::new(AtomicBool::new(false));
    let mut workers = Vec::new();
    for at in 0..WORKERS {
        let identity = Identity {
            id: format!("i-{at}"),
            service: "chute-llm",
            zone: ZONES[usize::from(at) % ZONES.len()],
            address: (fleet.ip(100 + at), 8080).into(),
            slots: 10,
        };
        let (arrivals, is_cold) = (Arc::clone(&arrivals), Arc::clone(&is_cold));
        let worker = Worker::start(identity, record, move |worker, req, stream| {
            let is_cold = worker.identity.id == COLD && is_cold.load(Ordering::Relaxed);
            if is_cold {
                let arrived = worker.record.now().saturating_sub(req.arrived.elapsed());
                arrivals.lock().unwrap().push(arrived);
            }
            answer(worker, req, stream)
        });
        let worker = worker.map_err(text)?;
        worker.register(&fleet.store, "ready");
        workers.push(worker);
    }
    fleet.start()?;
    let users = {
        let (members, record) = (fleet.members.clone(), record.clone());
        thread::spawn(move || send_all(&members, &record))
    };
    thread::sleep(CALM_TIME);
    is_cold.store(true, Ordering::Relaxed);
    record.line(&format!("{COLD} turns cold"));
    let report = {
        let (worker, store, record) = (workers[0].clone(), fleet.store.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(REPORT_AFTER);
            worker.report(&store, "ready", COLD_TIME - REPORT_AFTER);
            record.line("its entry says so");
        })
    };
    let is_warm_at = record.now() + COLD_TIME;
    thread::sleep(KILL_AFTER);
    if has_trouble {
        fleet.members.iter().for_each(Member::kill);
        thread::sleep(RESTART_AFTER);
        for member in &fleet.members {
            member.start()?;
        }
    }
    // With or without the kill, the same users come.
    let returns: Vec<_> = fleet
        .members
        .iter()
        .cloned()
        .enumerate()
        .map(|(at, member)| {
            let record = record.clone();
            thread::spawn(move || {
                if member.wait_until_ready(Duration::from_secs(5)).is_ok() {
                    for number in 0..COME_BACK {
                        let (member, record) = (member.clone(), record.clone());
                        thread::spawn(move || {
                            send(&member, &record, &format!("back-{at}-{number}"))
                        });
                    }
                }
            })
        })
        .collect();
    for user in returns {
        user.join().map_err(|_| "a user failed")?;
    }
    thread::sleep(is_warm_at.saturating_sub(record.now()));
    is_cold.store(false, Ordering::Relaxed);
    users.join().map_err(|_| "the users failed")?;
    report.join().map_err(|_| "the report failed")?;
    Ok(judge(&arrivals, record))
}

fn answer(
    worker: &Worker,
    req: &http::Request,
    stream: &std::net::TcpStream,
) -> std::io::Result<Next> {
    let headers = worker.headers(req);
    thread::sleep(Duration::from_millis(60));
    http::start_stream(stream, &headers)?;
    for event in 1..=4 {
        http::write_chunk(stream, format!("id: {event}\ndata: x\n\n").as_bytes())?;
        thread::sleep(Duration::from_millis(35));
    }
    http::write_chunk(stream, b"")?;
    Ok(Next::Keep)
}

fn send_all(members: &[Member], record: &Record) {
    let interval = Duration::from_secs_f64(1.0 / PER_S);
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < TIME {
        thread::sleep((interval * number).saturating_sub(started.elapsed()));
        let member = members[usize::try_from(number).unwrap() % members.len()].clone();
        let (record, id) = (record.clone(), format!("r-{number}"));
        number += 1;
        thread::spawn(move || send(&member, &record, &id));
    }
}

fn send(member: &Member, record: &Record, id: &str) {
    let request = format!(
        "POST /ask/1 HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 8000\r\n\
         Content-Length: 2\r\n\r\nhi"
    );
    let answer = http::call(
        member.frontend(),
        request.as_bytes(),
        Duration::from_secs(8),
    );
    record.line(&format!(
        "request {id} at {}: status {}",
        member.ip, answer.status
    ));
}

fn judge(arrivals: &Times, record: &Record) -> Verdict {
    let arrivals = arrivals.lock().unwrap();
    let in_window = |from: &Duration| {
        arrivals
            .iter()
            .filter(|&at| at >= from && *at < *from + WINDOW)
            .count()
    };
    let most = arrivals.iter().map(in_window).max().unwrap_or(0);
    let allowed = COLD_PER_S * OVERAGE + SLACK;
    record.line(&format!(
        "FAILBACK: the cold worker got {most} requests in some {WINDOW:?}, {allowed} are allowed"
    ));
    if f64::from(u32::try_from(most).unwrap()) > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
