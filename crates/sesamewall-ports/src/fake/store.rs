//! A store in memory, with faults that can be injected at run time.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::Notify;

use crate::Precondition;
use crate::Store;
use crate::StoreError;
use crate::Versioned;

const VALUE_LIMIT_BYTES: usize = 1 << 20;

#[derive(Debug, Default)]
struct State {
    entries: BTreeMap<String, (Bytes, u64)>,
    version: u64,
    outage: bool,
    drop_replies: u32,
    reads: u64,
    writes: u64,
}

/// A store in memory. It also serves as the embedded store of `sesamewalld --dev`.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: Mutex<State>,
    changed: Notify,
}

impl MemoryStore {
    /// Starts or ends an outage, in which all calls fail and nothing is written.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
        self.changed.notify_waiters();
    }

    /// Drops the replies of the next `count` writes, which take effect.
    pub fn drop_replies(&self, count: u32) {
        self.lock().drop_replies = count;
    }

    /// Returns the numbers of reads (a watch counts as one) and writes so far.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.lock();
        (state.reads, state.writes)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn entries_after(&self, prefix: &str, after: u64) -> Result<Vec<Versioned>, StoreError> {
        let state = self.lock();
        if state.outage {
            return Err(StoreError::Unavailable);
        }
        let mut found: Vec<Versioned> =
            range(&state, prefix, "").filter(|entry| entry.version > after).collect();
        found.sort_by_key(|entry| entry.version);
        Ok(found)
    }
}

fn range<'a>(
    state: &'a State,
    prefix: &'a str,
    after: &'a str,
) -> impl Iterator<Item = Versioned> + 'a {
    state
        .entries
        .range(prefix.to_owned()..)
        .take_while(move |(key, _)| key.starts_with(prefix))
        .filter(move |(key, _)| key.as_str() > after)
        .map(|(key, (value, version))| Versioned {
            key: key.clone(),
            value: value.clone(),
            version: *version,
        })
}

impl State {
    fn begin_read(&mut self) -> Result<(), StoreError> {
        self.reads += 1;
        if self.outage { Err(StoreError::Unavailable) } else { Ok(()) }
    }

    fn begin_write(&mut self) -> Result<(), StoreError> {
        self.writes += 1;
        if self.outage { Err(StoreError::Unavailable) } else { Ok(()) }
    }

    fn reply<T>(&mut self, value: T) -> Result<T, StoreError> {
        if self.drop_replies == 0 {
            return Ok(value);
        }
        self.drop_replies -= 1;
        Err(StoreError::Unclear)
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let mut state = self.lock();
        state.begin_read()?;
        Ok(state.entries.get(key).map(|(value, version)| Versioned {
            key: key.to_owned(),
            value: value.clone(),
            version: *version,
        }))
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Versioned>, StoreError> {
        let mut state = self.lock();
        state.begin_read()?;
        Ok(range(&state, prefix, after).take(limit).collect())
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        precondition: Precondition,
    ) -> Result<u64, StoreError> {
        if value.len() > VALUE_LIMIT_BYTES {
            return Err(StoreError::TooLarge);
        }
        let mut state = self.lock();
        state.begin_write()?;
        let found = state.entries.get(key).map(|(_, version)| *version);
        let is_met = match precondition {
            Precondition::Absent => found.is_none(),
            Precondition::Version(version) => found == Some(version),
        };
        if !is_met {
            return Err(StoreError::Conflict);
        }
        state.version += 1;
        let version = state.version;
        state.entries.insert(key.to_owned(), (value, version));
        self.changed.notify_waiters();
        state.reply(version)
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), StoreError> {
        let mut state = self.lock();
        state.begin_write()?;
        match state.entries.get(key) {
            Some((_, found)) if *found == version => {}
            _ => return Err(StoreError::Conflict),
        }
        state.entries.remove(key);
        state.reply(())
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<Vec<Versioned>, StoreError> {
        self.lock().begin_read()?;
        let end = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let notified = self.changed.notified();
            let found = self.entries_after(prefix, after)?;
            if !found.is_empty() {
                return Ok(found);
            }
            if tokio::time::timeout_at(end, notified).await.is_err() {
                return Ok(Vec::new());
            }
        }
    }
}
