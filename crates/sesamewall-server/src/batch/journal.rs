//! Appends the checkpoint frames of one claim to its result blob, with many frames per disk write.

use sesamewall_batch::BlobRef;
use sesamewall_batch::Frame;
use sesamewall_batch::FrameBody;
use sesamewall_batch::encode_frame;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::storage::Storage;

const QUEUE_FRAMES: usize = 1_024;
const WRITE_BYTES: usize = 256 << 10;

struct Entry {
    bytes: Vec<u8>,
    stored: oneshot::Sender<()>,
}

/// Handle that appends frames to a claim's result blob.
#[derive(Clone)]
pub(super) struct Journal {
    fence: u64,
    sender: mpsc::Sender<Entry>,
}

impl Journal {
    /// Starts the writer at offset `length`, the end of the blob. The returned task ends with the
    /// final length in bytes once all clones of the journal are dropped. It ends with an error once
    /// an append fails, because a storage instance is lost or a successor sealed the blob.
    pub(super) fn start(
        storage: Storage,
        blob: BlobRef,
        length: u64,
    ) -> (Self, tokio::task::JoinHandle<Result<u64>>) {
        let (sender, receiver) = mpsc::channel(QUEUE_FRAMES);
        let fence = blob.fence;
        let writer = tokio::spawn(write(storage, blob, length, receiver));
        (Self { fence, sender }, writer)
    }

    /// Appends a frame. Returns once all copies have it on disk, or an error if one has not.
    pub(super) async fn append(&self, item: u32, body: FrameBody) -> Result<()> {
        let bytes = encode_frame(&Frame { fence: self.fence, item, body });
        let (stored, done) = oneshot::channel();
        let lost = || Error::BulkUnavailable { copies: 0, wanted: 1 };
        self.sender.send(Entry { bytes, stored }).await.map_err(|_| lost())?;
        done.await.map_err(|_| lost())
    }
}

async fn write(
    storage: Storage,
    blob: BlobRef,
    mut length: u64,
    mut receiver: mpsc::Receiver<Entry>,
) -> Result<u64> {
    while let Some(first) = receiver.recv().await {
        let mut bytes = first.bytes;
        let mut waiting = vec![first.stored];
        while bytes.len() < WRITE_BYTES {
            let Ok(next) = receiver.try_recv() else { break };
            bytes.extend_from_slice(&next.bytes);
            waiting.push(next.stored);
        }
        storage.append_all(&blob, length, &bytes).await?;
        length += bytes.len() as u64;
        for stored in waiting {
            let _ = stored.send(());
        }
    }
    Ok(length)
}
