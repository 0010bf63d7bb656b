//! Background tasks that watch jobs, renew the worker record and claim segments.

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
use sesamewall_batch::choose_segment;
use sesamewall_batch::choose_storage;
use sesamewall_batch::encode_frame;
use sesamewall_ports::Precondition;
use sesamewall_protocol::Error;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Result;
use sesamewall_protocol::seconds;
use tokio_util::sync::CancellationToken;

use super::BatchService;
use super::records::JOB_PREFIX;
use super::records::OPEN_PREFIX;
use super::records::decode;
use super::records::segment_key;
use super::records::worker_key;
use super::service::OpenJob;

const RENEW_INTERVAL: Duration = Duration::from_secs(3);
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(1);
const RECHECK_DELAY: Duration = Duration::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Limits the store reads per second of all instances together that search for expired claims.
const CHECK_READS_PER_SECOND: f64 = 600.0;
const READS_PER_CHECK: f64 = 2.0;
const MIN_CHECK_DELAY: Duration = Duration::from_millis(50);
const WATCH_TIMEOUT_MS: u64 = 10_000;
/// Age at which an entry of the open list is removed if its job was never written.
const DANGLING_TTL_MS: u64 = 600_000;

/// Result of one check for a segment to claim.
enum CheckResult {
    /// The job changed or a segment was claimed; the next check follows at once.
    Progressed,
    /// No segment of the job can be claimed, and not all have ended.
    AllClaimed,
    /// No job is due for a check.
    NoneReady,
}

/// A segment that this process has claimed.
pub(super) struct Claim {
    pub(super) job: JobRecord,
    pub(super) index: u32,
    pub(super) record: SegmentRecord,
    pub(super) version: u64,
    /// Length in bytes of this claim's result blob.
    pub(super) length: u64,
    /// Frames after the header may have been appended to this claim's result blob.
    pub(super) started: bool,
    /// Number of items whose steps were recorded in full.
    pub(super) recorded: AtomicU32,
    pub(super) stop: CancellationToken,
}

impl Claim {
    /// Returns the blob that this claim writes.
    pub(super) fn current_blob(&self) -> BlobRef {
        self.record.blobs.last().cloned().unwrap_or_default()
    }
}

