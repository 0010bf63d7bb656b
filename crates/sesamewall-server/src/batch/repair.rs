//! Keeps the configured number of copies of each blob, two by default, and deletes blobs and
//! records past their retention.

use std::sync::Arc;
use std::time::Duration;

use sesamewall_batch::BlobRef;
use sesamewall_batch::FileRecord;
use sesamewall_batch::FileSource;
use sesamewall_batch::JobRecord;
use sesamewall_batch::SegmentRecord;
use sesamewall_batch::choose_storage;
use sesamewall_batch::is_retained;
use sesamewall_ports::Precondition;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Result;

use super::BatchService;
use super::lifecycle::output_id;
use super::records::file_key;
use super::records::job_key;
use super::records::list_key;
use super::records::segment_key;
use super::records::segment_prefix;
use super::storage::CHUNK_BYTES;

/// Time for which an input file is kept after it was deleted or its retention ended. It takes no
/// new jobs by then, and the jobs created before must have ended after this time.
const UNUSED_INPUT_TTL: Duration = Duration::from_secs(25 * 3600);

/// The record that names a blob.
enum BlobRecord {
    File(FileRecord, u64),
    Segment { key: String, record: SegmentRecord, version: u64, blob: BlobRef },
}

impl BlobRecord {
    fn blob(&self) -> Option<&BlobRef> {
        match self {
            Self::File(file, _) => match &file.source {
                FileSource::Blob(blob) => Some(blob),
                FileSource::Results { .. } => None,
            },
            Self::Segment { blob, .. } => Some(blob),
        }
    }
}

impl BatchService {
    pub(super) async fn repair_loop(self: Arc<Self>) {
        loop {
            tokio::time::sleep(self.options.repair_interval).await;
            let _ = self.repair_pass().await;
            let _ = self.sweep_pass().await;
        }
    }

    /// Checks the next blobs of the data folder: repairs copies and removes expired and orphan
    /// blobs.
    async fn repair_pass(&self) -> Result<()> {
        let Some(bulk) = &self.context.bulk else { return Ok(()) };
        let names = bulk.list().await?;
        let after = self.state().repair_cursor.clone();
        let next: Vec<&String> =
            names.iter().filter(|name| **name > after).take(self.options.repair_blobs).collect();
        let last = next.last().map_or(String::new(), |name| (*name).clone());
        let ended = next.len() < self.options.repair_blobs;
        for name in next {
            match self.check_blob(name).await {
                Err(error @ Error::StoreUnavailable { .. }) => return Err(error),
                // A blob that cannot be repaired does not stop the repair of the others.
                Err(_) => self.count("batch_repair_failed"),
                Ok(()) => {}
            }
        }
        self.state().repair_cursor = if ended { String::new() } else { last };
        Ok(())
    }

    /// Repairs the copies of a blob, or deletes the blob if it is an orphan.
    async fn check_blob(&self, name: &str) -> Result<()> {
        match self.find_record(name).await? {
            Some(blob_record) => self.repair_copies(blob_record).await,
            None => self.delete_orphan(name).await,
        }
    }

    /// Returns the record that names the blob, or `None` if there is none or it is past its
    /// retention. Deletes records past their retention.
    async fn find_record(&self, name: &str) -> Result<Option<BlobRecord>> {
        if let Some(id) = name.strip_prefix("f.") {
            return self.find_file_record(id).await;
        }
        let mut parts = name.split('.').skip(1);
        let (Some(job), Some(Ok(index))) = (parts.next(), parts.next().map(str::parse)) else {
            return Ok(None);
        };
        let Some((job_record, _)) = self.records.get::<JobRecord>(&job_key(job)).await? else {
            return Ok(None);
        };
        if self.is_past_retention(&job_record) {
            self.delete_job(&job_record).await?;
            return Ok(None);
        }
        let key = segment_key(job, index);
        let Some((record, version)) = self.records.get::<SegmentRecord>(&key).await? else {
            return Ok(None);
        };
        let blob = record.blobs.iter().find(|blob| blob.name == name).cloned();
        Ok(blob.map(|blob| BlobRecord::Segment { key, record, version, blob }))
    }

    async fn find_file_record(&self, id: &str) -> Result<Option<BlobRecord>> {
        let Some((file, version)) = self.records.get::<FileRecord>(&file_key(id)).await? else {
            return Ok(None);
        };
        if self.is_unused(&file) {
            self.delete_file(&file).await?;
            return Ok(None);
        }
        Ok(Some(BlobRecord::File(file, version)))
    }

    /// Returns whether the job ended longer ago than the retention.
    pub(super) fn is_past_retention(&self, job: &JobRecord) -> bool {
        let retention = self.context.settings.retention_seconds;
        let now = self.context.clock.wall_ms();
        job.ended_ms.is_some_and(|ended| !is_retained(ended, retention, now))
    }

    /// Returns whether no job can still need an input file.
    pub(super) fn is_unused(&self, file: &FileRecord) -> bool {
        let now = self.context.clock.wall_ms();
        let deleted = file
            .deleted_ms
            .is_some_and(|deleted| !is_retained(deleted, UNUSED_INPUT_TTL.as_secs(), now));
        let retention = self.context.settings.retention_seconds;
        let longest = retention.saturating_add(UNUSED_INPUT_TTL.as_secs());
        deleted || !is_retained(file.created_ms, longest, now)
    }

    pub(super) async fn delete_file(&self, file: &FileRecord) -> Result<()> {
        let entry = list_key(&file.account, "files", file.created_ms, &file.id);
        self.records.delete(&entry).await?;
        self.records.delete(&file_key(&file.id)).await
    }

