//! The error type of all crates, with numbered result codes.

use derive_more::Display;
use derive_more::Error as DeriveError;

use crate::Outcome;

/// Result with the system's error type.
pub type Result<T> = std::result::Result<T, Error>;

/// Named values on which a rule decided.
pub type Numbers = Vec<(String, f64)>;

/// An error with its numbered result code. Codes 1000 to 1999 are faults of the request,
/// 2000 to 2999 of credentials, 3000 to 3999 rates, 4000 to 4999 admission, 5000 to 5999 targets,
/// 6000 to 6999 batch, 7000 to 7999 resources and settings, 8000 to 8999 store and peers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Display, DeriveError)]
pub enum Error {
    /// The body is not valid JSON.
    #[display("the request body is not valid JSON: {detail}")]
    BodyNotJson {
        /// Message of the parser, with the position.
        detail: String,
    },
    /// The body is too large.
    #[display("the request body is larger than {limit} bytes")]
    BodyTooLarge {
        /// Maximum size of a body in bytes.
        limit: usize,
    },
    /// A field is missing or has a wrong value.
    #[display("field `{field}`: {detail}")]
    FieldInvalid {
        /// Name of the field.
        field: String,
        /// Description of the fault and of the allowed values.
        detail: String,
    },
    /// No target group serves the model.
    #[display("the model `{model}` does not exist")]
    ModelUnknown {
        /// The model named by the caller.
        model: String,
    },
    /// No route matches.
    #[display("no route matches {path}")]
    RouteUnknown {
        /// Path of the request.
        path: String,
    },
    /// Headers are ambiguous or malformed.
    #[display("the request headers are not accepted: {detail}")]
    HeadersInvalid {
        /// Description of the fault.
        detail: String,
    },
    /// The caller sent too slowly.
    #[display("the request body did not arrive within {seconds} s")]
    BodyTimeout {
        /// Time allowed in seconds.
        seconds: u64,
    },
    /// The body arrived below the smallest rate.
    #[display("the request body arrived at less than {rate} bytes per second")]
    BodyTooSlow {
        /// Smallest rate in bytes per second.
        rate: u64,
    },
    /// The idempotency key was used with a different body.
    #[display("the idempotency key was already used with a different request")]
    IdempotencyMismatch,
    /// A request with the same idempotency key is still running.
    #[display("a request with the same idempotency key is still running")]
    IdempotencyRunning,
    /// The request with the same idempotency key has ended and its response is not kept.
    #[display("a request with the same idempotency key has ended; its answer is not kept")]
    IdempotencyEnded,
    /// An object was not found.
    #[display("{kind} `{id}` does not exist")]
    NotFound {
        /// Kind of object.
        kind: String,
        /// Its identifier.
        id: String,
    },

    /// No key was sent.
    #[display("no API key was sent")]
    KeyMissing,
    /// The key is wrong or withdrawn.
    #[display("the API key is not valid")]
    KeyInvalid,
    /// The operators' credential is missing or wrong.
    #[display("the operator credential is missing or not valid")]
    OperatorDenied,

    /// The account's rate is used up.
    #[display("rate limit of account `{account}` reached")]
    RateExceeded {
        /// The account.
        account: String,
        /// Milliseconds until a request can be accepted.
        retry_ms: u64,
        /// Values on which the rule decided.
        numbers: Numbers,
    },
    /// Too many tokens of the account's unfinished batch items wait on the route.
    #[display("the batch items of account `{account}` that wait have too many tokens")]
    TokensWaiting {
        /// The account.
        account: String,
        /// Milliseconds until the job may fit.
        retry_ms: u64,
        /// Values on which the rule decided.
        numbers: Numbers,
    },
    /// More batch items wait than can run before the job's items are due.
    #[display("the job would end {expected_ms} ms after its submission, later than it is due")]
    JobLate {
        /// Expected milliseconds to the end of its last item.
        expected_ms: u64,
        /// Milliseconds until a job like it would end in time.
        retry_ms: u64,
        /// Values on which the rule decided.
        numbers: Numbers,
    },
    /// The leads that grant the account's rate cannot be reached.
    #[display("the rate of account `{account}` cannot be checked at the moment")]
    RateUnavailable {
        /// The account.
        account: String,
        /// Values on which the rule decided.
        numbers: Numbers,
    },

