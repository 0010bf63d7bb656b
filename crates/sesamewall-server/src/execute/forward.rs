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
/// Tokens that the caller has from earlier attempts.
pub const RESUME_FROM: &str = "x-resume-from";
/// What is known about the execution, on every answer.
pub const OUTCOME: &str = "x-sesamewall-outcome";
