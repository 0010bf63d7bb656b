//! Headers of requests that an instance forwards to another failure domain, and of their responses.
//! Callers cannot set them, and targets receive none of them but `x-resume-from`.

/// Identifier of the request.
pub const REQUEST: &str = "x-sesamewall-request";
/// Client account; the forwarding instance has checked its key and rate.
pub const ACCOUNT: &str = "x-sesamewall-account";
/// Service class.
pub const CLASS: &str = "x-sesamewall-class";
/// Model or target group.
pub const GROUP: &str = "x-sesamewall-group";
/// Set if the request is to be refused unless a target is free, because the sender then tries
/// elsewhere.
pub const NO_WAIT: &str = "x-sesamewall-no-wait";
/// Work in tokens in the queue of the failure domain that refused the request.
pub const QUEUED: &str = "x-sesamewall-queued";
/// Number of tokens that the caller already received from earlier attempts.
pub const RESUME_FROM: &str = "x-resume-from";
/// Version of the targets that produced these tokens, and on a response of the one that began it.
pub const VERSION: &str = "x-sesamewall-version";
/// Outcome of the request, on every response.
pub const OUTCOME: &str = "x-sesamewall-outcome";

/// Slot number of a request that is offered to another failure domain and must not wait there.
/// Forwarded requests have no slot in the local failure domain, which epoch 0 marks.
pub const OFFER_SLOT: u64 = 1;
