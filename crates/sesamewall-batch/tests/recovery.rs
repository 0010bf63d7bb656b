//! Tests of checkpoint frames, of recovery and of job states.

use proptest::prelude::*;
use sesamewall_batch::BlobRef;
use sesamewall_batch::Frame;
use sesamewall_batch::FrameBody;
use sesamewall_batch::ItemState;
use sesamewall_batch::JobEvent;
use sesamewall_batch::JobState;
use sesamewall_batch::decode_frames;
use sesamewall_batch::encode_frame;
use sesamewall_batch::recover;
use sesamewall_protocol::Outcome;

fn blob(fence: u64) -> BlobRef {
    BlobRef { fence, ..BlobRef::default() }
}

fn frame(fence: u64, item: u32, body: FrameBody) -> Frame {
    Frame { fence, item, body }
}

fn outcome(line: &str) -> FrameBody {
    FrameBody::Outcome { ok: true, line: line.to_owned() }
}

fn done(line: &str) -> ItemState {
    ItemState::Done { ok: true, line: line.to_owned() }
}

/// Guards against recovery from frames that a paused worker wrote after its successor took over, or
/// that belong to another claim.
#[test]
fn late_and_foreign_frames_are_not_trusted() {
    let frames = vec![
        frame(1, 0, FrameBody::Header),
        frame(1, 0, outcome("first")),
        frame(1, 0, outcome("second")),
        frame(7, 1, outcome("foreign")),
        frame(2, 0, FrameBody::Seal),
        frame(1, 2, outcome("late")),
    ];
    let items = recover(3, &[(blob(1), vec![frames])]);
    let run = ItemState::Run { attempts: 0, reason: String::new(), outcome: Outcome::NotRun };
    assert_eq!(items, vec![done("first"), run.clone(), run]);
}

/// Guards against sending an item again after an intent, and against attempts that recovery does
/// not count.
#[test]
fn intents_and_attempts_survive() {
    let attempt = |reason: &str| FrameBody::Attempt {
        reason: reason.to_owned(),
        outcome: if reason == "busy" { Outcome::NotRun } else { Outcome::Unknown },
    };
    let first = vec![
        frame(1, 0, FrameBody::Header),
        frame(1, 0, FrameBody::Intent),
        frame(1, 1, FrameBody::Intent),
        frame(1, 1, attempt("busy")),
        frame(1, 2, attempt("busy")),
    ];
    let second = vec![
        frame(2, 0, FrameBody::Header),
        frame(2, 2, attempt("reset")),
        frame(2, 2, attempt("busy")),
    ];
    // One copy of the first blob lacks the last frames; the longer copy counts.
    let chain = [(blob(1), vec![first[..1].to_vec(), first]), (blob(2), vec![second])];
    let run = |attempts, outcome| ItemState::Run { attempts, reason: "busy".to_owned(), outcome };
    let unknown = ItemState::Unknown { attempts: 0, outcome: Outcome::NotRun };
    let wanted = vec![unknown, run(1, Outcome::NotRun), run(3, Outcome::Unknown)];
    assert_eq!(recover(3, &chain), wanted);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against decoding a frame in which a bit is wrong.
    #[test]
    fn damaged_frames_end_the_blob(lines in prop::collection::vec(".{0,40}", 1..8), at: usize, bit in 0..8_u8) {
        let frames: Vec<Frame> =
            lines.iter().map(|line| frame(3, 1, outcome(line))).collect();
        let mut bytes: Vec<u8> = frames.iter().flat_map(encode_frame).collect();
        prop_assert_eq!(decode_frames(&bytes), (frames.clone(), bytes.len()));
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let (read, length) = decode_frames(&bytes);
        prop_assert!(length <= at);
        prop_assert!(frames.starts_with(&read));
        prop_assert!(read.len() < frames.len());
    }
}

/// Guards against a job that changes after its end, or completes after a cancellation.
#[test]
fn ended_and_stopping_jobs_do_not_complete() {
    let events = [
        JobEvent::Validated,
        JobEvent::AllCommitted,
        JobEvent::FilesRecorded,
        JobEvent::Stop,
        JobEvent::Stopped { expired: false },
        JobEvent::Stopped { expired: true },
    ];
    for state in [JobState::Completed, JobState::Cancelled, JobState::Expired] {
        assert!(events.iter().all(|event| state.after(*event).is_none()), "{state}");
    }
    let after: Vec<JobState> =
        events.iter().filter_map(|event| JobState::Cancelling.after(*event)).collect();
    assert_eq!(after, vec![JobState::Cancelled, JobState::Expired]);
}
