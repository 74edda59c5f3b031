//! Stand-in of the platform's store: items, one revision counter, ranges and watches.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};

/// Time of an answer, as the sheets state it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: String,
    revision: u64,
}

struct Event {
    key: String,
    revision: u64,
    /// `None` for a removal.
    value: Option<String>,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let state = State {
            revision: 100,
            items: BTreeMap::new(),
            events: Vec::new(),
        };
        let store = Store {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(&stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => {
                let item = Item {
                    value: value.clone(),
                    revision,
                };
                state.items.insert(key.to_owned(), item);
            }
            None => {
                state.items.remove(key);
            }
        }
        state.events.push(Event {
            key: key.to_owned(),
            revision,
            value,
        });
        changed.notify_all();
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let path = req.path.split('?').next().unwrap_or_default();
            let body = match path {
                "/kv-range" => self.range(&req),
                "/kv-watch" => self.watch(&req),
                _ => String::new(),
            };
            let status = if body.is_empty() { 404 } else { 200 };
            let headers = "Content-Type: application/json\r\n";
            if http::respond(stream, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, req: &Request) -> String {
        let prefix = req.query("prefix").unwrap_or_default();
        let after = req.query("after").unwrap_or_default();
        let state = self.shared.0.lock().unwrap();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = items
            .map(|(key, item)| json(key, item.revision, Some(&item.value)))
            .collect();
        format!(
            "{{\"items\":[{}],\"truncated\":false,\"store_revision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, req: &Request) -> String {
        let number = |name| req.query(name).and_then(|value| value.parse::<u64>().ok());
        let prefix = req.query("prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let events = state.events.iter();
            let events = events.filter(|e| e.revision > after && e.key.starts_with(&prefix));
            let events: Vec<String> = events
                .map(|e| json(&e.key, e.revision, e.value.as_deref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn json(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}

fn base64(data: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in data.chunks(3) {
        let bytes = [
            three[0],
            *three.get(1).unwrap_or(&0),
            *three.get(2).unwrap_or(&0),
        ];
        let bits = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]);
        for at in 0..4 {
            let sextet = usize::try_from(bits >> (18 - 6 * at) & 63).unwrap();
            if at <= three.len() {
                let _ = write!(out, "{}", char::from(ALPHABET[sextet]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
