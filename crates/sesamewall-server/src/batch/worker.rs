//! Runs the items of a claimed segment and commits their outcomes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use sesamewall_batch::ATTEMPT_LIMIT;
use sesamewall_batch::BlobRef;
use sesamewall_batch::Counts;
use sesamewall_batch::FileRecord;
use sesamewall_batch::FileSource;
use sesamewall_batch::Frame;
use sesamewall_batch::FrameBody;
use sesamewall_batch::InputLine;
use sesamewall_batch::ItemState;
use sesamewall_batch::SegmentState;
use sesamewall_batch::decode_frames;
use sesamewall_batch::encode_frame;
use sesamewall_batch::parse_line;
use sesamewall_batch::recover;
use sesamewall_ports::Expect;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::Result;
use slog::info;

use super::BatchService;
use super::claims::Claim;
use super::journal::Journal;
use super::records::file_key;
use super::records::segment_key;
use super::shape::answer_line;
use super::shape::error_line;
use super::shape::unknown_line;
use crate::ItemOutcome;
use crate::ItemRequest;

const SEAL_TRIES: u32 = 8;
const COMMIT_TRIES: u32 = 120;
const PAUSE: Duration = Duration::from_secs(1);
/// Longest wait before a failed segment is given back. Without it, all instances would claim a
/// segment whose input cannot be read over and over.
const RELEASE_PAUSE: Duration = Duration::from_secs(8);
const LEASE_POLL: Duration = Duration::from_millis(100);
const BACKOFF: Duration = Duration::from_millis(500);

/// How an item ended in this claim: complete or not, and the bytes of its line. `None` stands for
/// an item that was stopped before it ran.
type Ended = Option<(bool, u64)>;

impl BatchService {
    /// Runs a claim to its commit, or gives the segment back.
    pub(super) async fn run_claim(self: &Arc<Self>, mut claim: Claim) {
        let committed = match self.run_items(&mut claim).await {
            Ok(()) => self.commit(&claim).await,
            Err(error) => Err(error),
        };
        if let Err(error) = committed {
            info!(self.node.log, "batch segment given back";
                "job" => claim.job.id.as_str(), "segment" => claim.index,
                "fence" => claim.record.fence, "error" => %error);
            self.count("batch_release");
            self.look_later(&claim.job.id, PAUSE);
            claim.record.state = SegmentState::Released;
            if !claim.started {
                // The own blob has only its header; naming it would let the chain grow each time.
                claim.record.blobs.pop();
            }
            if !self.node.draining.load(Ordering::Relaxed) {
                let doubled = PAUSE * 2_u32.saturating_pow(claim.record.attempt.min(8));
                tokio::time::sleep(doubled.min(RELEASE_PAUSE)).await;
            }
            claim.record.token = self.token();
            let key = segment_key(claim.job.id.as_str(), claim.index);
            // A successor's record stays as it is. Without the store the claim lapses.
            let expect = Expect::Version(claim.version);
            let _ = self.records.put(&key, &claim.record, expect).await;
        }
    }

