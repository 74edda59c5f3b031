//! A minimal HTTP server whose responses are chosen by the test.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A request that the server received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Method and path, for example `GET /status`.
    pub line: String,
    /// Header lines in lower case.
    pub headers: Vec<String>,
    pub body: String,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        let start = format!("{name}: ");
        self.headers
            .iter()
            .find_map(|line| line.strip_prefix(&start))
    }
}

pub struct StubServer {
    pub addr: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl StubServer {
    /// Serves one request on each connection. `respond` gets the server's address, the request and
    /// the number of earlier requests; it returns the bytes to send before the connection closes.
    pub fn start(
        respond: impl Fn(SocketAddr, &ReceivedRequest, usize) -> String + Send + Sync + 'static,
    ) -> StubServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let (respond, log) = (Arc::new(respond), Arc::clone(&received));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (respond, log) = (Arc::clone(&respond), Arc::clone(&log));
                std::thread::spawn(move || {
                    serve(stream.unwrap(), &log, |request, n| {
                        respond(addr, request, n)
                    });
                });
            }
        });
        StubServer { addr, received }
    }

    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }
}

fn serve(
    mut stream: TcpStream,
    log: &Mutex<Vec<ReceivedRequest>>,
    respond: impl Fn(&ReceivedRequest, usize) -> String,
) {
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
    let mut request = ReceivedRequest {
        line,
        headers: lines,
        body: String::new(),
    };
    let length = request
        .header("content-length")
        .map_or(0, |n| n.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    request.body = String::from_utf8(body).unwrap();
    let mut log = log.lock().unwrap();
    let before = log.len();
    log.push(request.clone());
    drop(log);
    let _ = stream.write_all(respond(&request, before).as_bytes());
}

/// A complete response with a content length.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n{headers}\r\n{body}"
    )
}

/// A response that ends before its announced content length.
pub fn truncated_response(headers: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n{headers}\r\n{body}")
}

/// The list of entries of a site with one daemon.
pub fn entries_response(addr: SocketAddr, incarnation: &str) -> String {
    let entry =
        format!(r#"{{"vm":"a-1","zone":"a","address":"{addr}","incarnation":"{incarnation}"}}"#);
    response(
        "200 OK",
        "",
        &format!(r#"{{"ttl_seconds":5,"entries":[{entry}]}}"#),
    )
}

/// An address at which nothing listens.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}
