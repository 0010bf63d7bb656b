//! Messages that carry decision records, and operators' questions to one instance.

use serde::Deserialize;
use serde::Serialize;

use crate::AccountName;
use crate::DecisionRecord;
use crate::RequestId;
use crate::Revision;

/// A message to an instance that keeps decision records.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RecordMessage {
    /// Stores records.
    Put {
        /// The records.
        records: Vec<DecisionRecord>,
    },
    /// Acknowledges records that survive the loss of the storing process.
    Stored {
        /// Number of records stored.
        count: u32,
    },
    /// Asks for refusals of an account since a wall time in milliseconds.
    Refusals {
        /// The account, or all accounts.
        account: Option<AccountName>,
        /// Milliseconds since the Unix epoch.
        since_ms: u64,
        /// Most records in the answer; the latest are kept.
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

/// An operator's question to one instance, passed on by another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum OperatorMessage {
    /// Asks for the revision in force.
    AskRevision,
    /// Answers with the revision in force.
    Revision {
        /// The revision.
        revision: Revision,
    },
    /// Asks for the state of the process.
    AskState,
    /// Answers with the state of the process, without secrets.
    State {
        /// The state as JSON text.
        json: String,
    },
}
