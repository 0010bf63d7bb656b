//! Recovers the state of a segment's items from the frames of earlier claims.

use sesamewall_protocol::Outcome;

use crate::BlobRef;
use crate::Frame;
use crate::FrameBody;

/// Maximum number of attempts of an item.
pub const ATTEMPT_LIMIT: u32 = 3;

/// State of an item after recovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// The item is to be run.
    Run {
        /// Attempts so far.
        attempts: u32,
        /// Reason of the last failed attempt.
        reason: String,
        /// Combined outcome of the attempts.
        outcome: Outcome,
    },
    /// The item has an outcome.
    Done {
        /// The response is complete.
        ok: bool,
        /// Line of the output or error file.
        line: String,
    },
    /// A non-idempotent item may have been sent and must not be run again.
    Unknown {
        /// Attempts that ended before.
        attempts: u32,
        /// Combined outcome of these attempts.
        outcome: Outcome,
    },
}

/// Recovers the states of `count` items from the copies of each blob of `chain`, oldest blob first.
/// Frames whose fencing token differs from that of their blob, and frames after a seal, are
/// ignored. The first outcome of an item counts.
pub fn recover(count: usize, chain: &[(BlobRef, Vec<Vec<Frame>>)]) -> Vec<ItemState> {
    let initial = ItemState::Run { attempts: 0, reason: String::new(), outcome: Outcome::NotRun };
    let mut items = vec![initial; count];
    for (blob, copies) in chain {
        // The copies of one blob are prefixes of the same sequence of frames, so the longest
        // contains all others.
        let trusted_len = |copy: &Vec<Frame>| {
            copy.iter().take_while(|frame| frame.body != FrameBody::Seal).count()
        };
        let Some(longest) = copies.iter().max_by_key(|copy| trusted_len(copy)) else { continue };
        let frames = longest.iter().take(trusted_len(longest));
        let is_item_frame =
            |frame: &&Frame| !matches!(frame.body, FrameBody::Header | FrameBody::Seal);
        for frame in frames.filter(|frame| frame.fence == blob.fence).filter(is_item_frame) {
            if let Some(item) = items.get_mut(frame.item as usize) {
                apply(item, &frame.body);
            }
        }
    }
    items
}

fn apply(item: &mut ItemState, body: &FrameBody) {
    let (attempts, last_reason, known) = match item {
        ItemState::Run { attempts, reason, outcome } => {
            (*attempts, std::mem::take(reason), *outcome)
        }
        // The frame that follows an intent states how the intended attempt ended.
        ItemState::Unknown { attempts, outcome } => (*attempts, String::new(), *outcome),
        ItemState::Done { .. } => return,
    };
    *item = match body {
        FrameBody::Outcome { ok, line } => ItemState::Done { ok: *ok, line: line.clone() },
        FrameBody::Intent => ItemState::Unknown { attempts, outcome: known },
        FrameBody::Attempt { reason, outcome } => ItemState::Run {
            attempts: attempts + 1,
            reason: reason.clone(),
            outcome: known.combine(*outcome),
        },
        FrameBody::Header | FrameBody::Seal => {
            ItemState::Run { attempts, reason: last_reason, outcome: known }
        }
    };
}
