//! Headers with which an instance forwards a request to another failure domain. Callers cannot set
//! them, and targets never see them.

/// Identifier of the request.
pub const REQUEST: &str = "x-sesamewall-request";
/// Client account whose key and rate were checked.
pub const ACCOUNT: &str = "x-sesamewall-account";
/// Service class.
pub const CLASS: &str = "x-sesamewall-class";
/// Model or target group.
pub const GROUP: &str = "x-sesamewall-group";
/// The request is refused unless a target is free, since its sender tries elsewhere.
pub const NO_WAIT: &str = "x-sesamewall-no-wait";
/// Work in tokens that waits in the queue of a refused request.
pub const QUEUED: &str = "x-sesamewall-queued";
/// Tokens that the caller has from earlier attempts.
pub const RESUME_FROM: &str = "x-resume-from";
/// What is known about the execution, on every answer.
pub const OUTCOME: &str = "x-sesamewall-outcome";

/// Slot number of a request that is offered to another failure domain and may not wait there.
/// Forwarded requests have no slot of this failure domain, which epoch 0 shows.
pub const OFFER_SLOT: u64 = 1;
