//! Receives request bodies within the memory budget and at a smallest rate.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use sesamewall_protocol::Error;
use sesamewall_protocol::seconds;
use slog::info;
use tokio::time::Instant;

use crate::InstanceContext;
use crate::byte_budget::Held;

/// Retry time of a request that found no memory: about the time in which a body is received.
pub const MEMORY_RETRY: Duration = Duration::from_millis(500);

/// Extra time for data that has already arrived: after a pause of the whole process, timers fire
/// before sockets are read.
const LATE_POLL: Duration = Duration::from_millis(5);

/// Expected memory of an item of a job beside its text: its fields while it is decoded and copied
/// for its worker, and a node of the map of its headers.
const ITEM_BYTES: usize = 640;

/// Expected memory of a short text beside its bytes.
const TEXT_BYTES: usize = 64;

/// Copies of a job's text: decoded, copied for its worker, and encoded for the way there.
const TEXT_COPIES: usize = 3;

/// Copies of a call of another instance: its bytes and its decoded form.
const CALL_COPIES: usize = 4;

/// Reason why a body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// It was not complete in time.
    Late,
    /// It arrived below the smallest rate.
    TooSlow,
    /// It gave way because the memory for bodies is used up.
    NoMemory,
    /// The client closed the connection.
    Broken,
}

impl BodyError {
    /// Returns the value of the metrics label.
    fn label(self) -> &'static str {
        match self {
            Self::TooLarge => "too-large",
            Self::Late => "late",
            Self::TooSlow => "too-slow",
            Self::NoMemory => "no-memory",
            Self::Broken => "broken",
        }
    }
}

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Most bytes.
    pub bytes: usize,
    /// Time within which it has to be complete.
    pub time: Duration,
}

impl BodyLimits {
    /// Returns the error of a caller's request whose body was not received, and the time after
    /// which it may be sent again.
    pub fn error(&self, context: &InstanceContext, error: BodyError) -> (Error, Option<Duration>) {
        match error {
            BodyError::TooLarge => (Error::BodyTooLarge { limit: self.bytes }, None),
            BodyError::Late => (Error::BodyTimeout { seconds: self.time.as_secs() }, None),
            BodyError::TooSlow => {
                let rate = context.settings.client_limits.min_body_rate as u64;
                (Error::BodyTooSlow { rate }, None)
            }
            BodyError::NoMemory => (Error::MemoryExhausted, Some(MEMORY_RETRY)),
            BodyError::Broken => (Error::Cancelled, None),
        }
    }
}

/// Receives a body. The returned buffer is charged until its last copy is dropped.
///
/// # Errors
///
/// Returns why the body was not received.
pub async fn receive(
    context: &InstanceContext,
    kind: Held,
    body: Incoming,
    limits: BodyLimits,
) -> Result<Bytes, BodyError> {
    let result = receive_charged(context, kind, body, limits).await;
    if let Err(error) = result {
        context.metrics.client_refusals.with_label_values(&[error.label()]).inc();
        if let Some(left_out) = context.client_log.next_line() {
            info!(context.log, "body not received"; "kind" => kind.label(),
                "cause" => error.label(), "held_bytes" => context.buffers.used(kind),
                "left_out" => left_out);
        }
    }
    result
}

async fn receive_charged(
    context: &InstanceContext,
    kind: Held,
    mut body: Incoming,
    limits: BodyLimits,
) -> Result<Bytes, BodyError> {
    let hint = body.size_hint();
    if usize::try_from(hint.lower()).unwrap_or(usize::MAX) > limits.bytes {
        return Err(BodyError::TooLarge);
    }
    let announced = hint.exact().and_then(|bytes| usize::try_from(bytes).ok());
    let largest = announced.unwrap_or(limits.bytes);
    let (mut reserved, shed) = context.buffers.reserve_body(kind);
    let mut buffer: Vec<u8> = Vec::new();
    let begun = Instant::now();
    let settings = &context.settings.client_limits;
    let grace = Duration::from_millis(settings.rate_grace_ms);
    loop {
        let paced = grace + seconds(buffer.len() as f64 / settings.min_body_rate.max(1.0));
        let frame = tokio::select! {
            biased;
            () = shed.notified() => return Err(BodyError::NoMemory),
            frame = next_frame(&mut body, begun + paced.min(limits.time)) => frame,
        };
        let frame = match frame {
            None if paced < limits.time => return Err(BodyError::TooSlow),
            None => return Err(BodyError::Late),
            Some(None) => break,
            Some(Some(Err(_))) => return Err(BodyError::Broken),
            Some(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else { continue };
        let needed = buffer.len() + data.len();
        if needed > limits.bytes {
            return Err(BodyError::TooLarge);
        }
        if needed > buffer.capacity() {
            let capacity =
                next_capacity(buffer.capacity(), needed, largest, settings.small_body_bytes);
            let room = tokio::select! {
                biased;
                () = shed.notified() => return Err(BodyError::NoMemory),
                room = reserved.make_room(capacity) => room,
            };
            room.map_err(|_| BodyError::NoMemory)?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
    reserved.finish();
    Ok(reserved.keep(buffer))
}

/// Returns the next frame, `None` if there is none until `until`.
async fn next_frame(
    body: &mut Incoming,
    until: Instant,
) -> Option<Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>> {
    match tokio::time::timeout_at(until, body.frame()).await {
        Ok(frame) => Some(frame),
        Err(_) => tokio::time::timeout(LATE_POLL, body.frame()).await.ok(),
    }
}

/// Returns the capacity of a buffer that has to hold `needed` bytes. It grows by half, up to the
/// `largest` size that the body can have; a small body does not grow beyond what counts as small.
fn next_capacity(capacity: usize, needed: usize, largest: usize, small: usize) -> usize {
    let grown = needed.max(capacity + capacity / 2).min(largest.max(needed));
    match needed <= small {
        true => grown.min(small),
        false => grown,
    }
}

/// Returns the memory that the parsed form of a job takes at most, as far as its text shows.
pub fn job_bytes(body: &[u8]) -> usize {
    let (mut items, mut quotes) = (0, 0);
    for byte in body {
        match byte {
            b'{' => items += 1,
            b'"' => quotes += 1,
            _ => {}
        }
    }
    items * ITEM_BYTES + quotes / 2 * TEXT_BYTES + body.len() * TEXT_COPIES
}

/// Returns the memory that a call of another instance takes while it is decoded.
pub fn call_bytes(body: &[u8]) -> usize {
    body.len() * CALL_COPIES
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a buffer that is sized by an announced length, and against one that is larger
    /// than the body can be.
    #[test]
    fn a_buffer_grows_with_what_arrives() {
        let small = 64 << 10;
        assert_eq!(next_capacity(0, 100, 4 << 20, small), 100);
        assert_eq!(next_capacity(60_000, 60_001, 4 << 20, small), small);
        assert_eq!(next_capacity(1 << 20, (1 << 20) + 1, 4 << 20, small), 3 << 19);
        assert_eq!(next_capacity(3 << 20, (3 << 20) + 1, 4 << 20, small), 4 << 20);
    }

    /// Guards against a charge below the size of the parsed items, where the text is short.
    #[test]
    fn the_charge_of_a_job_covers_its_items() {
        let item = r#"{"id":"1","path":"/jobs/1"},"#;
        let size = size_of::<sesamewall_fleet::ItemSpec>();
        assert!(job_bytes(item.repeat(1000).as_bytes()) > 4 * 1000 * size);
    }
}
