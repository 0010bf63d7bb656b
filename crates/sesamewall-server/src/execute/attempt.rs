//! One attempt of a call on one target.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use sesamewall_ports::TargetAnswer;
use sesamewall_ports::TargetError;
use sesamewall_ports::TargetRequest;
use sesamewall_protocol::Error;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotEnd;

use super::Call;
use super::forward;
use crate::InstanceContext;

/// A target that has not sent the head of its answer within this time counts as lost.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);
const ERROR_BODY_LIMIT_BYTES: usize = 64 << 10;

/// Why an attempt ended without a complete answer.
#[derive(Debug)]
pub struct Failure {
    /// What the caller is told if no other attempt succeeds.
    pub error: Error,
    /// What the lead is told.
    pub end: SlotEnd,
    /// The target did not run the request, so that even a call that must not be repeated may be
    /// sent again.
    pub not_run: bool,
}

impl Failure {
    /// Returns the failure for an error of the transport.
    pub fn from_transport(target: &str, error: &TargetError) -> Self {
        let target = target.to_owned();
        match error {
            TargetError::NotSent { detail } => Self {
                error: Error::TargetUnreachable { target, detail: detail.clone() },
                end: SlotEnd::Unreachable,
                not_run: true,
            },
            TargetError::Lost { detail } => Self {
                error: Error::TargetLost { target, detail: detail.clone() },
                end: SlotEnd::Crashed,
                not_run: false,
            },
            TargetError::Mismatch => Self {
                error: Error::AnswerMismatch { target },
                end: SlotEnd::Failed,
                not_run: false,
            },
        }
    }

    /// Returns the failure for an answer that ended in order but is not complete.
    pub fn incomplete(target: &str, detail: &str) -> Self {
        let detail = detail.to_owned();
        Self {
            error: Error::TargetLost { target: target.to_owned(), detail },
            end: SlotEnd::Failed,
            not_run: false,
        }
    }
}

/// Sends the call to the slot's target and returns the head of the answer. Answers by which the
/// target refuses the request are failures.
pub async fn send(
    context: &InstanceContext,
    call: &Call,
    slot: &Slot,
    body: Bytes,
    resume_from: u64,
) -> Result<TargetAnswer, Failure> {
    let target = slot.target.as_str();
    let request = TargetRequest {
        address: slot.address.clone(),
        method: call.method.clone(),
        path: call.path.clone(),
        headers: headers(call, slot),
        body,
        attempt: format!("{}-{}-{}", call.request, slot.epoch, slot.slot),
        class: call.class,
        resume_from,
    };
    let sent = tokio::time::timeout(HEAD_TIMEOUT, context.target.send(request)).await;
    let answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return Err(Failure::from_transport(target, &error)),
        Err(_) => {
            let detail = format!("no answer within {} s", HEAD_TIMEOUT.as_secs());
            let lost = Error::TargetLost { target: target.to_owned(), detail };
            return Err(Failure { error: lost, end: SlotEnd::Failed, not_run: false });
        }
    };
    if slot.is_forward() {
        return read_forwarded(call, target, answer).await;
    }
    match refusal(&answer) {
        Some((reason, end)) => {
            let error =
                Error::TargetRefused { target: target.to_owned(), reason: reason.to_owned() };
            Err(Failure { error, end, not_run: true })
        }
        None => Ok(answer),
    }
}

