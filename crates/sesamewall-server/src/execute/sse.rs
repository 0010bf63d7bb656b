//! Splits an engine's stream into server-sent events.

use bytes::Bytes;
use bytes::BytesMut;
use sesamewall_fleet::event_end;

use super::Event;

/// An event larger than this is a fault of the target.
const EVENT_LIMIT_BYTES: usize = 4 << 20;
const END_MARKER: &[u8] = b"data: [DONE]";

/// Collects pieces of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: BytesMut,
    scanned: usize,
}

/// An event does not end within the bound.
#[derive(Debug, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventParser {
    /// Adds a piece of the stream.
    pub fn push(&mut self, chunk: &Bytes) -> Result<(), EventTooLarge> {
        self.buffer.extend_from_slice(chunk);
        if self.buffer.len() > EVENT_LIMIT_BYTES { Err(EventTooLarge) } else { Ok(()) }
    }

    /// Returns the next complete event.
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
