//! Runs single items and records their results.

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
use super::objects::ItemName;
use super::objects::error_line;
use super::objects::response_line;
use super::worker::ItemCompletion;
use crate::ItemRequest;
use crate::ItemRunResult;
use crate::ItemTrace;

const LEASE_POLL: Duration = Duration::from_millis(100);
const BACKOFF: Duration = Duration::from_millis(500);
/// Limits the doublings of the delay after lost targets, which is at most 32 s.
const MAX_DOUBLINGS: u32 = 6;
/// Limits the failed or retried items of one claim whose steps are recorded in full. The others
/// have one record each.
const FULL_RECORD_LIMIT: u32 = 32;

/// Summary of the attempts of an item.
pub(super) struct AttemptSummary {
    pub(super) attempts: u32,
    /// Runs whose targets were lost. They show nothing about the item and do not count as attempts.
    pub(super) lost_targets: u32,
    pub(super) reason: String,
    pub(super) outcome: Outcome,
    pub(super) steps: Vec<(u64, Decision)>,
}

impl Default for AttemptSummary {
    fn default() -> Self {
        let reason = String::new();
        Self { attempts: 0, lost_targets: 0, reason, outcome: Outcome::NotRun, steps: Vec::new() }
    }
}

/// An item of a claim.
pub(super) struct Item<'a> {
    pub(super) claim: &'a Claim,
    pub(super) journal: &'a Journal,
    pub(super) number: u32,
    pub(super) name: ItemName,
    /// The item is non-idempotent: it may be sent at most once.
    pub(super) once: bool,
}

impl Item<'_> {
    /// Appends the item's outcome to the result blob. Returns `ok` and the bytes of the line.
    pub(super) async fn finish(&self, ok: bool, line: String) -> Result<(bool, u64)> {
        let bytes = line.len() as u64 + 1;
        self.journal.append(self.number, FrameBody::Outcome { ok, line }).await?;
        Ok((ok, bytes))
    }

    /// Appends the record of an attempt that ended without an outcome of the item.
    pub(super) async fn append_attempt(&self, summary: &AttemptSummary) -> Result<()> {
        let body = FrameBody::Attempt { reason: summary.reason.clone(), outcome: summary.outcome };
        self.journal.append(self.number, body).await
    }
}

/// Result of one attempt.
enum AttemptResult {
    /// The target sent a complete response.
    Response { request: RequestId, status: u16, body: Bytes },
    /// The job was stopped before a target saw the item.
    Stopped,
    /// The attempt was cancelled because the instance shuts down.
    ShutDown,
    /// The target was lost, and the item is idempotent.
    TargetLost(Error),
    /// The attempt failed.
    Failed(Error),
}

