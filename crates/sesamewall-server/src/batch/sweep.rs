//! Removes old records that the repair of blobs does not find: jobs that ended without a result
//! blob, input files whose copies are all lost, and workers that have departed.

use sesamewall_batch::FileRecord;
use sesamewall_batch::FileSource;
use sesamewall_batch::JobRecord;
use sesamewall_batch::WorkerRecord;
use sesamewall_batch::is_retained;
use sesamewall_ports::Versioned;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Result;

use super::BatchService;
use super::records::JOB_PREFIX;
use super::records::decode;
use super::records::file_key;
use super::records::worker_key;

const JOBS: usize = 0;
const FILES: usize = 1;
const WORKERS: usize = 2;

impl BatchService {
    /// Checks the next `repair_blobs` records of each kind, with one read per kind, and removes
    /// those past the retention. Only storage instances do this.
    pub(super) async fn sweep_pass(&self) -> Result<()> {
        if self.context.bulk.is_none() || !self.options.sweep {
            return Ok(());
        }
        for entry in self.next_page(JOBS, JOB_PREFIX).await? {
            let job: JobRecord = decode(&entry)?;
            if self.is_past_retention(&job) {
                self.delete_job(&job).await?;
            }
        }
        for entry in self.next_page(FILES, &file_key("")).await? {
            let file: FileRecord = decode(&entry)?;
            // Result files are removed with their job.
            if matches!(file.source, FileSource::Blob(_)) && self.is_unused(&file) {
                self.delete_file(&file).await?;
            }
        }
        for entry in self.next_page(WORKERS, &worker_key("")).await? {
            let name = InstanceName::from(&entry.key[worker_key("").len()..]);
            let worker: WorkerRecord = decode(&entry)?;
            let retention = self.context.settings.retention_seconds;
            let kept = is_retained(worker.renewed_ms, retention, self.context.clock.wall_ms());
            if !kept && self.context.directory.find(&name).is_none() {
                self.records.delete_version(&entry.key, entry.version).await?;
            }
        }
        Ok(())
    }

    async fn next_page(&self, kind: usize, prefix: &str) -> Result<Vec<Versioned>> {
        let after = self.state().sweep_cursors[kind].clone();
        let limit = self.options.repair_blobs;
        let page = self.records.list(prefix, &after, limit).await?;
        let next = match page.last() {
            Some(last) if page.len() == limit => last.key.clone(),
            _ => String::new(),
        };
        self.state().sweep_cursors[kind] = next;
        Ok(page)
    }
}
