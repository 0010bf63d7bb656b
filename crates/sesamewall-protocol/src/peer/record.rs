//! Messages that carry decision records.

use serde::Deserialize;
use serde::Serialize;

use crate::AccountName;
use crate::DecisionRecord;
use crate::RequestId;

/// A message to a keeper of decision records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RecordMessage {
    /// Stores records.
    Put {
        /// The records.
        records: Vec<DecisionRecord>,
    },
    /// Asks for refusals of an account since a wall time in milliseconds.
    Refusals {
        /// The account, or all accounts.
        account: Option<AccountName>,
        /// Milliseconds since the Unix epoch.
        since_ms: u64,
        /// Most records in the answer.
        limit: u32,
    },
    /// Asks for the path of one request or item.
    Path {
        /// The request.
        request: RequestId,
    },
    /// Carries records found.
    Found {
        /// The records.
        records: Vec<DecisionRecord>,
    },
}