    /// The queue is full, and this account has the largest backlog.
    #[display("the queue for `{model}` is full")]
    QueueFull {
        /// The model.
        model: String,
        /// Values on which the rule decided.
        numbers: Numbers,
    },
    /// No target became free within the maximum waiting time of the request.
    #[display("no target for `{model}` became free in time")]
    QueueTimeout {
        /// The model.
        model: String,
        /// Values on which the rule decided.
        numbers: Numbers,
    },
    /// No target serves the model at the moment.
    #[display("no target for `{model}` is in service")]
    NoTarget {
        /// The model.
        model: String,
    },
    /// The instance is shutting down.
    #[display("the instance is shutting down")]
    ShuttingDown,
    /// The instance has not read the configuration since its start.
    #[display("the instance is starting and has no configuration yet")]
    Starting,
    /// The caller disconnected or cancelled the request before its end.
    #[display("the request was cancelled before its end")]
    Cancelled,
    /// The request was running at several target crashes.
    #[display("the request was running at {crashes} target crashes and is not run again")]
    PoisonRequest {
        /// Number of crashes.
        crashes: u32,
    },

    /// The memory for requests is used up.
    #[display("the instance has no memory for the request at the moment")]
    MemoryExhausted,
    /// The instance stopped before the response was complete.
    #[display("the instance stopped before the answer was whole")]
    Interrupted,
    /// A part of the prompt crashes targets.
    #[display("part {part} of the prompt crashes targets")]
    PoisonPart {
        /// Key of the part.
        part: String,
        /// Values on which the rule decided.
        numbers: Numbers,
    },

    /// The version of the target software that began the stream is not known.
    #[display("the version that began the stream is not known")]
    StreamVersionUnknown,
    /// No target has the version that began the stream.
    #[display("no target has the version that began the stream")]
    StreamVersionGone,

    /// The target could not be reached and no byte was sent.
    #[display("target `{target}` cannot be reached: {detail}")]
    TargetUnreachable {
        /// The target.
        target: String,
        /// Cause of the failure.
        detail: String,
    },
    /// The target stopped before the response was complete.
    #[display("target `{target}` stopped before the answer was whole: {detail}")]
    TargetLost {
        /// The target.
        target: String,
        /// Cause of the failure.
        detail: String,
    },
    /// The response of the target carries the identifier of another request.
    #[display("target `{target}` answered a different request")]
    AnswerMismatch {
        /// The target.
        target: String,
    },
    /// The target responded with an error status.
    #[display("target `{target}` answered with status {status}")]
    TargetFailed {
        /// The target.
        target: String,
        /// HTTP status of the response.
        status: u16,
    },
    /// The target sent more than an answer may have.
    #[display("target `{target}` sent more than {limit} bytes")]
    AnswerTooLarge {
        /// The target.
        target: String,
        /// Most bytes that are read.
        limit: usize,
    },
    /// The target refused the request and did not run it.
    #[display("target `{target}` refused the request: {reason}")]
    TargetRefused {
        /// The target.
        target: String,
        /// `overloaded`, `cold` or `leaving`.
        reason: String,
    },

    /// A line of a batch file is not valid.
    #[display("line {line} of the batch file: {detail}")]
    BatchLineInvalid {
        /// Number of the line, from 1.
        line: u64,
        /// Description of the fault.
        detail: String,
    },
    /// A batch file has too many items.
    #[display("the batch file has more than {limit} items")]
    BatchTooLarge {
        /// Maximum number of items in one job.
        limit: u64,
    },
    /// The state of the job does not allow the operation.
    #[display("job `{job}` is {state}")]
    JobState {
        /// The job.
        job: String,
        /// Its state.
        state: String,
    },
    /// Too few storage instances can be reached to acknowledge the write.
    #[display("{copies} of {wanted} copies could be stored")]
    BulkUnavailable {
        /// Copies stored.
        copies: u32,
        /// Copies required.
        wanted: u32,
    },
    /// Bulk data fails its checksum on every copy.
    #[display("blob `{blob}` is damaged at offset {offset}")]
    BulkDamaged {
        /// The blob.
        blob: String,
        /// Offset in bytes.
        offset: u64,
    },
    /// An item failed at each attempt.
    #[display("the item failed {attempts} times, last: {reason}")]
    ItemFailed {
        /// Number of attempts.
        attempts: u32,
        /// Reason of the last failure.
        reason: String,
        /// Combined outcome of the attempts.
        outcome: Outcome,
    },
    /// An item may have been run and is not run again.
    #[display("the item may have been run and is not run again: {detail}")]
    ItemUnclear {
        /// Reason why its outcome is unknown.
        detail: String,
    },
    /// The input of an item cannot be read.
    #[display("the input of the item cannot be read: {detail}")]
    ItemLost {
        /// Cause of the failure.
        detail: String,
    },

