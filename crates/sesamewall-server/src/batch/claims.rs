//! Background tasks that watch jobs, renew the worker's record and claim segments.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sesamewall_batch::BlobRef;
use sesamewall_batch::Frame;
use sesamewall_batch::FrameBody;
use sesamewall_batch::JobRecord;
use sesamewall_batch::JobState;
use sesamewall_batch::SegmentChoice;
use sesamewall_batch::SegmentRecord;
use sesamewall_batch::SegmentState;
use sesamewall_batch::WorkerRecord;
use sesamewall_batch::choose_holders;
use sesamewall_batch::choose_segment;
use sesamewall_batch::encode_frame;
use sesamewall_ports::Expect;
use sesamewall_protocol::Error;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Result;
use tokio_util::sync::CancellationToken;

use super::BatchService;
use super::records::JOB_PREFIX;
use super::records::OPEN_PREFIX;
use super::records::decode;
use super::records::segment_key;
use super::records::worker_key;
use super::service::OpenJob;

const RENEW_EVERY: Duration = Duration::from_secs(3);
const IDLE_POLL: Duration = Duration::from_secs(1);
const LOOK_AGAIN: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Store reads a second that all instances together spend on looking for lapsed claims.
const LOOK_READS_PER_SECOND: f64 = 600.0;
const READS_PER_LOOK: f64 = 2.0;
const LEAST_PAUSE: Duration = Duration::from_millis(50);
const WATCH_MS: u64 = 10_000;
/// An entry of the open list whose job was never written is removed after this long.
const DANGLING_MS: u64 = 600_000;

/// What a look at the open jobs found.
enum Look {
    /// Something was done; look on at once.
    Again,
    /// All segments of the job are taken.
    Taken,
    /// No job is ready.
    Nothing,
}

/// A segment that this process has claimed.
pub(super) struct Claim {
    pub(super) job: JobRecord,
    pub(super) index: u32,
    pub(super) record: SegmentRecord,
    pub(super) version: u64,
    /// Bytes that the own result blob has.
    pub(super) length: u64,
    /// Frames behind the header may have been appended to the own blob.
    pub(super) started: bool,
    /// Items whose path was noted in full.
    pub(super) noted: AtomicU32,
    pub(super) stop: CancellationToken,
}

impl Claim {
    /// Returns the blob that this claim writes.
    pub(super) fn own_blob(&self) -> BlobRef {
        self.record.blobs.last().cloned().unwrap_or_default()
    }
}

