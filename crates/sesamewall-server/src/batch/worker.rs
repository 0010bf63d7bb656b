//! Runs the items of a claimed segment and commits their results.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use sesamewall_batch::BlobRef;
use sesamewall_batch::Counts;
use sesamewall_batch::InputLine;
use sesamewall_batch::ItemState;
use sesamewall_batch::SegmentState;
use sesamewall_ports::Precondition;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;
use slog::info;

use super::BatchService;
use super::claims::Claim;
use super::items::AttemptSummary;
use super::items::Item;
use super::journal::Journal;
use super::objects::ItemName;
use super::records::segment_key;
use super::recover::Input;
use super::recover::is_unreadable;

const COMMIT_TRIES: u32 = 120;
const BASE_DELAY: Duration = Duration::from_secs(1);
/// Longest delay before a failed segment is released. Without a delay, all instances would claim a
/// segment with unreadable input again and again.
const MAX_RELEASE_DELAY: Duration = Duration::from_secs(8);

/// Result of an item in this claim: whether it completed, and the bytes of its line. `None` means
/// that the item was stopped before it ran.
pub(super) type ItemCompletion = Option<(bool, u64)>;

impl BatchService {
    /// Runs a claim and commits its result, or releases the segment after an error.
    pub(super) async fn run_claim(self: &Arc<Self>, mut claim: Claim) {
        let committed = match self.run_items(&mut claim).await {
            Ok(()) => self.commit(&claim).await,
            Err(error) => Err(error),
        };
        if let Err(error) = committed {
            info!(self.context.log, "batch segment released";
                "job" => claim.job.id.as_str(), "segment" => claim.index,
                "fence" => claim.record.fence, "error" => %error);
            self.count("batch_release");
            self.defer_job(&claim.job.id, BASE_DELAY);
            claim.record.state = SegmentState::Released;
            if !claim.started && is_unreadable(&error) {
                let now = self.context.clock.wall_ms();
                claim.record.unread_ms.get_or_insert(now);
            }
            if !claim.started {
                // This claim's blob has only its header. If the record named it, the list of blobs
                // would grow with each claim.
                claim.record.blobs.pop();
            }
            let delay = BASE_DELAY * 2_u32.saturating_pow(claim.record.attempt.min(8));
            tokio::select! {
                () = tokio::time::sleep(delay.min(MAX_RELEASE_DELAY)) => {}
                () = self.drain.begin.cancelled() => {}
            }
            claim.record.token = self.token();
            let key = segment_key(claim.job.id.as_str(), claim.index);
            // The precondition keeps a successor's record. If the store cannot be reached, the
            // claim expires.
            let expect = Precondition::Version(claim.version);
            let _ = self.records.put(&key, &claim.record, expect).await;
        }
    }

    async fn run_items(self: &Arc<Self>, claim: &mut Claim) -> Result<()> {
        let input = self.read_input(claim).await?;
        let once: Vec<bool> = match &input {
            Input::Lines(lines) => {
                let is_repeatable = |line: &InputLine| {
                    self.runner.is_idempotent(&claim.job.account, &line.method, &line.url)
                };
                lines.iter().map(|line| !is_repeatable(line)).collect()
            }
            // Without its line, each item counts as non-idempotent.
            Input::Lost { items, .. } => vec![true; *items as usize],
        };
        let states = self.recover_items(claim, &once).await?;
        claim.record.unread_ms = None;
        claim.started = true;
        let (journal, writer) =
            Journal::start(self.storage.clone(), claim.current_blob(), claim.length);
        let completions = self.run_states(claim, &journal, input, once, states).await;
        drop(journal);
        let length =
            writer.await.map_err(|error| Error::Internal { detail: error.to_string() })??;
        let completions = completions?;
        let record = &mut claim.record;
        record.counts = Counts { total: completions.len() as u64, ..Counts::default() };
        for (ok, bytes) in completions.into_iter().flatten() {
            if ok {
                record.counts.completed += 1;
                record.output_bytes += bytes;
            } else {
                record.counts.failed += 1;
                record.error_bytes += bytes;
            }
        }
        let blob = record.blobs.pop().unwrap_or_default();
        record.blobs = vec![BlobRef { length, ..blob }];
        Ok(())
    }

