//! Sends decision records to storage instances and executes queries for them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::StreamExt;
use sesamewall_ports::ListedInstance;
use sesamewall_protocol::DecisionRecord;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Result;
use sesamewall_protocol::peer::PeerMessage;
use sesamewall_protocol::peer::RecordMessage;
use tokio_util::sync::CancellationToken;

use crate::InstanceContext;
use crate::records::RecordFiles;
use crate::records::RecordLimits;
use crate::records::RecordQuery;

/// Interval between two flushes. With [`SEND_TIMEOUT`] it keeps the loss window under 2 s.
const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the reply of one storage instance.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest wait for one instance's reply to a query, which may read all its files.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Instances that one query contacts at a time.
const QUERY_PARALLEL: usize = 32;

/// Number of storage instances that store each record.
const COPIES: usize = 2;

/// Most records in one message, which stays well below the message size limit of the peer link.
const BATCH: usize = 2_048;

/// Most messages sent in one interval.
const BATCHES: usize = 16;

/// Most records that wait in memory while no storage instance accepts them; above it the oldest are
/// dropped.
const RING_LIMIT: usize = 65_536;

/// The result of a query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecordQueryResult {
    /// The records, in order of time, without duplicates.
    pub records: Vec<DecisionRecord>,
    /// Instances that could not be reached.
    pub unreachable: Vec<InstanceName>,
}

/// Sends the records of this instance to storage instances, stores records of peers if this is a
/// storage instance, and executes queries over the whole fleet.
pub struct RecordService {
    context: Arc<InstanceContext>,
    files: Option<Arc<Mutex<RecordFiles>>>,
    ring: Mutex<Ring>,
    sending: tokio::sync::Mutex<()>,
}

#[derive(Default)]
struct Ring {
    records: VecDeque<DecisionRecord>,
    dropped: u64,
}

impl RecordService {
    /// Creates the service. With a data folder in the settings, this instance stores records.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Internal`] when the data folder cannot be used.
    pub fn new(context: Arc<InstanceContext>, limits: RecordLimits) -> Result<Self> {
        let folder = context.settings.data_dir.as_ref().map(|folder| folder.join("records"));
        let files = folder.map(|folder| RecordFiles::open(&folder, limits)).transpose()?;
        Ok(Self {
            context,
            files: files.map(|files| Arc::new(Mutex::new(files))),
            ring: Mutex::default(),
            sending: tokio::sync::Mutex::default(),
        })
    }

    /// Returns the name of this instance.
    pub fn instance_name(&self) -> &InstanceName {
        &self.context.local.name
    }

