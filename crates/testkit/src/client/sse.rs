/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id:` line, if present.
    pub id: Option<String>,
    /// Value of the `event:` line, if present.
    pub kind: Option<String>,
    /// Values of the `data:` lines, joined by newlines.
    pub data: String,
}

/// Splits a byte stream into server-sent events.
///
/// ```
/// let mut parser = testkit::client::EventParser::default();
/// parser.push(b"id: 0\ndata: hel");
/// assert_eq!(parser.next_event(), None);
/// parser.push(b"lo\n\n");
/// assert_eq!(parser.next_event().unwrap().data, "hello");
/// ```
#[derive(Debug, Default)]
pub struct EventParser {
    buf: Vec<u8>,
    /// Start of the first line in `buf` that is not parsed yet.
    line_start: usize,
    event: Event,
    /// Whether the current event already has a `data:` line.
    has_data: bool,
    comments: u64,
}

impl EventParser {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.drain(..self.line_start);
        self.line_start = 0;
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<Event> {
        while let Some(len) = self.buf[self.line_start..].iter().position(|b| *b == b'\n') {
            let line = String::from_utf8_lossy(&self.buf[self.line_start..self.line_start + len])
                .into_owned();
            self.line_start += len + 1;
            if let Some(event) = self.parse_line(line.trim_end_matches('\r')) {
                return Some(event);
            }
        }
        None
    }

    /// Number of comment lines parsed so far.
    #[must_use]
    pub fn comments(&self) -> u64 {
        self.comments
    }

    /// Whether an incomplete line or an event without its closing empty line is left.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        self.line_start < self.buf.len() || self.has_data
    }

    fn parse_line(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            return std::mem::take(&mut self.has_data).then_some(event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "" => self.comments += 1,
            "id" => self.event.id = Some(value.to_owned()),
            "event" => self.event.kind = Some(value.to_owned()),
            "data" => {
                if std::mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            _ => {}
        }
        None
    }
}
