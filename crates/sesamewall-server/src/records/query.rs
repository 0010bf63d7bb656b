//! Queries for decision records.

use sesamewall_protocol::AccountName;
use sesamewall_protocol::Decision;
use sesamewall_protocol::DecisionRecord;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::peer::RecordMessage;

/// Most records in one result.
pub(super) const ANSWER_LIMIT: usize = 2_000;

/// A query for decision records.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordQuery {
    /// Refusals, the latest `limit` of them.
    Refusals {
        /// The account; `None` selects all accounts.
        account: Option<AccountName>,
        /// Earliest wall time in milliseconds since the Unix epoch.
        since_ms: u64,
        /// Most records in the result.
        limit: u32,
    },
    /// All records of one request or item.
    Path {
        /// The request.
        request: RequestId,
    },
}

impl RecordQuery {
    /// Returns the query in a message, or `None` for other messages.
    pub fn from_message(message: &RecordMessage) -> Option<Self> {
        match message {
            RecordMessage::Refusals { account, since_ms, limit } => Some(Self::Refusals {
                account: account.clone(),
                since_ms: *since_ms,
                limit: *limit,
            }),
            RecordMessage::Path { request } => Some(Self::Path { request: request.clone() }),
            _ => None,
        }
    }

    /// Returns the message that carries this query.
    pub fn to_message(&self) -> RecordMessage {
        match self.clone() {
            Self::Refusals { account, since_ms, limit } => {
                RecordMessage::Refusals { account, since_ms, limit }
            }
            Self::Path { request } => RecordMessage::Path { request },
        }
    }

    /// Returns whether a record belongs to the result.
    pub fn matches(&self, record: &DecisionRecord) -> bool {
        match self {
            Self::Refusals { account, since_ms, .. } => {
                matches!(record.decision, Decision::Refused { .. })
                    && record.at_ms >= *since_ms
                    && (account.is_none() || record.account == *account)
            }
            Self::Path { request } => record.request == *request,
        }
    }

    /// Returns the largest number of records in the result.
    pub fn limit(&self) -> usize {
        match self {
            Self::Refusals { limit, .. } => ANSWER_LIMIT.min(*limit as usize),
            Self::Path { .. } => ANSWER_LIMIT,
        }
    }

    /// Sorts records by time, removes duplicates and keeps the latest ones up to the limit.
    pub fn merge(&self, mut records: Vec<DecisionRecord>) -> Vec<DecisionRecord> {
        records.sort_by(|a, b| key(a).cmp(&key(b)));
        records.dedup();
        let excess = records.len().saturating_sub(self.limit());
        records.drain(..excess);
        records
    }
}

fn key(record: &DecisionRecord) -> (u64, &str, u64, &str) {
    (record.at_ms, record.instance.as_str(), record.sequence, record.request.as_str())
}
