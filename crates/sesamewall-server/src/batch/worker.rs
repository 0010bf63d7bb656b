//! Runs the items of a claimed segment and commits their outcomes.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use sesamewall_batch::BlobRef;
use sesamewall_batch::Counts;
use sesamewall_batch::InputLine;
use sesamewall_batch::ItemState;
use sesamewall_batch::SegmentState;
use sesamewall_ports::Expect;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;
use slog::info;

use super::BatchService;
use super::claims::Claim;
use super::items::Item;
use super::items::Tried;
use super::journal::Journal;
use super::records::segment_key;
use super::recover::Input;
use super::recover::is_unread;
use super::shape::ItemName;

const COMMIT_TRIES: u32 = 120;
const PAUSE: Duration = Duration::from_secs(1);
/// Longest wait before a failed segment is given back. Without it, all instances would claim a
/// segment whose input cannot be read over and over.
const RELEASE_PAUSE: Duration = Duration::from_secs(8);

/// How an item ended in this claim: complete or not, and the bytes of its line. `None` stands for
/// an item that was stopped before it ran.
pub(super) type Ended = Option<(bool, u64)>;

impl BatchService {
    /// Runs a claim to its commit, or gives the segment back.
    pub(super) async fn run_claim(self: &Arc<Self>, mut claim: Claim) {
        let committed = match self.run_items(&mut claim).await {
            Ok(()) => self.commit(&claim).await,
            Err(error) => Err(error),
        };
        if let Err(error) = committed {
            info!(self.context.log, "batch segment given back";
                "job" => claim.job.id.as_str(), "segment" => claim.index,
                "fence" => claim.record.fence, "error" => %error);
            self.count("batch_release");
            self.look_later(&claim.job.id, PAUSE);
            claim.record.state = SegmentState::Released;
            if !claim.started && is_unread(&error) {
                let now = self.context.clock.wall_ms();
                claim.record.unread_ms.get_or_insert(now);
            }
            if !claim.started {
                // The own blob has only its header; naming it would let the chain grow each time.
                claim.record.blobs.pop();
            }
            let doubled = PAUSE * 2_u32.saturating_pow(claim.record.attempt.min(8));
            tokio::select! {
                () = tokio::time::sleep(doubled.min(RELEASE_PAUSE)) => {}
                () = self.drain.begin.cancelled() => {}
            }
            claim.record.token = self.token();
            let key = segment_key(claim.job.id.as_str(), claim.index);
            // A successor's record stays as it is. Without the store the claim lapses.
            let expect = Expect::Version(claim.version);
            let _ = self.records.put(&key, &claim.record, expect).await;
        }
    }

