//! Runs single items and notes how they ended.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_batch::ATTEMPT_LIMIT;
use sesamewall_batch::FrameBody;
use sesamewall_batch::InputLine;
use sesamewall_protocol::Decision;
use sesamewall_protocol::Error;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::Result;

use super::BatchService;
use super::claims::Claim;
use super::journal::Journal;
use super::shape::ItemName;
use super::shape::answer_line;
use super::shape::error_line;
use super::worker::Ended;
use crate::ItemOutcome;
use crate::ItemRequest;
use crate::ItemTrace;

const LEASE_POLL: Duration = Duration::from_millis(100);
const BACKOFF: Duration = Duration::from_millis(500);
/// Doublings of the pause after lost targets: 32 s at the most.
const MAX_DOUBLINGS: u32 = 6;
/// Failed or retried items of one claim whose path is recorded in full. The others have one record
/// each.
const NOTED_LIMIT: u32 = 32;

/// What is known about the attempts of an item.
pub(super) struct Tried {
    pub(super) attempts: u32,
    /// Runs whose targets were lost. They say nothing about the item and don't count as attempts.
    pub(super) lost: u32,
    pub(super) reason: String,
    pub(super) outcome: Outcome,
    pub(super) steps: Vec<(u64, Decision)>,
}

impl Default for Tried {
    fn default() -> Self {
        let reason = String::new();
        Self { attempts: 0, lost: 0, reason, outcome: Outcome::NotRun, steps: Vec::new() }
    }
}

/// An item of a claim.
pub(super) struct Item<'a> {
    pub(super) claim: &'a Claim,
    pub(super) journal: &'a Journal,
    pub(super) number: u32,
    pub(super) name: ItemName,
    /// The item may not be repeated.
    pub(super) once: bool,
}

impl Item<'_> {
    /// Appends the item's outcome.
    pub(super) async fn finish(&self, ok: bool, line: String) -> Result<(bool, u64)> {
        let bytes = line.len() as u64 + 1;
        self.journal.append(self.number, FrameBody::Outcome { ok, line }).await?;
        Ok((ok, bytes))
    }

    /// Appends that an attempt ended without an outcome.
    pub(super) async fn note_attempt(&self, tried: &Tried) -> Result<()> {
        let body = FrameBody::Attempt { reason: tried.reason.clone(), outcome: tried.outcome };
        self.journal.append(self.number, body).await
    }
}

/// How one attempt ended.
enum AttemptEnd {
    /// The target answered in full.
    Answered { request: RequestId, status: u16, body: Bytes },
    /// The job was stopped before a target saw the item.
    Stopped,
    /// The instance shuts down.
    ShutDown,
    /// Its target was lost, and the item may be repeated.
    TargetLost(Error),
    /// The attempt failed.
    Failed(Error),
}

impl BatchService {
    /// Waits until the item may be sent. Returns whether it may: a stopped job sends nothing.
    async fn may_send(&self, claim: &Claim) -> Result<bool> {
        loop {
            if claim.stop.is_cancelled() {
                return Ok(false);
            }
            if self.drain.begin.is_cancelled() {
                return Err(Error::ShuttingDown);
            }
            if self.state().lease.is_valid(self.context.clock.now()) {
                return Ok(true);
            }
            tokio::time::sleep(LEASE_POLL).await;
        }
    }

