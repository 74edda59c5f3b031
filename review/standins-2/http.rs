//! A small part of HTTP/1.1, enough for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request that a stand-in received.
pub struct Request {
    pub method: String,
    pub path: String,
    headers: Vec<(String, String)>,
    /// Time at which it had arrived.
    pub arrived: Instant,
}

impl Request {
    /// Value of a header; the name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name);
        values.next().map(|(_, value)| decode(value))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut values = headers.iter().filter(|(key, _)| key == name);
    values.next().map(|(_, value)| value.as_str())
}

fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = value.get(at + 1..at + 3);
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk; empty at the end of the body.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok(data)
}

fn is_chunked(headers: &[(String, String)]) -> bool {
    find(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked"))
}

/// Reads the next request of a channel; `None` if the caller has closed it.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let path = words.next().unwrap_or_default().to_owned();
    // No stand-in needs the body.
    if is_chunked(&headers) {
        while !read_chunk(reader)?.is_empty() {}
    } else if let Some(length) = find(&headers, "content-length") {
        let mut body = vec![0; length.parse().map_err(|_| io::ErrorKind::InvalidData)?];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        method,
        path,
        headers,
        arrived: Instant::now(),
    }))
}

/// Writes a response with a length.
pub fn respond(mut stream: &TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Writes the head of a response in chunks.
pub fn start_stream(mut stream: &TcpStream, headers: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())
}

/// Writes one chunk; an empty one ends the response.
pub fn write_chunk(mut stream: &TcpStream, data: &[u8]) -> io::Result<()> {
    let size = format!("{:x}\r\n", data.len());
    stream.write_all(&[size.as_bytes(), data, b"\r\n"].concat())
}

/// What a client saw of one response.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Zero if there was no head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived as a whole.
    pub is_complete: bool,
    pub took: Duration,
    /// Whether the channel could be opened.
    pub has_connected: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends a request on a new channel and reads the response.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let started = Instant::now();
    let mut answer = Answer::default();
    // Whatever arrived until an error counts.
    let _ = exchange(address, request, limit, &mut answer);
    answer.took = started.elapsed();
    answer
}

fn exchange(
    address: SocketAddr,
    request: &[u8],
    limit: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    answer.has_connected = true;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Ok(());
    };
    answer.status = first
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    answer.headers = headers;
    if is_chunked(&answer.headers) {
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            answer.body.extend(chunk);
        }
    } else if let Some(length) = find(&answer.headers, "content-length") {
        let mut body = vec![0; length.parse().map_err(|_| io::ErrorKind::InvalidData)?];
        reader.read_exact(&mut body)?;
        answer.body = body;
    } else {
        reader.read_to_end(&mut answer.body)?;
    }
    answer.is_complete = true;
    Ok(())
}
