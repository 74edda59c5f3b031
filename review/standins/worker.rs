//! Stand-in for a worker, as PROTOCOL.md describes it.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

unsafe extern "C" {
    safe fn listen(socket: i32, backlog: i32) -> i32;
}

/// A request with this body crashes each worker that begins to run it.
pub const CRASHING_BODY: &[u8] = b"this request crashes its worker";
/// A worker is back this long after a crash.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// The entry of a silent worker is removed after three reports of 1.2 s.
const ENTRY_TIME: Duration = Duration::from_millis(3600);

/// One request that reached a worker and was not turned away.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub worker: usize,
    pub attempt: String,
    pub crashed: bool,
}

struct State {
    id: String,
    starts: usize,
    born: u128,
    is_up: bool,
    /// Whether a machine that went dark is about to start again.
    is_back: bool,
    open: Vec<TcpStream>,
    running: usize,
}

pub struct Worker {
    pub index: usize,
    address: SocketAddr,
    zone: String,
    service: String,
    slots: usize,
    work: Duration,
    state: Mutex<State>,
    freed: Condvar,
    /// Whether a crash takes the machine: its channels hang until it is back.
    goes_dark: bool,
    record: Arc<Record>,
    store: Arc<Store>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

pub struct Plan<'a> {
    pub service: &'a str,
    pub zone: &'a str,
    pub slots: usize,
    pub work: Duration,
    pub goes_dark: bool,
}

impl Worker {
    /// Starts a worker, which registers itself.
    pub fn start(
        index: usize,
        address: SocketAddr,
        plan: &Plan<'_>,
        record: &Arc<Record>,
        store: &Arc<Store>,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> Arc<Self> {
        let worker = Arc::new(Worker {
            index,
            address,
            zone: plan.zone.to_owned(),
            service: plan.service.to_owned(),
            slots: plan.slots,
            work: plan.work,
            state: Mutex::new(State {
                id: String::new(),
                starts: 0,
                born: 0,
                is_up: false,
                is_back: false,
                open: Vec::new(),
                running: 0,
            }),
            freed: Condvar::new(),
            goes_dark: plan.goes_dark,
            record: Arc::clone(record),
            store: Arc::clone(store),
            arrivals: Arc::clone(arrivals),
        });
        worker.come_up();
        worker
    }

    pub fn id(&self) -> String {
        self.state.lock().expect("state").id.clone()
    }

    /// Writes the worker's entry.
    pub fn register(&self, stage: &str, sequence: u64) {
        self.write_entry(stage, sequence, Duration::ZERO);
    }

    /// Writes an entry that says how long the worker stays cold.
    pub fn register_cold(&self, sequence: u64, cold: Duration) {
        self.write_entry("ready", sequence, cold);
    }

    fn write_entry(&self, stage: &str, sequence: u64, cold: Duration) {
        let state = self.state.lock().expect("state");
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{stage}","cold_remaining_ms":{},"sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.zone, self.slots, cold.as_millis(), state.born
        );
        let key = format!("servers/{}", state.id);
        drop(state);
        self.store.put(&key, &entry);
    }

    /// Removes the worker's entry.
    pub fn deregister(&self) {
        self.store.remove(&format!("servers/{}", self.id()));
    }

