//! Trait for a key-value store with transactions, leases and watches.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::StoreError;

/// A stored item.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredItem {
    /// Full key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of the last write of this key.
    pub revision: u64,
}

/// One page of items in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Page {
    /// The items.
    pub items: Vec<StoredItem>,
    /// There are further items after the last one.
    pub more: bool,
    /// Revision of the store at the read.
    pub revision: u64,
    /// Number of items whose values were not encoded as the store promises; they are listed with
    /// empty values.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unreadable: u32,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreChange {
    /// An item was written.
    Written(StoredItem),
    /// A key was removed.
    Removed {
        /// Full key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// Result of waiting for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum WatchResult {
    /// Changes in order, and the revision from which the next call continues.
    Changes {
        /// The changes; empty at the time limit.
        changes: Vec<StoreChange>,
        /// Revision up to which all changes have been reported.
        revision: u64,
    },
    /// The store no longer has the history after the revision.
    HistoryGone,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreWrite {
    /// Full key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Lease with whose end the key is removed; 0 for none.
    pub lease: u64,
}

/// A transaction, which takes effect in full or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Transaction {
    /// Keys with the revisions that they must have; 0 for a key that must not exist.
    pub expect: Vec<(String, u64)>,
    /// Writes.
    pub writes: Vec<StoreWrite>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CommitResult {
    /// The transaction was committed at this revision.
    Done(u64),
    /// A precondition did not hold. Contains the existing items of the preconditions.
    Conflict(Vec<StoredItem>),
    /// The lease of a write has expired or was ended.
    LeaseGone,
}

/// A key-value store with transactions, leases and watches.
#[async_trait]
pub trait LeaseStore: Send + Sync {
    /// Returns the item of `key`, or `None` if the key does not exist.
    async fn item(&self, key: &str) -> Result<Option<StoredItem>, StoreError>;

    /// Returns a page of the items whose keys start with `prefix` and are greater than `after`.
    async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page, StoreError>;

    /// Returns the first page of `prefix`, at most some seconds out of date. It costs a fraction of
    /// a regular read.
    async fn stale_page(&self, prefix: &str) -> Result<Page, StoreError>;

    /// Waits at most `wait` for changes after `revision` of keys that start with `prefix`. An item
    /// whose value was not encoded as the store promises is reported with an empty value.
    async fn changes(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchResult, StoreError>;

    /// Commits a transaction.
    async fn commit(&self, transaction: &Transaction) -> Result<CommitResult, StoreError>;

    /// Creates a lease that expires `ttl` after the call unless it is renewed, and returns it.
    async fn new_lease(&self, ttl: Duration) -> Result<u64, StoreError>;

    /// Renews a lease. Returns false if the lease no longer exists.
    async fn renew(&self, lease: u64) -> Result<bool, StoreError>;

    /// Ends a lease and removes its keys.
    async fn end_lease(&self, lease: u64) -> Result<(), StoreError>;
}
