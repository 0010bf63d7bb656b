//! The port towards the data folder.

use async_trait::async_trait;
use bytes::Bytes;
use sesamewall_protocol::Result;

/// Keeps blobs in append-only form on a local disk.
#[async_trait]
pub trait BulkStorage: Send + Sync {
    /// Appends `data` at `offset` and returns the new length once the data is on disk. An append
    /// at an offset below the length succeeds only if the bytes there are the same.
    async fn append(&self, blob: &str, offset: u64, data: Bytes) -> Result<u64>;

    /// Reads up to `limit` bytes from `offset`. Bytes that fail their checksum are an error.
    async fn read(&self, blob: &str, offset: u64, limit: u64) -> Result<Bytes>;

    /// Returns the length in bytes of the part that passes its checksums, or `None` if the blob
    /// does not exist.
    async fn length(&self, blob: &str) -> Result<Option<u64>>;

    /// Returns the names of all blobs.
    async fn list(&self) -> Result<Vec<String>>;

    /// Deletes a blob; deleting a blob that does not exist succeeds.
    async fn delete(&self, blob: &str) -> Result<()>;
}
