//! Takes over the keys of batch jobs from the store.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_ports::StoreChange;
use sesamewall_ports::StoredItem;
use sesamewall_protocol::JobId;
use slog::info;

use crate::job_keys::JobKey;
use crate::job_store;
use crate::job_work::Claim;
use crate::job_work::Job;
use crate::node::wall_millis;
use crate::sync::Follow;
use crate::worker::Worker;

/// Time for which other workers leave a job whose claim has ended to its former holder.
const FORMER_FIRST: Duration = Duration::from_millis(400);

/// Longest age of a job that the time of day may tell.
const MAX_AGE: Duration = Duration::from_secs(60);

impl Worker {
    fn written(&self, jobs: &mut BTreeMap<JobId, Job>, item: &StoredItem) {
        let Some((id, kind)) = JobKey::parse(&item.key) else { return };
        let now = self.node.now();
        let job = jobs.entry(id.clone()).or_insert_with(|| Job::new(now));
        match kind {
            JobKey::Head => {
                job.head = job_store::decode_head(&self.node, &id, &item.value);
                let accepted = job.head.as_ref().map_or(u64::MAX, |head| head.accepted);
                let age = Duration::from_millis(wall_millis().saturating_sub(accepted));
                job.learned = now - age.min(MAX_AGE);
            }
            JobKey::End => {
                if !job.ended {
                    info!(self.node.log, "job stops"; "job" => %id, "revision" => item.revision);
                }
                job.ended = true;
                job.stop();
            }
            JobKey::Complete => {
                job.complete = true;
                job.stop();
            }
            JobKey::Claim => match job.claim {
                Claim::Own { revision, .. } if revision >= item.revision => {}
                Claim::Pending => {}
                // The own claim, which was seen as ended meanwhile.
                _ if item.value == self.claim_value() && job.work.spec.is_some() => {
                    let lease = self.lease.number();
                    job.claim = Claim::Own { revision: item.revision, lease };
                }
                Claim::Own { .. } => {
                    job.stop();
                    job.claim = Claim::Other;
                }
                _ => job.claim = Claim::Other,
            },
        }
    }
}

/// Takes over the keys of jobs.
pub struct JobFollower(pub Arc<Worker>);

impl Follow for JobFollower {
    fn replace(&mut self, items: Vec<StoredItem>, _revision: u64) {
        let now = self.0.node.now();
        let mut jobs = self.0.jobs();
        let claimed: HashSet<JobId> = items
            .iter()
            .filter_map(|item| JobKey::parse(&item.key))
            .filter(|(_, kind)| *kind == JobKey::Claim)
            .map(|(id, _)| id)
            .collect();
        for item in &items {
            self.0.written(&mut jobs, item);
        }
        for (id, job) in jobs.iter_mut() {
            match job.claim {
                Claim::Other if !claimed.contains(id) => job.claim = Claim::Free { since: now },
                _ => {}
            }
        }
        drop(jobs);
        self.0.wake.notify_one();
    }

    fn apply(&mut self, changes: Vec<StoreChange>, _revision: u64) {
        let now = self.0.node.now();
        let mut jobs = self.0.jobs();
        for change in changes {
            match change {
                StoreChange::Written(item) => self.0.written(&mut jobs, &item),
                StoreChange::Removed { key, revision } => {
                    let Some((id, JobKey::Claim)) = JobKey::parse(&key) else { continue };
                    let Some(job) = jobs.get_mut(&id) else { continue };
                    // The removal of an earlier claim can be seen after the next one was made.
                    let newer = match job.claim {
                        Claim::Own { revision: own, .. } => own > revision,
                        Claim::Pending => true,
                        _ => false,
                    };
                    if !newer {
                        // The former holder has begun the work and goes first, if it lives.
                        let wait = match job.work.spec {
                            Some(_) => Duration::ZERO,
                            None => FORMER_FIRST,
                        };
                        job.claim = Claim::Free { since: now + wait };
                    }
                }
            }
        }
        drop(jobs);
        self.0.wake.notify_one();
    }
}
