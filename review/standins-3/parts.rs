//! Stand-ins for the cases of the third review: the platform's store, workers, clients, and members that
//! run as processes of the deploy file. Only the standard library is used.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Report interval of workers, as in the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// An entry is removed after three report intervals of silence.
const ENTRY_SILENCE: Duration = Duration::from_millis(3600);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Clock and record of a run.
#[derive(Clone)]
pub struct Log {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Log {
    pub fn create(path: &Path) -> Self {
        Log {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record file"))),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{:8.3} {text}", self.now());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.now());
    }

    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> String {
        self.header("x-attempt-id").unwrap_or("-").to_owned()
    }
}

/// Reads one message head and a body with a length or in chunks.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut body = Vec::new();
    if let Some(len) = header(&headers, "content-length") {
        body = vec![0; len.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    } else if header(&headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    }
    Some(Request {
        method,
        target,
        headers,
        body,
    })
}

/// The next chunk; `Some(None)` after the last one, `None` if the connection ends.
fn read_chunk(reader: &mut impl BufRead) -> Option<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk).ok()?;
    let mut end = String::new();
    if reader.read_line(&mut end).ok()? == 0 {
        return None;
    }
    Some((size > 0).then_some(chunk))
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0: the channel ended without an answer.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// Sends one request on a new channel and reads the answer. `patience` is the longest silence.
pub fn call(to: SocketAddr, head: &str, body: &str, patience: Duration) -> Answer {
    call_with(to, head, body, patience, |_| {})
}

/// The same; `on_data` is called with each piece of the body.
pub fn call_with(
    to: SocketAddr,
    head: &str,
    body: &str,
    patience: Duration,
    on_data: impl FnMut(&str),
) -> Answer {
    let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return Answer::default();
    };
    call_on(&stream, head, body, patience, on_data)
}

pub fn call_on(
    stream: &TcpStream,
    head: &str,
    body: &str,
    patience: Duration,
    mut on_data: impl FnMut(&str),
) -> Answer {
    let mut answer = Answer::default();
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
    let mut out = stream;
    if out.write_all(text.as_bytes()).is_err() {
        return answer;
    }
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader) else {
        return answer;
    };
    answer.status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    answer.headers = headers;
    if let Some(len) = answer.header("content-length") {
        let mut bytes = vec![0; len.parse().unwrap_or(0)];
        answer.whole = reader.read_exact(&mut bytes).is_ok();
        answer.body = String::from_utf8_lossy(&bytes).into_owned();
        on_data(&answer.body);
    } else if answer.header("transfer-encoding").is_some() {
        loop {
            match read_chunk(&mut reader) {
                Some(Some(chunk)) => {
                    let text = String::from_utf8_lossy(&chunk).into_owned();
                    on_data(&text);
                    answer.body.push_str(&text);
                }
                Some(None) => {
                    answer.whole = true;
                    break;
                }
                None => break,
            }
        }
    }
    answer
}

pub fn get(to: SocketAddr, path: &str) -> Answer {
    let Ok(stream) = TcpStream::connect_timeout(&to, ms(500)) else {
        return Answer::default();
    };
    let head = format!("GET {path} HTTP/1.1\r\nHost: {to}\r\n");
    call_on(&stream, &head, "", ms(1000), |_| {})
}

// ---------------------------------------------------------------- store

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    /// Key, value (`None`: removed) and revision.
    history: Vec<(String, Option<Vec<u8>>, u64)>,
    revision: u64,
}

