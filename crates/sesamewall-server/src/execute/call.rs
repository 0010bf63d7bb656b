//! An accepted request that is to be sent to targets, and the events of its response.

use std::sync::Arc;

use bytes::Bytes;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Class;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::RequestId;
use tokio_util::sync::CancellationToken;

use crate::ItemTrace;

/// One accepted request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier of the request.
    pub request: RequestId,
    /// The client account; `None` on a route that needs no key.
    pub account: Option<AccountName>,
    /// Service class.
    pub class: Class,
    /// The model, or the target group of a plain route.
    pub model: ModelName,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers without credentials and hop-by-hop fields.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// SHA-256 of the body, in hex.
    pub digest: String,
    /// Prompt tokens, estimated from the body's length.
    pub prompt: u64,
    /// Expected number of prompt and output tokens.
    pub work: u64,
    /// Hashes of the prompt's prefix blocks, longest prefix last.
    pub prefix: Vec<u64>,
    /// The call may be repeated after an unknown outcome.
    pub idempotent: bool,
    /// The request came from another failure domain and is not sent to a third one.
    pub forwarded: bool,
    /// The request is refused unless a target is free.
    pub no_wait: bool,
    /// Number of tokens that the caller already received from attempts of another instance.
    pub resume_from: u64,
    /// Version of the targets that produced these tokens.
    pub resume_version: String,
    /// The batch item is past its latest start time.
    pub urgent: bool,
    /// Collects the decisions about a batch item in place of the recorder.
    pub trace: Option<Arc<ItemTrace>>,
    /// Cancels the request.
    pub cancel: CancellationToken,
}

/// One complete server-sent event of a response, including its terminating empty line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's bytes.
    pub bytes: Bytes,
    /// True for the end marker.
    pub last: bool,
}

impl Call {
    /// Returns the label of the service class in metrics.
    pub fn class_label(&self) -> &'static str {
        match self.class {
            Class::Online => "online",
            Class::Batch => "batch",
        }
    }

    /// Returns whether the call requests a slot again after its wait has timed out.
    pub fn can_wait_again(&self) -> bool {
        self.class == Class::Batch && !self.cancel.is_cancelled()
    }
}
