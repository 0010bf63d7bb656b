//! Messages that carry decision records, and operator queries to one instance.

use serde::Deserialize;
use serde::Serialize;

use crate::AccountName;
use crate::DecisionRecord;
use crate::RequestId;
use crate::Revision;

/// A request to an instance that stores decision records, or its reply.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RecordMessage {
    /// Stores records.
    Put {
        /// The records.
        records: Vec<DecisionRecord>,
    },
    /// Acknowledges records, which now survive the loss of the process that stored them.
    Stored {
        /// Number of records stored.
        count: u32,
    },
    /// Requests the refusals since a wall time, for one account or for all.
    Refusals {
        /// The account, or all accounts.
        account: Option<AccountName>,
        /// Milliseconds since the Unix epoch.
        since_ms: u64,
        /// Maximum number of records in the reply; the latest are returned.
        limit: u32,
    },
    /// Requests the recorded path of one request or item.
    Path {
        /// The request.
        request: RequestId,
    },
    /// Returns the records found.
    Found {
        /// The records.
        records: Vec<DecisionRecord>,
    },
}

/// An operator's query to one instance, forwarded by another instance, or its reply.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum OperatorMessage {
    /// Requests the revision in force.
    AskRevision,
    /// Returns the revision in force.
    Revision {
        /// The revision.
        revision: Revision,
    },
    /// Requests the state of the process.
    AskState,
    /// Returns the state of the process, without secrets.
    State {
        /// The state as JSON text.
        json: String,
    },
}
