//! A tiny HTTP server that answers each request as a test says.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A request as the server read it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Method and path, as in `GET /status`.
    pub line: String,
    /// Header lines in lower case.
    pub headers: Vec<String>,
    pub body: String,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        let start = format!("{name}: ");
        self.headers
            .iter()
            .find_map(|line| line.strip_prefix(&start))
    }
}

pub struct Server {
    pub addr: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Server {
    /// Serves one request on each connection. `answer` gets the request and the number of the
    /// requests before it; it returns the bytes to send before the connection is closed.
    pub fn start(
        answer: impl Fn(SocketAddr, &Seen, usize) -> String + Send + Sync + 'static,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (answer, log) = (Arc::new(answer), Arc::clone(&seen));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (answer, log) = (Arc::clone(&answer), Arc::clone(&log));
                std::thread::spawn(move || {
                    serve(stream.unwrap(), &log, |seen, n| answer(addr, seen, n));
                });
            }
        });
        Server { addr, seen }
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }
}

fn serve(mut stream: TcpStream, log: &Mutex<Vec<Seen>>, answer: impl Fn(&Seen, usize) -> String) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        match line.trim_end() {
            "" => break,
            line => lines.push(line.to_owned()),
        }
    }
    let line = lines.remove(0).replace(" HTTP/1.1", "");
    let mut seen = Seen {
        line,
        headers: lines,
        body: String::new(),
    };
    let length = seen
        .header("content-length")
        .map_or(0, |n| n.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    seen.body = String::from_utf8(body).unwrap();
    let mut log = log.lock().unwrap();
    let before = log.len();
    log.push(seen.clone());
    drop(log);
    let _ = stream.write_all(answer(&seen, before).as_bytes());
}

/// An answer with a length.
pub fn reply(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n{headers}\r\n{body}"
    )
}

/// An answer that is cut off after its body.
pub fn cut(headers: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n{headers}\r\n{body}")
}

/// The entries answer of a site of one daemon.
pub fn entries(addr: SocketAddr, incarnation: &str) -> String {
    let entry =
        format!(r#"{{"vm":"a-1","zone":"a","address":"{addr}","incarnation":"{incarnation}"}}"#);
    reply(
        "200 OK",
        "",
        &format!(r#"{{"ttl_seconds":5,"entries":[{entry}]}}"#),
    )
}

/// An address at which nothing listens.
pub fn closed() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}