    /// A resource does not validate.
    #[display("{kind} `{name}`, field `{field}`: {detail}")]
    ResourceInvalid {
        /// Kind of the resource.
        kind: String,
        /// Its name.
        name: String,
        /// The field.
        field: String,
        /// Description of the fault and of the allowed values.
        detail: String,
    },
    /// Another change was accepted first.
    #[display("the change was made against revision {against}; revision {current} by {winner} won")]
    RevisionConflict {
        /// Revision that the change was made against.
        against: u64,
        /// Revision in force.
        current: u64,
        /// Author of the change that was accepted.
        winner: String,
    },
    /// Settings do not validate.
    #[display("{file}:{line}: `{key}`: {detail}")]
    SettingsInvalid {
        /// The file.
        file: String,
        /// Line, from 1.
        line: usize,
        /// The key.
        key: String,
        /// Description of the fault and of the allowed values.
        detail: String,
    },

    /// The store cannot be reached.
    #[display("the configuration store cannot be reached: {detail}")]
    StoreUnavailable {
        /// Cause of the failure.
        detail: String,
    },
    /// A peer cannot be reached.
    #[display("instance `{instance}` cannot be reached: {detail}")]
    PeerUnavailable {
        /// The instance.
        instance: String,
        /// Cause of the failure.
        detail: String,
    },
    /// This instance is not the lead of its failure domain.
    #[display("instance is not the lead of failure domain `{domain}`")]
    NotLead {
        /// The failure domain.
        domain: String,
    },
    /// A fault of the program.
    #[display("internal error: {detail}")]
    Internal {
        /// Cause of the failure.
        detail: String,
    },
}

impl Error {
    /// Returns the numbered result code.
    pub fn code(&self) -> u16 {
        match self {
            Self::BodyNotJson { .. } => 1001,
            Self::BodyTooLarge { .. } => 1002,
            Self::FieldInvalid { .. } => 1003,
            Self::ModelUnknown { .. } => 1004,
            Self::RouteUnknown { .. } => 1005,
            Self::HeadersInvalid { .. } => 1006,
            Self::BodyTimeout { .. } => 1007,
            Self::IdempotencyMismatch => 1008,
            Self::IdempotencyRunning => 1009,
            Self::NotFound { .. } => 1010,
            Self::IdempotencyEnded => 1011,
            Self::BodyTooSlow { .. } => 1012,
            Self::KeyMissing => 2001,
            Self::KeyInvalid => 2002,
            Self::OperatorDenied => 2003,
            Self::RateExceeded { .. } => 3001,
            Self::RateUnavailable { .. } => 3002,
            Self::TokensWaiting { .. } => 3003,
            Self::JobLate { .. } => 3004,
            Self::QueueFull { .. } => 4001,
            Self::QueueTimeout { .. } => 4002,
            Self::NoTarget { .. } => 4003,
            Self::ShuttingDown => 4004,
            Self::PoisonRequest { .. } => 4005,
            Self::Cancelled => 4006,
            Self::Starting => 4007,
            Self::PoisonPart { .. } => 4008,
            Self::Interrupted => 4009,
            Self::MemoryExhausted => 4010,
            Self::StreamVersionUnknown => 4011,
            Self::StreamVersionGone => 4012,
            Self::TargetUnreachable { .. } => 5001,
            Self::TargetLost { .. } => 5002,
            Self::AnswerMismatch { .. } => 5003,
            Self::TargetFailed { .. } => 5004,
            Self::TargetRefused { .. } => 5005,
            Self::AnswerTooLarge { .. } => 5006,
            Self::BatchLineInvalid { .. } => 6001,
            Self::BatchTooLarge { .. } => 6002,
            Self::JobState { .. } => 6003,
            Self::BulkUnavailable { .. } => 6004,
            Self::BulkDamaged { .. } => 6005,
            Self::ItemFailed { .. } => 6006,
            Self::ItemUnclear { .. } => 6007,
            Self::ItemLost { .. } => 6008,
            Self::ResourceInvalid { .. } => 7001,
            Self::RevisionConflict { .. } => 7002,
            Self::SettingsInvalid { .. } => 7003,
            Self::StoreUnavailable { .. } => 8001,
            Self::PeerUnavailable { .. } => 8002,
            Self::NotLead { .. } => 8003,
            Self::Internal { .. } => 9001,
        }
    }

