//! Access to blobs on the local and on other storage instances.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::join_all;
use sesamewall_batch::BlobRef;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Result;
use sesamewall_protocol::peer::BatchMessage;
use sesamewall_protocol::peer::PeerMessage;

use crate::InstanceContext;

/// Largest number of blob bytes in one message. A byte takes up to two in MessagePack, so a message
/// stays under 2 MB.
pub(super) const CHUNK_BYTES: usize = 512 << 10;

const DAMAGED_CODE: u16 = 6005;
const ABSENT_CODE: u16 = 1010;

/// Access to the blobs of the fleet.
#[derive(Clone)]
pub(super) struct Storage {
    pub(super) context: Arc<InstanceContext>,
}

fn peer_error(blob: &str, offset: u64, code: u16, message: String) -> Error {
    match code {
        DAMAGED_CODE => Error::BulkDamaged { blob: blob.to_owned(), offset },
        ABSENT_CODE => blob_missing(blob),
        _ => Error::Internal { detail: message },
    }
}

fn blob_missing(blob: &str) -> Error {
    Error::NotFound { kind: "blob".to_owned(), id: blob.to_owned() }
}

fn unexpected_reply() -> Error {
    Error::Internal { detail: "unexpected reply to a bulk message".to_owned() }
}

impl Storage {
    /// Handles a request on the data folder of this instance and returns the reply.
    pub(super) async fn handle(&self, message: BatchMessage) -> BatchMessage {
        match self.serve(message).await {
            Ok(reply) => reply,
            Err(error) => BatchMessage::Failed { code: error.code(), message: error.to_string() },
        }
    }

    async fn serve(&self, message: BatchMessage) -> Result<BatchMessage> {
        let Some(bulk) = &self.context.bulk else {
            return Err(Error::BulkUnavailable { copies: 0, wanted: 1 });
        };
        match message {
            BatchMessage::Append { blob, offset, data } => {
                let length = bulk.append(&blob, offset, Bytes::from(data)).await?;
                Ok(BatchMessage::Stored { length })
            }
            BatchMessage::Read { blob, offset, limit } => {
                let limit = limit.min(CHUNK_BYTES as u64);
                let data = bulk.read(&blob, offset, limit).await?.to_vec();
                let length = bulk.length(&blob).await?.unwrap_or_default();
                Ok(BatchMessage::Data { data, length })
            }
            BatchMessage::Delete { blob } => {
                bulk.delete(&blob).await?;
                Ok(BatchMessage::Stored { length: 0 })
            }
            BatchMessage::Stat { blob } => Ok(match bulk.length(&blob).await? {
                Some(length) => BatchMessage::Stored { length },
                None => BatchMessage::Missing,
            }),
            _ => Err(unexpected_reply()),
        }
    }

    /// Sends a request to a storage instance, or handles it here if that is this instance.
    async fn send_request(
        &self,
        instance: &InstanceName,
        message: BatchMessage,
    ) -> Result<BatchMessage> {
        if *instance == self.context.local.name {
            return Ok(self.handle(message).await);
        }
        let Some(found) = self.context.directory.find(instance) else {
            return Err(Error::PeerUnavailable {
                instance: instance.to_string(),
                detail: "the instance is not live".to_owned(),
            });
        };
        match self.context.link.exchange(&found.address, PeerMessage::Batch(message)).await? {
            PeerMessage::Batch(reply) => Ok(reply),
            PeerMessage::Failed { message, .. } => {
                Err(Error::PeerUnavailable { instance: instance.to_string(), detail: message })
            }
            _ => Err(unexpected_reply()),
        }
    }

    /// Appends `data` at `offset` on one storage instance, in chunks.
    pub(super) async fn append(
        &self,
        instance: &InstanceName,
        blob: &str,
        offset: u64,
        data: &[u8],
    ) -> Result<()> {
        let mut at = offset;
        for chunk in data.chunks(CHUNK_BYTES) {
            let data = chunk.to_vec();
            let message = BatchMessage::Append { blob: blob.to_owned(), offset: at, data };
            match self.send_request(instance, message).await? {
                BatchMessage::Stored { .. } => at += chunk.len() as u64,
                BatchMessage::Failed { code, message } => {
                    return Err(peer_error(blob, at, code, message));
                }
                _ => return Err(unexpected_reply()),
            }
        }
        Ok(())
    }