impl BatchService {
    /// Takes note of a job as the store has it at `version`.
    pub(super) fn note_job(&self, job: &JobRecord, version: u64) {
        let mut state = self.state();
        let known = state.jobs.get(&job.id);
        if known.is_some_and(|known| known.version >= version) {
            return;
        }
        let stop = known.map(|known| known.stop.clone()).unwrap_or_default();
        if job.state.is_ended() || job.state == JobState::Cancelling {
            stop.cancel();
        }
        if job.state.is_ended() {
            state.jobs.remove(&job.id);
        } else {
            let look_at = self.context.clock.now();
            let open = OpenJob { record: job.clone(), version, stop, look_at };
            state.jobs.insert(job.id.clone(), open);
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Writes the worker's record. The lease counts from before the write.
    pub(super) async fn renew(&self) -> Result<u64> {
        let start = self.context.clock.now();
        let key = worker_key(self.context.local.name.as_str());
        let beat = self.beat.fetch_add(1, Ordering::Relaxed);
        let renewed_ms = self.context.clock.wall_ms();
        let record = WorkerRecord { incarnation: self.incarnation.clone(), beat, renewed_ms };
        let known = self.state().worker_version;
        let expect = match known {
            Some(version) => Expect::Version(version),
            None => match self.records.get::<WorkerRecord>(&key).await? {
                Some((_, version)) => Expect::Version(version),
                None => Expect::Absent,
            },
        };
        let written = self.records.put(&key, &record, expect).await;
        let mut state = self.state();
        match written {
            Ok(Some(version)) => {
                state.worker_version = Some(version);
                state.lease.renew(start);
                Ok(version)
            }
            other => {
                state.worker_version = None;
                other?;
                Err(Error::StoreUnavailable { detail: "the worker record changed".to_owned() })
            }
        }
    }

    pub(super) async fn renew_loop(self: Arc<Self>) {
        loop {
            let busy = {
                let state = self.state();
                let jobs = !state.jobs.is_empty() && !self.is_draining();
                jobs || !state.active.is_empty()
            };
            let renewed = if busy { self.renew().await.is_ok() } else { true };
            self.stop_due_jobs().await;
            tokio::time::sleep(if renewed { RENEW_EVERY } else { RETRY_PAUSE }).await;
        }
    }

    /// Stops the jobs that this process works on and that are past their due time. Workers without
    /// room look at no job, so they would not notice it otherwise.
    async fn stop_due_jobs(&self) {
        let wall_ms = self.context.clock.wall_ms();
        let late: Vec<JobId> = {
            let state = self.state();
            let running = |id: &JobId| state.active.iter().any(|(job, _)| job == id);
            let late = state.jobs.values().map(|job| &job.record).filter(|job| {
                job.state == JobState::InProgress && job.due_ms <= wall_ms && running(&job.id)
            });
            late.map(|job| job.id.clone()).collect()
        };
        for job in late {
            // A failure is tried again with the next renewal.
            let _ = self.stop_job(job.as_str(), true).await;
        }
    }

    pub(super) async fn watch_loop(self: Arc<Self>) {
        // The version of an own write before the listing: later changes come from the watch.
        let mut after = loop {
            if let Ok(version) = self.renew().await
                && self.load_open().await.is_ok()
            {
                break version;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        };
        loop {
            match self.records.store.watch(JOB_PREFIX, after, WATCH_MS).await {
                Ok(entries) => {
                    for entry in entries {
                        after = after.max(entry.version);
                        if let Ok(job) = decode::<JobRecord>(&entry) {
                            self.note_job(&job, entry.version);
                        }
                    }
                }
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    async fn load_open(&self) -> Result<()> {
        for entry in self.records.list_all(OPEN_PREFIX).await? {
            let id = &entry.key[OPEN_PREFIX.len()..];
            match self.job(id).await {
                Ok((job, _)) if job.state.is_ended() => self.records.delete(&entry.key).await?,
                Ok((job, version)) => self.note_job(&job, version),
                Err(Error::NotFound { .. }) => {
                    let created_ms: u64 = decode(&entry)?;
                    if created_ms + DANGLING_MS < self.context.clock.wall_ms() {
                        self.records.delete(&entry.key).await?;
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    pub(super) async fn claim_loop(self: Arc<Self>) {
        loop {
            let _ = tokio::time::timeout(IDLE_POLL, self.wake.notified()).await;
            while self.has_room().await {
                match self.claim_next().await {
                    Ok(Look::Again) => {}
                    Ok(Look::Nothing) => break,
                    Ok(Look::Taken) => tokio::time::sleep(self.look_pause()).await,
                    Err(_) => {
                        tokio::time::sleep(RETRY_PAUSE).await;
                        break;
                    }
                }
            }
        }
    }

    /// Returns the pause after a look at a job whose segments are all taken. The reads of all
    /// instances together stay within [`LOOK_READS_PER_SECOND`].
    fn look_pause(&self) -> Duration {
        let live = self.context.directory.instances().len().max(1) as f64;
        Duration::from_secs_f64(READS_PER_LOOK * live / LOOK_READS_PER_SECOND).max(LEAST_PAUSE)
    }

    async fn has_room(&self) -> bool {
        let now = self.context.clock.now();
        let (room, valid) = {
            let state = self.state();
            let room = state.active.len() < self.options.segments_at_once;
            let work = state.jobs.values().any(|job| job.look_at <= now);
            (room && work, state.lease.is_valid(now))
        };
        room && !self.is_draining() && (valid || self.renew().await.is_ok())
    }

    /// Looks at the job whose turn it is.
    async fn claim_next(self: &Arc<Self>) -> Result<Look> {
        let now = self.context.clock.now();
        let chosen = {
            let state = &mut *self.state();
            let jobs = state.jobs.values().map(|job| (&job.record, job.look_at <= now));
            let chosen = state.claims.choose_job(jobs);
            chosen
                .and_then(|id| state.jobs.get(&id))
                .map(|job| (job.record.clone(), job.stop.clone()))
        };
        let Some((job, stop)) = chosen else { return Ok(Look::Nothing) };
        // An error leaves the job for later, so that it does not keep other jobs waiting.
        self.look_later(&job.id, RETRY_PAUSE);
        if job.state == JobState::InProgress && self.context.clock.wall_ms() >= job.due_ms {
            self.stop_job(job.id.as_str(), true).await?;
            return Ok(Look::Again);
        }
        let stored = self.segments(&job.id).await?;
        let records: BTreeMap<u32, SegmentRecord> =
            stored.iter().map(|(index, (record, _))| (*index, record.clone())).collect();
        match self.choose(&job, &records).await? {
            SegmentChoice::Claim(index) => {
                self.look_later(&job.id, Duration::ZERO);
                let prior = stored.get(&index).cloned();
                self.start_segment(job, index, prior, stop).await?;
            }
            SegmentChoice::Taken => {
                self.look_later(&job.id, LOOK_AGAIN);
                return Ok(Look::Taken);
            }
            SegmentChoice::Ended => self.finish_job(&job.id).await?,
        }
        Ok(Look::Again)
    }

    async fn choose(
        &self,
        job: &JobRecord,
        records: &BTreeMap<u32, SegmentRecord>,
    ) -> Result<SegmentChoice> {
        let stopping = job.state != JobState::InProgress;
        let start = (self.random() % u64::from(job.segments.max(1))) as u32;
        let active = self.state().active.clone();
        let own = |index: u32, record: &SegmentRecord| {
            record.incarnation == self.incarnation && !active.contains(&(job.id.clone(), index))
        };
        // A claim of this process that it does not run was written by a call whose answer was lost.
        let dropped: Vec<String> = records
            .iter()
            .filter(|(index, record)| own(**index, record))
            .map(|(_, record)| record.token.clone())
            .collect();
        let first = choose_segment(job.segments, stopping, records, start, |record| {
            dropped.contains(&record.token)
        });
        if first != SegmentChoice::Taken {
            return Ok(first);
        }
        let mut workers: BTreeMap<String, WorkerRecord> = BTreeMap::new();
        for entry in self.records.list_all(&worker_key("")).await? {
            workers.insert(entry.key[worker_key("").len()..].to_owned(), decode(&entry)?);
        }
        let now = self.context.clock.now();
        let state = &mut *self.state();
        Ok(choose_segment(job.segments, stopping, records, start, |record| {
            record.incarnation != self.incarnation
                && state.claims.is_lapsed(record, workers.get(record.holder.as_str()), now)
        }))
    }

    pub(super) fn look_later(&self, job: &JobId, wait: Duration) {
        let now = self.context.clock.now();
        if let Some(open) = self.state().jobs.get_mut(job) {
            open.look_at = now + wait;
        }
    }

    async fn start_segment(
        self: &Arc<Self>,
        job: JobRecord,
        index: u32,
        prior: Option<(SegmentRecord, u64)>,
        stop: CancellationToken,
    ) -> Result<()> {
        let place = (job.id.clone(), index);
        self.state().active.insert(place.clone());
        // The drain waits until nothing is active, so either it sees the entry or it is seen here.
        if self.is_draining() {
            self.state().active.remove(&place);
            return Ok(());
        }
        let claimed = self.claim(job, index, prior, stop).await;
        let Ok(Some(claim)) = claimed else {
            self.state().active.remove(&place);
            return claimed.map(|_| ());
        };
        let service = Arc::clone(self);
        tokio::spawn(async move {
            service.run_claim(claim).await;
            service.state().active.remove(&place);
            service.wake.notify_one();
        });
        Ok(())
    }

    /// Claims a segment, or returns `None` if another worker was first or the job has stopped.
    async fn claim(
        &self,
        job: JobRecord,
        index: u32,
        prior: Option<(SegmentRecord, u64)>,
        stop: CancellationToken,
    ) -> Result<Option<Claim>> {
        let fence = prior.as_ref().map_or(1, |(record, _)| record.fence + 1);
        let token = self.token();
        let instances = self.context.directory.instances();
        let holders = choose_holders(&instances, &[], self.options.copies, self.random());
        let name = format!("r.{}.{index}.{token}", job.id);
        let blob = BlobRef { name, holders, length: 0, fence };
        let header = encode_frame(&Frame { fence, item: 0, body: FrameBody::Header });
        // The header is on all copies before the record names the blob, so a copy without it has
        // lost its disk.
        self.storage.append_all(&blob, 0, &header).await?;
        let attempt = prior.as_ref().map_or(0, |(record, _)| record.attempt + 1);
        let unread_ms = prior.as_ref().and_then(|(record, _)| record.unread_ms);
        let (mut blobs, expect) = match prior {
            Some((record, version)) => (record.blobs, Expect::Version(version)),
            None => (Vec::new(), Expect::Absent),
        };
        blobs.push(blob);
        let record = SegmentRecord {
            state: SegmentState::Claimed,
            holder: self.context.local.name.clone(),
            incarnation: self.incarnation.clone(),
            fence,
            attempt,
            unread_ms,
            blobs,
            counts: Default::default(),
            output_bytes: 0,
            error_bytes: 0,
            token,
        };
        let key = segment_key(job.id.as_str(), index);
        let Some(version) = self.records.put(&key, &record, expect).await? else {
            return Ok(None);
        };
        self.count(if fence == 1 { "batch_claim" } else { "batch_takeover" });
        // A job that stopped before the claim was written may already count as stopped.
        let (now, seen) = self.job(job.id.as_str()).await?;
        self.note_job(&now, seen);
        let length = header.len() as u64;
        let claim = Claim {
            job: now,
            index,
            record,
            version,
            length,
            started: false,
            noted: AtomicU32::new(0),
            stop,
        };
        if claim.job.state.is_ended() {
            return Ok(None);
        }
        self.charge(&claim.job);
        Ok(Some(claim))
    }

    /// Charges the job's account with the mean work of the job's segments, in tokens.
    fn charge(&self, job: &JobRecord) {
        // Jobs written before work was estimated count by items.
        let work = job.work.max(job.counts.total).max(1) as f64 / f64::from(job.segments.max(1));
        let weight = match self.options.weights {
            true => self.context.config.current().account(job.account.as_str()).map(|a| a.weight),
            false => None,
        };
        self.state().claims.charge(&job.account, work, weight.unwrap_or(1.0));
    }
}
