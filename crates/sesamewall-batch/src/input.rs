//! Parses batch input files and divides them into segments.

use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;
use sha2::Digest;
use sha2::Sha256;

/// Maximum number of items in one job.
pub const ITEM_LIMIT: u64 = 170_000;
/// Maximum number of items in one segment.
pub const SEGMENT_ITEMS: u32 = 500;
/// Size limit of a segment in bytes. No further line is added beyond it, so that the segment fits
/// in the memory of a worker.
pub const SEGMENT_BYTES: u64 = 8 << 20;

/// One line of a batch input file.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct InputLine {
    /// Identifier of the item, chosen by the caller and unique in the file.
    pub custom_id: String,
    /// HTTP method.
    pub method: String,
    /// Path of the request.
    pub url: String,
    /// JSON body of the request.
    pub body: serde_json::Value,
}

/// Position of a segment in the input file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SegmentRange {
    /// Offset of its first line in bytes.
    pub offset: u64,
    /// Length in bytes.
    pub length: u64,
    /// Number of items.
    pub items: u32,
    /// Expected work of the items: tokens of prompts and responses for model calls, units of size
    /// for calls of plain services.
    #[serde(default)]
    pub work: u64,
}

/// Output tokens expected of an item that sets no limit.
const EXPECTED_OUTPUT_TOKENS: u64 = 256;
const OUTPUT_LIMIT_TOKENS: u64 = 1 << 20;
const BYTES_PER_TOKEN: u64 = 4;
/// Size in bytes of one unit of work in a call of a plain service. A call counts as one unit plus
/// one for each full `PLAIN_UNIT_BYTES`.
const PLAIN_UNIT_BYTES: u64 = 1024;

/// Returns the expected work of an item whose line has `length` bytes. For model calls these are
/// prompt tokens estimated from the length, plus the output limit that the item sets or
/// `EXPECTED_OUTPUT_TOKENS`; for calls of plain services they are units of size. Admission uses
/// the same estimate, but with the length of the body instead of the line.
pub fn expected_work(line: &InputLine, length: u64) -> u64 {
    if !is_model_endpoint(&line.url) {
        return 1 + length / PLAIN_UNIT_BYTES;
    }
    let limit = ["max_completion_tokens", "max_tokens"]
        .iter()
        .find_map(|name| line.body.get(name).and_then(serde_json::Value::as_u64));
    let output = limit.unwrap_or(EXPECTED_OUTPUT_TOKENS).min(OUTPUT_LIMIT_TOKENS);
    (length / BYTES_PER_TOKEN).max(1) + output
}

/// Parses the line with number `line`, counted from 1. Returns [`Error::BatchLineInvalid`] if the
/// line is not valid.
pub fn parse_line(line: u64, text: &[u8]) -> Result<InputLine> {
    let invalid = |detail: String| Error::BatchLineInvalid { line, detail };
    let parsed: InputLine =
        serde_json::from_slice(text).map_err(|error| invalid(error.to_string()))?;
    if parsed.custom_id.is_empty() {
        return Err(invalid("field `custom_id` is empty".to_owned()));
    }
    let model_call = is_model_endpoint(&parsed.url);
    let method_allowed = match parsed.method.as_str() {
        "POST" => true,
        "GET" | "PUT" | "PATCH" | "DELETE" => !model_call,
        _ => false,
    };
    if !method_allowed {
        return Err(invalid(format!("method `{}` is not supported", parsed.method)));
    }
    // Paths outside `/v1/` belong to plain services. Their routes are checked only by the instance
    // that runs the item.
    let plain = parsed.url.starts_with('/') && !parsed.url.starts_with("/v1/");
    if !model_call && !plain {
        return Err(invalid(format!("url `{}` is not supported", parsed.url)));
    }
    Ok(parsed)
}

fn is_model_endpoint(url: &str) -> bool {
    matches!(url, "/v1/chat/completions" | "/v1/completions")
}

/// Checks an input file chunk by chunk and divides it into segments.
#[derive(Debug, Default)]
pub struct InputScanner {
    pending: Vec<u8>,
    line_limit: usize,
    line: u64,
    offset: u64,
    seen: HashSet<[u8; 16]>,
    endpoint: String,
    segments: Vec<SegmentRange>,
}

impl InputScanner {
    /// Returns a scanner that accepts lines of up to `line_limit` bytes.
    pub fn new(line_limit: usize) -> Self {
        Self { line_limit, ..Self::default() }
    }

    /// Checks the next chunk of the file.
    pub fn push(&mut self, chunk: &[u8]) -> Result<()> {
        let mut rest = chunk;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.pending.extend_from_slice(&rest[..end]);
            rest = &rest[end + 1..];
            self.finish_line(1)?;
        }
        self.pending.extend_from_slice(rest);
        self.check_length()
    }

    /// Checks the rest at the end of the file. Returns the endpoint of all lines, and the segments.
    pub fn finish(mut self) -> Result<(String, Vec<SegmentRange>)> {
        if !self.pending.is_empty() {
            self.finish_line(0)?;
        }
        if self.seen.is_empty() {
            return Err(Error::BatchLineInvalid {
                line: 1,
                detail: "the file has no items".to_owned(),
            });
        }
        Ok((self.endpoint, self.segments))
    }

    fn check_length(&self) -> Result<()> {
        if self.pending.len() > self.line_limit {
            return Err(Error::BatchLineInvalid {
                line: self.line + 1,
                detail: format!("the line is longer than {} bytes", self.line_limit),
            });
        }
        Ok(())
    }

    fn finish_line(&mut self, line_end: u64) -> Result<()> {
        self.check_length()?;
        self.line += 1;
        let text = std::mem::take(&mut self.pending);
        let length = text.len() as u64 + line_end;
        if text.iter().all(u8::is_ascii_whitespace) {
            self.extend(length, 0, 0);
            return Ok(());
        }
        let parsed = parse_line(self.line, &text)?;
        let invalid = |line, detail| Err(Error::BatchLineInvalid { line, detail });
        let digest = Sha256::digest(parsed.custom_id.as_bytes());
        let mut id = [0; 16];
        id.copy_from_slice(&digest[..16]);
        if !self.seen.insert(id) {
            return invalid(self.line, format!("custom_id `{}` is used twice", parsed.custom_id));
        }
        let work = expected_work(&parsed, length);
        if self.endpoint.is_empty() {
            self.endpoint = parsed.url;
        } else if self.endpoint != parsed.url {
            let detail = format!("url `{}` differs from `{}`", parsed.url, self.endpoint);
            return invalid(self.line, detail);
        }
        if self.seen.len() as u64 > ITEM_LIMIT {
            return Err(Error::BatchTooLarge { limit: ITEM_LIMIT });
        }
        self.extend(length, 1, work);
        Ok(())
    }

    fn extend(&mut self, length: u64, items: u32, work: u64) {
        let full = |range: &SegmentRange| {
            range.items + items > SEGMENT_ITEMS
                || (range.items > 0 && range.length + length > SEGMENT_BYTES)
        };
        if self.segments.last().is_none_or(full) {
            self.segments.push(SegmentRange { offset: self.offset, ..SegmentRange::default() });
        }
        let last = self.segments.last_mut().expect("a segment was pushed");
        last.length += length;
        last.items += items;
        last.work += work;
        self.offset += length;
    }
}
