//! Recent outcomes of attempts, as a measure of how often a target is lost for reasons that a given
//! request does not share.

use std::collections::VecDeque;

use sesamewall_protocol::Time;

use crate::part_evidence::OtherAttempts;

/// Most outcomes kept.
const MAX_OUTCOMES: usize = 128;

/// One attempt: whether the target began to respond or, if it was lost before, the key of the crash.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    at: Time,
    crash: Option<u32>,
}

/// Recent outcomes.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptOutcomes {
    outcomes: VecDeque<Outcome>,
}

impl AttemptOutcomes {
    /// Adds an attempt that began to get its response or, with the key of a crash, was lost before.
    pub(crate) fn add(&mut self, crash: Option<u32>, now: Time) {
        self.outcomes.push_back(Outcome { at: now, crash });
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
    }

    /// Returns how the attempts since a time ended, but for those that were lost at crashes which
    /// `is_counted` rejects.
    pub(crate) fn count(&self, since: Time, is_counted: impl Fn(u32) -> bool) -> OtherAttempts {
        let recent = self.outcomes.iter().filter(|outcome| outcome.at >= since);
        recent.fold(OtherAttempts::default(), |count, outcome| match outcome.crash {
            None => OtherAttempts { begun: count.begun + 1, ..count },
            Some(crash) if is_counted(crash) => OtherAttempts { lost: count.lost + 1, ..count },
            Some(_) => count,
        })
    }
}
