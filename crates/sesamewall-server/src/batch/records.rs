//! Reads and writes of records in the store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sesamewall_ports::Precondition;
use sesamewall_ports::Store;
use sesamewall_ports::StoreError;
use sesamewall_ports::Versioned;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;

const READ_BACK_TRIES: u32 = 5;
const READ_BACK_INTERVAL: Duration = Duration::from_millis(200);
const PAGE_ENTRIES: usize = 500;

pub(super) const OPEN_PREFIX: &str = "batch/open/";
pub(super) const JOB_PREFIX: &str = "batch/job/";

/// Access to the JSON records in the store.
pub(super) struct Records {
    pub(super) store: Arc<dyn Store>,
    pub(super) read_back: bool,
}

fn unavailable(error: &StoreError) -> Error {
    Error::StoreUnavailable { detail: error.to_string() }
}

/// Returns whether a precondition holds for an entry.
fn holds(precondition: Precondition, found: Option<&Versioned>) -> bool {
    match precondition {
        Precondition::Absent => found.is_none(),
        Precondition::Version(version) => found.is_some_and(|entry| entry.version == version),
    }
}

pub(super) fn decode<T: DeserializeOwned>(entry: &Versioned) -> Result<T> {
    serde_json::from_slice(&entry.value)
        .map_err(|error| Error::Internal { detail: format!("record {}: {error}", entry.key) })
}

impl Records {
    pub(super) async fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Option<(T, u64)>> {
        match self.store.get(key).await {
            Ok(Some(entry)) => Ok(Some((decode(&entry)?, entry.version))),
            Ok(None) => Ok(None),
            Err(error) => Err(unavailable(&error)),
        }
    }

    /// Writes a record if the precondition `expect` holds. Returns its version, or `None` if the
    /// precondition does not hold. A record carries a unique token, so equal bytes in the store
    /// show that this write, or an earlier try of it, took effect.
    pub(super) async fn put<T: Serialize>(
        &self,
        key: &str,
        record: &T,
        expect: Precondition,
    ) -> Result<Option<u64>> {
        let value = Bytes::from(serde_json::to_vec(record).unwrap_or_default());
        match self.store.put(key, value.clone(), expect).await {
            Ok(version) => Ok(Some(version)),
            Err(StoreError::Conflict) if self.read_back => {
                self.confirm_write(key, &value, None).await
            }
            Err(StoreError::Unclear) if self.read_back => {
                self.confirm_write(key, &value, Some(expect)).await
            }
            Err(StoreError::Conflict) => Ok(None),
            Err(error) => Err(unavailable(&error)),
        }
    }

    /// Reads a key after a write without a clear result. Returns the version if the store has
    /// `value`, or `None` if it has another value. A write without a reply, whose precondition is
    /// given as `open`, may still take effect while that holds, so it is sent again.
    async fn confirm_write(
        &self,
        key: &str,
        value: &Bytes,
        open: Option<Precondition>,
    ) -> Result<Option<u64>> {
        for _ in 0..READ_BACK_TRIES {
            match (self.store.get(key).await, open) {
                (Ok(Some(entry)), _) if entry.value == *value => return Ok(Some(entry.version)),
                (Ok(found), Some(expect)) if holds(expect, found.as_ref()) => {
                    if let Ok(version) = self.store.put(key, value.clone(), expect).await {
                        return Ok(Some(version));
                    }
                }
                (Ok(_), _) => return Ok(None),
                (Err(_), _) => {}
            }
            tokio::time::sleep(READ_BACK_INTERVAL).await;
        }
        // `StoreUnavailable` would mean that nothing was written, which is not certain here.
        Err(Error::Internal { detail: format!("whether {key} was written is not known") })
    }

    pub(super) async fn delete(&self, key: &str) -> Result<()> {
        let found = self.store.get(key).await.map_err(|error| unavailable(&error))?;
        match found {
            Some(entry) => self.delete_version(key, entry.version).await,
            None => Ok(()),
        }
    }

    /// Deletes a record unless it has changed since `version`.
    pub(super) async fn delete_version(&self, key: &str, version: u64) -> Result<()> {
        match self.store.delete(key, version).await {
            Ok(()) | Err(StoreError::Conflict | StoreError::Unclear) => Ok(()),
            Err(error) => Err(unavailable(&error)),
        }
    }

    /// Returns up to `limit` entries below `prefix` after the key `after`.
    pub(super) async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Versioned>> {
        self.store.list(prefix, after, limit).await.map_err(|error| unavailable(&error))
    }

    /// Returns all entries below `prefix`. Reads them page by page.
    pub(super) async fn list_all(&self, prefix: &str) -> Result<Vec<Versioned>> {
        let mut all: Vec<Versioned> = Vec::new();
        loop {
            let after = all.last().map_or(String::new(), |entry| entry.key.clone());
            let page = self.list(prefix, &after, PAGE_ENTRIES).await?;
            let is_last = page.len() < PAGE_ENTRIES;
            all.extend(page);
            if is_last {
                return Ok(all);
            }
        }
    }
}

pub(super) fn job_key(job: &str) -> String {
    format!("{JOB_PREFIX}{job}")
}

pub(super) fn open_key(job: &str) -> String {
    format!("{OPEN_PREFIX}{job}")
}

pub(super) fn file_key(file: &str) -> String {
    format!("batch/file/{file}")
}

pub(super) fn segment_prefix(job: &str) -> String {
    format!("batch/segment/{job}/")
}

pub(super) fn segment_key(job: &str, index: u32) -> String {
    format!("batch/segment/{job}/{index:05}")
}

pub(super) fn worker_key(instance: &str) -> String {
    format!("batch/worker/{instance}")
}

/// Returns the key prefix of an account's list of `files` or `jobs`. The account name is in hex, so
/// that no account's prefix is a prefix of another account's.
pub(super) fn list_prefix(account: &AccountName, kind: &str) -> String {
    format!("batch/list/{}/{kind}/", hex::encode(account.as_str()))
}

/// Returns the key of a list entry. Newer objects sort first.
pub(super) fn list_key(account: &AccountName, kind: &str, created_ms: u64, id: &str) -> String {
    let newest_first = 9_999_999_999_999_u64.saturating_sub(created_ms);
    format!("{}{newest_first:013}-{id}", list_prefix(account, kind))
}
