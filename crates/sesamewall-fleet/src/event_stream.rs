//! Splits a stream into complete server-sent events and reads their ids.

/// Largest event in bytes. A larger event is a fault of the target.
const EVENT_LIMIT: usize = 1 << 20;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// All bytes, including the empty line at the end.
    pub bytes: Vec<u8>,
    /// Id of the event, if it has one.
    pub id: Option<u64>,
}

impl StreamEvent {
    /// Returns whether the event consists of comments only, which belong to no number.
    pub fn is_comment(&self) -> bool {
        self.bytes.split(|byte| *byte == b'\n').all(|line| matches!(line, [] | b"\r" | [b':', ..]))
    }

    /// Returns the data of the event: the values of its data fields, joined by line feeds.
    pub fn data(&self) -> Vec<u8> {
        let mut data = Vec::with_capacity(self.bytes.len());
        let mut first = true;
        for line in self.bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let Some(value) = line.strip_prefix(b"data:") else { continue };
            if !first {
                data.push(b'\n');
            }
            first = false;
            data.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
        }
        data
    }
}

/// The stream contains an event beyond the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("an event is larger than the limit")]
pub struct EventTooLarge;

/// Collects chunks of a stream and returns complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    scanned: usize,
}

impl EventSplitter {
    /// Adds a chunk of the stream.
    ///
    /// # Errors
    ///
    /// Returns `EventTooLarge` if an event does not end within the limit.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(chunk);
        match self.buffer.len() {
            len if len > EVENT_LIMIT => Err(EventTooLarge),
            _ => Ok(()),
        }
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let from = self.scanned.saturating_sub(3);
        let Some(end) = event_end(&self.buffer[from..]).map(|end| from + end) else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned = 0;
        let rest = self.buffer.split_off(end);
        let bytes = std::mem::replace(&mut self.buffer, rest);
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns the number of buffered bytes that are not yet returned as an event.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether the buffer contains bytes of an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes the bytes of an incomplete event.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.scanned = 0;
    }
}

/// Returns the offset after the first empty line, which ends an event.
pub fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut offset = 0;
    while let Some(found) = bytes[offset..].iter().position(|byte| *byte == b'\n') {
        let next = offset + found + 1;
        match bytes.get(next) {
            Some(b'\n') => return Some(next + 1),
            Some(b'\r') if bytes.get(next + 1) == Some(&b'\n') => return Some(next + 2),
            _ => offset = next,
        }
    }
    None
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let line = bytes.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
