//! Rotating files of decision records with a size limit.

use std::collections::VecDeque;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use sesamewall_protocol::DecisionRecord;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;

/// Bytes before each payload: its length and its CRC32, both little-endian `u32`.
const HEAD_BYTES: usize = 8;

/// Largest payload of one frame. A frame with a greater length field is damaged.
const FRAME_LIMIT_BYTES: usize = 256 * 1024;

/// Limits of the disk space for decision records.
#[derive(Clone, Copy, Debug)]
pub struct RecordLimits {
    /// Largest file in bytes; at least one frame is written to a file.
    pub file_bytes: u64,
    /// Bytes of all files together; the oldest file is deleted first.
    pub total_bytes: u64,
}

impl Default for RecordLimits {
    fn default() -> Self {
        Self { file_bytes: 16 << 20, total_bytes: 256 << 20 }
    }
}

/// Stores records in files named `records-NUMBER.log`. Each record is one frame: length, CRC32 and
/// MessagePack. Damaged frames and torn tails are skipped.
#[derive(Debug)]
pub struct RecordFiles {
    folder: PathBuf,
    limits: RecordLimits,
    current: File,
    number: u64,
    length: u64,
    older: VecDeque<(u64, u64)>,
}

impl RecordFiles {
    /// Opens the files in `folder` and truncates a torn tail of the last one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Internal`] with the path when the folder cannot be read or written.
    pub fn open(folder: &Path, limits: RecordLimits) -> Result<Self> {
        let context = |error| io_error(folder, &error);
        std::fs::create_dir_all(folder).map_err(context)?;
        let mut older = VecDeque::new();
        for entry in std::fs::read_dir(folder).map_err(context)? {
            let entry = entry.map_err(context)?;
            if let Some(number) = entry.file_name().to_str().and_then(parse_name) {
                older.push_back((number, entry.metadata().map_err(context)?.len()));
            }
        }
        older.make_contiguous().sort_unstable();
        let number = older.pop_back().map_or(1, |(number, _)| number);
        let (current, length) = open_last(&folder.join(file_name(number)))?;
        Ok(Self { folder: folder.to_owned(), limits, current, number, length, older })
    }

    /// Appends records. They survive the loss of this process once this returns.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Internal`] when a write fails; earlier records stay readable.
    pub fn append(&mut self, records: &[DecisionRecord]) -> Result<()> {
        let mut buffer = Vec::new();
        for record in records {
            let frame = encode(record)?;
            let length = self.length + (buffer.len() + frame.len()) as u64;
            if length > self.limits.file_bytes && self.length + buffer.len() as u64 > 0 {
                self.write(&buffer)?;
                buffer.clear();
                self.rotate()?;
            }
            buffer.extend_from_slice(&frame);
        }
        self.write(&buffer)
    }

    /// Returns the paths of all files, oldest first.
    pub fn paths(&self) -> Vec<PathBuf> {
        let numbers = self.older.iter().map(|(number, _)| *number).chain([self.number]);
        numbers.map(|number| self.folder.join(file_name(number))).collect()
    }

    /// Returns the bytes of all files together.
    pub fn total_bytes(&self) -> u64 {
        self.length + self.older.iter().map(|(_, length)| length).sum::<u64>()
    }

    /// Returns the latest `limit` records in `paths` (oldest file first) that `wanted` accepts.
    /// Files deleted meanwhile are skipped.
    pub fn scan(
        paths: &[PathBuf],
        limit: usize,
        wanted: impl Fn(&DecisionRecord) -> bool,
    ) -> Vec<DecisionRecord> {
        let mut found = Vec::new();
        for path in paths.iter().rev().filter(|path| path.exists()) {
            let mut bytes = Vec::new();
            if File::open(path).and_then(|mut file| file.read_to_end(&mut bytes)).is_err() {
                continue;
            }
            let records = frames(&bytes).filter_map(|(_, frame)| frame);
            let mut part: Vec<_> = records.filter(&wanted).collect();
            part.append(&mut found);
            found = part;
            if found.len() >= limit {
                found.drain(..found.len() - limit);
                break;
            }
        }
        found
    }

    fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.make_room(bytes.len() as u64)?;
        if let Err(error) = self.current.write_all(bytes) {
            // A partial frame would hide the records written after it.
            let _ = self.current.set_len(self.length);
            return Err(io_error(&self.folder, &error));
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn rotate(&mut self) -> Result<()> {
        let (current, length) = open_last(&self.folder.join(file_name(self.number + 1)))?;
        self.older.push_back((self.number, self.length));
        self.number += 1;
        (self.current, self.length) = (current, length);
        Ok(())
    }

    fn make_room(&mut self, bytes: u64) -> Result<()> {
        while self.total_bytes() + bytes > self.limits.total_bytes {
            let Some((number, _)) = self.older.front() else { break };
            let path = self.folder.join(file_name(*number));
            match std::fs::remove_file(&path) {
                Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                    return Err(io_error(&path, &error));
                }
                _ => self.older.pop_front(),
            };
        }
        Ok(())
    }
}

fn file_name(number: u64) -> String {
    format!("records-{number:010}.log")
}

fn parse_name(name: &str) -> Option<u64> {
    name.strip_prefix("records-")?.strip_suffix(".log")?.parse().ok()
}

fn open_last(path: &Path) -> Result<(File, u64)> {
    let context = |error| io_error(path, &error);
    let mut file =
        OpenOptions::new().create(true).read(true).append(true).open(path).map_err(context)?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes).map_err(context)?;
    let valid = frames(&bytes).filter(|(_, frame)| frame.is_some()).map(|(end, _)| end).last();
    let length = valid.unwrap_or(0) as u64;
    file.set_len(length).map_err(context)?;
    Ok((file, length))
}

fn encode(record: &DecisionRecord) -> Result<Vec<u8>> {
    let payload = rmp_serde::to_vec_named(record)
        .map_err(|error| Error::Internal { detail: format!("record not encoded: {error}") })?;
    let length = u32::try_from(payload.len()).ok().filter(|_| payload.len() <= FRAME_LIMIT_BYTES);
    let length = length
        .ok_or_else(|| Error::Internal { detail: format!("record of {} bytes", payload.len()) })?;
    let mut frame = Vec::with_capacity(HEAD_BYTES + payload.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    frame.extend_from_slice(&payload);
    Ok(frame)
}

/// Returns each complete frame with its end offset; the record is `None` where the checksum or
/// the content is damaged. Stops at the first frame that does not fit.
fn frames(bytes: &[u8]) -> impl Iterator<Item = (usize, Option<DecisionRecord>)> {
    let mut start = 0;
    std::iter::from_fn(move || {
        let head = bytes.get(start..start + HEAD_BYTES)?;
        let (length, checksum) = head.split_at(4);
        let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
        let checksum = u32::from_le_bytes(checksum.try_into().ok()?);
        if length > FRAME_LIMIT_BYTES {
            return None;
        }
        let payload = bytes.get(start + HEAD_BYTES..start + HEAD_BYTES + length)?;
        start += HEAD_BYTES + length;
        let intact = crc32fast::hash(payload) == checksum;
        Some((start, intact.then(|| rmp_serde::from_slice(payload).ok()).flatten()))
    })
}

fn io_error(path: &Path, error: &std::io::Error) -> Error {
    Error::Internal { detail: format!("decision records at {}: {error}", path.display()) }
}