    /// Leaves the opening packets of new channels unanswered while the machine is dark: one channel
    /// that nobody accepts fills the queue of the listener.
    fn ignore_new_channels(&self, listener: &TcpListener) {
        if !self.goes_dark {
            return;
        }
        listen(listener.as_raw_fd(), 0);
        let longest = Duration::from_millis(20);
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, longest) {
            queued.push(stream);
        }
        while !self.state.lock().expect("state").is_back {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Keeps a channel of a machine that went dark silent until the machine is back.
    fn hang(&self, start: usize) {
        while self.goes_dark && self.state.lock().expect("state").starts == start {
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Ends the process of the worker: no new channels are accepted, and all channels end, at once or,
    /// if its machine goes dark, when it is back.
    pub fn exit(&self) {
        let mut state = self.state.lock().expect("state");
        state.is_up = false;
        state.running = 0;
        if self.goes_dark {
            self.freed.notify_all();
            return;
        }
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.freed.notify_all();
    }

    /// Starts the process of the worker under a new id.
    pub fn come_up(self: &Arc<Self>) {
        self.state.lock().expect("state").is_back = true;
        let deadline = Instant::now() + Duration::from_secs(1);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                // The listener of the start before is closed in a moment.
                Err(_) if Instant::now() < deadline => thread::sleep(Duration::from_millis(2)),
                Err(err) => panic!("no free address for a worker: {err}"),
            }
        };
        listener.set_nonblocking(true).expect("a listener");
        let mut state = self.state.lock().expect("state");
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        state.starts += 1;
        state.id = format!("i-{:03}-{}", self.index, state.starts);
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock");
        state.born = born.as_millis();
        state.is_up = true;
        state.is_back = false;
        let start = state.starts;
        drop(state);
        self.register("ready", 1);
        let worker = Arc::clone(self);
        thread::spawn(move || {
            loop {
                {
                    let is_up = {
                        let state = worker.state.lock().expect("state");
                        state.is_up && state.starts == start
                    };
                    if !is_up {
                        worker.ignore_new_channels(&listener);
                        return;
                    }
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let worker = Arc::clone(&worker);
                        thread::spawn(move || worker.serve(start, stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn serve(self: Arc<Self>, start: usize, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        {
            let mut state = self.state.lock().expect("state");
            if !state.is_up || state.starts != start {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                state.open.push(copy);
            }
        }
        let mut rx = BufReader::new(copy);
        while let Some(request) = http::read(&mut rx) {
            let Some((status, headers, body)) = self.handle(start, &request) else {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            if http::respond(&mut stream, status, &headers, &body).is_err() {
                return;
            }
        }
    }

    /// Runs a request. `None` if the process ends meanwhile.
    fn handle(self: &Arc<Self>, start: usize, request: &Message) -> Option<(u16, String, Vec<u8>)> {
        let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
        let mut headers = format!("X-Attempt-Id: {attempt}\r\nKeep-Alive: timeout=10\r\n");
        let mut state = self.state.lock().expect("state");
        let is_over = |state: &State| !state.is_up || state.starts != start;
        if is_over(&state) {
            drop(state);
            self.hang(start);
            return None;
        }
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|id| id != state.id) {
            headers += "X-Not-Executed: 1\r\n";
            return Some((421, headers, b"another worker".to_vec()));
        }
        let at = self.record.now();
        let id = state.id.clone();
        let crashed = request.body == CRASHING_BODY;
        self.record.line_at(at, &format!("worker {id} gets {attempt} {}", request.target()));
        self.arrivals.lock().expect("arrivals").push(Arrival {
            at,
            worker: self.index,
            attempt: attempt.clone(),
            crashed,
        });
        if crashed {
            drop(state);
            self.crash();
            self.hang(start);
            return None;
        }
        while state.running >= self.slots {
            state = self.freed.wait(state).expect("state");
            if is_over(&state) {
                drop(state);
                self.hang(start);
                return None;
            }
        }
        state.running += 1;
        drop(state);
        thread::sleep(self.work);
        let mut state = self.state.lock().expect("state");
        if is_over(&state) {
            drop(state);
            self.hang(start);
            return None;
        }
        state.running -= 1;
        self.freed.notify_one();
        headers += &format!("X-Instance-Signature: {id}.{attempt}\r\nX-Server-Load: {},0,{}\r\n", state.running + 1, self.slots);
        Some((200, headers, format!("{id} ran {attempt}").into_bytes()))
    }

    fn crash(self: &Arc<Self>) {
        let id = self.id();
        self.record.line(&format!("worker {id} crashes"));
        self.exit();
        let worker = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(DOWN_TIME);
            worker.come_up();
            worker.record.line(&format!("worker {id} is back as {}", worker.id()));
            thread::sleep(ENTRY_TIME - DOWN_TIME);
            worker.store.remove(&format!("servers/{id}"));
        });
    }
}