    async fn run_items(self: &Arc<Self>, claim: &mut Claim) -> Result<()> {
        let lines = self.read_lines(claim).await?;
        let once = |line: &InputLine| {
            !self.runner.is_idempotent(&claim.job.account, &line.method, &line.url)
        };
        let once: Vec<bool> = lines.iter().map(once).collect();
        let states = self.recover_items(claim, &once).await?;
        claim.started = true;
        let (journal, writer) =
            Journal::start(self.storage.clone(), claim.own_blob(), claim.length);
        let ended = self.run_states(claim, &journal, lines, once, states).await;
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
        lines: Vec<InputLine>,
        once: Vec<bool>,
        states: Vec<ItemState>,
    ) -> Result<Vec<Ended>> {
        let mut todo = Vec::new();
        let mut ended: Vec<Ended> = vec![None; lines.len()];
        for (index, ((line, state), once)) in lines.into_iter().zip(states).zip(once).enumerate() {
            let item = index as u32;
            let (ok, text) = match state {
                ItemState::Done { ok, line } => (ok, line),
                ItemState::Unknown { .. } => (false, unknown_line(&claim.job.id, item, &line)),
                ItemState::Run { attempts, reason } => {
                    for _ in 0..attempts {
                        let reason = reason.clone();
                        journal.append(item, FrameBody::Attempt { reason }).await?;
                    }
                    todo.push((item, line, once, attempts, reason));
                    continue;
                }
            };
            ended[index] = Some(finish(journal, item, ok, text).await?);
        }
        self.drop_chain(claim).await?;
        let claim = &*claim;
        let runs = todo.into_iter().map(|(item, line, once, attempts, reason)| async move {
            let run = ItemRun { claim, journal, item, line, once };
            self.run_item(run, attempts, reason).await.map(|ended| (item, ended))
        });
        let mut runs =
            futures::stream::iter(runs).buffer_unordered(self.node.settings.batch_workers.max(1));
        while let Some(result) = runs.next().await {
            let (item, how) = result?;
            ended[item as usize] = how;
        }
        Ok(ended)
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

    async fn read_lines(&self, claim: &Claim) -> Result<Vec<InputLine>> {
        let missing = || Error::NotFound { kind: "file".to_owned(), id: claim.job.file.clone() };
        let (file, _) = self
            .records
            .get::<FileRecord>(&file_key(&claim.job.file))
            .await?
            .ok_or_else(missing)?;
        let FileSource::Blob(blob) = &file.source else { return Err(missing()) };
        let range = file.segments.get(claim.index as usize).copied().ok_or_else(missing)?;
        let bytes = self.storage.read(blob, range.offset, range.length).await?;
        bytes
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.iter().all(u8::is_ascii_whitespace))
            .enumerate()
            .map(|(number, line)| parse_line(number as u64 + 1, line))
            .collect()
    }

    /// Recovers the items' states from the blobs of earlier claims and seals these blobs, so that
    /// their writers can append nothing more.
    async fn recover_items(&self, claim: &Claim, once: &[bool]) -> Result<Vec<ItemState>> {
        let earlier = claim.record.blobs.len().saturating_sub(1);
        let mut chain = Vec::new();
        let mut lost = false;
        for blob in &claim.record.blobs[..earlier] {
            let mut copies = Vec::new();
            let mut answered = 0;
            for holder in &blob.holders {
                match self.seal(holder, blob, claim.record.fence).await {
                    Ok(found) => {
                        answered += 1;
                        copies.extend(found);
                    }
                    Err(Error::NotFound { .. } | Error::BulkDamaged { .. }) => answered += 1,
                    Err(_) => {}
                }
            }
            if copies.is_empty() && answered < blob.holders.len() {
                return Err(Error::BulkUnavailable { copies: 0, wanted: 1 });
            }
            lost |= copies.is_empty();
            chain.push((blob.clone(), copies));
        }
        let mut states = recover(once.len(), &chain);
        // With every copy of the intents lost, a non-idempotent item may have been sent.
        for (state, once) in states.iter_mut().zip(once) {
            if let (true, true, ItemState::Run { attempts, .. }) = (lost, *once, &*state) {
                *state = ItemState::Unknown { attempts: *attempts };
            }
        }
        Ok(states)
    }

    /// Seals one copy of an earlier blob and returns its frames, or `None` if it lost its disk.
    /// An append names its offset, so once the seal is stored the earlier writer's next append
    /// conflicts, and everything that it had acknowledged by all copies is in the frames.
    async fn seal(
        &self,
        holder: &InstanceName,
        blob: &BlobRef,
        fence: u64,
    ) -> Result<Option<Vec<Frame>>> {
        let mut last = Error::BulkUnavailable { copies: 0, wanted: 1 };
        for _ in 0..SEAL_TRIES {
            let bytes = self.storage.read_copy(holder, &blob.name).await?;
            let (frames, _) = decode_frames(&bytes);
            if frames.first().is_none_or(|frame| frame.body != FrameBody::Header) {
                return Ok(None);
            }
            let sealed = frames.iter().any(|frame| frame.body == FrameBody::Seal);
            if sealed || !self.options.seal {
                return Ok(Some(frames));
            }
            let seal = encode_frame(&Frame { fence, item: 0, body: FrameBody::Seal });
            let end = bytes.len() as u64;
            match self.storage.append(holder, &blob.name, end, &seal).await {
                Ok(()) => return Ok(Some(frames)),
                Err(error @ Error::BulkDamaged { .. }) => last = error,
                Err(error) => return Err(error),
            }
        }
        Err(Error::Internal { detail: last.to_string() })
    }

