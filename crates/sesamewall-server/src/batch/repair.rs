//! Keeps two copies of each blob and removes what is no longer kept.

use std::sync::Arc;
use std::time::Duration;

use sesamewall_batch::BlobRef;
use sesamewall_batch::FileRecord;
use sesamewall_batch::FileSource;
use sesamewall_batch::JobRecord;
use sesamewall_batch::SegmentRecord;
use sesamewall_batch::choose_holders;
use sesamewall_batch::is_retained;
use sesamewall_ports::Expect;
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

/// An input file that takes no new jobs, deleted or past its retention, is kept until the jobs
/// created before must have ended.
const DELETED_KEEP: Duration = Duration::from_secs(25 * 3600);

/// The record that names a blob.
enum Owner {
    File(FileRecord, u64),
    Segment { key: String, record: SegmentRecord, version: u64, blob: BlobRef },
}

impl Owner {
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
            tokio::time::sleep(self.options.repair_every).await;
            let _ = self.repair_pass().await;
            let _ = self.sweep_pass().await;
        }
    }

    /// Looks at the next blobs of the data folder: repairs copies, removes expired and orphan blobs.
    async fn repair_pass(&self) -> Result<()> {
        let Some(bulk) = &self.context.bulk else { return Ok(()) };
        let names = bulk.list().await?;
        let after = self.state().repair_after.clone();
        let next: Vec<&String> =
            names.iter().filter(|name| **name > after).take(self.options.repair_blobs).collect();
        let last = next.last().map_or(String::new(), |name| (*name).clone());
        let ended = next.len() < self.options.repair_blobs;
        for name in next {
            match self.look_after(name).await {
                Err(error @ Error::StoreUnavailable { .. }) => return Err(error),
                // One blob that cannot be repaired does not keep the others from it.
                Err(_) => self.count("batch_repair_failed"),
                Ok(()) => {}
            }
        }
        self.state().repair_after = if ended { String::new() } else { last };
        Ok(())
    }

    async fn look_after(&self, name: &str) -> Result<()> {
        match self.owner(name).await? {
            Some(owner) => self.keep(owner).await,
            None => self.drop_orphan(name).await,
        }
    }

    /// Returns the record that names the blob, unless the time for which it is kept is over.
    async fn owner(&self, name: &str) -> Result<Option<Owner>> {
        if let Some(id) = name.strip_prefix("f.") {
            return self.file_owner(id).await;
        }
        let mut parts = name.split('.').skip(1);
        let (Some(job), Some(Ok(index))) = (parts.next(), parts.next().map(str::parse)) else {
            return Ok(None);
        };
        let Some((owner, _)) = self.records.get::<JobRecord>(&job_key(job)).await? else {
            return Ok(None);
        };
        if self.is_over(&owner) {
            self.forget_job(&owner).await?;
            return Ok(None);
        }
        let key = segment_key(job, index);
        let Some((record, version)) = self.records.get::<SegmentRecord>(&key).await? else {
            return Ok(None);
        };
        let blob = record.blobs.iter().find(|blob| blob.name == name).cloned();
        Ok(blob.map(|blob| Owner::Segment { key, record, version, blob }))
    }

    async fn file_owner(&self, id: &str) -> Result<Option<Owner>> {
        let Some((file, version)) = self.records.get::<FileRecord>(&file_key(id)).await? else {
            return Ok(None);
        };
        if self.is_unused(&file) {
            self.forget_file(&file).await?;
            return Ok(None);
        }
        Ok(Some(Owner::File(file, version)))
    }

    /// Tells whether the job ended longer ago than the retention.
    pub(super) fn is_over(&self, job: &JobRecord) -> bool {
        let retention = self.context.settings.retention_seconds;
        let now = self.context.clock.wall_ms();
        job.ended_ms.is_some_and(|ended| !is_retained(ended, retention, now))
    }

    /// Tells whether no job can need an input file any more.
    pub(super) fn is_unused(&self, file: &FileRecord) -> bool {
        let now = self.context.clock.wall_ms();
        let deleted = file
            .deleted_ms
            .is_some_and(|deleted| !is_retained(deleted, DELETED_KEEP.as_secs(), now));
        let retention = self.context.settings.retention_seconds;
        let longest = retention.saturating_add(DELETED_KEEP.as_secs());
        deleted || !is_retained(file.created_ms, longest, now)
    }

    pub(super) async fn forget_file(&self, file: &FileRecord) -> Result<()> {
        let entry = list_key(&file.account, "files", file.created_ms, &file.id);
        self.records.delete(&entry).await?;
        self.records.delete(&file_key(&file.id)).await
    }

    pub(super) async fn forget_job(&self, job: &JobRecord) -> Result<()> {
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

    async fn drop_orphan(&self, name: &str) -> Result<()> {
        let now = self.context.clock.now();
        let since = *self.state().orphans.entry(name.to_owned()).or_insert(now);
        if now.since(since) >= self.options.orphan_after {
            self.state().orphans.remove(name);
            self.storage.delete(&self.context.local.name, name).await?;
        }
        Ok(())
    }

    async fn keep(&self, owner: Owner) -> Result<()> {
        let Some(blob) = owner.blob().cloned() else { return Ok(()) };
        self.state().orphans.remove(&blob.name);
        // A blob that is still written is its worker's affair: it gives the segment back.
        if blob.length == 0 || !blob.holders.contains(&self.context.local.name) {
            return Ok(());
        }
        self.mend_own(&blob).await?;
        let now = self.context.clock.now();
        let mut lost = None;
        for holder in blob.holders.iter().filter(|name| **name != self.context.local.name) {
            let live = self.context.directory.find(holder).is_some();
            if self.state().repair.is_lost(holder, live, now) {
                lost = Some(holder.clone());
            } else if live && self.storage.stat(holder, &blob.name).await? < Some(blob.length) {
                self.refill(&blob, holder).await?;
            }
        }
        if lost.is_some() || blob.holders.len() < self.options.copies {
            self.replace(owner, &blob, lost).await?;
        }
        Ok(())
    }

    /// Reads the own copy in full; a damaged or short one is written again from another copy.
    async fn mend_own(&self, blob: &BlobRef) -> Result<()> {
        let own = &self.context.local.name;
        let mut at = 0;
        let sound = loop {
            if at >= blob.length {
                break true;
            }
            match self.storage.read_piece(own, &blob.name, at, CHUNK_BYTES as u64).await {
                Ok((piece, _)) if !piece.is_empty() => at += piece.len() as u64,
                Ok(_) | Err(Error::BulkDamaged { .. }) => break false,
                Err(error) => return Err(error),
            }
        };
        if sound {
            return Ok(());
        }
        let mut others = blob.clone();
        others.holders.retain(|holder| holder != own);
        // The other copy is checked as a whole before the own one is given up.
        let mut at = 0;
        while at < blob.length {
            let limit = (blob.length - at).min(CHUNK_BYTES as u64);
            at += self.storage.read_any(&others, at, limit).await?.len() as u64;
        }
        self.count("batch_mend");
        self.storage.delete(own, &blob.name).await?;
        self.copy(&others, own, 0).await
    }

    async fn refill(&self, blob: &BlobRef, holder: &InstanceName) -> Result<()> {
        self.count("batch_refill");
        self.storage.delete(holder, &blob.name).await?;
        let mut from = blob.clone();
        from.holders = vec![self.context.local.name.clone()];
        self.copy(&from, holder, 0).await
    }

    async fn copy(&self, from: &BlobRef, to: &InstanceName, start: u64) -> Result<()> {
        let mut at = start;
        while at < from.length {
            let limit = (from.length - at).min(CHUNK_BYTES as u64);
            let piece = self.storage.read_any(from, at, limit).await?;
            self.storage.append(to, &from.name, at, &piece).await?;
            at += piece.len() as u64;
        }
        Ok(())
    }

    /// Copies a blob to another storage instance and names it in the record in place of `lost`.
    async fn replace(
        &self,
        owner: Owner,
        blob: &BlobRef,
        lost: Option<InstanceName>,
    ) -> Result<()> {
        let instances = self.context.directory.instances();
        let found = choose_holders(&instances, &blob.holders, 1, self.random());
        let Some(to) = found.into_iter().next() else { return Ok(()) };
        let mut from = blob.clone();
        from.holders = vec![self.context.local.name.clone()];
        self.copy(&from, &to, 0).await?;
        self.count("batch_replace");
        let mut next = blob.clone();
        next.holders.retain(|holder| Some(holder) != lost.as_ref());
        next.holders.push(to);
        match owner {
            Owner::File(mut file, version) => {
                file.source = FileSource::Blob(next);
                file.token = self.token();
                let key = file_key(&file.id);
                self.records.put(&key, &file, Expect::Version(version)).await?;
            }
            Owner::Segment { key, mut record, version, .. } => {
                for known in record.blobs.iter_mut().filter(|known| known.name == next.name) {
                    known.holders.clone_from(&next.holders);
                }
                record.token = self.token();
                self.records.put(&key, &record, Expect::Version(version)).await?;
            }
        }
        Ok(())
    }
}
