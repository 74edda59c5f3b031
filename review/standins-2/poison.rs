//! A request that crashes each worker that runs it, right after the first event of its answer.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Fleet, Member, ZONES};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Identity, Next, Worker};

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"consult","host":"site.example","prefix":"/consult/","type":"streaming","timeout_ms":15000,"target_latency_ms":1000,"priority":0,"service":"formula-llm","max_attempts":1,"public":true,"sticky":true,"resumable":false,"itl_target_ms":200}],
"services":[{"name":"formula-llm","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}"#;

const WORKERS: u8 = 9;
/// A crashed worker is back after this time, and its entry goes after three missed reports.
const BACK_AFTER: Duration = Duration::from_millis(2500);
const LAPSE: Duration = Duration::from_millis(3600);
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
const MAX_RETRIES: usize = 3;
const POISON_INTERVAL: Duration = Duration::from_millis(1500);
const POISON_REQUESTS: usize = 14;

type Times = Arc<Mutex<Vec<Duration>>>;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let text = |err: std::io::Error| err.to_string();
    let fleet = Fleet::new(3, record).map_err(text)?;
    fleet.store.put("op/config", &CONFIG.replace('\n', ""));
    let arrivals = Times::default();
    let crashes = Times::default();
    // When sound streams were cut off.
    let cut = Times::default();
    let start = {
        let (arrivals, crashes, record) =
            (Arc::clone(&arrivals), Arc::clone(&crashes), record.clone());
        move |identity: Identity| {
            let (arrivals, crashes) = (Arc::clone(&arrivals), Arc::clone(&crashes));
            Worker::start(identity, &record, move |worker, req, stream| {
                let is_poison = req.path.ends_with("/poison");
                if is_poison {
                    arrivals.lock().unwrap().push(worker.record.now());
                }
                answer(worker, req, stream, is_poison && has_trouble, &crashes)
            })
        }
    };
    let is_over = Arc::new(AtomicBool::new(false));
    let mut keepers = Vec::new();
    for at in 0..WORKERS {
        let identity = Identity {
            id: format!("i-{at}"),
            service: "formula-llm",
            zone: ZONES[usize::from(at) % ZONES.len()],
            address: (fleet.ip(100 + at), 8080).into(),
            slots: 6,
        };
        let (start, store, is_over) = (start.clone(), fleet.store.clone(), Arc::clone(&is_over));
        keepers.push(thread::spawn(move || {
            keep_running(&identity, &start, &store, &is_over)
        }));
    }
    thread::sleep(Duration::from_millis(200));
    fleet.start()?;
    let members = fleet.members.clone();
    let sound = {
        let (members, record, cut) = (members.clone(), record.clone(), Arc::clone(&cut));
        thread::spawn(move || send_sound(&members, &record, &cut))
    };
    let poison = {
        let record = record.clone();
        thread::spawn(move || send_poison(&members, &record))
    };
    let _ = poison.join();
    let _ = sound.join();
    is_over.store(true, Ordering::Relaxed);
    for keeper in keepers {
        keeper
            .join()
            .map_err(|_| "a worker failed")?
            .map_err(text)?;
    }
    Ok(judge(&arrivals, &crashes, &cut, record))
}

/// Runs a worker. After a crash it is back as a new one at the same address, and the old entry lapses.
fn keep_running(
    identity: &Identity,
    start: &impl Fn(Identity) -> std::io::Result<Worker>,
    store: &Store,
    is_over: &AtomicBool,
) -> std::io::Result<()> {
    for start_number in 0.. {
        let id = format!("{}-{start_number}", identity.id);
        let worker = start(Identity {
            id: id.clone(),
            ..identity.clone()
        })?;
        worker.register(store, "ready");
        while !worker.has_crashed() {
            if is_over.load(Ordering::Relaxed) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(BACK_AFTER);
        let (store, record) = (store.clone(), worker.record.clone());
        thread::spawn(move || {
            thread::sleep(LAPSE - BACK_AFTER);
            store.remove(&format!("servers/{id}"));
            record.line(&format!("the entry of {id} lapses"));
        });
    }
    Ok(())
}

fn answer(
    worker: &Worker,
    req: &http::Request,
    stream: &std::net::TcpStream,
    crashes_now: bool,
    crashes: &Times,
) -> std::io::Result<Next> {
    let headers = worker.headers(req);
    thread::sleep(Duration::from_millis(40));
    http::start_stream(stream, &headers)?;
    for event in 1..=5 {
        if event == 2 && crashes_now {
            // The stream is cut off in the middle of its second event.
            http::write_chunk(stream, b"id: 2\nda")?;
            crashes.lock().unwrap().push(worker.record.now());
            return Ok(Next::Crash);
        }
        http::write_chunk(stream, format!("id: {event}\ndata: x\n\n").as_bytes())?;
        thread::sleep(Duration::from_millis(30));
    }
    http::write_chunk(stream, b"")?;
    Ok(Next::Keep)
}

fn send(member: &Member, record: &Record, path: &str, body: &str, id: &str) -> http::Answer {
    let length = body.len();
    let request = format!(
        "POST /consult/{path} HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 15000\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    let answer = http::call(
        member.frontend(),
        request.as_bytes(),
        Duration::from_secs(15),
    );
    record.line(&format!(
        "request {id} to /consult/{path} at {}: status {}, complete {}, {} bytes",
        member.ip,
        answer.status,
        answer.is_complete,
        answer.body.len()
    ));
    answer
}

/// The same request again and again, at any member.
fn send_poison(members: &[Member], record: &Record) {
    for at in 0..POISON_REQUESTS {
        let member = &members[at % members.len()];
        send(
            member,
            record,
            "poison",
            "the same text",
            &format!("poison-{at}"),
        );
        thread::sleep(POISON_INTERVAL);
    }
}

fn send_sound(members: &[Member], record: &Record, cut: &Times) {
    let length = POISON_INTERVAL * u32::try_from(POISON_REQUESTS).unwrap();
    let interval = Duration::from_millis(20);
    for at in 0..length.as_millis() / interval.as_millis() {
        let at = usize::try_from(at).unwrap();
        let (member, record) = (members[at % members.len()].clone(), record.clone());
        let cut = Arc::clone(cut);
        thread::spawn(move || {
            let body = format!("text {at}");
            let answer = send(&member, &record, "sound", &body, &format!("sound-{at}"));
            if !answer.is_complete || answer.status == 502 {
                cut.lock().unwrap().push(record.now());
            }
        });
        thread::sleep(interval);
    }
    thread::sleep(Duration::from_secs(1));
}

fn judge(arrivals: &Times, crashes: &Times, cut: &Times, record: &Record) -> Verdict {
    let (arrivals, crashes) = (arrivals.lock().unwrap(), crashes.lock().unwrap());
    record.line(&format!(
        "{} runs of the request, {} crashes by it",
        arrivals.len(),
        crashes.len()
    ));
    let Some(&third) = crashes.get(2) else {
        return Verdict::Held;
    };
    let from = third + STABLE_WINDOW;
    let lost = cut.lock().unwrap().iter().filter(|&&at| at > from).count();
    let retries = arrivals.iter().filter(|&&at| at > from).count();
    record.line(&format!(
        "BUDGET: {retries} retries reached workers later than {STABLE_WINDOW:?} after the third crash, {MAX_RETRIES} are allowed; \
         {lost} sound requests were cut off by these crashes"
    ));
    if retries > MAX_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
