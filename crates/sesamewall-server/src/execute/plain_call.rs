//! Calls whose response is one body: plain services, and model calls without a stream.

use bytes::Bytes;
use futures::StreamExt;
use sesamewall_ports::ResponseStream;
use sesamewall_protocol::Error;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::Result;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotResult;

use super::Call;
use super::Executor;
use super::attempt;
use super::attempt::AttemptError;
use super::executor::BATCH_RETRY_INTERVAL;
use super::executor::micros;
use crate::service_traits::SlotGuard;
use crate::service_traits::SlotReport;

/// A response up to this size is read in full before its head is sent to the caller, so that the
/// call can still be retried or failed if the target is lost meanwhile. Larger ones are streamed.
const BUFFER_LIMIT_BYTES: usize = 4 << 20;

/// A response with one body.
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Response headers of the target.
    pub headers: Vec<(String, String)>,
    /// Whether the target ran the request.
    pub outcome: Outcome,
    /// First part of the body; the complete body if `remaining` is `None`.
    pub body: Bytes,
    /// The part of a large body that has not been read yet.
    pub remaining: Option<RemainingBody>,
}

/// The unread part of a large body, with the slot that it occupies.
pub struct RemainingBody {
    /// Stream of the remaining chunks.
    pub stream: ResponseStream,
    /// Guard of the slot; dropping it reports a cancelled request.
    pub guard: SlotGuard,
}

enum AttemptResult {
    Response(PlainResponse),
    Cancelled,
    Preempted,
    Failed(Slot, AttemptError),
}

impl Executor {
    /// Runs a call to its end.
    ///
    /// # Errors
    ///
    /// Returns the error of the last attempt, or of an earlier one with unknown outcome;
    /// [`Error::outcome`] states whether the request was run.
    pub async fn run_plain(&self, call: &Call) -> Result<PlainResponse> {
        let mut attempts = match self.start(call).await {
            Ok(attempts) => attempts,
            Err(error) => {
                self.record_early_refusal(call, &error);
                return Err(error);
            }
        };
        let result = loop {
            let guard = match self.acquire_slot(call, &mut attempts, 0).await {
                Ok(guard) => guard,
                Err(Error::QueueTimeout { .. }) if call.can_wait_again() => {
                    tokio::time::sleep(BATCH_RETRY_INTERVAL).await;
                    continue;
                }
                Err(error) => break Err(attempts.final_error(error)),
            };
            match self.attempt_plain(call, guard).await {
                AttemptResult::Response(response) => break Ok(response),
                AttemptResult::Cancelled => break Err(Error::Cancelled),
                AttemptResult::Preempted => {}
                AttemptResult::Failed(slot, failure) => {
                    if let Err(error) = self.retry(call, &mut attempts, &slot, failure, false) {
                        break Err(attempts.final_error(error));
                    }
                }
            }
        };
        let summary = match &result {
            Ok(response) => {
                if response.status >= 500 || response.outcome != Outcome::Run {
                    attempts.record_unsuccessful();
                }
                Ok((response.status, 0))
            }
            Err(error) => Err(error.clone()),
        };
        self.finish(call, &attempts, &summary);
        if result.is_err() {
            self.delay_failure(call, &attempts).await;
        }
        result
    }

    async fn attempt_plain(&self, call: &Call, guard: SlotGuard) -> AttemptResult {
        // A call that must not be repeated is neither preempted nor cancelled once it was sent,
        // since its outcome would be unknown.
        let preempted = guard.preempted.clone();
        let preemption = async {
            match call.idempotent {
                true => preempted.cancelled().await,
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
            () = cancelled => return AttemptResult::Cancelled,
            () = preemption => return AttemptResult::Preempted,
            read = self.read_plain(call, &guard) => read,
        };
        let first_token_us = Some(micros(self.context.clock.now().since(sent)));
        match read {
            Ok((response, None)) => {
                let end =
                    if response.status >= 500 { SlotResult::Failed } else { SlotResult::Whole };
                guard.finish(SlotReport { end, first_token_us, work: call.work });
                AttemptResult::Response(response)
            }
            Ok((response, Some(stream))) => AttemptResult::Response(PlainResponse {
                remaining: Some(RemainingBody { stream, guard }),
                ..response
            }),
            Err(failure) => {
                let slot = guard.slot.clone();
                let end = failure.end;
                guard.finish(SlotReport { end, first_token_us: None, work: call.prompt });
                AttemptResult::Failed(slot, failure)
            }
        }
    }

    async fn read_plain(
        &self,
        call: &Call,
        guard: &SlotGuard,
    ) -> std::result::Result<(PlainResponse, Option<ResponseStream>), AttemptError> {
        let mut response =
            attempt::send(&self.context, call, &guard.slot, call.body.clone(), 0, None).await?;
        let target = guard.slot.target.as_str();
        let (chunks, ended) = attempt::read_body(&mut response, BUFFER_LIMIT_BYTES)
            .await
            .map_err(|error| AttemptError::from_transport(target, &error))?;
        let body = Bytes::from(chunks.concat());
        if ended && response.status == 200 && is_model_call(call) && !is_json(&body) {
            // Without a content length, a lost connection looks like the end of the body.
            return Err(AttemptError::incomplete(target, "the answer is not complete JSON"));
        }
        let head = PlainResponse {
            outcome: attempt::outcome(&guard.slot, &response),
            status: response.status,
            headers: response.headers,
            body,
            remaining: None,
        };
        Ok((head, (!ended).then(|| response.body.boxed())))
    }
}

fn is_model_call(call: &Call) -> bool {
    matches!(call.path.as_str(), "/v1/chat/completions" | "/v1/completions")
}

fn is_json(body: &[u8]) -> bool {
    serde_json::from_slice::<serde::de::IgnoredAny>(body).is_ok()
}

impl RemainingBody {
    /// Ends the call without reading the rest, and returns the error for an answer that is too
    /// large to be kept.
    pub fn reject(self) -> Error {
        let target = self.guard.slot.target.as_str();
        let failure = AttemptError::too_large(target, BUFFER_LIMIT_BYTES);
        self.guard.finish(SlotReport { end: failure.end, first_token_us: None, work: 1 });
        failure.error
    }

    /// Returns the remaining body as a stream that reports the slot at its end. An error closes the
    /// caller's connection, so that the caller does not take the response for a complete one.
    pub fn into_stream(self) -> impl futures::Stream<Item = std::io::Result<Bytes>> {
        let state = Some((self.stream, self.guard));
        futures::stream::unfold(state, |state| async move {
            let (mut stream, guard) = state?;
            match stream.next().await {
                Some(Ok(bytes)) => Some((Ok(bytes), Some((stream, guard)))),
                Some(Err(error)) => {
                    let report =
                        SlotReport { end: SlotResult::Crashed, first_token_us: None, work: 0 };
                    guard.finish(report);
                    Some((Err(std::io::Error::other(error)), None))
                }
                None => {
                    let report =
                        SlotReport { end: SlotResult::Whole, first_token_us: None, work: 1 };
                    guard.finish(report);
                    None
                }
            }
        })
    }
}