    /// Sends records each second until `stop` is cancelled, then once more.
    pub async fn run(&self, stop: CancellationToken) {
        let mut interval = tokio::time::interval(SEND_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        while !stop.is_cancelled() {
            tokio::select! {
                _ = interval.tick() => {}
                () = stop.cancelled() => {}
            }
            self.flush().await;
        }
    }

    /// Sends the waiting records once. Records that no storage instance accepts stay in memory.
    pub async fn flush(&self) {
        let _sending = self.sending.lock().await;
        for _ in 0..BATCHES {
            let batch = self.next_batch();
            if batch.is_empty() || !self.store(&batch).await {
                return;
            }
            let mut ring = self.ring();
            // Records that were dropped at the limit meanwhile are no longer at the front.
            while batch.last().is_some_and(|last| {
                ring.records.front().is_some_and(|first| first.sequence <= last.sequence)
            }) {
                ring.records.pop_front();
            }
        }
    }

    /// Handles a message from another instance.
    pub async fn handle(&self, message: RecordMessage) -> PeerMessage {
        let reply = match (&message, RecordQuery::from_message(&message)) {
            (_, Some(query)) => Ok(RecordMessage::Found { records: self.find_local(&query).await }),
            (RecordMessage::Put { records }, None) => {
                let count = u32::try_from(records.len()).unwrap_or(u32::MAX);
                self.append_local(records.clone()).await.map(|()| RecordMessage::Stored { count })
            }
            _ => Err(Error::Internal { detail: "not a question about records".to_owned() }),
        };
        match reply {
            Ok(reply) => PeerMessage::Record(reply),
            Err(error) => PeerMessage::Failed { code: error.code(), message: error.to_string() },
        }
    }

    /// Queries all live instances and merges their records.
    pub async fn query(&self, query: &RecordQuery) -> RecordQueryResult {
        let instances = self.context.directory.instances();
        let others = instances.into_iter().filter(|other| other.name != self.context.local.name);
        let mut answers = futures::stream::iter(others)
            .map(|other| async move { (self.query_instance(&other, query).await, other.name) })
            .buffer_unordered(QUERY_PARALLEL);
        let mut answer = RecordQueryResult::default();
        while let Some((reply, name)) = answers.next().await {
            match reply {
                Ok(mut records) => answer.records.append(&mut records),
                Err(_) => answer.unreachable.push(name),
            }
            // Merging after each reply limits memory to two results.
            answer.records = query.merge(std::mem::take(&mut answer.records));
        }
        answer.records.append(&mut self.find_local(query).await);
        answer.records = query.merge(answer.records);
        answer.unreachable.sort();
        answer
    }

    /// Returns the number of records that wait in memory and the number dropped at the limit.
    pub fn waiting(&self) -> (usize, u64) {
        let ring = self.ring();
        let recorder = &self.context.recorder;
        (ring.records.len() + recorder.waiting(), ring.dropped + recorder.dropped())
    }

    /// Returns the bytes of record files on this instance.
    pub fn stored_bytes(&self) -> u64 {
        self.files.as_ref().map_or(0, |files| lock(files).total_bytes())
    }

    /// Moves new records into the ring and returns a copy of the oldest ones.
    fn next_batch(&self) -> Vec<DecisionRecord> {
        let mut ring = self.ring();
        let mut fresh = self.context.recorder.take(RING_LIMIT);
        let excess = (ring.records.len() + fresh.len()).saturating_sub(RING_LIMIT);
        ring.records.drain(..excess);
        ring.dropped += excess as u64;
        ring.records.extend(fresh.drain(..));
        ring.records.iter().take(BATCH).cloned().collect()
    }

    /// Stores a batch on two storage instances, or on one if no second one accepts it. Returns
    /// whether at least one did.
    async fn store(&self, batch: &[DecisionRecord]) -> bool {
        let mut copies = 0;
        let mut candidates = self.candidates().into_iter().peekable();
        while copies < COPIES && candidates.peek().is_some() {
            let round: Vec<_> = candidates.by_ref().take(COPIES - copies).collect();
            let puts = round.iter().map(|instance| self.put(instance, batch));
            copies += futures::future::join_all(puts).await.into_iter().filter(|ok| *ok).count();
        }
        if copies > 0 && copies < COPIES {
            self.context.metrics.changes.with_label_values(&["records_single_copy"]).inc();
        }
        copies > 0
    }

    /// Returns storage instances in the order in which this instance uses them: a rendezvous
    /// order (Thaler and Ravishankar, 1998) in which the second is in another failure domain.
    fn candidates(&self) -> Vec<ListedInstance> {
        let local = self.context.local.name.as_str();
        let mut found = self.context.directory.instances();
        found.retain(|instance| match instance.name == self.context.local.name {
            true => self.files.is_some(),
            false => instance.bulk,
        });
        found.sort_by_key(|instance| {
            xxhash_rust::xxh3::xxh3_64(format!("{local}\n{}", instance.name).as_bytes())
        });
        let first = found.first().map(|first| first.domain.clone());
        if let Some(other) = found.iter().position(|other| Some(&other.domain) != first.as_ref()) {
            let second = found.remove(other);
            found.insert(1, second);
        }
        found
    }

    async fn put(&self, instance: &ListedInstance, batch: &[DecisionRecord]) -> bool {
        if instance.name == self.context.local.name {
            return self.append_local(batch.to_vec()).await.is_ok();
        }
        let message = PeerMessage::Record(RecordMessage::Put { records: batch.to_vec() });
        let exchange = self.context.link.exchange(&instance.address, message);
        let reply = tokio::time::timeout(SEND_TIMEOUT, exchange).await;
        matches!(reply, Ok(Ok(PeerMessage::Record(RecordMessage::Stored { .. }))))
    }

    async fn append_local(&self, records: Vec<DecisionRecord>) -> Result<()> {
        let files = self.files.clone().ok_or(Error::BulkUnavailable { copies: 0, wanted: 1 })?;
        blocking(move || lock(&files).append(&records)).await?
    }

    async fn find_local(&self, query: &RecordQuery) -> Vec<DecisionRecord> {
        let mut found = {
            // The lock also keeps records from moving out of the recorder between both reads.
            let ring = self.ring();
            let kept = ring.records.iter().filter(|record| query.matches(record));
            let mut found: Vec<_> = kept.cloned().collect();
            found.append(&mut self.context.recorder.find(|record| query.matches(record)));
            found
        };
        if let Some(files) = &self.files {
            let paths = lock(files).paths();
            let query = query.clone();
            let scan =
                move || RecordFiles::scan(&paths, query.limit(), |record| query.matches(record));
            found.append(&mut blocking(scan).await.unwrap_or_default());
        }
        query.merge(found)
    }

    async fn query_instance(
        &self,
        instance: &ListedInstance,
        query: &RecordQuery,
    ) -> Result<Vec<DecisionRecord>> {
        let unavailable = |detail: &str| Error::PeerUnavailable {
            instance: instance.name.to_string(),
            detail: detail.to_owned(),
        };
        let message = PeerMessage::Record(query.to_message());
        let exchange = self.context.link.exchange(&instance.address, message);
        match tokio::time::timeout(QUERY_TIMEOUT, exchange).await {
            Ok(Ok(PeerMessage::Record(RecordMessage::Found { records }))) => Ok(records),
            Ok(Ok(_)) => Err(unavailable("unexpected reply")),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(unavailable("no reply in time")),
        }
    }

    fn ring(&self) -> MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn lock(files: &Mutex<RecordFiles>) -> MutexGuard<'_, RecordFiles> {
    files.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> Result<T> {
    tokio::task::spawn_blocking(work)
        .await
        .map_err(|error| Error::Internal { detail: format!("record task failed: {error}") })
}
