//! Bulk storage in memory.

use std::collections::BTreeMap;
use std::sync::Mutex;

use async_trait::async_trait;
use bytes::Bytes;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;

use crate::BulkStorage;

/// Bulk storage in memory. [`FakeBulk::erase`] simulates the loss of the disk.
#[derive(Debug, Default)]
pub struct FakeBulk {
    blobs: Mutex<BTreeMap<String, Vec<u8>>>,
}

impl FakeBulk {
    /// Deletes all blobs.
    pub fn erase(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Vec<u8>>> {
        self.blobs.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

#[async_trait]
impl BulkStorage for FakeBulk {
    async fn append(&self, blob: &str, offset: u64, data: Bytes) -> Result<u64> {
        let mut blobs = self.lock();
        let content = blobs.entry(blob.to_owned()).or_default();
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let end = start.saturating_add(data.len());
        match content.get(start..end) {
            Some(present) if present == data => {}
            _ if start == content.len() => content.extend_from_slice(&data),
            _ => return Err(Error::BulkDamaged { blob: blob.to_owned(), offset }),
        }
        Ok(content.len() as u64)
    }

    async fn read(&self, blob: &str, offset: u64, limit: u64) -> Result<Bytes> {
        let blobs = self.lock();
        let Some(content) = blobs.get(blob) else {
            return Err(Error::NotFound { kind: "blob".to_owned(), id: blob.to_owned() });
        };
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(content.len());
        let end = start.saturating_add(usize::try_from(limit).unwrap_or(usize::MAX));
        Ok(Bytes::copy_from_slice(&content[start..end.min(content.len())]))
    }

    async fn length(&self, blob: &str) -> Result<Option<u64>> {
        Ok(self.lock().get(blob).map(|content| content.len() as u64))
    }

    async fn list(&self) -> Result<Vec<String>> {
        Ok(self.lock().keys().cloned().collect())
    }

    async fn delete(&self, blob: &str) -> Result<()> {
        self.lock().remove(blob);
        Ok(())
    }
}
