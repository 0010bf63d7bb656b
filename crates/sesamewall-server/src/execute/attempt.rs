//! One attempt of a call on one target.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use sesamewall_ports::TargetAnswer;
use sesamewall_ports::TargetError;
use sesamewall_ports::TargetRequest;
use sesamewall_protocol::Error;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotEnd;

use super::Call;
use super::forward;
use crate::Node;

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

    /// Returns the failure for a stream that ended in order but without its end marker.
    pub fn incomplete(target: &str) -> Self {
        let detail = "the stream ended without its end marker".to_owned();
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
    node: &Node,
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
    let sent = tokio::time::timeout(HEAD_TIMEOUT, node.target.send(request)).await;
    let answer = match sent {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return Err(Failure::from_transport(target, &error)),
        Err(_) => {
            let detail = format!("no answer within {} s", HEAD_TIMEOUT.as_secs());
            let lost = Error::TargetLost { target: target.to_owned(), detail };
            return Err(Failure { error: lost, end: SlotEnd::Failed, not_run: false });
        }
    };
    if let Some((reason, end)) = refusal(&answer, slot) {
        let error = Error::TargetRefused { target: target.to_owned(), reason: reason.to_owned() };
        return Err(Failure { error, end, not_run: true });
    }
    if forwarded_outcome(&answer, slot) == Some("unknown") {
        let detail = format!("it answered status {} with outcome unknown", answer.status);
        let lost = Error::TargetLost { target: target.to_owned(), detail };
        return Err(Failure { error: lost, end: SlotEnd::Failed, not_run: false });
    }
    Ok(answer)
}

/// Returns the headers for the target. A request that goes to an instance of another failure domain
/// carries what was decided here.
fn headers(call: &Call, slot: &Slot) -> Vec<(String, String)> {
    let mut headers = call.headers.clone();
    if slot.epoch > 0 {
        return headers;
    }
    headers.push((forward::REQUEST.to_owned(), call.request.to_string()));
    headers.push((forward::CLASS.to_owned(), call.class_label().to_owned()));
    headers.push((forward::GROUP.to_owned(), call.model.to_string()));
    let account = call.account.as_ref();
    headers.extend(account.map(|account| (forward::ACCOUNT.to_owned(), account.to_string())));
    headers
}

/// Reads whether the target says that it did not run the request.
fn refusal(answer: &TargetAnswer, slot: &Slot) -> Option<(&'static str, SlotEnd)> {
    let header = answer.headers.iter().find(|(name, _)| name == "x-refused");
    match (answer.status, header.map(|(_, reason)| reason.as_str())) {
        (_, Some("leaving")) => Some(("leaving", SlotEnd::Leaving)),
        (_, Some("cold")) => Some(("cold", SlotEnd::Cold)),
        (_, Some("overloaded")) | (429, _) => Some(("overloaded", SlotEnd::Overloaded)),
        (429.., _) if forwarded_outcome(answer, slot) == Some("not-run") => {
            Some(("not run", SlotEnd::Failed))
        }
        _ => None,
    }
}

/// Returns what an instance of another failure domain says about the execution. A target cannot
/// say it, since its slot has the epoch of a lead.
fn forwarded_outcome<'a>(answer: &'a TargetAnswer, slot: &Slot) -> Option<&'a str> {
    let outcome = answer.headers.iter().find(|(name, _)| name == forward::OUTCOME);
    outcome.filter(|_| slot.epoch == 0).map(|(_, outcome)| outcome.as_str())
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
