//! Streams of model engines: each call ends with all its tokens, or with an error that says so.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use sesamewall_protocol::Error;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::SlotEnd;
use tokio::sync::mpsc;

use super::Call;
use super::Event;
use super::Executor;
use super::attempt;
use super::attempt::Failure;
use super::executor::BATCH_PAUSE;
use super::executor::micros;
use super::sse::EventParser;
use crate::gate::SlotLease;
use crate::gate::SlotReport;

/// A stream that pauses longer than this between tokens counts as lost.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(60);

/// What a running stream gives.
#[derive(Debug)]
pub enum Piece {
    /// A complete event.
    Event(Event),
    /// The target's own error answer.
    Status {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Bytes,
        /// What is known about the execution.
        outcome: Outcome,
    },
    /// The call failed.
    Failed(Error),
}

/// How one attempt ended.
enum AttemptEnd {
    /// The end marker arrived.
    Whole,
    /// The target answered with a status of its own.
    Status(u16),
    /// The caller is gone or cancelled.
    Gone,
    /// The slot had to be given back.
    Yielded,
    /// The attempt failed.
    Failed(Failure),
}

/// Progress of a call over its attempts.
#[derive(Default)]
struct Progress {
    started: Time,
    made: u64,
    first_us: Option<u64>,
}

impl Executor {
    /// Runs a streamed call to its end and sends its pieces to `pieces`. A dropped receiver ends
    /// the call.
    pub async fn run_stream(&self, call: &Call, pieces: mpsc::Sender<Piece>) {
        let started = self.context.clock.now();
        let mut attempts = match self.start(call).await {
            Ok(attempts) => attempts,
            Err(error) => {
                self.refuse_call(call, &error);
                let _ = pieces.send(Piece::Failed(error)).await;
                return;
            }
        };
        let mut progress = Progress { started, made: call.resume_from, first_us: None };
        let result = loop {
            let lease = match self.place(call, &mut attempts, progress.made).await {
                Ok(lease) => lease,
                Err(Error::QueueTimeout { .. }) if call.may_wait() => {
                    tokio::time::sleep(BATCH_PAUSE).await;
                    continue;
                }
                Err(error) => {
                    break Err(
                        attempts.conclude(after_delivery(error, progress.made - call.resume_from))
                    );
                }
            };
            let slot = lease.slot.clone();
            match self.attempt_stream(call, lease, &mut progress, &pieces).await {
                AttemptEnd::Whole => break Ok((200, progress.made - call.resume_from)),
                AttemptEnd::Status(status) => {
                    attempts.note_unsuccessful();
                    break Ok((status, 0));
                }
                AttemptEnd::Gone => break Err(Error::Cancelled),
                AttemptEnd::Yielded => {}
                // A resumed stream repeats nothing that was delivered, so a part that reached the
                // caller does not rule out another attempt.
                AttemptEnd::Failed(failure) => {
                    if let Err(error) = self.retry(call, &mut attempts, &slot, failure, false) {
                        break Err(attempts
                            .conclude(after_delivery(error, progress.made - call.resume_from)));
                    }
                }
            }
        };
        self.finish(call, &attempts, &result);
        if let Err(error) = result {
            tokio::select! {
                () = pieces.closed() => return,
                () = self.hold_failure(call, &attempts) => {}
            }
            let _ = pieces.send(Piece::Failed(error)).await;
        }
    }

    async fn attempt_stream(
        &self,
        call: &Call,
        lease: SlotLease,
        progress: &mut Progress,
        pieces: &mpsc::Sender<Piece>,
    ) -> AttemptEnd {
        let made_before = progress.made;
        progress.first_us = None;
        let end = tokio::select! {
            () = pieces.closed() => AttemptEnd::Gone,
            () = call.cancel.cancelled() => AttemptEnd::Gone,
            () = lease.yielded.cancelled() => AttemptEnd::Yielded,
            end = self.read_stream(call, &lease, progress, pieces) => end,
        };
        let report = SlotReport {
            end: match &end {
                AttemptEnd::Whole => SlotEnd::Whole,
                AttemptEnd::Status(status) if *status < 500 => SlotEnd::Whole,
                AttemptEnd::Status(_) => SlotEnd::Failed,
                AttemptEnd::Gone | AttemptEnd::Yielded => SlotEnd::Cancelled,
                AttemptEnd::Failed(failure) => failure.end,
            },
            first_token_us: progress.first_us,
            work: call.prompt + progress.made - made_before,
        };
        lease.finish(report);
        end
    }

