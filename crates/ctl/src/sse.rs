//! Parser for server-sent events.

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Event {
    /// Value of the `event:` line; empty when absent.
    pub(crate) event_type: String,
    /// Values of the `data:` lines, joined by line breaks.
    pub(crate) data: String,
}

impl Event {
    /// Whether this is the event that ends a complete stream.
    pub(crate) fn is_done(&self) -> bool {
        self.event_type.is_empty() && self.data == "[DONE]"
    }

    /// Whether this is the event with which a daemon ends an incomplete stream.
    pub(crate) fn is_error(&self) -> bool {
        self.event_type == "error"
    }
}

/// Splits a byte stream into events. Each connection needs its own parser.
#[derive(Debug, Default)]
pub(crate) struct Parser {
    line: Vec<u8>,
    event: Event,
    has_data: bool,
}

impl Parser {
    /// Adds received bytes and returns the events that are complete now.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        let mut events = Vec::new();
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.line.extend_from_slice(&rest[..end]);
            rest = &rest[end + 1..];
            let line = std::mem::take(&mut self.line);
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            events.extend(self.process_line(&String::from_utf8_lossy(line)));
        }
        self.line.extend_from_slice(rest);
        events
    }

    /// Bytes buffered for the event that is not complete yet.
    pub(crate) fn buffered(&self) -> usize {
        self.line.len() + self.event.data.len()
    }

    /// Processes a line. An empty line completes the event.
    fn process_line(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            return std::mem::take(&mut self.has_data).then_some(event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => value.clone_into(&mut self.event.event_type),
            "data" => {
                if std::mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            // The `id:` field is not needed, because the offset of an event is its position in the
            // stream. Comments only keep the connection alive.
            _ => {}
        }
        None
    }
}