    async fn run_states(
        self: &Arc<Self>,
        claim: &mut Claim,
        journal: &Journal,
        input: Input,
        once: Vec<bool>,
        states: Vec<ItemState>,
    ) -> Result<Vec<ItemCompletion>> {
        let (lines, lost) = match input {
            Input::Lines(lines) => (lines.into_iter().map(Some).collect(), String::new()),
            Input::Lost { items, detail } => (vec![None; items as usize], detail),
        };
        let mut pending = Vec::new();
        let mut completions: Vec<ItemCompletion> = vec![None; lines.len()];
        for (index, ((line, state), once)) in lines.into_iter().zip(states).zip(once).enumerate() {
            let number = index as u32;
            let name = match &line {
                Some(line) => ItemName::new(&claim.job.id, &line.custom_id),
                None => ItemName::lost(&claim.job.id, claim.index, number),
            };
            let item = Item { claim, journal, number, name, once };
            match (state, line) {
                (ItemState::Done { ok, line }, _) => {
                    completions[index] = Some(item.finish(ok, line).await?);
                }
                (ItemState::Unknown { attempts, .. }, _) => {
                    let detail = "its run was interrupted".to_owned();
                    let summary = AttemptSummary { attempts, ..AttemptSummary::default() };
                    completions[index] =
                        Some(self.fail(&item, &summary, &Error::ItemUnclear { detail }).await?);
                }
                (ItemState::Run { .. }, None) if claim.stop.is_cancelled() => {}
                (ItemState::Run { attempts, reason, outcome }, None) => {
                    let summary =
                        AttemptSummary { attempts, reason, outcome, ..AttemptSummary::default() };
                    let error = Error::ItemLost { detail: lost.clone() };
                    completions[index] = Some(self.fail(&item, &summary, &error).await?);
                }
                (ItemState::Run { attempts, reason, outcome }, Some(line)) => {
                    let summary =
                        AttemptSummary { attempts, reason, outcome, ..AttemptSummary::default() };
                    for _ in 0..attempts {
                        item.append_attempt(&summary).await?;
                    }
                    pending.push((number, item.name, line, once, summary));
                }
            }
        }
        self.drop_earlier_blobs(claim).await?;
        let claim = &*claim;
        let runs = pending.into_iter().map(|(number, name, line, once, summary)| async move {
            let item = Item { claim, journal, number, name, once };
            self.run_item(&item, &line, summary).await.map(|completion| (number, completion))
        });
        let mut runs = futures::stream::iter(runs)
            .buffer_unordered(self.context.settings.batch_workers.max(1));
        let mut shutting_down = false;
        while let Some(result) = runs.next().await {
            match result {
                Ok((number, completion)) => completions[number as usize] = completion,
                // The other running items continue to their end.
                Err(Error::ShuttingDown) => shutting_down = true,
                Err(error) => return Err(error),
            }
        }
        match shutting_down {
            true => Err(Error::ShuttingDown),
            false => Ok(completions),
        }
    }

    /// Removes the blobs of earlier claims from the record once their outcomes are in this claim's
    /// blob, so that the list of blobs stays short.
    async fn drop_earlier_blobs(&self, claim: &mut Claim) -> Result<()> {
        if claim.record.blobs.len() < 2 {
            return Ok(());
        }
        let mut record = claim.record.clone();
        record.blobs = vec![claim.current_blob()];
        record.token = self.token();
        let key = segment_key(claim.job.id.as_str(), claim.index);
        let expect = Precondition::Version(claim.version);
        match self.records.put(&key, &record, expect).await? {
            Some(version) => {
                claim.version = version;
                claim.record = record;
                Ok(())
            }
            None if !self.options.fence_compare => Ok(()),
            None => Err(superseded(claim)),
        }
    }

    /// Writes the segment's result by compare-and-swap on the version of this claim. Writes nothing
    /// if a successor's claim has changed the version.
    async fn commit(&self, claim: &Claim) -> Result<()> {
        let mut record = claim.record.clone();
        record.state = SegmentState::Committed;
        record.token = self.token();
        let key = segment_key(claim.job.id.as_str(), claim.index);
        let mut last = superseded(claim);
        for _ in 0..COMMIT_TRIES {
            let mut expect = Precondition::Version(claim.version);
            if !self.options.fence_compare
                && let Some((_, version)) =
                    self.records.get::<sesamewall_batch::SegmentRecord>(&key).await?
            {
                expect = Precondition::Version(version);
            }
            match self.records.put(&key, &record, expect).await {
                Ok(Some(_)) => {
                    self.count("batch_commit");
                    self.record_segment(claim);
                    return Ok(());
                }
                Ok(None) if self.options.fence_compare => return Err(superseded(claim)),
                Ok(None) => {}
                Err(error) => last = error,
            }
            tokio::time::sleep(BASE_DELAY).await;
        }
        Err(last)
    }
}

fn superseded(claim: &Claim) -> Error {
    Error::JobState { job: claim.job.id.to_string(), state: "claimed by a successor".to_owned() }
}
