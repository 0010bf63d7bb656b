//! The port towards targets.

use async_trait::async_trait;
use bytes::Bytes;
use futures::stream::BoxStream;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::Class;

/// A request to a target. It never carries a caller's credentials.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Base URL of the target.
    pub address: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers, already cleaned of credentials and hop-by-hop fields.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
    /// Identifier of this attempt, which engines echo.
    pub attempt: String,
    /// Service class; classes share no connection.
    pub class: Class,
    /// Tokens that an earlier attempt made; the engine's stream starts after them.
    pub resume_from: u64,
}

/// Failure of a request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum TargetError {
    /// No byte of the request was sent.
    #[display("not sent: {detail}")]
    NotSent {
        /// What went wrong.
        detail: String,
    },
    /// The connection ended before the answer was whole.
    #[display("lost: {detail}")]
    Lost {
        /// What went wrong.
        detail: String,
    },
    /// The answer carries another attempt's identifier.
    #[display("the answer belongs to another request")]
    Mismatch,
}

/// Body of an answer, piece by piece. An end of the stream without an error means that the
/// transport ended in order.
pub type ResponseStream = BoxStream<'static, Result<Bytes, TargetError>>;

/// The head of an answer and its body.
pub struct TargetResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: ResponseStream,
}

/// Bytes in a block of a prompt prefix.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// A change of a target's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, rising by one at the target; a jump shows a gap.
    pub number: u64,
    /// Hash of the block: XXH3 with 64 bits and seed 0 over the prompt text from its start to the end
    /// of the block. Blocks have [`PREFIX_BLOCK_BYTES`]; an incomplete last block is not cached. The
    /// prompt text is the JSON text of the field `messages` or, without it, of `prompt`, without
    /// white space between tokens.
    pub block: u64,
    /// The block is now cached; otherwise it no longer is.
    pub stored: bool,
}

/// Sends requests to targets.
#[async_trait]
pub trait Target: Send + Sync {
    /// Sends `request` and returns the head of the answer. Dropping the answer's body before its
    /// end closes the connection, by which the target cancels the request.
    async fn send(&self, request: TargetRequest) -> Result<TargetResponse, TargetError>;

    /// Returns the published changes of the target's prefix cache with a number above `after`, oldest
    /// first, late and with gaps. Targets without such a cache have none.
    ///
    /// # Errors
    ///
    /// Returns `TargetError` if the target gives no list.
    async fn cache_events(
        &self,
        _address: &str,
        _after: u64,
    ) -> Result<Vec<CacheEvent>, TargetError> {
        Ok(Vec::new())
    }
}
