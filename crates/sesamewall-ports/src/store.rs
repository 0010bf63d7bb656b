//! Trait for the platform's key-value store.

use async_trait::async_trait;
use bytes::Bytes;

/// A value with the version of its last write. Versions increase across the whole store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Full key.
    pub key: String,
    /// The value, at most 1 MB.
    pub value: Bytes,
    /// Version of the last write of this key.
    pub version: u64,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The key must not exist.
    Absent,
    /// The key must have this version.
    Version(u64),
}

/// Failure of a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error, serde::Serialize, serde::Deserialize)]
pub enum StoreError {
    /// The precondition of the write did not hold. Nothing was written.
    #[display("the stored version differs from the expected one")]
    Conflict,
    /// The call did not reach the store. Nothing was written.
    #[display("the store cannot be reached")]
    Unavailable,
    /// The reply was lost; a write may have taken effect.
    #[display("the answer of the store was lost")]
    Unclear,
    /// The store refused the call because of its rate limit. Nothing was written.
    #[display("the store's call rate is used up")]
    RateLimited,
    /// The value is larger than 1 MB.
    #[display("the value is larger than the store accepts")]
    TooLarge,
}

/// The platform's key-value store.
#[async_trait]
pub trait Store: Send + Sync {
    /// Returns the value of `key`.
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError>;

    /// Returns up to `limit` entries whose keys start with `prefix` and are greater than `after`,
    /// in key order.
    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Versioned>, StoreError>;

    /// Writes `value` if `precondition` holds and returns the new version.
    async fn put(
        &self,
        key: &str,
        value: Bytes,
        precondition: Precondition,
    ) -> Result<u64, StoreError>;

    /// Deletes `key` if it has `version`.
    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError>;

    /// Waits until a key that starts with `prefix` has a version above `after`, at most
    /// `wait_ms` milliseconds, and returns such entries in version order; empty at the time limit.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<Vec<Versioned>, StoreError>;
}