/// Turns the failures that an instance of another failure domain reports into failures here. Its
/// refusals that cannot succeed elsewhere are passed on as they are.
async fn read_forwarded(
    call: &Call,
    target: &str,
    mut answer: TargetAnswer,
) -> Result<TargetAnswer, Failure> {
    let target = target.to_owned();
    let (busy, outcome) = (matches!(answer.status, 429 | 503), reported_outcome(&answer));
    if outcome == Outcome::Run || (outcome == Outcome::NotRun && !busy) {
        return Ok(answer);
    }
    let queued = queued(&answer);
    let body = error_body(&mut answer).await;
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let message = body["error"]["message"].as_str().unwrap_or("no reason given").to_owned();
    let (error, not_run) = match outcome {
        Outcome::NotRun => match queued {
            Some(tokens) => {
                let numbers = vec![("queue_tokens".to_owned(), tokens)];
                (Error::QueueTimeout { model: call.model.to_string(), numbers }, true)
            }
            None => (Error::TargetRefused { target, reason: message }, true),
        },
        _ => (Error::TargetLost { target, detail: message }, false),
    };
    Err(Failure { error, end: SlotEnd::Failed, not_run })
}

/// Returns what an answer says about the execution. Only instances may say it; a target's own
/// answer means that it ran the request.
pub fn outcome(slot: &Slot, answer: &TargetAnswer) -> Outcome {
    match slot.is_forward() {
        true => reported_outcome(answer),
        false => Outcome::Run,
    }
}

fn reported_outcome(answer: &TargetAnswer) -> Outcome {
    let header = answer.headers.iter().find(|(name, _)| name == forward::OUTCOME);
    match header.map(|(_, outcome)| outcome.as_str()) {
        Some("not-run") => Outcome::NotRun,
        Some("run") => Outcome::Run,
        _ => Outcome::Unknown,
    }
}

/// Returns the headers for the target. A request that goes to an instance of another failure domain
/// carries what was decided here.
fn headers(call: &Call, slot: &Slot) -> Vec<(String, String)> {
    let mut headers = call.headers.clone();
    if !slot.is_forward() {
        return headers;
    }
    headers.push((forward::REQUEST.to_owned(), call.request.to_string()));
    headers.push((forward::CLASS.to_owned(), call.class_label().to_owned()));
    headers.push((forward::GROUP.to_owned(), call.model.to_string()));
    if slot.slot == forward::OFFER_SLOT {
        headers.push((forward::NO_WAIT.to_owned(), "1".to_owned()));
    }
    let account = call.account.as_ref();
    headers.extend(account.map(|account| (forward::ACCOUNT.to_owned(), account.to_string())));
    headers
}

/// Reads whether the target says that it did not run the request.
fn refusal(answer: &TargetAnswer) -> Option<(&'static str, SlotEnd)> {
    let header = answer.headers.iter().find(|(name, _)| name == "x-refused");
    match (answer.status, header.map(|(_, reason)| reason.as_str())) {
        (_, Some("leaving")) => Some(("leaving", SlotEnd::Leaving)),
        (_, Some("cold")) => Some(("cold", SlotEnd::Cold)),
        (_, Some("overloaded")) | (429, _) => Some(("overloaded", SlotEnd::Overloaded)),
        _ => None,
    }
}

/// Reads the work that is queued in the failure domain that refused the request.
fn queued(answer: &TargetAnswer) -> Option<f64> {
    let (_, value) = answer.headers.iter().find(|(name, _)| name == forward::QUEUED)?;
    value.parse().ok()
}

/// Reads a whole body of at most `limit` bytes. The second part tells whether the body ended.
pub async fn collect(
    answer: &mut TargetAnswer,
    limit: usize,
) -> Result<(Vec<Bytes>, bool), TargetError> {
    let mut pieces = Vec::new();
    let mut length = 0;
    while let Some(piece) = answer.body.next().await {
        let piece = piece?;
        length += piece.len();
        pieces.push(piece);
        if length > limit {
            return Ok((pieces, false));
        }
    }
    Ok((pieces, true))
}

/// Reads the body of an error answer as far as it is useful for a message.
pub async fn error_body(answer: &mut TargetAnswer) -> Bytes {
    match collect(answer, ERROR_BODY_LIMIT_BYTES).await {
        Ok((pieces, _)) => Bytes::from(pieces.concat()),
        Err(_) => Bytes::new(),
    }
}
