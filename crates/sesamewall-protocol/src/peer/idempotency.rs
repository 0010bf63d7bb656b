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
    /// Claims a key before its request runs; answered by `Claimed`.
    Claim(KeyClaim),
    /// Tells the decision about a claim.
    Claimed(KeyDecision),
    /// Reports the end of a request that held a key; answered by `Ack`.
    Finish {
        /// The client account.
        account: AccountName,
        /// The key.
        key: String,
        /// The request that claimed the key.
        request: RequestId,
        /// How it ended.
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
    /// The request may run again after an unclear end.
    pub idempotent: bool,
}

/// The decision about a claim.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum KeyDecision {
    /// The request holds the key and may run.
    Run,
    /// Another request with the key is still running.
    Running,
    /// The key was used with another request.
    Mismatch,
    /// The request with the key has ended; its answer is not kept.
    Ended,
    /// The first request's answer.
    Answer(StoredResponse),
    /// The owner keeps as many keys as it can.
    Full,
    /// The asked instance is not lead.
    NotOwner,
}

/// How a request that held a key ended.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum KeyResult {
    /// It was not run, or may be repeated; the key is free again.
    Released,
    /// It ended, or its outcome is unknown, and there is no answer to keep.
    Ended,
    /// It was answered.
    Answer(StoredResponse),
}

/// An answer that is given again to a resent request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that callers see.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}