    /// Returns the HTTP status for callers and operators.
    pub fn status(&self) -> u16 {
        match self.code() {
            1002 => 413,
            1004 | 1005 | 1010 => 404,
            1007 | 1012 => 408,
            1008 | 1009 | 1011 | 6003 | 7002 => 409,
            1000..=1999 | 6001 | 6002 | 7001 | 7003 => 400,
            2000..=2999 => 401,
            3001 | 3003 | 3004 | 4001 => 429,
            4005 => 422,
            4006 => 408,
            4009 => 504,
            5002..=5004 | 5006 => 502,
            9001 => 500,
            _ => 503,
        }
    }

    /// Returns what the caller or operator can do.
    pub fn help(&self) -> &'static str {
        match self.code() {
            1001 => "send a JSON object with the header `content-type: application/json`",
            1002 => "send a smaller body, or use a batch job",
            1003 => "correct the field and send the request again",
            1004 => "list the models with GET /v1/models",
            1005 => "check the host and path, or ask the operators for a route",
            1006 => "send one length header and no duplicate of it",
            1007 | 1012 => "send the body without pauses",
            1008 => "use a new Idempotency-Key for a different request",
            1009 => "wait for the first request, or send it again later with the same key",
            1010 => "check the identifier; files and results are removed after their retention",
            1011 => "check whether the first request took effect; use a new key to run it again",
            2001 => "send the header `authorization: Bearer KEY`",
            2002 => "ask the operators for a new key",
            2003 => "send the operators' credential in the header `authorization: Bearer TOKEN`",
            3001 => "wait for the time in Retry-After, or ask the operators for a higher rate",
            3003 => {
                "wait until items of earlier jobs have ended, or ask the operators for a higher limit"
            }
            3004 => "wait for the time in Retry-After: fewer items will be waiting then",
            3002 | 4001..=4004 | 4007 | 4010 | 5001 | 5005 | 8001..=8003 => {
                "send the request again later"
            }
            4005 => "change the request; it makes targets crash",
            4008 => "change the prompt; all prompts with this part make targets crash",
            4011 => {
                "wait for the time in Retry-After if there is one, or request the stream from its start"
            }
            4012 => "request the stream from its start",
            4006 => "send the request again and keep the connection open until its end",
            4009 | 5002 | 5003 => "check whether the request took effect before sending it again",
            5004 => "see the target's own message",
            5006 => "request a shorter answer; if it should be short, the target is faulty",
            6001 => "correct the line and upload the file again",
            6002 => "split the file into several jobs",
            6003 => "see the job's state with GET /v1/batches/ID",
            6004 => "upload again later; nothing was accepted",
            6005 => "report the blob to the operators; every copy is damaged",
            6006 => "see the last reason and correct the item",
            6007 => "check whether the item took effect before running it again",
            6008 => "upload the input file again and submit a new job with these items",
            7001 => "correct the field; nothing of the change was applied",
            7002 => "read the resources again and repeat the change against the new revision",
            7003 => "correct the settings file; see deploy/ for commented examples",
            _ => "report this with the request id to the operators",
        }
    }

    /// Returns the outcome of the request that ended with this error.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::TargetLost { .. }
            | Self::AnswerMismatch { .. }
            | Self::Interrupted
            | Self::Cancelled
            | Self::ItemUnclear { .. }
            | Self::Internal { .. } => Outcome::Unknown,
            Self::ItemFailed { outcome, .. } => *outcome,
            Self::TargetFailed { .. } | Self::AnswerTooLarge { .. } => Outcome::Run,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the named values on which the rule decided.
    pub fn numbers(&self) -> Numbers {
        match self {
            Self::RateExceeded { numbers, .. }
            | Self::RateUnavailable { numbers, .. }
            | Self::TokensWaiting { numbers, .. }
            | Self::JobLate { numbers, .. }
            | Self::QueueFull { numbers, .. }
            | Self::PoisonPart { numbers, .. }
            | Self::QueueTimeout { numbers, .. } => numbers.clone(),
            _ => Vec::new(),
        }
    }

    /// Returns the milliseconds after which a repeated request can succeed, where that is known.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::RateExceeded { retry_ms, .. }
            | Self::TokensWaiting { retry_ms, .. }
            | Self::JobLate { retry_ms, .. } => Some(*retry_ms),
            _ => None,
        }
    }

    /// Returns the rule name for decision records, such as `rate` or `queue`.
    pub fn rule(&self) -> &'static str {
        match self.code() / 1000 {
            1 => "request",
            2 => "credentials",
            3 => "rate",
            4 => "admission",
            5 => "target",
            6 => "batch",
            7 => "resource",
            8 => "platform",
            _ => "internal",
        }
    }
}
