//! Stand-in for the platform's store, as PROTOCOL.md describes it.
//!
//! Each member has an address of its own at which it reaches the store, so that one member can be
//! cut off.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Largest page in bytes of values.
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    /// Writes and, without a value, removals.
    history: Vec<(u64, String, Option<Vec<u8>>)>,
}

/// The way of one member to the store.
#[derive(Default)]
pub struct Way {
    /// Whether the member is cut off: its channels are reset, and new ones refused.
    cut: AtomicBool,
    /// Channels that were opened before this number are silent.
    silent_before: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    next_channel: AtomicU64,
    /// Watches that wait now.
    watches: AtomicU64,
}

pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
    pub ways: Vec<Arc<Way>>,
    page_items: usize,
}

impl Store {
    /// Starts the store at one address for each member.
    pub fn start(addresses: &[SocketAddr], page_items: usize) -> Arc<Self> {
        let store = Arc::new(Store {
            data: Mutex::new(Data {
                revision: 1,
                ..Data::default()
            }),
            changed: Condvar::new(),
            ways: addresses.iter().map(|_| Arc::default()).collect(),
            page_items,
        });
        for (at, &address) in addresses.iter().enumerate() {
            let listener = TcpListener::bind(address).expect("a free address for the store");
            let (store, way) = (Arc::clone(&store), Arc::clone(&store.ways[at]));
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let _ = stream.set_nodelay(true);
                    if way.cut.load(Ordering::SeqCst) {
                        continue;
                    }
                    let channel = way.next_channel.fetch_add(1, Ordering::SeqCst);
                    if let Ok(copy) = stream.try_clone() {
                        way.open.lock().expect("open").push(copy);
                    }
                    let (store, way) = (Arc::clone(&store), Arc::clone(&way));
                    thread::spawn(move || store.serve(&way, channel, stream));
                }
            });
        }
        store
    }

    /// Writes an item. It is acknowledged when this returns.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.data.lock().expect("data");
        data.revision += 1;
        let revision = data.revision;
        let value = value.as_bytes().to_vec();
        data.history.push((revision, key.to_owned(), Some(value.clone())));
        data.items.insert(key.to_owned(), (value, revision));
        self.changed.notify_all();
    }

    /// Removes an item. It is acknowledged when this returns.
    pub fn remove(&self, key: &str) {
        let mut data = self.data.lock().expect("data");
        if data.items.remove(key).is_some() {
            data.revision += 1;
            let revision = data.revision;
            data.history.push((revision, key.to_owned(), None));
            self.changed.notify_all();
        }
    }

    /// Cuts a member off from the store, or heals the cut.
    pub fn set_cut(&self, member: usize, cut: bool) {
        let way = &self.ways[member];
        way.cut.store(cut, Ordering::SeqCst);
        if cut {
            for stream in way.open.lock().expect("open").drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Makes all channels that are open now silent for good. New ones work.
    pub fn silence(&self) {
        for way in &self.ways {
            let next = way.next_channel.load(Ordering::SeqCst);
            way.silent_before.store(next, Ordering::SeqCst);
        }
    }

    /// Members whose watches wait now.
    pub fn watching(&self) -> Vec<usize> {
        let is_watching = |&at: &usize| self.ways[at].watches.load(Ordering::SeqCst) > 0;
        (0..self.ways.len()).filter(is_watching).collect()
    }

    fn serve(&self, way: &Way, channel: u64, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut rx = BufReader::new(copy);
        let is_silent = || channel < way.silent_before.load(Ordering::SeqCst);
        while let Some(request) = http::read(&mut rx) {
            let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
            let text = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(n, _)| *n == name).map(|(_, value)| decode(value)).unwrap_or_default()
            };
            let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
            let answer = match path {
                "/kv-range" => self.range(&text("prefix"), &text("after")),
                "/kv-watch" => {
                    way.watches.fetch_add(1, Ordering::SeqCst);
                    let wait = Duration::from_millis(number("wait_ms").min(30_000));
                    let answer = self.watch(&text("prefix"), number("after"), wait);
                    way.watches.fetch_sub(1, Ordering::SeqCst);
                    answer
                }
                _ => (404, "{}".to_owned()),
            };
            // The bytes of a silent channel are lost; it stays open.
            if is_silent() {
                thread::sleep(Duration::from_secs(300));
                return;
            }
            let (status, body) = answer;
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if http::respond(&mut stream, status, headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        thread::sleep(ANSWER_TIME);
        let data = self.data.lock().expect("data");
        let mut items = Vec::new();
        let (mut bytes, mut truncated) = (0, false);
        let matching = data.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        for (key, (value, revision)) in matching {
            let text = item(key, value, *revision);
            if !items.is_empty() && (items.len() >= self.page_items || bytes + text.len() > PAGE_BYTES) {
                truncated = true;
                break;
            }
            bytes += text.len();
            items.push(text);
        }
        let (items, revision) = (items.join(","), data.revision);
        let body = format!(r#"{{"items":[{items}],"truncated":{truncated},"store_revision":{revision}}}"#);
        (200, body)
    }

    /// Waits for changes.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut data = self.data.lock().expect("data");
        loop {
            let newer = data.history.iter().filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<String> = newer
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, value, *revision),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let (events, revision) = (events.join(","), data.revision);
                drop(data);
                thread::sleep(ANSWER_TIME);
                return (200, format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#));
            }
            data = self.changed.wait_timeout(data, deadline - now).expect("data").0;
        }
    }
}

fn item(key: &str, value: &[u8], revision: u64) -> String {
    let value = base64(value);
    format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let at = |i: usize| u32::from(group.get(i).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= group.len() { char::from(digit) } else { '=' });
        }
    }
    out
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let code: String = bytes.by_ref().take(2).map(char::from).collect();
            out.push(u8::from_str_radix(&code, 16).unwrap_or(b'?'));
        } else {
            out.push(byte);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