impl BatchService {
    /// Applies a job record that the store has at `version` to the local table of open jobs.
    /// Ignores versions that are not newer than the known one.
    pub(super) fn observe_job(&self, job: &JobRecord, version: u64) {
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
            let check_at = self.context.clock.now();
            let open = OpenJob { record: job.clone(), version, stop, check_at };
            state.jobs.insert(job.id.clone(), open);
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Writes the worker record and renews the worker lease. Returns the version of the record.
    /// The lease starts at the time before the write.
    pub(super) async fn renew(&self) -> Result<u64> {
        let start = self.context.clock.now();
        let key = worker_key(self.context.local.name.as_str());
        let beat = self.renewals.fetch_add(1, Ordering::Relaxed);
        let renewed_ms = self.context.clock.wall_ms();
        let record = WorkerRecord { incarnation: self.incarnation.clone(), beat, renewed_ms };
        let known = self.state().worker_version;
        let expect = match known {
            Some(version) => Precondition::Version(version),
            None => match self.records.get::<WorkerRecord>(&key).await? {
                Some((_, version)) => Precondition::Version(version),
                None => Precondition::Absent,
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
            self.stop_overdue_jobs().await;
            tokio::time::sleep(if renewed { RENEW_INTERVAL } else { RETRY_DELAY }).await;
        }
    }

    /// Stops the jobs that this process works on and that are past their due time. Workers without
    /// a free segment slot check no jobs, so `claim_next` would not stop these jobs in time.
    async fn stop_overdue_jobs(&self) {
        let wall_ms = self.context.clock.wall_ms();
        let overdue: Vec<JobId> = {
            let state = self.state();
            let running = |id: &JobId| state.active.iter().any(|(job, _)| job == id);
            let overdue = state.jobs.values().map(|job| &job.record).filter(|job| {
                job.state == JobState::InProgress && job.due_ms <= wall_ms && running(&job.id)
            });
            overdue.map(|job| job.id.clone()).collect()
        };
        for job in overdue {
            // A failed call is repeated with the next renewal.
            let _ = self.stop_job(job.as_str(), true).await;
        }
    }

    pub(super) async fn watch_loop(self: Arc<Self>) {
        // Starts the watch at the version of a local write before the listing, so that the watch
        // returns every later change.
        let mut after = loop {
            if let Ok(version) = self.renew().await
                && self.load_open().await.is_ok()
            {
                break version;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        };
        loop {
            match self.records.store.watch(JOB_PREFIX, after, WATCH_TIMEOUT_MS).await {
                Ok(entries) => {
                    for entry in entries {
                        after = after.max(entry.version);
                        if let Ok(job) = decode::<JobRecord>(&entry) {
                            self.observe_job(&job, entry.version);
                        }
                    }
                }
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    async fn load_open(&self) -> Result<()> {
        for entry in self.records.list_all(OPEN_PREFIX).await? {
            let id = &entry.key[OPEN_PREFIX.len()..];
            match self.job(id).await {
                Ok((job, _)) if job.state.is_ended() => self.records.delete(&entry.key).await?,
                Ok((job, version)) => self.observe_job(&job, version),
                Err(Error::NotFound { .. }) => {
                    let created_ms: u64 = decode(&entry)?;
                    if created_ms + DANGLING_TTL_MS < self.context.clock.wall_ms() {
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
            let _ = tokio::time::timeout(IDLE_POLL_INTERVAL, self.wake.notified()).await;
            while self.can_claim().await {
                match self.claim_next().await {
                    Ok(CheckResult::Progressed) => {}
                    Ok(CheckResult::NoneReady) => break,
                    Ok(CheckResult::AllClaimed) => tokio::time::sleep(self.check_delay()).await,
                    Err(_) => {
                        tokio::time::sleep(RETRY_DELAY).await;
                        break;
                    }
                }
            }
        }
    }

    /// Returns the delay after a check of a job that has no segment to claim. Keeps the reads of
    /// all live instances together within [`CHECK_READS_PER_SECOND`].
    fn check_delay(&self) -> Duration {
        let live = self.context.directory.instances().len().max(1) as f64;
        seconds(READS_PER_CHECK * live / CHECK_READS_PER_SECOND).max(MIN_CHECK_DELAY)
    }

    async fn can_claim(&self) -> bool {
        let now = self.context.clock.now();
        let (has_slot, valid) = {
            let state = self.state();
            let has_slot = state.active.len() < self.options.max_segments;
            let work = state.jobs.values().any(|job| job.check_at <= now);
            (has_slot && work, state.lease.is_valid(now))
        };
        has_slot && !self.is_draining() && (valid || self.renew().await.is_ok())
    }

    /// Checks the job that account weights choose next: stops it if it is overdue, claims one of
    /// its segments, or finishes it.
    async fn claim_next(self: &Arc<Self>) -> Result<CheckResult> {
        let now = self.context.clock.now();
        let chosen = {
            let state = &mut *self.state();
            let jobs = state.jobs.values().map(|job| (&job.record, job.check_at <= now));
            let chosen = state.claims.choose_job(jobs);
            chosen
                .and_then(|id| state.jobs.get(&id))
                .map(|job| (job.record.clone(), job.stop.clone()))
        };
        let Some((job, stop)) = chosen else { return Ok(CheckResult::NoneReady) };
        // Defers the job before the calls, so that a job whose calls fail does not block other
        // jobs.
        self.defer_job(&job.id, RETRY_DELAY);
        if job.state == JobState::InProgress && self.context.clock.wall_ms() >= job.due_ms {
            self.stop_job(job.id.as_str(), true).await?;
            return Ok(CheckResult::Progressed);
        }
        let stored = self.segments(&job.id).await?;
        let records: BTreeMap<u32, SegmentRecord> =
            stored.iter().map(|(index, (record, _))| (*index, record.clone())).collect();
        match self.select_segment(&job, &records).await? {
            SegmentChoice::Claim(index) => {
                self.defer_job(&job.id, Duration::ZERO);
                let prior = stored.get(&index).cloned();
                self.start_segment(job, index, prior, stop).await?;
            }
            SegmentChoice::AllClaimed => {
                self.defer_job(&job.id, RECHECK_DELAY);
                return Ok(CheckResult::AllClaimed);
            }
            SegmentChoice::Ended => self.finish_job(&job.id).await?,
        }
        Ok(CheckResult::Progressed)
    }

    async fn select_segment(
        &self,
        job: &JobRecord,
        records: &BTreeMap<u32, SegmentRecord>,
    ) -> Result<SegmentChoice> {
        let stopping = job.state != JobState::InProgress;
        let start = (self.random() % u64::from(job.segments.max(1))) as u32;
        let active = self.state().active.clone();
        let is_abandoned = |index: u32, record: &SegmentRecord| {
            record.incarnation == self.incarnation && !active.contains(&(job.id.clone(), index))
        };
        // A claim of this process that it does not run was written by a call whose reply was lost.
        let abandoned: Vec<String> = records
            .iter()
            .filter(|(index, record)| is_abandoned(**index, record))
            .map(|(_, record)| record.token.clone())
            .collect();
        let first = choose_segment(job.segments, stopping, records, start, |record| {
            abandoned.contains(&record.token)
        });
        if first != SegmentChoice::AllClaimed {
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
                && state.claims.is_expired(record, workers.get(record.holder.as_str()), now)
        }))
    }

    pub(super) fn defer_job(&self, job: &JobId, wait: Duration) {
        let now = self.context.clock.now();
        if let Some(open) = self.state().jobs.get_mut(job) {
            open.check_at = now + wait;
        }
    }

    async fn start_segment(
        self: &Arc<Self>,
        job: JobRecord,
        index: u32,
        prior: Option<(SegmentRecord, u64)>,
        stop: CancellationToken,
    ) -> Result<()> {
        let active_key = (job.id.clone(), index);
        self.state().active.insert(active_key.clone());
        // The drain starts before it waits for `active` to become empty, so either the drain sees
        // this entry or the check below sees the drain.
        if self.is_draining() {
            self.state().active.remove(&active_key);
            return Ok(());
        }
        let claimed = self.claim(job, index, prior, stop).await;
        let Ok(Some(claim)) = claimed else {
            self.state().active.remove(&active_key);
            return claimed.map(|_| ());
        };
        let subject = format!("{active_key:?}");
        let run = {
            let (service, active_key) = (Arc::clone(self), active_key.clone());
            async move {
                service.run_claim(claim).await;
                service.end_claim(&active_key);
            }
        };
        let service = Arc::clone(self);
        // The claim ends with its lease, or is claimed again.
        let recovery = async move { service.end_claim(&active_key) };
        self.context.tasks.spawn("batch claim", subject, run, recovery);
        Ok(())
    }

    /// Records that no task of this instance runs the claimed segment any more.
    fn end_claim(&self, active_key: &(JobId, u32)) {
        self.state().active.remove(active_key);
        self.wake.notify_one();
    }

    /// Claims a segment. Returns `None` if another worker claimed it first or the job has ended.
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
        let holders = choose_storage(&instances, &[], self.options.copies, self.random());
        let name = format!("r.{}.{index}.{token}", job.id);
        let blob = BlobRef { name, holders, length: 0, fence };
        let header = encode_frame(&Frame { fence, item: 0, body: FrameBody::Header });
        // Writes the header to all copies before the record names the blob, so a copy without a
        // header was on a disk that was lost.
        self.storage.append_all(&blob, 0, &header).await?;
        let attempt = prior.as_ref().map_or(0, |(record, _)| record.attempt + 1);
        let unread_ms = prior.as_ref().and_then(|(record, _)| record.unread_ms);
        let (mut blobs, expect) = match prior {
            Some((record, version)) => (record.blobs, Precondition::Version(version)),
            None => (Vec::new(), Precondition::Absent),
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
        // The job may have stopped before the claim was written, and may already have ended.
        let (now, seen) = self.job(job.id.as_str()).await?;
        self.observe_job(&now, seen);
        let length = header.len() as u64;
        let claim = Claim {
            job: now,
            index,
            record,
            version,
            length,
            started: false,
            recorded: AtomicU32::new(0),
            stop,
        };
        if claim.job.state.is_ended() {
            return Ok(None);
        }
        self.charge(&claim.job);
        Ok(Some(claim))
    }

    /// Charges the job's account with the mean work of one of its segments, in tokens.
    fn charge(&self, job: &JobRecord) {
        // Job records that were written without an estimate of the work count by items.
        let work = job.work.max(job.counts.total).max(1) as f64 / f64::from(job.segments.max(1));
        let weight = match self.options.weights {
            true => self.context.config.current().account(job.account.as_str()).map(|a| a.weight),
            false => None,
        };
        self.state().claims.charge(&job.account, work, weight.unwrap_or(1.0));
    }
}
