//! Splits event streams into complete events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event that is buffered until it is complete. A larger one is relayed as it
/// arrives and can't be resumed.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream into complete events and remembers the id of the last one.
pub(crate) struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
    /// Number of complete events that were given out, by all targets together.
    count: u32,
    /// Whether the next byte begins a line.
    at_line_start: bool,
    /// Whether an event has begun that no blank line has ended.
    is_inside_event: bool,
    /// Whether the beginning of that event was given out.
    is_event_cut: bool,
}

impl EventSplitter {
    pub(crate) fn new() -> Self {
        EventSplitter {
            partial: BytesMut::new(),
            last_id: None,
            count: 0,
            at_line_start: true,
            is_inside_event: false,
            is_event_cut: false,
        }
    }

    /// Adds bytes and returns the events that are now complete.
    pub(crate) fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        let scan_start = self.partial.len();
        self.partial.extend_from_slice(data);
        let mut end = 0;
        for at in scan_start..self.partial.len() {
            if !self.ends_event(self.partial[at]) {
                continue;
            }
            if let Some(id) = event_id(&self.partial[end..=at]) {
                self.last_id = Some(id);
            }
            self.count += 1;
            self.is_event_cut = false;
            end = at + 1;
        }
        if end == 0 && self.partial.len() > MAX_EVENT_BYTES {
            end = self.partial.len();
            self.is_event_cut = true;
        }
        (end > 0).then(|| self.partial.split_to(end).freeze())
    }

    /// Whether a byte is the end of a blank line that ends an event.
    fn ends_event(&mut self, byte: u8) -> bool {
        match byte {
            b'\n' => {
                let is_blank_line = std::mem::replace(&mut self.at_line_start, true);
                is_blank_line && std::mem::take(&mut self.is_inside_event)
            }
            b'\r' => false,
            _ => {
                self.at_line_start = false;
                self.is_inside_event = true;
                false
            }
        }
    }

    /// Whether another target can go on after what was given out.
    pub(crate) fn can_be_resumed(&self) -> bool {
        !self.is_event_cut && (self.count == 0 || self.last_id.is_some())
    }

    /// Splitter for the stream of another target, which goes on after the last complete event.
    pub(crate) fn successor(&self) -> Self {
        EventSplitter {
            last_id: self.last_id.clone(),
            count: self.count,
            ..EventSplitter::new()
        }
    }

    /// Whether these first events of another target are those that the caller lacks. Ids of events
    /// rise; ids that are no numbers can't be checked.
    pub(crate) fn is_followed_by(&self, events: &[u8]) -> bool {
        let number = |id: &str| id.parse::<u64>().ok();
        let last = self.last_id.as_deref().and_then(number);
        let next = event_id(events).as_deref().and_then(number);
        last.is_none_or(|last| next.is_none_or(|next| next > last))
    }

    /// Takes what was received of an incomplete event.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Adds bytes of a stream that can't be resumed, and returns them with those that were kept.
    pub(crate) fn push_unsplit(&mut self, data: &[u8]) -> Option<Bytes> {
        let ready = self.push(data);
        let remainder = self.take_remainder();
        match ready {
            Some(ready) if remainder.is_empty() => Some(ready),
            Some(ready) => Some([ready, remainder].concat().into()),
            None => (!remainder.is_empty()).then_some(remainder),
        }
    }

    pub(crate) fn count(&self) -> u32 {
        self.count
    }

    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    pub(crate) fn is_inside_event(&self) -> bool {
        self.is_inside_event
    }
}

fn event_id(event: &[u8]) -> Option<String> {
    let line = event
        .split(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(text.trim().to_owned())
}
