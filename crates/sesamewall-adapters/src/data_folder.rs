//! Bulk storage in a folder on disk.
//!
//! A blob is one append-only file of frames: length (u32), CRC32 (u32), bytes.

use std::collections::HashMap;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Read;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use async_trait::async_trait;
use bytes::Bytes;
use sesamewall_ports::BulkStorage;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;

const HEADER_BYTES: u64 = 8;
const FRAME_LIMIT_BYTES: u64 = 16 << 20;
const NAME_LIMIT_BYTES: usize = 200;
/// Limit of blobs whose frame index is kept in memory. The indexes of other blobs are read from
/// disk again.
const INDEX_LIMIT: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct FrameLocation {
    /// Offset of the content within the blob.
    start: u64,
    length: u64,
    /// Offset of the content within the file.
    file_offset: u64,
    checksum: u32,
}

#[derive(Debug, Default)]
struct Index {
    frames: Vec<FrameLocation>,
    length: u64,
    file_end: u64,
}

type SharedIndex = Arc<Mutex<Index>>;

#[derive(Debug)]
struct Inner {
    root: PathBuf,
    blobs: Mutex<HashMap<String, SharedIndex>>,
}

/// Bulk storage in a folder on disk.
#[derive(Clone, Debug)]
pub struct DataFolder {
    inner: Arc<Inner>,
}

impl DataFolder {
    /// Opens the folder and creates it if it does not exist.
    pub fn open(root: impl Into<PathBuf>) -> Result<Self> {
        let root = root.into();
        std::fs::create_dir_all(&root).map_err(|error| io_error("create", &error))?;
        Ok(Self { inner: Arc::new(Inner { root, blobs: Mutex::default() }) })
    }

    async fn blocking<T, F>(&self, work: F) -> Result<T>
    where
        T: Send + 'static,
        F: FnOnce(&Inner) -> Result<T> + Send + 'static,
    {
        let inner = Arc::clone(&self.inner);
        match tokio::task::spawn_blocking(move || work(&inner)).await {
            Ok(result) => result,
            Err(error) => Err(Error::Internal { detail: error.to_string() }),
        }
    }
}

fn io_error(action: &str, error: &std::io::Error) -> Error {
    Error::Internal { detail: format!("data folder: cannot {action}: {error}") }
}

fn damaged(blob: &str, offset: u64) -> Error {
    Error::BulkDamaged { blob: blob.to_owned(), offset }
}

