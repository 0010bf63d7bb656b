//! Checkpoint frames of a result blob: length, CRC32 and a JSON payload.

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::Outcome;

const HEAD_BYTES: usize = 8;

/// Content of a frame: an event of an item or of the blob.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FrameBody {
    /// First frame of a blob. A copy without it has lost its data with the disk.
    Header,
    /// Last valid frame of a blob: a successor has taken over from its writer.
    Seal,
    /// A non-idempotent item is about to be sent to a target.
    Intent,
    /// An attempt ended without an outcome and may be repeated.
    Attempt {
        /// Why the attempt failed.
        reason: String,
        /// Whether the attempt was executed, as far as is known.
        outcome: Outcome,
    },
    /// The item's outcome.
    Outcome {
        /// The response is complete; otherwise the line is an error.
        ok: bool,
        /// Line of the output or error file, without the line ending.
        line: String,
    },
}

/// A checkpoint frame.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Frame {
    /// Fencing token of the writer.
    pub fence: u64,
    /// Index of the item within the segment; 0 for `Header` and `Seal`.
    pub item: u32,
    /// Content.
    pub body: FrameBody,
}

/// Encodes a frame.
pub fn encode_frame(frame: &Frame) -> Vec<u8> {
    let payload = serde_json::to_vec(frame).expect("a frame has only text and numbers");
    let mut bytes = Vec::with_capacity(payload.len() + HEAD_BYTES);
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

/// Decodes frames up to the first that is incomplete or fails its checksum. Returns the frames and
/// their length in bytes.
pub fn decode_frames(bytes: &[u8]) -> (Vec<Frame>, usize) {
    let mut frames = Vec::new();
    let mut at = 0;
    while let Some((frame, length)) = decode_one(&bytes[at..]) {
        frames.push(frame);
        at += length;
    }
    (frames, at)
}

fn decode_one(bytes: &[u8]) -> Option<(Frame, usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(bytes.get(4..HEAD_BYTES)?.try_into().ok()?);
    let payload = bytes.get(HEAD_BYTES..HEAD_BYTES.checked_add(length)?)?;
    if crc32fast::hash(payload) != sum {
        return None;
    }
    Some((serde_json::from_slice(payload).ok()?, HEAD_BYTES + length))
}
