//! Changes the state of jobs in the store.

use std::collections::BTreeMap;

use sesamewall_batch::BlobRef;
use sesamewall_batch::Counts;
use sesamewall_batch::FileRecord;
use sesamewall_batch::FileSource;
use sesamewall_batch::JobEvent;
use sesamewall_batch::JobRecord;
use sesamewall_batch::JobState;
use sesamewall_batch::SegmentRecord;
use sesamewall_batch::SegmentState;
use sesamewall_ports::Precondition;
use sesamewall_protocol::Error;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Result;
use slog::info;

use super::BatchService;
use super::records::decode;
use super::records::file_key;
use super::records::job_key;
use super::records::list_key;
use super::records::open_key;
use super::records::segment_prefix;

const CHANGE_TRIES: u32 = 16;

pub(super) fn output_id(job: &JobId, errors: bool) -> String {
    let kind = if errors { "errors" } else { "output" };
    format!("file-{kind}-{job}")
}

/// Returns the index at the end of a segment's key.
pub(super) fn segment_index(key: &str) -> Option<u32> {
    key.rsplit('/').next()?.parse().ok()
}

impl BatchService {
    /// Returns a job, or [`Error::NotFound`].
    pub(super) async fn job(&self, id: &str) -> Result<(JobRecord, u64)> {
        let found = self.records.get(&job_key(id)).await?;
        found.ok_or_else(|| Error::NotFound { kind: "batch".to_owned(), id: id.to_owned() })
    }

    /// Returns the segments of a job that have been claimed at least once.
    pub(super) async fn segments(
        &self,
        job: &JobId,
    ) -> Result<BTreeMap<u32, (SegmentRecord, u64)>> {
        let mut found = BTreeMap::new();
        for entry in self.records.list_all(&segment_prefix(job.as_str())).await? {
            if let Some(index) = segment_index(&entry.key) {
                found.insert(index, (decode(&entry)?, entry.version));
            }
        }
        Ok(found)
    }

    /// Returns the counts of a job. For a job that has not ended, they are the sum over its
    /// committed segments.
    pub(super) async fn progress(&self, job: &JobRecord) -> Result<Counts> {
        let mut counts = job.counts;
        if !job.state.is_ended() {
            for (record, _) in self.segments(&job.id).await?.values() {
                counts.add_ended(record.counts);
            }
        }
        Ok(counts)
    }

    /// Stops a job and returns it. A job that is already stopping or has ended stays as it is.
    pub(super) async fn stop_job(&self, id: &str, expired: bool) -> Result<JobRecord> {
        for _ in 0..CHANGE_TRIES {
            let (mut job, version) = self.job(id).await?;
            let Some(next) = job.state.after(JobEvent::Stop) else {
                return Ok(job);
            };
            job.state = next;
            job.expired = expired;
            job.cancelling_ms = Some(self.context.clock.wall_ms());
            job.token = self.token();
            let expect = Precondition::Version(version);
            if let Some(version) = self.records.put(&job_key(id), &job, expect).await? {
                self.observe_job(&job, version);
                return Ok(job);
            }
        }
        Err(Error::StoreUnavailable { detail: "the job changes too fast".to_owned() })
    }

    /// Ends a job that has no segment left to run. Several instances may do this concurrently: the
    /// file records have fixed names and the state changes by compare-and-swap.
    pub(super) async fn finish_job(&self, id: &JobId) -> Result<()> {
        let (mut job, mut version) = self.job(id.as_str()).await?;
        let segments = self.segments(id).await?;
        let stopping = job.state == JobState::Cancelling;
        let settled = segments.values().all(|(record, _)| record.is_settled(stopping));
        let all_claimed = segments.len() == job.segments as usize;
        if !job.state.is_ended() && !(settled && (all_claimed || stopping)) {
            return Ok(());
        }
        if let Some(next) = job.state.after(JobEvent::AllCommitted) {
            job.state = next;
            job.token = self.token();
            let expect = Precondition::Version(version);
            match self.records.put(&job_key(id.as_str()), &job, expect).await? {
                Some(written) => version = written,
                None => return Ok(()),
            }
        }
        let event = match job.state {
            JobState::Finalizing => JobEvent::FilesRecorded,
            JobState::Cancelling => JobEvent::Stopped { expired: job.expired },
            _ => return self.close_job(&job, version).await,
        };
        let mut sizes = [0, 0];
        for (record, _) in segments.values() {
            job.counts.add_ended(record.counts);
            sizes[0] += record.output_bytes;
            sizes[1] += record.error_bytes;
        }
        self.record_output(&job, false, sizes[0]).await?;
        self.record_output(&job, true, sizes[1]).await?;
        job.state = job.state.after(event).unwrap_or(job.state);
        job.ended_ms = Some(self.context.clock.wall_ms());
        job.token = self.token();
        let expect = Precondition::Version(version);
        match self.records.put(&job_key(id.as_str()), &job, expect).await? {
            Some(version) => {
                self.count("batch_job_end");
                info!(self.context.log, "batch job ended";
                    "job" => job.id.as_str(), "state" => %job.state);
                self.close_job(&job, version).await
            }
            None => Ok(()),
        }
    }

    async fn close_job(&self, job: &JobRecord, version: u64) -> Result<()> {
        self.observe_job(job, version);
        if job.state.is_ended() {
            self.records.delete(&open_key(job.id.as_str())).await?;
        }
        Ok(())
    }

    async fn record_output(&self, job: &JobRecord, errors: bool, bytes: u64) -> Result<()> {
        if bytes == 0 {
            return Ok(());
        }
        let id = output_id(&job.id, errors);
        let name = if errors { "errors" } else { "output" };
        let record = FileRecord {
            id: id.clone(),
            account: job.account.clone(),
            filename: format!("{}_{name}.jsonl", job.id),
            purpose: "batch_output".to_owned(),
            bytes,
            created_ms: self.context.clock.wall_ms(),
            source: FileSource::Results { job: job.id.clone(), errors },
            endpoint: job.endpoint.clone(),
            segments: Vec::new(),
            deleted_ms: None,
            token: self.token(),
        };
        let entry = list_key(&job.account, "files", job.created_ms, &id);
        self.records.put(&entry, &id, Precondition::Absent).await?;
        self.records.put(&file_key(&id), &record, Precondition::Absent).await?;
        Ok(())
    }

    /// Returns the result blobs of a job's committed segments, ordered by segment.
    pub(super) async fn result_blobs(&self, job: &JobId) -> Result<Vec<BlobRef>> {
        let segments = self.segments(job).await?;
        let committed =
            segments.into_values().filter(|(record, _)| record.state == SegmentState::Committed);
        Ok(committed.filter_map(|(record, _)| record.blobs.into_iter().next()).collect())
    }
}