fn absent(blob: &str) -> Error {
    Error::NotFound { kind: "blob".to_owned(), id: blob.to_owned() }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Inner {
    /// Returns the path of a blob, or an error for a name that could leave the folder.
    fn path(&self, blob: &str) -> Result<PathBuf> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        let valid = !blob.is_empty()
            && blob.len() <= NAME_LIMIT_BYTES
            && !blob.starts_with('.')
            && blob.bytes().all(allowed);
        if !valid {
            return Err(Error::FieldInvalid {
                field: "blob".to_owned(),
                detail: "a blob name has letters, digits, `-`, `_` and `.` only".to_owned(),
            });
        }
        Ok(self.root.join(blob))
    }

    /// Returns the index of a blob. The first use reads the file and truncates a torn tail.
    fn index(&self, blob: &str, create: bool) -> Result<SharedIndex> {
        let path = self.path(blob)?;
        let mut blobs = lock(&self.blobs);
        if let Some(found) = blobs.get(blob) {
            return Ok(Arc::clone(found));
        }
        let mut file = match OpenOptions::new().read(true).write(true).create(create).open(&path) {
            Ok(file) => file,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Err(absent(blob)),
            Err(error) => return Err(io_error("open", &error)),
        };
        let index = scan(&mut file)?;
        let end = file.metadata().map_err(|error| io_error("read", &error))?.len();
        if end > index.file_end {
            file.set_len(index.file_end).map_err(|error| io_error("truncate", &error))?;
            file.sync_all().map_err(|error| io_error("sync", &error))?;
        }
        if create {
            self.sync_folder()?;
        }
        if blobs.len() >= INDEX_LIMIT {
            // The lock of an index in use orders the appends to its blob, so only unused indexes
            // are dropped.
            blobs.retain(|_, found| Arc::strong_count(found) > 1);
        }
        let shared = Arc::new(Mutex::new(index));
        blobs.insert(blob.to_owned(), Arc::clone(&shared));
        Ok(shared)
    }

    fn sync_folder(&self) -> Result<()> {
        let folder = File::open(&self.root).map_err(|error| io_error("open", &error))?;
        folder.sync_all().map_err(|error| io_error("sync", &error))
    }

    fn append(&self, blob: &str, offset: u64, data: &[u8]) -> Result<u64> {
        if data.len() as u64 > FRAME_LIMIT_BYTES {
            return Err(Error::BodyTooLarge { limit: FRAME_LIMIT_BYTES as usize });
        }
        let path = self.path(blob)?;
        if offset > 0 && !path.exists() {
            return Err(damaged(blob, offset));
        }
        let shared = self.index(blob, true)?;
        let mut index = lock(&shared);
        if offset < index.length {
            let present = self.read_frames(blob, &index, offset, data.len() as u64)?;
            return if present == data { Ok(index.length) } else { Err(damaged(blob, offset)) };
        }
        if offset > index.length {
            return Err(damaged(blob, offset));
        }
        if data.is_empty() {
            return Ok(index.length);
        }
        let checksum = crc32fast::hash(data);
        let mut bytes = Vec::with_capacity(data.len() + HEADER_BYTES as usize);
        bytes.extend_from_slice(&(data.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes.extend_from_slice(data);
        let mut file =
            OpenOptions::new().write(true).open(&path).map_err(|error| io_error("open", &error))?;
        let written = file
            .write_all_at(&bytes, index.file_end)
            .and_then(|()| file.flush())
            .and_then(|()| file.sync_all());
        if let Err(error) = written {
            // It is unknown whether the bytes are on disk, so the next use reads the file again.
            lock(&self.blobs).remove(blob);
            return Err(io_error("write", &error));
        }
        let frame = FrameLocation {
            start: index.length,
            length: data.len() as u64,
            file_offset: index.file_end + HEADER_BYTES,
            checksum,
        };
        index.frames.push(frame);
        index.length += data.len() as u64;
        index.file_end += bytes.len() as u64;
        Ok(index.length)
    }

    fn read_frames(&self, blob: &str, index: &Index, offset: u64, limit: u64) -> Result<Vec<u8>> {
        let path = self.path(blob)?;
        let file = File::open(&path).map_err(|error| io_error("open", &error))?;
        let end = offset.saturating_add(limit).min(index.length);
        let mut out = Vec::new();
        let first = index.frames.partition_point(|frame| frame.start + frame.length <= offset);
        for frame in index.frames[first..].iter().take_while(|frame| frame.start < end) {
            let mut bytes = vec![0; frame.length as usize];
            file.read_exact_at(&mut bytes, frame.file_offset)
                .map_err(|_| damaged(blob, frame.start))?;
            if crc32fast::hash(&bytes) != frame.checksum {
                return Err(damaged(blob, frame.start));
            }
            let from = offset.saturating_sub(frame.start) as usize;
            let to = (end - frame.start).min(frame.length) as usize;
            out.extend_from_slice(&bytes[from..to]);
        }
        Ok(out)
    }

    fn delete(&self, blob: &str) -> Result<()> {
        let path = self.path(blob)?;
        lock(&self.blobs).remove(blob);
        match std::fs::remove_file(path) {
            Ok(()) => self.sync_folder(),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(()),
            Err(error) => Err(io_error("delete", &error)),
        }
    }

    fn list(&self) -> Result<Vec<String>> {
        let entries = std::fs::read_dir(&self.root).map_err(|error| io_error("list", &error))?;
        let mut names: Vec<String> = entries
            .filter_map(|entry| entry.ok()?.file_name().into_string().ok())
            .filter(|name| self.path(name).is_ok())
            .collect();
        names.sort();
        Ok(names)
    }
}

/// Reads the frames of a file. The index ends after the last complete frame whose checksum is
/// valid. A damaged frame before it stays in the index with its stored checksum, so that reads
/// report the damage.
fn scan(file: &mut File) -> Result<Index> {
    let mut bytes = Vec::new();
    let mut index = Index::default();
    let mut valid_count = 0;
    let mut file_offset = 0;
    let mut start = 0;
    let end = file.metadata().map_err(|error| io_error("read", &error))?.len();
    while file_offset + HEADER_BYTES <= end {
        let mut header = [0; HEADER_BYTES as usize];
        file.read_exact(&mut header).map_err(|error| io_error("read", &error))?;
        let length = u64::from(u32::from_le_bytes([header[0], header[1], header[2], header[3]]));
        let checksum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
        if length == 0 || length > FRAME_LIMIT_BYTES || file_offset + HEADER_BYTES + length > end {
            break;
        }
        bytes.resize(length as usize, 0);
        file.read_exact(&mut bytes).map_err(|error| io_error("read", &error))?;
        index.frames.push(FrameLocation {
            start,
            length,
            file_offset: file_offset + HEADER_BYTES,
            checksum,
        });
        file_offset += HEADER_BYTES + length;
        start += length;
        if crc32fast::hash(&bytes) == checksum {
            valid_count = index.frames.len();
        }
    }
    index.frames.truncate(valid_count);
    if let Some(last) = index.frames.last() {
        index.length = last.start + last.length;
        index.file_end = last.file_offset + last.length;
    }
    Ok(index)
}

#[async_trait]
impl BulkStorage for DataFolder {
    async fn append(&self, blob: &str, offset: u64, data: Bytes) -> Result<u64> {
        let blob = blob.to_owned();
        self.blocking(move |inner| inner.append(&blob, offset, &data)).await
    }

    async fn read(&self, blob: &str, offset: u64, limit: u64) -> Result<Bytes> {
        let blob = blob.to_owned();
        self.blocking(move |inner| {
            let shared = inner.index(&blob, false)?;
            let index = lock(&shared);
            inner.read_frames(&blob, &index, offset, limit).map(Bytes::from)
        })
        .await
    }

    async fn length(&self, blob: &str) -> Result<Option<u64>> {
        let blob = blob.to_owned();
        self.blocking(move |inner| match inner.index(&blob, false) {
            Ok(shared) => Ok(Some(lock(&shared).length)),
            Err(Error::NotFound { .. }) => Ok(None),
            Err(error) => Err(error),
        })
        .await
    }

    async fn list(&self) -> Result<Vec<String>> {
        self.blocking(Inner::list).await
    }

    async fn delete(&self, blob: &str) -> Result<()> {
        let blob = blob.to_owned();
        self.blocking(move |inner| inner.delete(&blob)).await
    }
}
