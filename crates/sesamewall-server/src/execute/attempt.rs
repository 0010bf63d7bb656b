//! Sends one attempt of a call to one target and classifies its failures.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::header::CONTENT_TYPE;
use sesamewall_adapters::http_client::EVENT_STREAM;
use sesamewall_ports::TargetError;
use sesamewall_ports::TargetRequest;
use sesamewall_ports::TargetResponse;
use sesamewall_protocol::Error;
use sesamewall_protocol::Outcome;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotResult;

use super::Call;
use super::forward;
use crate::InstanceContext;

/// Time limit for the response head of a target; beyond it the target counts as lost.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);
const ERROR_BODY_LIMIT_BYTES: usize = 64 << 10;

/// Error of an attempt that ended without a complete response.
#[derive(Debug)]
pub struct AttemptError {
    /// Error returned to the caller if no other attempt succeeds.
    pub error: Error,
    /// Result that is reported to the lead with the slot.
    pub end: SlotResult,
    /// True if the target did not run the request. Such a call may be sent again even if it is not
    /// idempotent.
    pub not_run: bool,
}

impl AttemptError {
    /// Maps a transport error to an attempt error.
    pub fn from_transport(target: &str, error: &TargetError) -> Self {
        let target = target.to_owned();
        match error {
            TargetError::NotSent { detail } => Self {
                error: Error::TargetUnreachable { target, detail: detail.clone() },
                end: SlotResult::Unreachable,
                not_run: true,
            },
            TargetError::Lost { detail } => Self {
                error: Error::TargetLost { target, detail: detail.clone() },
                end: SlotResult::Crashed,
                not_run: false,
            },
            TargetError::Invalid { detail } => Self::incomplete(&target, detail),
            TargetError::Mismatch => Self {
                error: Error::AnswerMismatch { target },
                end: SlotResult::Failed,
                not_run: false,
            },
        }
    }

    /// Returns the error for a response of which more than `limit` bytes were read.
    pub fn too_large(target: &str, limit: usize) -> Self {
        let error = Error::AnswerTooLarge { target: target.to_owned(), limit };
        Self { error, end: SlotResult::Failed, not_run: false }
    }

    /// Returns the error for a response that ended without a transport error but is incomplete.
    pub fn incomplete(target: &str, detail: &str) -> Self {
        let detail = detail.to_owned();
        Self {
            error: Error::TargetLost { target: target.to_owned(), detail },
            end: SlotResult::Failed,
            not_run: false,
        }
    }
}