    pub(super) async fn delete_job(&self, job: &JobRecord) -> Result<()> {
        for errors in [false, true] {
            let id = output_id(&job.id, errors);
            let entry = list_key(&job.account, "files", job.created_ms, &id);
            self.records.delete(&entry).await?;
            self.records.delete(&file_key(&id)).await?;
        }
        for entry in self.records.list_all(&segment_prefix(job.id.as_str())).await? {
            self.records.delete(&entry.key).await?;
        }
        let entry = list_key(&job.account, "jobs", job.created_ms, job.id.as_str());
        self.records.delete(&entry).await?;
        self.records.delete(&job_key(job.id.as_str())).await
    }

    async fn delete_orphan(&self, name: &str) -> Result<()> {
        let now = self.context.clock.now();
        let since = *self.state().orphans.entry(name.to_owned()).or_insert(now);
        if now.since(since) >= self.options.orphan_ttl {
            self.state().orphans.remove(name);
            self.storage.delete(&self.context.local.name, name).await?;
        }
        Ok(())
    }

    async fn repair_copies(&self, blob_record: BlobRecord) -> Result<()> {
        let Some(blob) = blob_record.blob().cloned() else { return Ok(()) };
        self.state().orphans.remove(&blob.name);
        // Skips a blob that is still being written: if a copy fails, its worker releases the
        // segment.
        if blob.length == 0 || !blob.holders.contains(&self.context.local.name) {
            return Ok(());
        }
        self.repair_local(&blob).await?;
        let now = self.context.clock.now();
        let mut lost = None;
        for instance in blob.holders.iter().filter(|name| **name != self.context.local.name) {
            let live = self.context.directory.find(instance).is_some();
            if self.state().repair.is_lost(instance, live, now) {
                lost = Some(instance.clone());
            } else if live && self.storage.stat(instance, &blob.name).await? < Some(blob.length) {
                self.rewrite_copy(&blob, instance).await?;
            }
        }
        if lost.is_some() || blob.holders.len() < self.options.copies {
            self.replace_copy(blob_record, &blob, lost).await?;
        }
        Ok(())
    }

    /// Checks the whole local copy. Replaces a damaged or short one by the bytes of another copy.
    async fn repair_local(&self, blob: &BlobRef) -> Result<()> {
        let local_name = &self.context.local.name;
        let mut at = 0;
        let is_intact = loop {
            if at >= blob.length {
                break true;
            }
            match self.storage.read_chunk(local_name, &blob.name, at, CHUNK_BYTES as u64).await {
                Ok((chunk, _)) if !chunk.is_empty() => at += chunk.len() as u64,
                Ok(_) | Err(Error::BulkDamaged { .. }) => break false,
                Err(error) => return Err(error),
            }
        };
        if is_intact {
            return Ok(());
        }
        let mut remote_copies = blob.clone();
        remote_copies.holders.retain(|instance| instance != local_name);
        // Reads all bytes from other copies before the local copy is deleted.
        let mut at = 0;
        while at < blob.length {
            let limit = (blob.length - at).min(CHUNK_BYTES as u64);
            at += self.storage.read_any(&remote_copies, at, limit).await?.len() as u64;
        }
        self.count("batch_mend");
        self.storage.delete(local_name, &blob.name).await?;
        self.copy_blob(&remote_copies, local_name, 0).await
    }

    /// Deletes the copy on `instance` and writes it again from the local copy.
    async fn rewrite_copy(&self, blob: &BlobRef, instance: &InstanceName) -> Result<()> {
        self.count("batch_refill");
        self.storage.delete(instance, &blob.name).await?;
        let mut from = blob.clone();
        from.holders = vec![self.context.local.name.clone()];
        self.copy_blob(&from, instance, 0).await
    }

    async fn copy_blob(&self, from: &BlobRef, to: &InstanceName, start: u64) -> Result<()> {
        let mut at = start;
        while at < from.length {
            let limit = (from.length - at).min(CHUNK_BYTES as u64);
            let chunk = self.storage.read_any(from, at, limit).await?;
            self.storage.append(to, &from.name, at, &chunk).await?;
            at += chunk.len() as u64;
        }
        Ok(())
    }

    /// Copies a blob to another storage instance, which replaces `lost` in the record.
    async fn replace_copy(
        &self,
        blob_record: BlobRecord,
        blob: &BlobRef,
        lost: Option<InstanceName>,
    ) -> Result<()> {
        let instances = self.context.directory.instances();
        let found = choose_storage(&instances, &blob.holders, 1, self.random());
        let Some(to) = found.into_iter().next() else { return Ok(()) };
        let mut from = blob.clone();
        from.holders = vec![self.context.local.name.clone()];
        self.copy_blob(&from, &to, 0).await?;
        self.count("batch_replace");
        let mut next = blob.clone();
        next.holders.retain(|instance| Some(instance) != lost.as_ref());
        next.holders.push(to);
        match blob_record {
            BlobRecord::File(mut file, version) => {
                file.source = FileSource::Blob(next);
                file.token = self.token();
                let key = file_key(&file.id);
                self.records.put(&key, &file, Precondition::Version(version)).await?;
            }
            BlobRecord::Segment { key, mut record, version, .. } => {
                for known in record.blobs.iter_mut().filter(|known| known.name == next.name) {
                    known.holders.clone_from(&next.holders);
                }
                record.token = self.token();
                self.records.put(&key, &record, Precondition::Version(version)).await?;
            }
        }
        Ok(())
    }
}