/// The platform's store: linearizable, read by HTTP. The operator and the workers write to it directly.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("store");
        let store = Store {
            address: listener.local_addr().expect("address"),
            state: Arc::default(),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(&stream));
            }
        });
        store
    }

    /// Writes an item. The return is the ack.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("store");
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let value = value.as_bytes().to_vec();
        state.history.push((key.to_owned(), Some(value.clone()), revision));
        let item = Item {
            value,
            revision,
            created,
        };
        state.items.insert(key.to_owned(), item);
        changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("store");
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        state.history.push((key.to_owned(), None, revision));
        changed.notify_all();
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
            let query: HashMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), decode_percent(value)))
                .collect();
            let text = |name: &str| query.get(name).cloned().unwrap_or_default();
            let (status, body) = match path {
                "/kv-key" => self.one(&text("key")),
                "/kv-range" => self.range(&text("prefix"), &text("after")),
                "/kv-watch" => {
                    let number = |name: &str| text(name).parse().unwrap_or(0);
                    self.watch(&text("prefix"), number("after"), number("wait_ms"))
                }
                _ => (404, "{}".to_owned()),
            };
            let answer = format!(
                "HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let mut out = stream;
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn one(&self, key: &str) -> (u16, String) {
        let state = self.state.0.lock().expect("store");
        match state.items.get(key) {
            Some(item) => (200, item_json(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().expect("store");
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        let body = format!(
            "{{\"items\":[{}],\"truncated\":false,\"store_revision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let deadline = Instant::now() + ms(wait_ms.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("store");
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(key, _, revision)| *revision > after && key.starts_with(prefix))
                .map(|(key, value, revision)| match value {
                    Some(value) => format!(
                        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
                        base64(value)
                    ),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = changed.wait_timeout(state, left).expect("store").0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
        base64(&item.value),
        item.revision,
        item.created
    )
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        if let Some(byte) = code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(*group.get(at).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            if place <= group.len() {
                let digit = bits >> (18 - 6 * place) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- workers

/// A request that reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub worker: String,
    pub id: String,
    pub target: String,
    /// Whether the worker began to work on it.
    pub ran: bool,
    pub tokens: u64,
}

/// What a worker does with a request that it runs. Returns whether the channel is kept.
pub type Handler = Arc<dyn Fn(&Worker, &Request, &TcpStream) -> bool + Send + Sync>;

struct Incarnation {
    id: String,
    born: u128,
    /// Channels of this incarnation, which break when it crashes.
    channels: Vec<TcpStream>,
}

/// One worker. It reports to the store, has slots and a queue, and may crash and come back.
#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub log: Log,
    store: Store,
    running: Arc<AtomicUsize>,
    sequence: Arc<AtomicU64>,
    now: Arc<Mutex<Option<Incarnation>>>,
    handler: Handler,
    /// Listener of the last incarnation, which a dark machine keeps without accepting.
    dark: Arc<Mutex<Option<TcpListener>>>,
}

static NEXT_WORKER: AtomicUsize = AtomicUsize::new(1);

impl Worker {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        log: &Log,
        store: &Store,
        ip: Ipv4Addr,
        service: &str,
        zone: &str,
        slots: usize,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        handler: Handler,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("worker");
        let worker = Worker {
            address: listener.local_addr().expect("address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            arrivals: Arc::clone(arrivals),
            log: log.clone(),
            store: store.clone(),
            running: Arc::default(),
            sequence: Arc::default(),
            now: Arc::default(),
            handler,
            dark: Arc::default(),
        };
        worker.begin(listener);
        let reporting = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                reporting.report();
            }
        });
        worker
    }

    pub fn id(&self) -> String {
        let now = self.now.lock().expect("worker");
        now.as_ref().map_or_else(String::new, |now| now.id.clone())
    }

    fn begin(&self, listener: TcpListener) {
        let number = NEXT_WORKER.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{number:08x}");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("time").as_millis();
        *self.now.lock().expect("worker") = Some(Incarnation {
            id: id.clone(),
            born,
            channels: Vec::new(),
        });
        self.running.store(0, Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.report();
        *self.dark.lock().expect("listener") = listener.try_clone().ok();
        let worker = self.clone();
        thread::spawn(move || worker.accept(&listener, &id));
    }

    fn accept(&self, listener: &TcpListener, id: &str) {
        listener.set_nonblocking(true).expect("listener");
        loop {
            if self.id() != id {
                return;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let mut now = self.now.lock().expect("worker");
                    if let (Some(now), Ok(copy)) = (now.as_mut(), stream.try_clone()) {
                        now.channels.push(copy);
                    }
                    drop(now);
                    let (worker, id) = (self.clone(), id.to_owned());
                    thread::spawn(move || worker.channel(&stream, &id));
                }
                Err(_) => thread::sleep(ms(1)),
            }
        }
    }

    fn channel(&self, stream: &TcpStream, id: &str) {
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.id() != id {
                return;
            }
            let expected = request.header("x-expect-instance");
            let is_other = expected.is_some_and(|expected| expected != id);
            let is_full = self.running.load(Ordering::SeqCst) >= self.slots;
            let tokens = request.header("x-token-count").unwrap_or("0,0");
            let tokens = tokens.split(',').filter_map(|t| t.trim().parse::<u64>().ok()).sum();
            self.arrivals.lock().expect("arrivals").push(Arrival {
                at: self.log.now(),
                worker: id.to_owned(),
                id: request.id(),
                target: request.target.clone(),
                ran: !is_other && !is_full,
                tokens,
            });
            let kept = if is_other {
                let head = format!("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {}\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n", request.id());
                let mut out = stream;
                out.write_all(head.as_bytes()).is_ok()
            } else if is_full {
                let head = format!("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", request.id());
                let mut out = stream;
                out.write_all(head.as_bytes()).is_ok()
            } else {
                self.running.fetch_add(1, Ordering::SeqCst);
                let kept = (self.handler)(self, &request, stream);
                if self.id() == id {
                    self.running.fetch_sub(1, Ordering::SeqCst);
                }
                kept
            };
            if !kept {
                return;
            }
        }
    }

    /// Headers of each answer.
    pub fn headers(&self, request: &Request) -> String {
        format!(
            "X-Attempt-Id: {}\r\nX-Instance-Signature: {}.{}\r\nX-Server-Load: {},0,{}\r\n",
            request.id(),
            self.id(),
            request.id(),
            self.running.load(Ordering::SeqCst),
            self.slots
        )
    }

    /// A whole answer.
    pub fn answer(&self, request: &Request, stream: &TcpStream, body: &str) -> bool {
        let text = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.headers(request),
            body.len()
        );
        let mut out = stream;
        out.write_all(text.as_bytes()).is_ok()
    }

    pub fn stream_head(&self, request: &Request, stream: &TcpStream) -> bool {
        let text = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.headers(request)
        );
        let mut out = stream;
        out.write_all(text.as_bytes()).is_ok()
    }

    /// Crashes: all channels break and the listener closes. It is back under a new id after `down`. The
    /// old entry is removed after three report intervals.
    pub fn crash(&self, down: Duration) {
        let Some(ended) = self.now.lock().expect("worker").take() else {
            return;
        };
        for channel in &ended.channels {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
        *self.dark.lock().expect("listener") = None;
        self.log.line(&format!("worker {} crashes", ended.id));
        let (store, old) = (self.store.clone(), format!("servers/{}", ended.id));
        thread::spawn(move || {
            thread::sleep(ENTRY_SILENCE);
            store.delete(&old);
        });
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            loop {
                if let Ok(listener) = TcpListener::bind(worker.address) {
                    worker.begin(listener);
                    worker.log.line(&format!("worker {} is back as {}", ended.id, worker.id()));
                    return;
                }
                thread::sleep(ms(20));
            }
        });
    }

    /// The machine of the worker loses its power: its channels hang, and new ones are not answered, as those
    /// that fill the queue of the listener take all places. After `down` all of them are reset, and the
    /// worker is back under a new id. The old entry is removed after three report intervals.
    pub fn go_dark(&self, down: Duration) {
        let Some(ended) = self.now.lock().expect("worker").take() else {
            return;
        };
        self.log.line(&format!("worker {} goes dark", ended.id));
        let (store, old) = (self.store.clone(), format!("servers/{}", ended.id));
        thread::spawn(move || {
            thread::sleep(ENTRY_SILENCE);
            store.delete(&old);
        });
        let worker = self.clone();
        thread::spawn(move || {
            let since = Instant::now();
            // The channels of the ended incarnation stay open meanwhile.
            let mut places = Vec::new();
            while let Ok(stream) = TcpStream::connect_timeout(&worker.address, ms(20)) {
                places.push(stream);
            }
            thread::sleep(down.saturating_sub(since.elapsed()));
            for channel in &ended.channels {
                let _ = channel.shutdown(std::net::Shutdown::Both);
            }
            *worker.dark.lock().expect("listener") = None;
            drop(places);
            loop {
                if let Ok(listener) = TcpListener::bind(worker.address) {
                    worker.begin(listener);
                    worker.log.line(&format!("worker {} is back as {}", ended.id, worker.id()));
                    return;
                }
                thread::sleep(ms(20));
            }
        });
    }

    pub fn report(&self) {
        let now = self.now.lock().expect("worker");
        let Some(now) = now.as_ref() else {
            return;
        };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, now.born
        );
        self.store.put(&format!("servers/{}", now.id), &entry);
    }
}

