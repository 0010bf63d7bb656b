//! Lists every error once, for the generated table of result codes.

use crate::Error;

impl Error {
    /// Returns the name of the error, for example `RateExceeded`.
    pub fn name(&self) -> String {
        let text = format!("{self:?}");
        text.split([' ', '{']).next().unwrap_or_default().to_owned()
    }

    /// Returns one sample of every error, in the order of [`Error::code`]. Text fields contain the
    /// name of the field in angle brackets.
    pub fn all() -> Vec<Self> {
        let text = |name: &str| format!("<{name}>");
        vec![
            Self::BodyNotJson { detail: text("detail") },
            Self::BodyTooLarge { limit: 0 },
            Self::FieldInvalid { field: text("field"), detail: text("detail") },
            Self::ModelUnknown { model: text("model") },
            Self::RouteUnknown { path: text("path") },
            Self::HeadersInvalid { detail: text("detail") },
            Self::BodyTimeout { seconds: 0 },
            Self::IdempotencyMismatch,
            Self::IdempotencyRunning,
            Self::NotFound { kind: text("kind"), id: text("id") },
            Self::IdempotencyEnded,
            Self::BodyTooSlow { rate: 0 },
            Self::KeyMissing,
            Self::KeyInvalid,
            Self::OperatorDenied,
            Self::RateExceeded { account: text("account"), retry_ms: 0, numbers: Vec::new() },
            Self::RateUnavailable { account: text("account"), numbers: Vec::new() },
            Self::TokensWaiting { account: text("account"), retry_ms: 0, numbers: Vec::new() },
            Self::JobLate { expected_ms: 0, retry_ms: 0, numbers: Vec::new() },
            Self::QueueFull { model: text("model"), numbers: Vec::new() },
            Self::QueueTimeout { model: text("model"), numbers: Vec::new() },
            Self::NoTarget { model: text("model") },
            Self::ShuttingDown,
            Self::PoisonRequest { crashes: 0 },
            Self::Cancelled,
            Self::Starting,
            Self::PoisonPart { part: text("part"), numbers: Vec::new() },
            Self::Interrupted,
            Self::MemoryExhausted,
            Self::StreamVersionUnknown,
            Self::StreamVersionGone,
            Self::TargetUnreachable { target: text("target"), detail: text("detail") },
            Self::TargetLost { target: text("target"), detail: text("detail") },
            Self::AnswerMismatch { target: text("target") },
            Self::TargetFailed { target: text("target"), status: 0 },
            Self::TargetRefused { target: text("target"), reason: text("reason") },
            Self::AnswerTooLarge { target: text("target"), limit: 0 },
            Self::BatchLineInvalid { line: 0, detail: text("detail") },
            Self::BatchTooLarge { limit: 0 },
            Self::JobState { job: text("job"), state: text("state") },
            Self::BulkUnavailable { copies: 0, wanted: 0 },
            Self::BulkDamaged { blob: text("blob"), offset: 0 },
            Self::ItemFailed {
                attempts: 0,
                reason: text("reason"),
                outcome: crate::Outcome::Unknown,
            },
            Self::ItemUnclear { detail: text("detail") },
            Self::ItemLost { detail: text("detail") },
            Self::ResourceInvalid {
                kind: text("kind"),
                name: text("name"),
                field: text("field"),
                detail: text("detail"),
            },
            Self::RevisionConflict { against: 0, current: 0, winner: text("winner") },
            Self::SettingsInvalid {
                file: text("file"),
                line: 0,
                key: text("key"),
                detail: text("detail"),
            },
            Self::StoreUnavailable { detail: text("detail") },
            Self::PeerUnavailable { instance: text("instance"), detail: text("detail") },
            Self::NotLead { domain: text("domain") },
            Self::Internal { detail: text("detail") },
        ]
    }
}