impl BatchService {
    /// Waits until the worker lease is valid. Returns whether the item may be sent, which is false
    /// if its job was stopped. Returns [`Error::ShuttingDown`] during a drain.
    async fn wait_to_send(&self, claim: &Claim) -> Result<bool> {
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

    /// Runs an item until it has an outcome. Returns `None` if the job was stopped first.
    pub(super) async fn run_item(
        &self,
        item: &Item<'_>,
        line: &InputLine,
        mut summary: AttemptSummary,
    ) -> Result<ItemCompletion> {
        let claim = item.claim;
        while summary.attempts < ATTEMPT_LIMIT {
            let permit = tokio::select! {
                permit = self.item_slots.acquire() => permit,
                () = self.drain.begin.cancelled() => return Err(Error::ShuttingDown),
            };
            let permit = permit.map_err(|error| Error::Internal { detail: error.to_string() })?;
            if !self.wait_to_send(claim).await? {
                return Ok(None);
            }
            if item.once && self.options.intent {
                item.journal.append(item.number, FrameBody::Intent).await?;
            }
            let end = self.attempt(item, line, &mut summary).await;
            drop(permit);
            let error = match end {
                AttemptResult::Response { request, status, body } => {
                    let text = response_line(&item.name, &request, status, &body);
                    let ok = (200..300).contains(&status);
                    self.record_item(item, &summary, 0);
                    return item.finish(ok, text).await.map(Some);
                }
                AttemptResult::Stopped => return Ok(None),
                AttemptResult::ShutDown => {
                    if item.once {
                        // Without this frame, a successor would take the intent for a run.
                        summary.reason = Error::ShuttingDown.to_string();
                        item.append_attempt(&summary).await?;
                    }
                    return Err(Error::ShuttingDown);
                }
                AttemptResult::TargetLost(error) => {
                    summary.lost_targets += 1;
                    summary.reason = error.to_string();
                    self.back_off(claim, summary.lost_targets).await?;
                    continue;
                }
                AttemptResult::Failed(error) => error,
            };
            if !can_repeat(&error, item.once) {
                let unclear = item.once && error.outcome() == Outcome::Unknown;
                let error = match error {
                    Error::ItemUnclear { .. } => error,
                    error if unclear => Error::ItemUnclear { detail: error.to_string() },
                    error => error,
                };
                return self.fail(item, &summary, &error).await.map(Some);
            }
            summary.attempts += 1;
            summary.reason = error.to_string();
            item.append_attempt(&summary).await?;
            self.back_off(claim, summary.attempts).await?;
        }
        let AttemptSummary { attempts, outcome, .. } = summary;
        let error = Error::ItemFailed { attempts, reason: summary.reason.clone(), outcome };
        self.fail(item, &summary, &error).await.map(Some)
    }

    /// Waits before the next attempt. The delay doubles with each failure, up to
    /// [`MAX_DOUBLINGS`] times.
    async fn back_off(&self, claim: &Claim, failures: u32) -> Result<()> {
        tokio::select! {
            () = tokio::time::sleep(BACKOFF * 2_u32.pow(failures.min(MAX_DOUBLINGS))) => Ok(()),
            () = claim.stop.cancelled() => Ok(()),
            () = self.drain.begin.cancelled() => Err(Error::ShuttingDown),
        }
    }

    async fn attempt(
        &self,
        item: &Item<'_>,
        line: &InputLine,
        summary: &mut AttemptSummary,
    ) -> AttemptResult {
        let claim = item.claim;
        let trace = Arc::new(ItemTrace::default());
        let before_due = self.options.urgent_margin.as_millis() as u64;
        let cancel = claim.stop.child_token();
        let request = ItemRequest {
            request: RequestId::from(format!(
                "{}.{}.{}",
                item.name.id,
                claim.record.fence,
                summary.attempts + summary.lost_targets
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
        let abort = if item.once { &self.drain.abort_once } else { &self.drain.abort };
        let run = self.runner.run(request);
        tokio::pin!(run);
        let outcome = tokio::select! {
            outcome = &mut run => outcome,
            () = abort.cancelled() => {
                cancel.cancel();
                run.await
            }
        };
        summary.steps.extend(trace.steps());
        let end = match outcome {
            ItemRunResult::Answered { status, body } => {
                summary.outcome = Outcome::Run;
                return AttemptResult::Response { request: id, status, body };
            }
            ItemRunResult::Cancelled if item.once && trace.had_slot() => {
                AttemptResult::Failed(Error::ItemUnclear {
                    detail: "the run was cancelled".to_owned(),
                })
            }
            ItemRunResult::Cancelled if claim.stop.is_cancelled() => AttemptResult::Stopped,
            ItemRunResult::Cancelled if abort.is_cancelled() => AttemptResult::ShutDown,
            ItemRunResult::Cancelled => AttemptResult::Failed(Error::Internal {
                detail: "the run was cancelled".to_owned(),
            }),
            ItemRunResult::Failed { error } if trace.has_lost_target() && !item.once => {
                AttemptResult::TargetLost(error)
            }
            ItemRunResult::Failed { error } => AttemptResult::Failed(error),
        };
        if let AttemptResult::Failed(error) | AttemptResult::TargetLost(error) = &end {
            summary.outcome = summary.outcome.combine(error.outcome());
            // The runner returns the error of its last attempt; an earlier one may have been
            // executed.
            if trace.failure_count() > usize::from(is_not_run(error)) {
                summary.outcome = Outcome::Unknown;
            }
        }
        end
    }

    /// Ends an item with an error. The error line contains the combined outcome of all attempts.
    pub(super) async fn fail(
        &self,
        item: &Item<'_>,
        summary: &AttemptSummary,
        error: &Error,
    ) -> Result<(bool, u64)> {
        let outcome = summary.outcome.combine(error.outcome());
        let failed = AttemptSummary {
            attempts: summary.attempts,
            lost_targets: summary.lost_targets,
            reason: error.to_string(),
            outcome,
            steps: summary.steps.clone(),
        };
        self.record_item(item, &failed, error.code());
        item.finish(false, error_line(&item.name, error, outcome)).await
    }

    /// Records the result of an item. The first item of each segment and up to
    /// [`FULL_RECORD_LIMIT`] failed or retried items are recorded with all steps, the other failed
    /// or retried items with one record.
    fn record_item(&self, item: &Item<'_>, summary: &AttemptSummary, code: u16) {
        let claim = item.claim;
        let failed_step =
            |(_, step): &(u64, Decision)| matches!(step, Decision::AttemptFailed { .. });
        let plain = code == 0 && summary.attempts == 0 && !summary.steps.iter().any(failed_step);
        if plain && item.number != 0 {
            return;
        }
        let request = RequestId::from(item.name.id.as_str());
        let account = Some(&claim.job.account);
        let recorder = &self.context.recorder;
        if item.number == 0 || claim.recorded.load(Ordering::Relaxed) < FULL_RECORD_LIMIT {
            claim.recorded.fetch_add(1, Ordering::Relaxed);
            for (at_ms, step) in &summary.steps {
                recorder.record_at(*at_ms, &request, account, step.clone());
            }
        }
        let decision = Decision::ItemEnded {
            job: claim.job.id.clone(),
            custom_id: item.name.custom_id.clone(),
            segment: claim.index,
            attempts: summary.attempts,
            code,
            outcome: summary.outcome,
            reason: summary.reason.clone(),
        };
        recorder.record(&request, account, decision);
    }

    /// Records the end of a segment.
    pub(super) fn record_segment(&self, claim: &Claim) {
        let request = RequestId::from(format!("batch_seg_{}_{:05}", claim.job.id, claim.index));
        let decision = Decision::SegmentEnded {
            job: claim.job.id.clone(),
            segment: claim.index,
            completed: claim.record.counts.completed,
            failed: claim.record.counts.failed,
            noted: claim.recorded.load(Ordering::Relaxed),
        };
        self.context.recorder.record(&request, Some(&claim.job.account), decision);
    }
}

/// Returns whether the error itself shows that no target ran the failed attempt.
fn is_not_run(error: &Error) -> bool {
    matches!(error, Error::TargetUnreachable { .. } | Error::TargetRefused { .. })
}

/// Returns whether a failed item may be run again. A request that was refused as invalid fails
/// again, and a non-idempotent item is repeated only if no target ran it.
fn can_repeat(error: &Error, once: bool) -> bool {
    let lasting = matches!(error.code(), 1000..=2999 | 4005);
    !lasting && (!once || error.outcome() == Outcome::NotRun)
}