/// Sends the call to the slot's target and returns the response head. Responses by which the target
/// refuses the request are returned as errors. `version` is that of the targets that have begun the
/// response.
pub async fn send(
    context: &InstanceContext,
    call: &Call,
    slot: &Slot,
    body: Bytes,
    resume_from: u64,
    version: Option<&str>,
) -> Result<TargetResponse, AttemptError> {
    let target = slot.target.as_str();
    let request = TargetRequest {
        address: slot.address.clone(),
        method: call.method.clone(),
        path: call.path.clone(),
        headers: target_headers(call, slot, version),
        body,
        attempt: format!("{}-{}-{}", call.request, slot.epoch, slot.slot),
        class: call.class,
        resume_from,
    };
    let sent = tokio::time::timeout(HEAD_TIMEOUT, context.target.send(request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(AttemptError::from_transport(target, &error)),
        Err(_) => {
            let detail = format!("no answer within {} s", HEAD_TIMEOUT.as_secs());
            let lost = Error::TargetLost { target: target.to_owned(), detail };
            return Err(AttemptError { error: lost, end: SlotResult::Failed, not_run: false });
        }
    };
    if slot.is_forward() {
        return check_forwarded(call, target, response).await;
    }
    match refusal_reason(&response) {
        Some((reason, end)) => {
            let error =
                Error::TargetRefused { target: target.to_owned(), reason: reason.to_owned() };
            Err(AttemptError { error, end, not_run: true })
        }
        None => Ok(response),
    }
}

/// Maps failures reported by an instance of another failure domain to attempt errors. A refusal
/// that every other instance would repeat is returned to the caller unchanged.
async fn check_forwarded(
    call: &Call,
    target: &str,
    mut response: TargetResponse,
) -> Result<TargetResponse, AttemptError> {
    let target = target.to_owned();
    let (busy, outcome) = (matches!(response.status, 429 | 503), reported_outcome(&response));
    if outcome == Outcome::Run || (outcome == Outcome::NotRun && !busy) {
        return Ok(response);
    }
    let queued = queued_tokens(&response);
    let body = read_error_body(&mut response).await;
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
    Err(AttemptError { error, end: SlotResult::Failed, not_run })
}

/// Returns the outcome that a response reports. The header is read only in responses of
/// instances; a response of a target always means that the target ran the request.
pub fn outcome(slot: &Slot, response: &TargetResponse) -> Outcome {
    match slot.is_forward() {
        true => reported_outcome(response),
        false => Outcome::Run,
    }
}

fn reported_outcome(response: &TargetResponse) -> Outcome {
    let header = response.headers.iter().find(|(name, _)| name == forward::OUTCOME);
    match header.map(|(_, outcome)| outcome.as_str()) {
        Some("not-run") => Outcome::NotRun,
        Some("run") => Outcome::Run,
        _ => Outcome::Unknown,
    }
}

/// Returns the headers for the target. A request forwarded to an instance of another failure domain
/// also carries the decisions already made here, such as its account and class.
fn target_headers(call: &Call, slot: &Slot, version: Option<&str>) -> Vec<(String, String)> {
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
    let version = version.filter(|version| !version.is_empty());
    headers.extend(version.map(|version| (forward::VERSION.to_owned(), version.to_owned())));
    let account = call.account.as_ref();
    headers.extend(account.map(|account| (forward::ACCOUNT.to_owned(), account.to_string())));
    headers
}

/// Returns the reason and the slot result if the target reports that it did not run the request.
fn refusal_reason(response: &TargetResponse) -> Option<(&'static str, SlotResult)> {
    let header = response.headers.iter().find(|(name, _)| name == "x-refused");
    match (response.status, header.map(|(_, reason)| reason.as_str())) {
        (_, Some("leaving")) => Some(("leaving", SlotResult::Leaving)),
        (_, Some("cold")) => Some(("cold", SlotResult::Cold)),
        (_, Some("overloaded")) | (429, _) => Some(("overloaded", SlotResult::Overloaded)),
        _ => None,
    }
}

/// Returns whether the body of a response is a stream of events.
pub fn is_event_stream(response: &TargetResponse) -> bool {
    let content_type = response.headers.iter().find(|(name, _)| name == CONTENT_TYPE.as_str());
    response.status == 200
        && content_type.is_some_and(|(_, kind)| kind.trim_start().starts_with(EVENT_STREAM))
}

/// Returns the version of the targets that an instance of another failure domain has used, empty if
/// it names none.
pub fn forwarded_version(response: &TargetResponse) -> String {
    let header = response.headers.iter().find(|(name, _)| name == forward::VERSION);
    header.map(|(_, version)| version.clone()).unwrap_or_default()
}

/// Returns the work in tokens that is queued in the failure domain that refused the request.
fn queued_tokens(response: &TargetResponse) -> Option<f64> {
    let (_, value) = response.headers.iter().find(|(name, _)| name == forward::QUEUED)?;
    value.parse().ok()
}

/// Reads the body until it ends or exceeds `limit` bytes. Returns the chunks and whether the body
/// ended.
pub async fn read_body(
    response: &mut TargetResponse,
    limit: usize,
) -> Result<(Vec<Bytes>, bool), TargetError> {
    let mut chunks = Vec::new();
    let mut length = 0;
    while let Some(chunk) = response.body.next().await {
        let chunk = chunk?;
        length += chunk.len();
        chunks.push(chunk);
        if length > limit {
            return Ok((chunks, false));
        }
    }
    Ok((chunks, true))
}

/// Reads the body of an error response up to the length that is useful for a message. Returns an
/// empty body if reading fails.
pub async fn read_error_body(response: &mut TargetResponse) -> Bytes {
    match read_body(response, ERROR_BODY_LIMIT_BYTES).await {
        Ok((chunks, _)) => Bytes::from(chunks.concat()),
        Err(_) => Bytes::new(),
    }
}
