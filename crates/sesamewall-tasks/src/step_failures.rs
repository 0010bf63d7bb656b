//! For how long a step of a loop has failed without a success.

use std::time::Duration;
use std::time::Instant;

/// Time for which a step may fail each time that it runs. A cause from outside, such as a document
/// that is replaced, may end before; afterwards a new start from what the store has is better.
const FAILURE_LIMIT: Duration = Duration::from_secs(5);

/// For how long a step has failed without a success.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepFailures {
    since: Option<Instant>,
}

impl StepFailures {
    /// Records the end of the step at `now`. Returns whether it has failed for too long.
    pub fn on_end(&mut self, failed: bool, now: Instant) -> bool {
        match (failed, self.since) {
            (false, _) => {
                self.since = None;
                false
            }
            (true, None) => {
                self.since = Some(now);
                false
            }
            (true, Some(since)) => now.saturating_duration_since(since) >= FAILURE_LIMIT,
        }
    }
}