    /// Runs an item until it has an outcome, or returns `None` if its job was stopped before.
    pub(super) async fn run_item(
        &self,
        item: &Item<'_>,
        line: &InputLine,
        mut tried: Tried,
    ) -> Result<Ended> {
        let claim = item.claim;
        while tried.attempts < ATTEMPT_LIMIT {
            let permit = tokio::select! {
                permit = self.items.acquire() => permit,
                () = self.drain.begin.cancelled() => return Err(Error::ShuttingDown),
            };
            let permit = permit.map_err(|error| Error::Internal { detail: error.to_string() })?;
            if !self.may_send(claim).await? {
                return Ok(None);
            }
            if item.once && self.options.intent {
                item.journal.append(item.number, FrameBody::Intent).await?;
            }
            let end = self.attempt(item, line, &mut tried).await;
            drop(permit);
            let error = match end {
                AttemptEnd::Answered { request, status, body } => {
                    let text = answer_line(&item.name, &request, status, &body);
                    let ok = (200..300).contains(&status);
                    self.note_item(item, &tried, 0);
                    return item.finish(ok, text).await.map(Some);
                }
                AttemptEnd::Stopped => return Ok(None),
                AttemptEnd::ShutDown => {
                    if item.once {
                        // Without this frame, the intent would count as a run.
                        tried.reason = Error::ShuttingDown.to_string();
                        item.note_attempt(&tried).await?;
                    }
                    return Err(Error::ShuttingDown);
                }
                AttemptEnd::TargetLost(error) => {
                    tried.lost += 1;
                    tried.reason = error.to_string();
                    self.pause(claim, tried.lost).await?;
                    continue;
                }
                AttemptEnd::Failed(error) => error,
            };
            if !may_repeat(&error, item.once) {
                let unclear = item.once && error.outcome() == Outcome::Unknown;
                let error = match error {
                    Error::ItemUnclear { .. } => error,
                    error if unclear => Error::ItemUnclear { detail: error.to_string() },
                    error => error,
                };
                return self.fail(item, &tried, &error).await.map(Some);
            }
            tried.attempts += 1;
            tried.reason = error.to_string();
            item.note_attempt(&tried).await?;
            self.pause(claim, tried.attempts).await?;
        }
        let Tried { attempts, outcome, .. } = tried;
        let error = Error::ItemFailed { attempts, reason: tried.reason.clone(), outcome };
        self.fail(item, &tried, &error).await.map(Some)
    }

    /// Waits between two attempts, longer after each one.
    async fn pause(&self, claim: &Claim, ended: u32) -> Result<()> {
        tokio::select! {
            () = tokio::time::sleep(BACKOFF * 2_u32.pow(ended.min(MAX_DOUBLINGS))) => Ok(()),
            () = claim.stop.cancelled() => Ok(()),
            () = self.drain.begin.cancelled() => Err(Error::ShuttingDown),
        }
    }

    async fn attempt(&self, item: &Item<'_>, line: &InputLine, tried: &mut Tried) -> AttemptEnd {
        let claim = item.claim;
        let trace = Arc::new(ItemTrace::default());
        let before_due = self.options.urgent_before_due.as_millis() as u64;
        let cancel = claim.stop.child_token();
        let request = ItemRequest {
            request: RequestId::from(format!(
                "{}.{}.{}",
                item.name.id,
                claim.record.fence,
                tried.attempts + tried.lost
            )),
            account: claim.job.account.clone(),
            method: line.method.clone(),
            path: line.url.clone(),
            body: Bytes::from(line.body.to_string()),
            urgent: self.context.clock.wall_ms() + before_due >= claim.job.due_ms,
            trace: Arc::clone(&trace),
            cancel: cancel.clone(),
        };
        let id = request.request.clone();
        let cut = if item.once { &self.drain.cut_once } else { &self.drain.cut };
        let run = self.runner.run(request);
        tokio::pin!(run);
        let outcome = tokio::select! {
            outcome = &mut run => outcome,
            () = cut.cancelled() => {
                cancel.cancel();
                run.await
            }
        };
        tried.steps.extend(trace.steps());
        let end = match outcome {
            ItemOutcome::Answered { status, body } => {
                tried.outcome = Outcome::Run;
                return AttemptEnd::Answered { request: id, status, body };
            }
            ItemOutcome::Cancelled if item.once && trace.had_slot() => {
                AttemptEnd::Failed(Error::ItemUnclear {
                    detail: "the run was cancelled".to_owned(),
                })
            }
            ItemOutcome::Cancelled if claim.stop.is_cancelled() => AttemptEnd::Stopped,
            ItemOutcome::Cancelled if cut.is_cancelled() => AttemptEnd::ShutDown,
            ItemOutcome::Cancelled => {
                AttemptEnd::Failed(Error::Internal { detail: "the run was cancelled".to_owned() })
            }
            ItemOutcome::Failed { error } if trace.lost_target() && !item.once => {
                AttemptEnd::TargetLost(error)
            }
            ItemOutcome::Failed { error } => AttemptEnd::Failed(error),
        };
        if let AttemptEnd::Failed(error) | AttemptEnd::TargetLost(error) = &end {
            tried.outcome = tried.outcome.combine(error.outcome());
            // The runner's error is that of its last attempt; an earlier one may have run.
            if trace.failures() > usize::from(is_not_run(error)) {
                tried.outcome = Outcome::Unknown;
            }
        }
        end
    }