    /// Appends `data` at `offset` to all copies. Returns an error unless all have it on disk.
    pub(super) async fn append_all(&self, blob: &BlobRef, offset: u64, data: &[u8]) -> Result<()> {
        let wanted = blob.holders.len();
        let appends =
            blob.holders.iter().map(|instance| self.append(instance, &blob.name, offset, data));
        let stored = join_all(appends).await.into_iter().filter(Result::is_ok).count();
        if stored < wanted || wanted == 0 {
            return Err(Error::BulkUnavailable { copies: stored as u32, wanted: wanted as u32 });
        }
        Ok(())
    }

    /// Reads one chunk from one storage instance. Returns the bytes and the length of the copy in
    /// bytes.
    pub(super) async fn read_chunk(
        &self,
        instance: &InstanceName,
        blob: &str,
        offset: u64,
        limit: u64,
    ) -> Result<(Vec<u8>, u64)> {
        let message = BatchMessage::Read { blob: blob.to_owned(), offset, limit };
        match self.send_request(instance, message).await? {
            BatchMessage::Data { data, length } => Ok((data, length)),
            BatchMessage::Failed { code, message } => Err(peer_error(blob, offset, code, message)),
            _ => Err(unexpected_reply()),
        }
    }

    /// Reads the whole copy of a blob on one storage instance. Returns [`Error::BulkDamaged`] if a
    /// chunk is damaged.
    pub(super) async fn read_copy(&self, instance: &InstanceName, blob: &str) -> Result<Vec<u8>> {
        let mut all = Vec::new();
        loop {
            let (chunk, length) =
                self.read_chunk(instance, blob, all.len() as u64, CHUNK_BYTES as u64).await?;
            all.extend_from_slice(&chunk);
            if chunk.is_empty() || all.len() as u64 >= length {
                return Ok(all);
            }
        }
    }

    /// Reads `length` bytes of a complete blob from `offset`, from any copy that has them.
    pub(super) async fn read(&self, blob: &BlobRef, offset: u64, length: u64) -> Result<Vec<u8>> {
        let mut all = Vec::new();
        while (all.len() as u64) < length {
            let at = offset + all.len() as u64;
            let limit = (length - all.len() as u64).min(CHUNK_BYTES as u64);
            all.extend_from_slice(&self.read_any(blob, at, limit).await?);
        }
        Ok(all)
    }

    /// Reads at most one chunk from any copy. Tries the local copy first.
    pub(super) async fn read_any(&self, blob: &BlobRef, at: u64, limit: u64) -> Result<Vec<u8>> {
        let mut damaged = None;
        let local_name = &self.context.local.name;
        let (local, remote): (Vec<_>, Vec<_>) =
            blob.holders.iter().partition(|name| *name == local_name);
        for instance in local.into_iter().chain(remote) {
            match self.read_chunk(instance, &blob.name, at, limit).await {
                Ok((chunk, _)) if !chunk.is_empty() => return Ok(chunk),
                Err(error @ Error::BulkDamaged { .. }) => damaged = Some(error),
                _ => {}
            }
        }
        Err(damaged.unwrap_or(Error::BulkUnavailable { copies: 0, wanted: 1 }))
    }

    /// Returns the length of a copy in bytes, or `None` if the instance does not have the blob.
    pub(super) async fn stat(&self, instance: &InstanceName, blob: &str) -> Result<Option<u64>> {
        match self.send_request(instance, BatchMessage::Stat { blob: blob.to_owned() }).await? {
            BatchMessage::Stored { length } => Ok(Some(length)),
            BatchMessage::Missing => Ok(None),
            BatchMessage::Failed { code, message } => Err(peer_error(blob, 0, code, message)),
            _ => Err(unexpected_reply()),
        }
    }

    /// Deletes the copy of a blob on one storage instance.
    pub(super) async fn delete(&self, instance: &InstanceName, blob: &str) -> Result<()> {
        match self.send_request(instance, BatchMessage::Delete { blob: blob.to_owned() }).await? {
            BatchMessage::Stored { .. } => Ok(()),
            BatchMessage::Failed { code, message } => Err(peer_error(blob, 0, code, message)),
            _ => Err(unexpected_reply()),
        }
    }
}