    async fn read_stream(
        &self,
        call: &Call,
        lease: &SlotLease,
        progress: &mut Progress,
        pieces: &mpsc::Sender<Piece>,
    ) -> AttemptEnd {
        let sent = self.context.clock.now();
        let target = lease.slot.target.as_str();
        let opened =
            attempt::send(&self.context, call, &lease.slot, call.body.clone(), progress.made).await;
        let mut answer = match opened {
            Ok(answer) => answer,
            Err(failure) => return AttemptEnd::Failed(failure),
        };
        if answer.status != 200 {
            let status = answer.status;
            let outcome = attempt::outcome(&lease.slot, &answer);
            let body = attempt::error_body(&mut answer).await;
            let _ = pieces.send(Piece::Status { status, body, outcome }).await;
            return AttemptEnd::Status(status);
        }
        let mut parser = EventParser::default();
        loop {
            let piece = match tokio::time::timeout(TOKEN_TIMEOUT, answer.body.next()).await {
                Ok(Some(Ok(piece))) => piece,
                Ok(Some(Err(error))) => {
                    return AttemptEnd::Failed(Failure::from_transport(target, &error));
                }
                Ok(None) | Err(_) => {
                    let detail = "the stream ended without its end marker";
                    return AttemptEnd::Failed(Failure::incomplete(target, detail));
                }
            };
            if parser.push(&piece).is_err() {
                let failure = Failure::incomplete(target, "an event is too large");
                return AttemptEnd::Failed(failure);
            }
            while let Some(event) = parser.next_event() {
                if let Some(detail) = error_of(&event) {
                    return AttemptEnd::Failed(Failure::incomplete(target, &detail));
                }
                if progress.first_us.is_none() {
                    let since = self.context.clock.now().since(sent);
                    progress.first_us = Some(micros(since));
                    self.note_first_token(call, progress);
                }
                let last = event.last;
                let token = has_token(&event);
                if pieces.send(Piece::Event(event)).await.is_err() {
                    return AttemptEnd::Gone;
                }
                progress.made += u64::from(token);
                if last {
                    return AttemptEnd::Whole;
                }
            }
        }
    }

    /// Observes the time to the first token of a call, not of a resumed attempt.
    fn note_first_token(&self, call: &Call, progress: &Progress) {
        if progress.made == 0 {
            let since = self.context.clock.now().since(progress.started);
            let label = [call.class_label()];
            self.context.metrics.first_token.with_label_values(&label).observe(since.as_secs_f64());
        }
    }

    /// Counts and notes a call that was refused before its first attempt.
    pub fn refuse_call(&self, call: &Call, error: &Error) {
        let class = call.class_label();
        let labels = [class, &error.code().to_string()];
        self.context.metrics.requests.with_label_values(&labels).inc();
        self.refuse(call, error);
    }
}

/// An event carries a token if it has content: the last chunk has none, nor has the end marker.
fn has_token(event: &Event) -> bool {
    !event.last && !contains(&event.bytes, b"\"finish_reason\":\"")
}

/// Returns the message of an error event, by which instances and engines end a stream that they
/// cannot complete.
fn error_of(event: &Event) -> Option<String> {
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

/// Once a part of the answer was delivered, "not run" would be wrong.
fn after_delivery(error: Error, made: u64) -> Error {
    match error.outcome() {
        sesamewall_protocol::Outcome::NotRun if made > 0 => Error::TargetLost {
            target: "stream".to_owned(),
            detail: format!("the answer ends after {made} tokens: {error}"),
        },
        _ => error,
    }
}
