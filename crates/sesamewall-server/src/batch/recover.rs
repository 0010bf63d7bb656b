//! Reads the input of a segment and recovers the item states of earlier claims.

use sesamewall_batch::BlobRef;
use sesamewall_batch::FileRecord;
use sesamewall_batch::FileSource;
use sesamewall_batch::Frame;
use sesamewall_batch::FrameBody;
use sesamewall_batch::InputLine;
use sesamewall_batch::ItemState;
use sesamewall_batch::JobState;
use sesamewall_batch::decode_frames;
use sesamewall_batch::encode_frame;
use sesamewall_batch::parse_line;
use sesamewall_batch::recover;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Result;

use super::BatchService;
use super::claims::Claim;
use super::records::file_key;

const SEAL_TRIES: u32 = 8;

/// Input of a segment.
pub(super) enum Input {
    /// The lines in order.
    Lines(Vec<InputLine>),
    /// No copy could be read within the time limit.
    Lost {
        /// Number of items.
        items: u32,
        /// The last read error.
        detail: String,
    },
}

/// Returns whether the error means that no copy of a blob could be read.
pub(super) fn is_unreadable(error: &Error) -> bool {
    matches!(
        error,
        Error::BulkUnavailable { .. } | Error::BulkDamaged { .. } | Error::NotFound { .. }
    )
}

impl BatchService {
    /// Reads the input lines of a segment. Returns only the number of items if the lines cannot be
    /// read and the time limit for reading them has passed.
    pub(super) async fn read_input(&self, claim: &Claim) -> Result<Input> {
        match self.read_lines(claim).await {
            Ok(lines) => Ok(Input::Lines(lines)),
            Err(error) if is_unreadable(&error) && self.is_past_unread_limit(claim) => {
                let file = self.records.get::<FileRecord>(&file_key(&claim.job.file)).await?;
                let range = file.and_then(|(file, _)| {
                    file.segments.get(claim.index as usize).map(|range| range.items)
                });
                // The file record is removed 25 hours after the file expires or is deleted, when
                // every job on it has ended.
                let mean = claim.job.counts.total / u64::from(claim.job.segments.max(1));
                let items = range.unwrap_or(mean as u32);
                self.count("batch_input_lost");
                Ok(Input::Lost { items, detail: error.to_string() })
            }
            Err(error) => Err(error),
        }
    }

    /// Returns whether the time limit for reading unreadable copies has passed.
    fn is_past_unread_limit(&self, claim: &Claim) -> bool {
        let limit = match claim.job.state {
            JobState::Cancelling => self.options.unread_limit_stopping,
            _ => self.options.unread_limit,
        };
        let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        let since = |since: u64| self.context.clock.wall_ms().saturating_sub(since);
        claim.record.unread_ms.is_some_and(|at| since(at) >= limit_ms)
    }

    async fn read_lines(&self, claim: &Claim) -> Result<Vec<InputLine>> {
        let missing = || Error::NotFound { kind: "file".to_owned(), id: claim.job.file.clone() };
        let (file, _) = self
            .records
            .get::<FileRecord>(&file_key(&claim.job.file))
            .await?
            .ok_or_else(missing)?;
        let FileSource::Blob(blob) = &file.source else { return Err(missing()) };
        let range = file.segments.get(claim.index as usize).copied().ok_or_else(missing)?;
        let bytes = self.storage.read(blob, range.offset, range.length).await?;
        bytes
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.iter().all(u8::is_ascii_whitespace))
            .enumerate()
            .map(|(number, line)| parse_line(number as u64 + 1, line))
            .collect()
    }

    /// Recovers the states of the items from the blobs of earlier claims. Seals these blobs, so
    /// that their writers can append nothing more.
    pub(super) async fn recover_items(
        &self,
        claim: &Claim,
        once: &[bool],
    ) -> Result<Vec<ItemState>> {
        let earlier = claim.record.blobs.len().saturating_sub(1);
        let mut chain = Vec::new();
        let mut lost = false;
        for blob in &claim.record.blobs[..earlier] {
            let mut copies = Vec::new();
            let mut replied = 0;
            for instance in &blob.holders {
                match self.seal(instance, blob, claim.record.fence).await {
                    Ok(found) => {
                        replied += 1;
                        copies.extend(found);
                    }
                    Err(Error::NotFound { .. } | Error::BulkDamaged { .. }) => replied += 1,
                    Err(_) => {}
                }
            }
            let unread = copies.is_empty() && replied < blob.holders.len();
            if unread && !self.is_past_unread_limit(claim) {
                return Err(Error::BulkUnavailable { copies: 0, wanted: 1 });
            }
            lost |= copies.is_empty();
            chain.push((blob.clone(), copies));
        }
        let mut states = recover(once.len(), &chain);
        // If every copy of a blob is lost, a non-idempotent item may have been sent, and an item of
        // a stopping job may have ended. Other items are run again.
        let stopping = claim.job.state == JobState::Cancelling;
        for (state, once) in states.iter_mut().zip(once) {
            if let ItemState::Run { attempts, outcome, .. } = *state
                && lost
                && (*once || stopping)
            {
                *state = ItemState::Unknown { attempts, outcome };
            }
        }
        Ok(states)
    }

    /// Seals one copy of an earlier blob and returns its frames, or `None` if the copy has no
    /// header because its disk was lost. An append names its offset, so the next append of the
    /// earlier writer fails once the seal is stored, and the frames contain everything that all
    /// copies had acknowledged to that writer.
    async fn seal(
        &self,
        instance: &InstanceName,
        blob: &BlobRef,
        fence: u64,
    ) -> Result<Option<Vec<Frame>>> {
        let mut last = Error::BulkUnavailable { copies: 0, wanted: 1 };
        for _ in 0..SEAL_TRIES {
            let bytes = self.storage.read_copy(instance, &blob.name).await?;
            let (frames, _) = decode_frames(&bytes);
            if frames.first().is_none_or(|frame| frame.body != FrameBody::Header) {
                return Ok(None);
            }
            let sealed = frames.iter().any(|frame| frame.body == FrameBody::Seal);
            if sealed || !self.options.seal {
                return Ok(Some(frames));
            }
            let seal = encode_frame(&Frame { fence, item: 0, body: FrameBody::Seal });
            let end = bytes.len() as u64;
            match self.storage.append(instance, &blob.name, end, &seal).await {
                Ok(()) => return Ok(Some(frames)),
                Err(error @ Error::BulkDamaged { .. }) => last = error,
                Err(error) => return Err(error),
            }
        }
        Err(Error::Internal { detail: last.to_string() })
    }
}