    /// Waits until the item may be sent. Returns whether it may: a stopped job sends nothing.
    async fn may_send(&self, claim: &Claim) -> Result<bool> {
        loop {
            if claim.stop.is_cancelled() {
                return Ok(false);
            }
            if self.node.draining.load(Ordering::Relaxed) {
                return Err(Error::ShuttingDown);
            }
            if self.state().lease.is_valid(self.node.clock.now()) {
                return Ok(true);
            }
            tokio::time::sleep(LEASE_POLL).await;
        }
    }

    async fn run_item(
        &self,
        run: ItemRun<'_>,
        mut attempts: u32,
        mut reason: String,
    ) -> Result<Ended> {
        let ItemRun { claim, journal, item, ref line, once } = run;
        let job = &claim.job.id;
        while attempts < ATTEMPT_LIMIT {
            let permit = self
                .items
                .acquire()
                .await
                .map_err(|error| Error::Internal { detail: error.to_string() })?;
            if !self.may_send(claim).await? {
                return Ok(None);
            }
            if once && self.options.intent {
                journal.append(item, FrameBody::Intent).await?;
            }
            let request = ItemRequest {
                request: RequestId::from(format!("req_{}", self.token())),
                account: claim.job.account.clone(),
                method: line.method.clone(),
                path: line.url.clone(),
                body: Bytes::from(line.body.to_string()),
                cancel: claim.stop.child_token(),
            };
            let id = request.request.clone();
            let outcome = self.runner.run(request).await;
            drop(permit);
            let error = match outcome {
                ItemOutcome::Answered { status, body } => {
                    let text = answer_line(job, item, line, &id, status, &body);
                    let ok = (200..300).contains(&status);
                    return finish(journal, item, ok, text).await.map(Some);
                }
                ItemOutcome::Cancelled if once => {
                    return finish(journal, item, false, unknown_line(job, item, line))
                        .await
                        .map(Some);
                }
                ItemOutcome::Cancelled if claim.stop.is_cancelled() => return Ok(None),
                ItemOutcome::Cancelled => {
                    Error::Internal { detail: "the run was cancelled".to_owned() }
                }
                ItemOutcome::Failed { error } => error,
            };
            if !may_repeat(&error, once) {
                let text = match error.outcome() {
                    Outcome::Unknown if once => unknown_line(job, item, line),
                    _ => error_line(job, item, line, &error),
                };
                return finish(journal, item, false, text).await.map(Some);
            }
            attempts += 1;
            reason = error.to_string();
            journal.append(item, FrameBody::Attempt { reason: reason.clone() }).await?;
            tokio::select! {
                () = tokio::time::sleep(BACKOFF * 2_u32.pow(attempts)) => {}
                () = claim.stop.cancelled() => {}
            }
        }
        let error = Error::ItemFailed { attempts, reason };
        finish(journal, item, false, error_line(job, item, line, &error)).await.map(Some)
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

struct ItemRun<'a> {
    claim: &'a Claim,
    journal: &'a Journal,
    item: u32,
    line: InputLine,
    once: bool,
}

fn superseded(claim: &Claim) -> Error {
    Error::JobState { job: claim.job.id.to_string(), state: "claimed by a successor".to_owned() }
}

/// Tells whether a failed item may be run again: a wrong request stays wrong, and a non-idempotent
/// one is repeated only if no target ran it.
fn may_repeat(error: &Error, once: bool) -> bool {
    let lasting = matches!(error.code(), 1000..=2999 | 4005);
    !lasting && (!once || error.outcome() == Outcome::NotRun)
}

async fn finish(journal: &Journal, item: u32, ok: bool, line: String) -> Result<(bool, u64)> {
    let bytes = line.len() as u64 + 1;
    journal.append(item, FrameBody::Outcome { ok, line }).await?;
    Ok((ok, bytes))
}