/// Sends one piece of a body in chunks.
pub fn send_chunk(stream: &TcpStream, text: &str) -> bool {
    let mut out = stream;
    out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok()
}

/// Whether the peer has closed the channel.
pub fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(len) => len == 0,
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
    }
}

// ---------------------------------------------------------------- members

/// Process `primrosechute member` on a loopback address of its own.
pub struct Member {
    pub ip: Ipv4Addr,
    pub zone: String,
    child: Mutex<Child>,
    folder: PathBuf,
    pub port: u16,
}

const FRONTEND: u16 = 8221;
const READINESS: u16 = 8224;
const CONTROL: u16 = 8229;
const DIRECTORY: u16 = 8220;
const METRICS: u16 = 9464;

impl Member {
    pub fn entry(&self) -> SocketAddr {
        (self.ip, FRONTEND).into()
    }

    pub fn is_ready(&self) -> bool {
        get((self.ip, READINESS).into(), "/readyz").status == 200
    }

    /// Runs that it has granted as an owner and that are in flight.
    pub fn granted_runs(&self) -> f64 {
        let page = get((self.ip, METRICS).into(), "/metrics").body;
        let line = page.lines().find(|l| l.starts_with("primrosechute_granted_runs "));
        line.and_then(|l| l.split(' ').nth(1)?.parse().ok()).unwrap_or(0.0)
    }

