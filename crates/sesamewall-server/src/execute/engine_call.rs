//! Streams of model engines: each call ends either with all its tokens or with an explicit error.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use sesamewall_protocol::Class;
use sesamewall_protocol::Error;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotResult;
use slog::info;
use tokio::sync::mpsc;

use super::Call;
use super::Event;
use super::Executor;
use super::attempt;
use super::attempt::AttemptError;
use super::executor::BATCH_RETRY_INTERVAL;
use super::executor::micros;
use super::sse::EventParser;
use super::version;
use crate::service_traits::SlotGuard;
use crate::service_traits::SlotReport;

/// Time limit between two tokens of a stream; beyond it the stream counts as lost.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(60);

/// Most bytes of the events of one batch item. They are kept until the item ends, and an engine may
/// send events without an end.
const ITEM_LIMIT_BYTES: usize = 8 << 20;

/// Output of a running stream.
#[derive(Debug)]
pub enum StreamOutput {
    /// Targets of this version begin the response of a forwarded call; its first event follows.
    Begun {
        /// Version of the targets, empty if they declare none or it is not known.
        version: String,
    },
    /// A complete event.
    Event(Event),
    /// An error response of the target.
    Status {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Bytes,
        /// Whether the target ran the request.
        outcome: Outcome,
    },
    /// The call starts from its beginning at another target; the events so far are not used. Only
    /// batch items start again.
    Restarted,
    /// The call failed.
    Failed(Error),
}

/// Result of one attempt.
enum AttemptResult {
    /// The end marker arrived.
    Complete,
    /// The target responded with a status other than 200.
    Status(u16),
    /// The caller disconnected or cancelled the request.
    Cancelled,
    /// The slot was preempted.
    Preempted,
    /// The attempt failed.
    Failed(AttemptError),
    /// The target sent more than an item may have, and nothing that it sent is used.
    TooLarge(AttemptError),
}

/// Progress of a call across its attempts.
#[derive(Default)]
struct Progress {
    started: Time,
    generated: u64,
    /// Bytes of the events so far.
    bytes: usize,
    first_us: Option<u64>,
    /// Whether an event was passed on.
    begun: bool,
    /// Version of the targets that have begun the response; `None` if it is not known.
    version: Option<String>,
}

impl Progress {
    fn new(call: &Call, started: Time) -> Self {
        Self {
            started,
            generated: call.resume_from,
            begun: call.resume_from > 0,
            version: (call.resume_from > 0).then(|| call.resume_version.clone()),
            ..Self::default()
        }
    }
}

/// Returns whether the events so far may be dropped, so that the call starts from its beginning.
fn can_restart(call: &Call) -> bool {
    call.class == Class::Batch && !call.forwarded
}

impl Executor {
    /// Runs a streamed call to its end and sends its events to `outputs`. Dropping the receiver
    /// cancels the call.
    pub async fn run_stream(&self, call: &Call, outputs: mpsc::Sender<StreamOutput>) {
        let started = self.context.clock.now();
        let mut attempts = match self.start(call).await {
            Ok(attempts) => attempts,
            Err(error) => {
                self.record_early_refusal(call, &error);
                let _ = outputs.send(StreamOutput::Failed(error)).await;
                return;
            }
        };
        let mut progress = Progress::new(call, started);
        let result = loop {
            let Some(others) = self.other_versions(call, &progress) else {
                if can_restart(call) {
                    progress = self.restart(call, &progress, &outputs).await;
                    continue;
                }
                let error = Error::NoTarget { model: call.model.to_string() };
                let delivered = progress.generated - call.resume_from;
                break Err(attempts.final_error(after_delivery(error, delivered)));
            };
            attempts.other_versions = others;
            let guard = match self.acquire_slot(call, &mut attempts, progress.generated).await {
                Ok(guard) => guard,
                Err(Error::QueueTimeout { .. })
                    if call.can_wait_again() && attempts.other_versions.is_empty() =>
                {
                    tokio::time::sleep(BATCH_RETRY_INTERVAL).await;
                    continue;
                }
                // The version has no place, or no target that the lead may use.
                Err(Error::QueueTimeout { .. }) if call.can_wait_again() && can_restart(call) => {
                    progress = self.restart(call, &progress, &outputs).await;
                    continue;
                }
                Err(error) => {
                    break Err(attempts.final_error(after_delivery(
                        error,
                        progress.generated - call.resume_from,
                    )));
                }
            };
            let slot = guard.slot.clone();
            match self.attempt_stream(call, guard, &mut progress, &outputs).await {
                AttemptResult::Complete => break Ok((200, progress.generated - call.resume_from)),
                AttemptResult::Status(status) => {
                    attempts.record_unsuccessful();
                    break Ok((status, 0));
                }
                AttemptResult::Cancelled => break Err(Error::Cancelled),
                AttemptResult::Preempted => {}
                AttemptResult::TooLarge(failure) => {
                    progress = self.restart(call, &progress, &outputs).await;
                    if let Err(error) = self.retry(call, &mut attempts, &slot, failure, false) {
                        break Err(attempts.final_error(error));
                    }
                }
                // A resumed stream repeats no delivered token, so a partly delivered response can
                // still be retried.
                AttemptResult::Failed(failure) => {
                    if let Err(error) = self.retry(call, &mut attempts, &slot, failure, false) {
                        break Err(attempts.final_error(after_delivery(
                            error,
                            progress.generated - call.resume_from,
                        )));
                    }
                }
            }
        };
        self.finish(call, &attempts, &result);
        if let Err(error) = result {
            tokio::select! {
                () = outputs.closed() => return,
                () = self.delay_failure(call, &attempts) => {}
            }
            let _ = outputs.send(StreamOutput::Failed(error)).await;
        }
    }

