//! Messages about idempotency keys of online requests.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::AccountName;
use crate::InstanceName;
use crate::RequestId;

/// A message between an instance and the lead that owns an idempotency key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum IdempotencyMessage {
    /// Claims a key before its request runs. The reply is `Claimed`.
    Claim(KeyClaim),
    /// Returns the decision on a claim.
    Claimed(KeyDecision),
    /// Reports the result of a request that claimed a key. The reply is `Ack`.
    Finish {
        /// The client account.
        account: AccountName,
        /// The key.
        key: String,
        /// The request that claimed the key.
        request: RequestId,
        /// Result of the request.
        end: KeyResult,
    },
    /// Acknowledges a `Finish`.
    Ack,
}

/// Claims an idempotency key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct KeyClaim {
    /// The client account.
    pub account: AccountName,
    /// The key.
    pub key: String,
    /// SHA-256 of method, path and body, in hex.
    pub digest: String,
    /// The request.
    pub request: RequestId,
    /// The instance that runs the request.
    pub instance: InstanceName,
    /// The request may run again after an unknown outcome.
    pub idempotent: bool,
}

/// Decision on a claim.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum KeyDecision {
    /// The request has claimed the key and may run.
    Run,
    /// Another request with the key is still running.
    Running,
    /// The key was used with another request.
    Mismatch,
    /// The request with the key has ended; its response is not kept.
    Ended,
    /// Response to the first request with the key.
    Answer(StoredResponse),
    /// The owner has reached its limit of keys.
    Full,
    /// The receiver of the claim is not the lead.
    NotOwner,
}

/// Result of a request that claimed a key.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum KeyResult {
    /// The request was not run, or may be repeated; the key can be claimed again.
    Released,
    /// The request ended, or its outcome is unknown, and there is no response to keep.
    Ended,
    /// The request got a response, which is kept.
    Answer(StoredResponse),
}

/// A response that is returned again when the request is resent.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that are sent to callers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}