    pub fn metric(&self, name: &str) -> f64 {
        let page = get((self.ip, METRICS).into(), "/metrics").body;
        let lines = page.lines().filter(|l| l.starts_with(name));
        lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.lock().expect("member").id();
        let _ = Command::new("sh").args(["-c", &format!("kill -{name} {pid}")]).status();
    }

    pub fn has_ended(&self) -> bool {
        !matches!(self.child.lock().expect("member").try_wait(), Ok(None))
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        let mut child = self.child.lock().expect("member");
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub struct Site {
    pub log: Log,
    pub store: Store,
    pub members: Vec<Member>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    base: [u8; 2],
    next_ip: AtomicUsize,
    folder: PathBuf,
}

/// First address of a block that no other run uses: the ports of members must be free there.
fn free_block() -> [u8; 2] {
    let pid = std::process::id();
    for step in 0..2000_u32 {
        let at = pid.wrapping_mul(7).wrapping_add(step);
        let block = [100 + (at / 200 % 100) as u8, (at % 200) as u8];
        let ip = Ipv4Addr::new(127, block[0], block[1], 1);
        let ports = [FRONTEND, READINESS, CONTROL, DIRECTORY, METRICS, 7600];
        if ports.iter().all(|&port| TcpListener::bind((ip, port)).is_ok()) {
            return block;
        }
    }
    panic!("no free addresses");
}

impl Site {
    pub fn new(record: &Path) -> Self {
        let base = free_block();
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        Site {
            log: Log::create(record),
            store: Store::start(Ipv4Addr::new(127, base[0], base[1], 250)),
            members: Vec::new(),
            arrivals: Arc::default(),
            base,
            next_ip: AtomicUsize::new(1),
            folder,
        }
    }

    pub fn ip(&self) -> Ipv4Addr {
        let next = self.next_ip.fetch_add(1, Ordering::Relaxed);
        Ipv4Addr::new(127, self.base[0], self.base[1], next as u8)
    }

    pub fn worker(&self, service: &str, zone: &str, slots: usize, handler: Handler) -> Worker {
        let ip = self.ip();
        Worker::start(&self.log, &self.store, ip, service, zone, slots, &self.arrivals, handler)
    }

    /// Starts members in the given zones and waits until they are ready and have met.
    pub fn start_members(&mut self, zones: &[&str]) {
        let ips: Vec<Ipv4Addr> = zones.iter().map(|_| self.ip()).collect();
        for (&ip, &zone) in ips.iter().zip(zones) {
            let member = self.start_member(ip, zone, &ips);
            self.members.push(member);
        }
        let started = Instant::now();
        while !self.members.iter().all(Member::is_ready) {
            if started.elapsed() > Duration::from_secs(20) {
                println!("the members don't get ready");
                self.close();
                std::process::exit(2);
            }
            thread::sleep(ms(50));
        }
        thread::sleep(ms(4000));
        self.log.say(&format!("{} members are ready", self.members.len()));
    }

    fn start_member(&self, ip: Ipv4Addr, zone: &str, all: &[Ipv4Addr]) -> Member {
        let seeds: Vec<String> = all.iter().take(3).map(|ip| format!("{ip}:{CONTROL}")).collect();
        let settings = format!(
            "node_name=edge-{ip}\nrole=member\nmachine_class=edge\nserves=edge,control,registry\n\
             ip={ip}\nzone={zone}\nregion=lv-riga\n\
             listen.frontend={ip}:{FRONTEND}\nlisten.readiness={ip}:{READINESS}\n\
             listen.control_plane={ip}:{CONTROL}\nlisten.directory={ip}:{DIRECTORY}\n\
             internal_ports=7600,7615\nseeds={}\nbootstrap=true\ncounts_as_loss=false\n\
             limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=registry\n\
             heartbeat_ms=1200\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\n\
             bounds.stable_window_ms=3000\nbounds.ack_ms=4000\nbounds.catch_up_s=4\n\
             bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
             bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n\
             bounds.partition_max_ms=5000\nbounds.revoke_strict=false\nbounds.revoke_ms=5000\n\
             bounds.retry_budget_ratio=0.2\nbounds.retry_window_s=10\nbounds.retry_slack=54\n\
             bounds.quota_window_s=8\nbounds.quota_overage=0.25\nbounds.quota_slack=140000\n\
             bounds.cold_overage=1.5\nbounds.cold_slack=5\nbounds.evacuation_ms=5000\n\
             bounds.recovery_s=12\nbounds.iteration_ms=120\nbounds.retry_after_s=10\n\
             bounds.ttl_max_s=5\nplatform.address={}\nplatform.form=read\n\
             platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n",
            seeds.join(","),
            self.store.address
        );
        let path = self.folder.join(format!("{ip}.conf"));
        std::fs::write(&path, settings).expect("settings");
        let out = File::create(self.folder.join(format!("{ip}.log"))).expect("log file");
        let err = out.try_clone().expect("log file");
        // The command of the deploy file, in the root of the repository.
        let child = Command::new("target/release/primrosechute")
            .arg("member")
            .env("PRIMROSECHUTE_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn();
        match child {
            Ok(child) => Member {
                ip,
                zone: zone.to_owned(),
                child: Mutex::new(child),
                folder: self.folder.clone(),
                port: FRONTEND,
            },
            Err(err) => {
                println!("target/release/primrosechute can't be started: {err}");
                std::process::exit(2);
            }
        }
    }

    /// Member that decides for most of the runs at this moment.
    pub fn first_owner(&self) -> usize {
        let runs: Vec<f64> = self.members.iter().map(Member::granted_runs).collect();
        let mut best = 0;
        for (at, &count) in runs.iter().enumerate() {
            if count > runs[best] {
                best = at;
            }
        }
        best
    }

    /// Ends all processes and removes the temporary folder, unless `KEEP` is set.
    pub fn close(&mut self) {
        for member in &self.members {
            member.signal("CONT");
        }
        self.members.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

/// Whether the disruption is made.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Path of the record, the only argument.
pub fn record_path() -> PathBuf {
    std::env::args().nth(1).map_or_else(|| PathBuf::from("record.txt"), PathBuf::from)
}

/// Ends the run with the exit code of a case.
pub fn finish(mut site: Site, broken: bool, text: &str) -> ! {
    let word = if broken { "BROKEN" } else { "held" };
    site.log.say(&format!("{word}: {text}"));
    site.close();
    std::process::exit(i32::from(broken))
}

/// A small random number generator with a fixed seed.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, n: usize) -> usize {
        (self.next() % n.max(1) as u64) as usize
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of a client attempt.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// A route of the configuration.
pub struct RouteDoc<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
}

impl RouteDoc<'_> {
    pub fn json(&self) -> String {
        let pause = if self.kind == "streaming" { ",\"itl_target_ms\":200" } else { "" };
        format!(
            "{{\"name\":\"{}\",\"host\":\"salon.example\",\"prefix\":\"{}\",\"type\":\"{}\",\"timeout_ms\":{},\"target_latency_ms\":{},\"priority\":1,\"service\":\"{}\",\"max_attempts\":{},\"public\":false,\"sticky\":{},\"resumable\":{}{pause}}}",
            self.name,
            self.prefix,
            self.kind,
            self.timeout_ms,
            self.target_ms,
            self.service,
            self.attempts,
            self.kind == "streaming",
            self.resumable
        )
    }
}

/// The document of the operator. `tenants` is a list in JSON.
pub fn config(version: u64, routes: &[RouteDoc<'_>], tenants: &str) -> String {
    let routes: Vec<String> = routes.iter().map(RouteDoc::json).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"formula-llm\",\"health_path\":\"/healthz\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":13.0}},\
         {{\"name\":\"salon-app\",\"health_path\":\"/healthz\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":{tenants}}}",
        routes.join(",")
    )
}

/// Ends a body in chunks.
pub fn send_last_chunk(stream: &TcpStream) -> bool {
    let mut out = stream;
    out.write_all(b"0\r\n\r\n").is_ok()
}
