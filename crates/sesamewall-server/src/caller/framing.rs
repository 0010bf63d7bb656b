//! Tracks the framing of HTTP/1.1 requests on a connection (RFC 9112, section 6).

use sesamewall_protocol::Error;

/// Limit on the part of a header line that is kept, in bytes.
const LINE_LIMIT_BYTES: usize = 256;

/// Detects ambiguous request heads in the bytes of a connection. The HTTP library corrects some of
/// them silently, so that handlers cannot detect them.
#[derive(Debug, Default)]
pub struct Framing {
    part: Part,
    line: Vec<u8>,
    lengths: u32,
    length: u64,
    encodings: u32,
    hosts: u32,
}

#[derive(Clone, Copy, Debug, Default)]
enum Part {
    #[default]
    Head,
    Body(u64),
    ChunkSize,
    Chunk(u64),
    Trailer,
}

impl Framing {
    /// Returns whether a request head has begun and not ended.
    pub fn in_head(&self) -> bool {
        let begun = !self.line.is_empty() || self.lengths + self.encodings + self.hosts > 0;
        matches!(self.part, Part::Head) && begun
    }

    /// Processes received bytes.
    ///
    /// # Errors
    ///
    /// Returns the offset at which a head is found to be ambiguous, and `Error::HeadersInvalid`.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), (usize, Error)> {
        let mut at = 0;
        while at < bytes.len() {
            let remaining = bytes.len() - at;
            match &mut self.part {
                Part::Body(rest) | Part::Chunk(rest) if *rest > remaining as u64 => {
                    *rest -= remaining as u64;
                    return Ok(());
                }
                Part::Body(rest) => {
                    at += *rest as usize;
                    self.part = Part::Head;
                }
                Part::Chunk(rest) => {
                    at += *rest as usize;
                    self.part = Part::ChunkSize;
                }
                Part::Head | Part::ChunkSize | Part::Trailer => {
                    self.push_byte(bytes[at]).map_err(|error| (at, error))?;
                    at += 1;
                }
            }
        }
        Ok(())
    }

    fn push_byte(&mut self, byte: u8) -> Result<(), Error> {
        if byte != b'\n' {
            if self.line.len() < LINE_LIMIT_BYTES {
                self.line.push(byte);
            }
            return Ok(());
        }
        let line = String::from_utf8_lossy(&std::mem::take(&mut self.line)).trim_end().to_owned();
        match self.part {
            Part::Head => self.parse_head_line(&line)?,
            Part::ChunkSize => {
                let size = line.split(';').next().unwrap_or_default().trim();
                self.part = match u64::from_str_radix(size, 16).unwrap_or(0) {
                    0 => Part::Trailer,
                    size => Part::Chunk(size.saturating_add(2)),
                };
            }
            Part::Trailer if line.is_empty() => self.part = Part::Head,
            _ => {}
        }
        Ok(())
    }

    fn parse_head_line(&mut self, line: &str) -> Result<(), Error> {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        match name.to_ascii_lowercase().as_str() {
            "content-length" => {
                self.lengths += 1;
                self.length = value.trim().parse().unwrap_or(0);
            }
            "transfer-encoding" => self.encodings += 1,
            "host" => self.hosts += 1,
            "" => self.end_head(),
            _ => {}
        }
        let detail = match (self.lengths, self.encodings, self.hosts) {
            (_, _, 2..) => "more than one `host`",
            (2.., ..) => "more than one `content-length`",
            (1, 1.., _) | (_, 2.., _) => {
                "`transfer-encoding` together with `content-length`, or twice"
            }
            _ => return Ok(()),
        };
        Err(Error::HeadersInvalid { detail: detail.to_owned() })
    }

    fn end_head(&mut self) {
        self.part = match (self.encodings, self.length) {
            (1.., _) => Part::ChunkSize,
            (_, 0) => Part::Head,
            (_, length) => Part::Body(length),
        };
        (self.lengths, self.length, self.encodings, self.hosts) = (0, 0, 0, 0);
    }
}
