//! Splits the response stream of an engine into server-sent events.

use bytes::Bytes;
use bytes::BytesMut;
use sesamewall_fleet::event_end;

use super::Event;

/// Limit on the size of buffered events; a larger event fails the attempt.
const EVENT_LIMIT_BYTES: usize = 4 << 20;
const END_MARKER: &[u8] = b"data: [DONE]";

/// Buffers chunks of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    scanned: usize,
}

/// Error for an event that exceeds the size limit.
#[derive(Debug, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventParser {
    /// Adds a chunk of the stream.
    pub fn push(&mut self, chunk: &Bytes) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(chunk);
        if self.buffer.len() > EVENT_LIMIT_BYTES { Err(EventTooLarge) } else { Ok(()) }
    }

    /// Returns the next complete event, or `None` if more chunks are needed.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.scanned.saturating_sub(3);
        let Some(end) = event_end(&self.buffer[from..]).map(|end| from + end) else {
            self.scanned = self.buffer.len();
            return None;
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let last = bytes.trim_ascii().starts_with(END_MARKER);
        Some(Event { bytes, last })
    }
}