    /// Ends an item with an error, whose line tells what is known about all attempts.
    pub(super) async fn fail(
        &self,
        item: &Item<'_>,
        tried: &Tried,
        error: &Error,
    ) -> Result<(bool, u64)> {
        let outcome = tried.outcome.combine(error.outcome());
        let failed = Tried {
            attempts: tried.attempts,
            lost: tried.lost,
            reason: error.to_string(),
            outcome,
            steps: tried.steps.clone(),
        };
        self.note_item(item, &failed, error.code());
        item.finish(false, error_line(&item.name, error, outcome)).await
    }

    /// Records how an item ended: the first item of each segment and up to [`NOTED_LIMIT`] failed
    /// or retried ones with their path, the other failed or retried ones with one record.
    fn note_item(&self, item: &Item<'_>, tried: &Tried, code: u16) {
        let claim = item.claim;
        let failed_step =
            |(_, step): &(u64, Decision)| matches!(step, Decision::AttemptFailed { .. });
        let plain = code == 0 && tried.attempts == 0 && !tried.steps.iter().any(failed_step);
        if plain && item.number != 0 {
            return;
        }
        let request = RequestId::from(item.name.id.as_str());
        let account = Some(&claim.job.account);
        let recorder = &self.context.recorder;
        if item.number == 0 || claim.noted.load(Ordering::Relaxed) < NOTED_LIMIT {
            claim.noted.fetch_add(1, Ordering::Relaxed);
            for (at_ms, step) in &tried.steps {
                recorder.record_at(*at_ms, &request, account, step.clone());
            }
        }
        let decision = Decision::ItemEnded {
            job: claim.job.id.clone(),
            custom_id: item.name.custom_id.clone(),
            segment: claim.index,
            attempts: tried.attempts,
            code,
            outcome: tried.outcome,
            reason: tried.reason.clone(),
        };
        recorder.record(&request, account, decision);
    }

    /// Records the end of a segment.
    pub(super) fn note_segment(&self, claim: &Claim) {
        let request = RequestId::from(format!("batch_seg_{}_{:05}", claim.job.id, claim.index));
        let decision = Decision::SegmentEnded {
            job: claim.job.id.clone(),
            segment: claim.index,
            completed: claim.record.counts.completed,
            failed: claim.record.counts.failed,
            noted: claim.noted.load(Ordering::Relaxed),
        };
        self.context.recorder.record(&request, Some(&claim.job.account), decision);
    }
}

/// Tells whether the error itself says of the failed attempt that no target ran it.
fn is_not_run(error: &Error) -> bool {
    matches!(error, Error::TargetUnreachable { .. } | Error::TargetRefused { .. })
}

/// Tells whether a failed item may be run again: a wrong request stays wrong, and a non-idempotent
/// one is repeated only if no target ran it.
fn may_repeat(error: &Error, once: bool) -> bool {
    let lasting = matches!(error.code(), 1000..=2999 | 4005);
    !lasting && (!once || error.outcome() == Outcome::NotRun)
}
