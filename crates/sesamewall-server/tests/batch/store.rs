//! A store wrapper that pauses one process, records its commits and injects faults.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use sesamewall_batch::SegmentRecord;
use sesamewall_batch::SegmentState;
use sesamewall_ports::MemoryStore;
use sesamewall_ports::Precondition;
use sesamewall_ports::Store;
use sesamewall_ports::StoreError;
use sesamewall_ports::Versioned;
use tokio::sync::watch;

/// Blocks all calls of a paused process.
#[derive(Clone)]
pub struct Gate(Arc<watch::Sender<bool>>);

impl Gate {
    pub fn new() -> Self {
        Self(Arc::new(watch::channel(true).0))
    }

    pub fn set(&self, open: bool) {
        self.0.send_replace(open);
    }

    pub async fn pass(&self) {
        let _ = self.0.subscribe().wait_for(|open| *open).await;
    }
}

pub type Commits = Arc<Mutex<Vec<(String, SegmentRecord)>>>;

/// Faults that are injected into the store calls of single processes.
#[derive(Default)]
pub struct StoreFaults {
    /// Writes to keys with this prefix take effect, but their replies are lost.
    pub drop_replies: Mutex<Option<&'static str>>,
    /// The next write to a key with this prefix gets no reply and takes effect after this time, if
    /// its precondition holds then.
    pub write_late: Mutex<Option<(&'static str, Duration)>>,
    /// The next process that is about to commit is paused before its write.
    pub pause_commit: AtomicBool,
    /// The process that was paused.
    pub paused: Mutex<Option<Gate>>,
}

/// The store as one process calls it.
pub struct GatedStore {
    pub inner: Arc<MemoryStore>,
    pub gate: Gate,
    pub commits: Commits,
    pub faults: Arc<StoreFaults>,
}

impl GatedStore {
    fn pause_commit(&self, key: &str, value: &Bytes) {
        let committing = key.starts_with("batch/segment/")
            && serde_json::from_slice::<SegmentRecord>(value).unwrap().state
                == SegmentState::Committed;
        if committing && self.faults.pause_commit.swap(false, Ordering::Relaxed) {
            self.gate.set(false);
            *self.faults.paused.lock().unwrap() = Some(self.gate.clone());
        }
    }
}

#[async_trait]
impl Store for GatedStore {
    async fn get(&self, key: &str) -> std::result::Result<Option<Versioned>, StoreError> {
        self.gate.pass().await;
        self.inner.get(key).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> std::result::Result<Vec<Versioned>, StoreError> {
        self.gate.pass().await;
        self.inner.list(prefix, after, limit).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
    ) -> std::result::Result<u64, StoreError> {
        if self.faults.pause_commit.load(Ordering::Relaxed) {
            self.pause_commit(key, &value);
        }
        self.gate.pass().await;
        let late =
            self.faults.write_late.lock().unwrap().take_if(|(prefix, _)| key.starts_with(*prefix));
        if let Some((_, delay)) = late {
            let (store, key) = (self.inner.clone(), key.to_owned());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                // The caller has given up the write.
                let _ = store.put(&key, value, expect).await;
            });
            return Err(StoreError::Unclear);
        }
        let written = self.inner.put(key, value.clone(), expect).await;
        if key.starts_with("batch/segment/") && matches!(written, Ok(_) | Err(StoreError::Unclear))
        {
            let record = serde_json::from_slice(&value).unwrap();
            self.commits.lock().unwrap().push((key.to_owned(), record));
        }
        let dropped = *self.faults.drop_replies.lock().unwrap();
        if written.is_ok() && dropped.is_some_and(|prefix| key.starts_with(prefix)) {
            return Err(StoreError::Unclear);
        }
        written
    }

    async fn delete(&self, key: &str, version: u64) -> std::result::Result<(), StoreError> {
        self.gate.pass().await;
        self.inner.delete(key, version).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> std::result::Result<Vec<Versioned>, StoreError> {
        self.gate.pass().await;
        let found = self.inner.watch(prefix, after, wait_ms).await;
        self.gate.pass().await;
        found
    }
}