    /// Returns the targets that must not go on with the response; `None` if no target may.
    fn other_versions(&self, call: &Call, progress: &Progress) -> Option<Vec<TargetName>> {
        if !progress.begun {
            return Some(Vec::new());
        }
        let configuration = self.context.config.current();
        version::other_targets(&configuration, &call.model, progress.version.as_deref()?)
    }

    /// Drops the events so far, and returns the progress of a call that starts from its beginning.
    async fn restart(
        &self,
        call: &Call,
        progress: &Progress,
        outputs: &mpsc::Sender<StreamOutput>,
    ) -> Progress {
        info!(self.context.log, "item restarts"; "request" => %call.request,
            "tokens" => progress.generated, "version" => progress.version.as_deref());
        // A run whose receiver is gone ends with its next attempt.
        let _ = outputs.send(StreamOutput::Restarted).await;
        Progress::new(call, progress.started)
    }

    /// Returns the version that responds at a target of the local failure domain.
    fn local_version(&self, call: &Call, slot: &Slot) -> Option<String> {
        let configuration = self.context.config.current();
        version::target_version(&configuration, &call.model, &slot.target)
    }

    async fn attempt_stream(
        &self,
        call: &Call,
        guard: SlotGuard,
        progress: &mut Progress,
        outputs: &mpsc::Sender<StreamOutput>,
    ) -> AttemptResult {
        let generated_before = progress.generated;
        progress.first_us = None;
        let end = tokio::select! {
            () = outputs.closed() => AttemptResult::Cancelled,
            () = call.cancel.cancelled() => AttemptResult::Cancelled,
            () = guard.preempted.cancelled() => AttemptResult::Preempted,
            end = self.read_stream(call, &guard, progress, outputs) => end,
        };
        let report = SlotReport {
            end: match &end {
                AttemptResult::Complete => SlotResult::Whole,
                AttemptResult::Status(status) if *status < 500 => SlotResult::Whole,
                AttemptResult::Status(_) => SlotResult::Failed,
                AttemptResult::Cancelled | AttemptResult::Preempted => SlotResult::Cancelled,
                AttemptResult::Failed(failure) | AttemptResult::TooLarge(failure) => failure.end,
            },
            first_token_us: progress.first_us,
            work: call.prompt + progress.generated - generated_before,
        };
        guard.finish(report);
        end
    }

