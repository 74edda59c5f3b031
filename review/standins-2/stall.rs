//! Streams that pause on a sound worker while their member is stopped in order. Counts streams that end
//! before their last event.

use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, Member, ZONES};
use crate::http;
use crate::record::Record;
use crate::worker::{Identity, Next, Worker};

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"ask","host":"site.example","prefix":"/ask/","type":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"service":"chute-llm","max_attempts":2,"public":true,"sticky":true,"resumable":true,"itl_target_ms":300}],
"services":[{"name":"chute-llm","health_path":"/healthz","max_connections":370,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

const WORKERS: u8 = 6;
const EVENTS: usize = 22;
/// Streams that are preempted in their middle, and how long their worker is silent then.
const STREAMS: usize = 4;
const PAUSE: Duration = Duration::from_millis(1500);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// A worker forgets a channel that is idle for this long.
const FORGET_AFTER: Duration = Duration::from_millis(400);

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let text = |err: std::io::Error| err.to_string();
    let fleet = Fleet::new(3, record).map_err(text)?;
    fleet.store.put("op/config", &CONFIG.replace('\n', ""));
    let mut workers = Vec::new();
    for at in 0..WORKERS {
        let identity = Identity {
            id: format!("i-{at}"),
            service: "chute-llm",
            zone: ZONES[usize::from(at) % ZONES.len()],
            address: (fleet.ip(100 + at), 8080).into(),
            slots: 10,
        };
        let forget = has_trouble.then_some(FORGET_AFTER);
        let worker =
            Worker::start_forgetful(identity, record, forget, move |worker, req, stream| {
                answer(worker, req, stream, has_trouble)
            });
        let worker = worker.map_err(text)?;
        worker.register(&fleet.store, "ready");
        workers.push(worker);
    }
    fleet.start()?;
    // All members are in touch before the first request.
    thread::sleep(STABLE_WINDOW);
    let member = fleet.members[0].clone();
    let asks: Vec<_> = (0..12)
        .map(|number| spawn(&member, record, "short", number))
        .collect();
    for ask in asks {
        ask.join().map_err(|_| "a user failed")?;
    }
    let asks: Vec<_> = (0..STREAMS)
        .map(|number| spawn(&member, record, "long", number))
        .collect();
    thread::sleep(Duration::from_millis(300));
    if has_trouble {
        member.stop();
    }
    let answers: Result<Vec<http::Answer>, _> =
        asks.into_iter().map(thread::JoinHandle::join).collect();
    let answers = answers.map_err(|_| "a user failed")?;
    let cut = answers
        .iter()
        .filter(|answer| answer.status == 200 && !answer.is_complete)
        .count();
    record.line(&format!(
        "LOST: {cut} of {STREAMS} streams ended before their last event"
    ));
    Ok(if cut > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn answer(
    worker: &Worker,
    req: &http::Request,
    stream: &std::net::TcpStream,
    has_trouble: bool,
) -> std::io::Result<Next> {
    let (id, me) = (
        req.header("x-attempt-id").unwrap_or_default(),
        &worker.identity.id,
    );
    let headers = worker.headers(req);
    thread::sleep(Duration::from_millis(40));
    http::start_stream(stream, &headers)?;
    let last: usize = req
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let events = if req.path.ends_with("/long") {
        EVENTS
    } else {
        3
    };
    for event in last + 1..=events {
        if event == EVENTS / 2 && last == 0 && has_trouble {
            worker.record.line(&format!(
                "{id} is preempted at {me} after event {}",
                event - 1
            ));
            thread::sleep(PAUSE);
        }
        if let Err(err) = http::write_chunk(stream, format!("id: {event}\ndata: x\n\n").as_bytes())
        {
            worker
                .record
                .line(&format!("{id} is given up at {me}: event {event}: {err}"));
            return Err(err);
        }
        thread::sleep(Duration::from_millis(30));
    }
    http::write_chunk(stream, b"")?;
    worker.record.line(&format!("{id} ends at {me}"));
    Ok(Next::Keep)
}

fn spawn(
    member: &Member,
    record: &Record,
    path: &str,
    number: usize,
) -> thread::JoinHandle<http::Answer> {
    let (member, record, path) = (member.clone(), record.clone(), path.to_owned());
    thread::spawn(move || {
        let id = format!("{path}-{number}");
        let request = format!(
            "POST /ask/{path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 8000\r\n\
             Content-Length: 2\r\n\r\nhi"
        );
        let answer = http::call(
            member.frontend(),
            request.as_bytes(),
            Duration::from_millis(2400),
        );
        record.line(&format!(
            "request {id} at {}: status {}, complete {}, {} bytes, {:?}",
            member.ip,
            answer.status,
            answer.is_complete,
            answer.body.len(),
            answer.took
        ));
        answer
    })
}