    async fn run_items(self: &Arc<Self>, claim: &mut Claim) -> Result<()> {
        let input = self.read_input(claim).await?;
        let once: Vec<bool> = match &input {
            Input::Lines(lines) => {
                let repeat = |line: &InputLine| {
                    self.runner.is_idempotent(&claim.job.account, &line.method, &line.url)
                };
                lines.iter().map(|line| !repeat(line)).collect()
            }
            // Without its line, each item counts as one that may not be repeated.
            Input::Lost { items, .. } => vec![true; *items as usize],
        };
        let states = self.recover_items(claim, &once).await?;
        claim.record.unread_ms = None;
        claim.started = true;
        let (journal, writer) =
            Journal::start(self.storage.clone(), claim.own_blob(), claim.length);
        let ended = self.run_states(claim, &journal, input, once, states).await;
        drop(journal);
        let length =
            writer.await.map_err(|error| Error::Internal { detail: error.to_string() })??;
        let ended = ended?;
        let record = &mut claim.record;
        record.counts = Counts { total: ended.len() as u64, ..Counts::default() };
        for (ok, bytes) in ended.into_iter().flatten() {
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
    ) -> Result<Vec<Ended>> {
        let (lines, lost) = match input {
            Input::Lines(lines) => (lines.into_iter().map(Some).collect(), String::new()),
            Input::Lost { items, detail } => (vec![None; items as usize], detail),
        };
        let mut todo = Vec::new();
        let mut ended: Vec<Ended> = vec![None; lines.len()];
        for (index, ((line, state), once)) in lines.into_iter().zip(states).zip(once).enumerate() {
            let number = index as u32;
            let name = match &line {
                Some(line) => ItemName::new(&claim.job.id, &line.custom_id),
                None => ItemName::lost(&claim.job.id, claim.index, number),
            };
            let item = Item { claim, journal, number, name, once };
            match (state, line) {
                (ItemState::Done { ok, line }, _) => {
                    ended[index] = Some(item.finish(ok, line).await?);
                }
                (ItemState::Unknown { attempts, .. }, _) => {
                    let detail = "its run was interrupted".to_owned();
                    let tried = Tried { attempts, ..Tried::default() };
                    ended[index] =
                        Some(self.fail(&item, &tried, &Error::ItemUnclear { detail }).await?);
                }
                (ItemState::Run { .. }, None) if claim.stop.is_cancelled() => {}
                (ItemState::Run { attempts, reason, outcome }, None) => {
                    let tried = Tried { attempts, reason, outcome, ..Tried::default() };
                    let error = Error::ItemLost { detail: lost.clone() };
                    ended[index] = Some(self.fail(&item, &tried, &error).await?);
                }
                (ItemState::Run { attempts, reason, outcome }, Some(line)) => {
                    let tried = Tried { attempts, reason, outcome, ..Tried::default() };
                    for _ in 0..attempts {
                        item.note_attempt(&tried).await?;
                    }
                    todo.push((number, item.name, line, once, tried));
                }
            }
        }
        self.drop_chain(claim).await?;
        let claim = &*claim;
        let runs = todo.into_iter().map(|(number, name, line, once, tried)| async move {
            let item = Item { claim, journal, number, name, once };
            self.run_item(&item, &line, tried).await.map(|ended| (number, ended))
        });
        let mut runs = futures::stream::iter(runs)
            .buffer_unordered(self.context.settings.batch_workers.max(1));
        let mut stopped = false;
        while let Some(result) = runs.next().await {
            match result {
                Ok((number, how)) => ended[number as usize] = how,
                // The other running items end in their own time.
                Err(Error::ShuttingDown) => stopped = true,
                Err(error) => return Err(error),
            }
        }
        match stopped {
            true => Err(Error::ShuttingDown),
            false => Ok(ended),
        }
    }

    /// Drops the blobs of earlier claims from the record once their outcomes are in the own blob,
    /// so that the chain stays short.
    async fn drop_chain(&self, claim: &mut Claim) -> Result<()> {
        if claim.record.blobs.len() < 2 {
            return Ok(());
        }
        let mut record = claim.record.clone();
        record.blobs = vec![claim.own_blob()];
        record.token = self.token();
        let key = segment_key(claim.job.id.as_str(), claim.index);
        let expect = Expect::Version(claim.version);
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

    /// Writes the segment's outcome by compare-and-swap on the version of the own claim: a
    /// successor's claim changes the version, and then nothing is written.
    async fn commit(&self, claim: &Claim) -> Result<()> {
        let mut record = claim.record.clone();
        record.state = SegmentState::Committed;
        record.token = self.token();
        let key = segment_key(claim.job.id.as_str(), claim.index);
        let mut last = superseded(claim);
        for _ in 0..COMMIT_TRIES {
            let mut expect = Expect::Version(claim.version);
            if !self.options.fence_compare
                && let Some((_, version)) =
                    self.records.get::<sesamewall_batch::SegmentRecord>(&key).await?
            {
                expect = Expect::Version(version);
            }
            match self.records.put(&key, &record, expect).await {
                Ok(Some(_)) => {
                    self.count("batch_commit");
                    self.note_segment(claim);
                    return Ok(());
                }
                Ok(None) if self.options.fence_compare => return Err(superseded(claim)),
                Ok(None) => {}
                Err(error) => last = error,
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(last)
    }
}

fn superseded(claim: &Claim) -> Error {
    Error::JobState { job: claim.job.id.to_string(), state: "claimed by a successor".to_owned() }
}
