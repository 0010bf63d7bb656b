//! Keys and values of the configuration log in the store.

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::Change;
use sesamewall_protocol::Error;
use sesamewall_protocol::Resource;
use sesamewall_protocol::Result;
use sesamewall_protocol::Revision;

use crate::Configuration;

/// Prefix of the keys of changes.
pub const CHANGE_PREFIX: &str = "config/change/";

/// Key of the record that identifies the newest complete snapshot.
pub const SNAPSHOT_HEAD: &str = "config/snapshot-head";

/// Number of revisions between two snapshots.
pub const SNAPSHOT_INTERVAL: u64 = 256;

/// Maximum size of a change or chunk in bytes, below the store's limit of 1 MB.
pub const MAX_VALUE_BYTES: usize = 900_000;

/// Identifies the newest complete snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SnapshotHead {
    /// Revision of the snapshot.
    pub revision: Revision,
    /// Number of chunks.
    pub parts: u32,
}

/// First line of a chunk; the resources follow in JSON, one per line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChunkHeader {
    /// Revision of the snapshot.
    pub revision: Revision,
    /// Position of the chunk, from 0.
    pub part: u32,
    /// Number of chunks.
    pub parts: u32,
    /// CRC-32 of the bytes after the first line.
    pub crc: u32,
}

/// Returns the key of a change. Keys sort by revision.
pub fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{revision:020}")
}

/// Returns the key of a chunk of a snapshot.
pub fn chunk_key(revision: Revision, part: u32) -> String {
    format!("config/snapshot/{revision:020}/{part:04}")
}

/// Returns the stored value of a change.
///
/// # Errors
///
/// Returns `Error::FieldInvalid` if the value is too large.
pub fn encode_change(change: &Change) -> Result<Vec<u8>> {
    let value = serde_json::to_vec(change).map_err(internal)?;
    if value.len() <= MAX_VALUE_BYTES {
        return Ok(value);
    }
    let detail = format!("the change has {} bytes; at most {MAX_VALUE_BYTES}", value.len());
    Err(Error::FieldInvalid { field: "operations".into(), detail })
}

/// Returns the change in a stored value.
///
/// # Errors
///
/// Returns `Error::Internal` if the value is damaged.
pub fn decode_change(value: &[u8]) -> Result<Change> {
    serde_json::from_slice(value).map_err(internal)
}

/// Returns the chunks of a snapshot of `config`, each at most `MAX_VALUE_BYTES` long.
///
/// # Errors
///
/// Returns `Error::Internal` if a resource cannot be encoded.
pub fn encode_snapshot(config: &Configuration) -> Result<Vec<String>> {
    let header_bytes = 128;
    let mut bodies = vec![String::new()];
    for resource in config.resources() {
        let line = serde_json::to_string(&resource).map_err(internal)?;
        let full = |body: &String| {
            !body.is_empty() && body.len() + line.len() + header_bytes > MAX_VALUE_BYTES
        };
        if bodies.last().is_some_and(full) {
            bodies.push(String::new());
        }
        if let Some(body) = bodies.last_mut() {
            body.push_str(&line);
            body.push('\n');
        }
    }
    let parts = u32::try_from(bodies.len()).unwrap_or(u32::MAX);
    let revision = config.revision();
    let encode = |(part, body): (u32, String)| {
        let crc = crc32fast::hash(body.as_bytes());
        let header = ChunkHeader { revision, part, parts, crc };
        let line = serde_json::to_string(&header).map_err(internal)?;
        Ok(format!("{line}\n{body}"))
    };
    (0..parts).zip(bodies).map(encode).collect()
}

/// Returns the header and the body of a chunk.
///
/// # Errors
///
/// Returns `Error::Internal` if the chunk is damaged.
pub fn decode_chunk(chunk: &str) -> Result<(ChunkHeader, &str)> {
    let damaged = || internal("a snapshot chunk is damaged");
    let (line, body) = chunk.split_once('\n').ok_or_else(damaged)?;
    let header: ChunkHeader = serde_json::from_str(line).map_err(internal)?;
    if header.crc != crc32fast::hash(body.as_bytes()) || header.part >= header.parts {
        return Err(damaged());
    }
    Ok((header, body))
}

/// Returns the configuration whose snapshot has these bodies in order.
///
/// # Errors
///
/// Returns `Error::Internal` or `Error::ResourceInvalid` if a resource is damaged.
pub fn decode_snapshot<'a>(
    revision: Revision,
    bodies: impl Iterator<Item = &'a str>,
) -> Result<Configuration> {
    let lines = bodies.flat_map(str::lines);
    let resources: Result<Vec<Resource>> =
        lines.map(|line| serde_json::from_str(line).map_err(internal)).collect();
    Configuration::from_resources(revision, resources?)
}

fn internal(error: impl std::fmt::Display) -> Error {
    Error::Internal { detail: error.to_string() }
}
