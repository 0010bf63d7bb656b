//! Calls whose answer is one body: plain services, and model calls without a stream.

use bytes::Bytes;
use futures::StreamExt;
use sesamewall_ports::AnswerStream;
use sesamewall_protocol::Error;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::Result;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotEnd;

use super::Call;
use super::Executor;
use super::attempt;
use super::attempt::Failure;
use super::executor::BATCH_PAUSE;
use super::executor::micros;
use crate::gate::SlotLease;
use crate::gate::SlotReport;

/// An answer up to this size is read in full before its head is passed on, so that a target that
/// is lost in between can be replaced or reported. Larger ones are passed on as they come.
const WHOLE_LIMIT_BYTES: usize = 4 << 20;

/// An answer of one body.
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers of the target.
    pub headers: Vec<(String, String)>,
    /// What is known about the execution.
    pub outcome: Outcome,
    /// First part of the body; the whole body if `rest` is `None`.
    pub body: Bytes,
    /// The part of a large body that is still to come.
    pub rest: Option<Rest>,
}

/// The rest of a large body, with the slot that it keeps.
pub struct Rest {
    /// The stream.
    pub stream: AnswerStream,
    /// The slot; dropping it reports a cancelled request.
    pub lease: SlotLease,
}

enum AttemptEnd {
    Answered(PlainAnswer),
    Gone,
    Yielded,
    Failed(Slot, Failure),
}

impl Executor {
    /// Runs a call to its end.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt; [`Error::outcome`] tells what is known.
    pub async fn run_plain(&self, call: &Call) -> Result<PlainAnswer> {
        let mut attempts = match self.start(call).await {
            Ok(attempts) => attempts,
            Err(error) => {
                self.refuse_call(call, &error);
                return Err(error);
            }
        };
        let result = loop {
            let lease = match self.place(call, &mut attempts, 0).await {
                Ok(lease) => lease,
                Err(Error::QueueTimeout { .. }) if call.may_wait() => {
                    tokio::time::sleep(BATCH_PAUSE).await;
                    continue;
                }
                Err(error) => break Err(attempts.conclude(error)),
            };
            match self.attempt_plain(call, lease).await {
                AttemptEnd::Answered(answer) => break Ok(answer),
                AttemptEnd::Gone => break Err(Error::Cancelled),
                AttemptEnd::Yielded => {}
                AttemptEnd::Failed(slot, failure) => {
                    if let Err(error) = self.retry(call, &mut attempts, &slot, failure, false) {
                        break Err(attempts.conclude(error));
                    }
                }
            }
        };
        let summary = match &result {
            Ok(answer) => {
                if answer.status >= 500 || answer.outcome != Outcome::Run {
                    attempts.note_unsuccessful();
                }
                Ok((answer.status, 0))
            }
            Err(error) => Err(error.clone()),
        };
        self.finish(call, &attempts, &summary);
        if result.is_err() {
            self.hold_failure(call, &attempts).await;
        }
        result
    }

    async fn attempt_plain(&self, call: &Call, lease: SlotLease) -> AttemptEnd {
        // A call that must not be repeated is not given up once it was sent: its end would be
        // unclear.
        let yielded = lease.yielded.clone();
        let gave_up = async {
            match call.idempotent {
                true => yielded.cancelled().await,
                false => std::future::pending().await,
            }
        };
        let cancelled = async {
            match call.idempotent {
                true => call.cancel.cancelled().await,
                false => std::future::pending().await,
            }
        };
        let sent = self.context.clock.now();
        let read = tokio::select! {
            () = cancelled => return AttemptEnd::Gone,
            () = gave_up => return AttemptEnd::Yielded,
            read = self.read_plain(call, &lease) => read,
        };
        let first_token_us = Some(micros(self.context.clock.now().since(sent)));
        match read {
            Ok((answer, None)) => {
                let end = if answer.status >= 500 { SlotEnd::Failed } else { SlotEnd::Whole };
                lease.finish(SlotReport { end, first_token_us, work: call.work });
                AttemptEnd::Answered(answer)
            }
            Ok((answer, Some(stream))) => {
                AttemptEnd::Answered(PlainAnswer { rest: Some(Rest { stream, lease }), ..answer })
            }
            Err(failure) => {
                let slot = lease.slot.clone();
                let end = failure.end;
                lease.finish(SlotReport { end, first_token_us: None, work: call.prompt });
                AttemptEnd::Failed(slot, failure)
            }
        }
    }

    async fn read_plain(
        &self,
        call: &Call,
        lease: &SlotLease,
    ) -> std::result::Result<(PlainAnswer, Option<AnswerStream>), Failure> {
        let mut answer =
            attempt::send(&self.context, call, &lease.slot, call.body.clone(), 0).await?;
        let target = lease.slot.target.as_str();
        let (pieces, ended) = attempt::collect(&mut answer, WHOLE_LIMIT_BYTES)
            .await
            .map_err(|error| Failure::from_transport(target, &error))?;
        let body = Bytes::from(pieces.concat());
        if ended && answer.status == 200 && is_model_call(call) && !is_json(&body) {
            // Without a length, the end of the connection passes for the end of the body.
            return Err(Failure::incomplete(target, "the answer is not complete JSON"));
        }
        let head = PlainAnswer {
            outcome: attempt::outcome(&lease.slot, &answer),
            status: answer.status,
            headers: answer.headers,
            body,
            rest: None,
        };
        Ok((head, (!ended).then(|| answer.body.boxed())))
    }
}

fn is_model_call(call: &Call) -> bool {
    matches!(call.path.as_str(), "/v1/chat/completions" | "/v1/completions")
}

fn is_json(body: &[u8]) -> bool {
    serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
}

impl Rest {
    /// Returns the rest of the body as a stream that reports the slot at its end. An error ends the
    /// caller's connection, so that the answer cannot be taken for a complete one.
    pub fn into_stream(self) -> impl futures::Stream<Item = std::io::Result<Bytes>> {
        let state = Some((self.stream, self.lease));
        futures::stream::unfold(state, |state| async move {
            let (mut stream, lease) = state?;
            match stream.next().await {
                Some(Ok(bytes)) => Some((Ok(bytes), Some((stream, lease)))),
                Some(Err(error)) => {
                    let report =
                        SlotReport { end: SlotEnd::Crashed, first_token_us: None, work: 0 };
                    lease.finish(report);
                    Some((Err(std::io::Error::other(error)), None))
                }
                None => {
                    let report = SlotReport { end: SlotEnd::Whole, first_token_us: None, work: 1 };
                    lease.finish(report);
                    None
                }
            }
        })
    }
}
