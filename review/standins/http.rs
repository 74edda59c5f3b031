//! Reading and writing of HTTP/1.1 messages.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or(0)
    }
}

fn line(rx: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match rx.read_line(&mut line) {
        Ok(0) | Err(_) => None,
        Ok(_) if !line.ends_with('\n') => None,
        Ok(_) => Some(line.trim_end().to_owned()),
    }
}

/// Reads a message whose body has a length or comes in chunks. `None` if the channel ends before the
/// message is complete.
pub fn read(rx: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut msg = Message {
        start: line(rx)?,
        ..Message::default()
    };
    loop {
        let header = line(rx)?;
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        msg.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let chunked = msg.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let size = usize::from_str_radix(line(rx)?.split(';').next()?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            rx.read_exact(&mut chunk).ok()?;
            msg.body.extend(chunk);
            line(rx)?;
            if size == 0 {
                return Some(msg);
            }
        }
    }
    let length = msg.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    rx.read_exact(&mut body).ok()?;
    msg.body = body;
    Some(msg)
}

/// Writes a response with a length. `headers` are complete lines.
pub fn respond(tx: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> std::io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    tx.write_all(&out)
}
