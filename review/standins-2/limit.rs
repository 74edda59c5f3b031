//! Workers name a limit while members are stopped and started in turn. Counts what each worker gets from
//! the members that know its limit and were not stopped.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, Member, ZONES};
use crate::http;
use crate::record::Record;
use crate::roll;
use crate::worker::{Identity, Next, Worker};

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"consult","host":"site.example","prefix":"/consult/","type":"streaming","timeout_ms":15000,"target_latency_ms":1000,"priority":0,"service":"formula-llm","max_attempts":1,"public":true,"sticky":true,"resumable":false,"itl_target_ms":200}],
"services":[{"name":"formula-llm","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

/// No further round begins after this time.
const LAST_ROUND: Duration = Duration::from_secs(85);
const MEMBERS: usize = 9;
const ROLLED: usize = 4;
const WORKERS: u8 = 3;
/// Workers that name a limit: the first ones.
const LIMITED: u8 = 2;
/// Requests a second that each worker takes from all members, and those that arrive at the fleet.
const LIMIT: f64 = 20.0;
const PER_S: f64 = 140.0;
/// Time before the first signal: the limits are known, and `stable_window_ms` is over.
const LEAD: Duration = Duration::from_secs(5);
const TIME: Duration = Duration::from_secs(12);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// A member is bound by an answer this long after it has passed it on.
const KNOWN_AFTER: Duration = Duration::from_millis(500);

struct Arrival {
    at: Duration,
    worker: String,
    member: usize,
}

/// When a member passed on an answer of a worker for the first time.
struct Passed {
    at: Duration,
    worker: String,
    member: usize,
}

#[derive(Default)]
struct Seen {
    arrivals: Vec<Arrival>,
    passed: Vec<Passed>,
}

type Shared = Arc<Mutex<Seen>>;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    for round in 1.. {
        if record.now() > LAST_ROUND {
            break;
        }
        record.line(&format!("round {round}"));
        if let Verdict::Broken = play(record, has_trouble)? {
            return Ok(Verdict::Broken);
        }
    }
    Ok(Verdict::Held)
}

/// One deployment, from its start to the end of the restarts.
fn play(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let text = |err: std::io::Error| err.to_string();
    let fleet = Fleet::new(MEMBERS, record).map_err(text)?;
    fleet.store.put("op/config", &CONFIG.replace('\n', ""));
    let seen = Shared::default();
    let mut workers = Vec::new();
    for at in 0..WORKERS {
        let identity = Identity {
            id: format!("i-{at}"),
            service: "formula-llm",
            zone: ZONES[usize::from(at) % ZONES.len()],
            address: (fleet.ip(100 + at), 8080).into(),
            slots: 11,
        };
        let seen = Arc::clone(&seen);
        let worker = Worker::start(identity, record, move |worker, req, stream| {
            let member = req
                .header("x-attempt-id")
                .and_then(|id| id.rsplit('-').next()?.parse().ok());
            seen.lock().unwrap().arrivals.push(Arrival {
                at: worker.record.now().saturating_sub(req.arrived.elapsed()),
                worker: worker.identity.id.clone(),
                member: member.unwrap_or(0),
            });
            answer(worker, req, stream)
        });
        let worker = worker.map_err(text)?;
        worker.register(&fleet.store, "ready");
        workers.push(worker);
    }
    fleet.start()?;
    let users = {
        let (members, record, seen) = (fleet.members.clone(), record.clone(), Arc::clone(&seen));
        thread::spawn(move || send_all(&members, &record, &seen))
    };
    thread::sleep(LEAD);
    if has_trouble {
        roll::roll(&fleet, ROLLED)?;
    }
    users.join().map_err(|_| "the users failed")?;
    thread::sleep(Duration::from_secs(1));
    Ok(judge(&fleet.members, &seen, record))
}

fn answer(
    worker: &Worker,
    req: &http::Request,
    stream: &std::net::TcpStream,
) -> std::io::Result<Next> {
    let mut headers = worker.headers(req);
    if (0..LIMITED).any(|at| worker.identity.id == format!("i-{at}")) {
        headers += &format!("Server-Limit: {LIMIT:.1}\r\n");
    }
    thread::sleep(Duration::from_millis(60));
    http::start_stream(stream, &headers)?;
    for event in 1..=4 {
        http::write_chunk(stream, format!("id: {event}\ndata: x\n\n").as_bytes())?;
        thread::sleep(Duration::from_millis(40));
    }
    http::write_chunk(stream, b"")?;
    Ok(Next::Keep)
}

fn send_all(members: &[Member], record: &Record, seen: &Shared) {
    let interval = Duration::from_secs_f64(1.0 / PER_S);
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < TIME {
        thread::sleep((interval * number).saturating_sub(started.elapsed()));
        // The directory no longer names a member that is stopping.
        let named: Vec<usize> = (0..members.len())
            .filter(|&at| !members[at].was_stopped())
            .collect();
        let at = named[usize::try_from(number).unwrap() % named.len()];
        let (member, record, seen) = (members[at].clone(), record.clone(), Arc::clone(seen));
        let id = format!("r-{number}-{at}");
        number += 1;
        thread::spawn(move || send(&member, at, &record, &seen, &id));
    }
}

fn send(member: &Member, at: usize, record: &Record, seen: &Shared, id: &str) {
    let request = format!(
        "POST /consult/1 HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 15000\r\n\
         Content-Length: 2\r\n\r\nhi"
    );
    let answer = http::call(
        member.frontend(),
        request.as_bytes(),
        Duration::from_secs(15),
    );
    record.line(&format!(
        "request {id} at {}: status {}",
        member.ip, answer.status
    ));
    let signature = answer.header("x-instance-signature").unwrap_or_default();
    let worker = signature.split('.').next().unwrap_or_default();
    let mut seen = seen.lock().unwrap();
    let is_known = |passed: &Passed| passed.worker == worker && passed.member == at;
    if answer.header("server-limit").is_some() && !seen.passed.iter().any(is_known) {
        seen.passed.push(Passed {
            at: record.now(),
            worker: worker.to_owned(),
            member: at,
        });
    }
}

fn judge(members: &[Member], seen: &Shared, record: &Record) -> Verdict {
    let seen = seen.lock().unwrap();
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    let mut most = 0;
    for worker in (0..WORKERS).map(|at| format!("i-{at}")) {
        let named = seen.passed.iter().filter(|passed| passed.worker == worker);
        let Some(first) = named.map(|passed| passed.at).min() else {
            continue;
        };
        let is_bound = |arrival: &&Arrival| {
            let knows = |passed: &Passed| {
                passed.worker == worker
                    && passed.member == arrival.member
                    && passed.at + KNOWN_AFTER <= arrival.at
            };
            arrival.worker == worker
                && arrival.at >= first + STABLE_WINDOW
                && !members[arrival.member].was_stopped()
                && seen.passed.iter().any(knows)
        };
        let bound: Vec<Duration> = seen
            .arrivals
            .iter()
            .filter(is_bound)
            .map(|a| a.at)
            .collect();
        for &from in &bound {
            let inside = bound.iter().filter(|&&at| at >= from && at < from + WINDOW);
            most = most.max(inside.count());
        }
    }
    record.line(&format!(
        "LIMIT: a worker got {most} requests in some {WINDOW:?}, {allowed} are allowed"
    ));
    if f64::from(u32::try_from(most).unwrap()) > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