    async fn read_stream(
        &self,
        call: &Call,
        guard: &SlotGuard,
        progress: &mut Progress,
        outputs: &mpsc::Sender<StreamOutput>,
    ) -> AttemptResult {
        let sent = self.context.clock.now();
        let target = guard.slot.target.as_str();
        let is_forward = guard.slot.is_forward();
        let mut version = self.local_version(call, &guard.slot);
        if progress.begun && !is_forward && version != progress.version {
            // The lead has another configuration than this instance.
            let reason = "another version has begun the stream".to_owned();
            let error = Error::TargetRefused { target: target.to_owned(), reason };
            return AttemptResult::Failed(AttemptError {
                error,
                end: SlotResult::Cancelled,
                not_run: true,
            });
        }
        let opened = attempt::send(
            &self.context,
            call,
            &guard.slot,
            call.body.clone(),
            progress.generated,
            progress.version.as_deref().filter(|_| progress.begun),
        )
        .await;
        let mut response = match opened {
            Ok(response) => response,
            Err(failure) => return AttemptResult::Failed(failure),
        };
        if progress.generated > call.resume_from && !attempt::is_event_stream(&response) {
            // The caller has the head and the first events of a stream, which nothing else may
            // follow.
            let detail = format!("status {} in place of the rest of the stream", response.status);
            return AttemptResult::Failed(AttemptError::incomplete(target, &detail));
        }
        if response.status != 200 {
            let status = response.status;
            let outcome = attempt::outcome(&guard.slot, &response);
            let body = attempt::read_error_body(&mut response).await;
            let _ = outputs.send(StreamOutput::Status { status, body, outcome }).await;
            return AttemptResult::Status(status);
        }
        if is_forward {
            let forwarded = attempt::forwarded_version(&response);
            let configuration = self.context.config.current();
            version = version::definite(&configuration, &call.model, forwarded);
        }
        let mut parser = EventParser::default();
        let mut checked = false;
        loop {
            let chunk = match tokio::time::timeout(TOKEN_TIMEOUT, response.body.next()).await {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(Some(Err(error))) => {
                    return AttemptResult::Failed(AttemptError::from_transport(target, &error));
                }
                Ok(None) | Err(_) => {
                    let detail = "the stream ended without its end marker";
                    return AttemptResult::Failed(AttemptError::incomplete(target, detail));
                }
            };
            if parser.push(&chunk).is_err() {
                let failure = AttemptError::incomplete(target, "an event is too large");
                return AttemptResult::Failed(failure);
            }
            while let Some(event) = parser.next_event() {
                if let Some(detail) = error_message(&event) {
                    return AttemptResult::Failed(AttemptError::incomplete(target, &detail));
                }
                if !checked {
                    checked = true;
                    // The configuration may have changed since the target was chosen.
                    if !is_forward && version != self.local_version(call, &guard.slot) {
                        version = None;
                    }
                    if progress.begun && (version.is_none() || version != progress.version) {
                        let detail = "another version goes on with the stream";
                        return AttemptResult::Failed(AttemptError::incomplete(target, detail));
                    }
                    if call.forwarded && progress.bytes == 0 {
                        let version = version.clone().unwrap_or_default();
                        if outputs.send(StreamOutput::Begun { version }).await.is_err() {
                            return AttemptResult::Cancelled;
                        }
                    }
                    (progress.begun, progress.version) = (true, version.clone());
                }
                if progress.first_us.is_none() {
                    let since = self.context.clock.now().since(sent);
                    progress.first_us = Some(micros(since));
                    self.observe_first_token(call, progress);
                }
                progress.bytes += event.bytes.len();
                let is_kept = call.class == Class::Batch && !call.forwarded;
                if is_kept && progress.bytes > ITEM_LIMIT_BYTES {
                    let failure = AttemptError::too_large(target, ITEM_LIMIT_BYTES);
                    return AttemptResult::TooLarge(failure);
                }
                let last = event.last;
                let token = has_token(&event);
                if outputs.send(StreamOutput::Event(event)).await.is_err() {
                    return AttemptResult::Cancelled;
                }
                progress.generated += u64::from(token);
                if last {
                    return AttemptResult::Complete;
                }
            }
        }
    }

    /// Observes the time to the first token of a call; resumed attempts are not observed.
    fn observe_first_token(&self, call: &Call, progress: &Progress) {
        if progress.generated == 0 {
            let since = self.context.clock.now().since(progress.started);
            let label = [call.class_label()];
            self.context.metrics.first_token.with_label_values(&label).observe(since.as_secs_f64());
        }
    }

    /// Counts and records a call that was refused before its first attempt.
    pub fn record_early_refusal(&self, call: &Call, error: &Error) {
        let class = call.class_label();
        let labels = [class, &error.code().to_string()];
        self.context.metrics.requests.with_label_values(&labels).inc();
        self.record_refusal(call, error);
    }
}

/// Returns whether an event carries a token. The last chunk, which has a finish reason, and the end
/// marker carry none.
fn has_token(event: &Event) -> bool {
    !event.last && !contains(&event.bytes, b"\"finish_reason\":\"")
}

/// Returns the message of an error event. Instances and engines end a stream that they cannot
/// complete with such an event.
fn error_message(event: &Event) -> Option<String> {
    let data = event.bytes.trim_ascii().strip_prefix(b"data: ")?;
    if !data.starts_with(b"{\"error\":") {
        return None;
    }
    let value: serde_json::Value = serde_json::from_slice(data).ok()?;
    let message = value["error"]["message"].as_str().unwrap_or("the stream ended with an error");
    Some(message.to_owned())
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}

/// Replaces an error with outcome "not run" once tokens were delivered, since the request was then
/// run in part.
fn after_delivery(error: Error, delivered: u64) -> Error {
    match error.outcome() {
        sesamewall_protocol::Outcome::NotRun if delivered > 0 => Error::TargetLost {
            target: "stream".to_owned(),
            detail: format!("the answer ends after {delivered} tokens: {error}"),
        },
        _ => error,
    }
}
