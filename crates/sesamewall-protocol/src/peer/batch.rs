//! Messages to storage instances, which store copies of bulk data.

use serde::Deserialize;
use serde::Serialize;

/// A request to a storage instance, or its reply.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum BatchMessage {
    /// Appends bytes at an offset of a blob and syncs them to disk.
    Append {
        /// Name of the blob.
        blob: String,
        /// Offset in bytes; an append at an offset that is already written with the same bytes
        /// is acknowledged again.
        offset: u64,
        /// The bytes.
        data: Vec<u8>,
    },
    /// Reads bytes of a blob.
    Read {
        /// Name of the blob.
        blob: String,
        /// Offset in bytes.
        offset: u64,
        /// Maximum number of bytes to return.
        limit: u64,
    },
    /// Carries bytes of a blob.
    Data {
        /// The bytes.
        data: Vec<u8>,
        /// Length of the whole blob in bytes.
        length: u64,
    },
    /// Deletes a blob.
    Delete {
        /// Name of the blob.
        blob: String,
    },
    /// Acknowledges an append or delete that is on disk.
    Stored {
        /// Length of the blob in bytes.
        length: u64,
    },
    /// Requests the length of a blob.
    Stat {
        /// Name of the blob.
        blob: String,
    },
    /// The blob does not exist.
    Missing,
    /// The receiver could not serve the request.
    Failed {
        /// Numbered result code.
        code: u16,
        /// Cause of the failure.
        message: String,
    },
}
