//! Trait for bulk storage in the data folder.

use async_trait::async_trait;
use bytes::Bytes;
use sesamewall_protocol::Result;

/// Stores append-only blobs on a local disk.
#[async_trait]
pub trait BulkStorage: Send + Sync {
    /// Appends `data` at `offset` and returns the new length once the data is on disk. An append
    /// at an offset below the length succeeds only if the bytes there are the same.
    async fn append(&self, blob: &str, offset: u64, data: Bytes) -> Result<u64>;

    /// Reads up to `limit` bytes from `offset`. Fails if the bytes don't match their checksum.
    async fn read(&self, blob: &str, offset: u64, limit: u64) -> Result<Bytes>;

    /// Returns the length in bytes of the part of the blob that matches its checksums, or `None` if
    /// the blob does not exist.
    async fn length(&self, blob: &str) -> Result<Option<u64>>;

    /// Returns the names of all blobs.
    async fn list(&self) -> Result<Vec<String>>;

    /// Deletes a blob; deleting a blob that does not exist succeeds.
    async fn delete(&self, blob: &str) -> Result<()>;
}
