//! Detects pauses of the process, after which what it knows may be out of date.

use std::time::Duration;

use sesamewall_protocol::Time;

/// Settings of the pause guard.
#[derive(Clone, Debug)]
pub struct PauseSettings {
    /// Time without a mark that counts as a pause. Marks come several times within it.
    pub max_gap: Duration,
    /// Longest wait for a confirmation after a pause. An instance that reaches nobody goes on with
    /// what it knows, since a failure domain that is cut off has to serve.
    pub max_wait: Duration,
}

impl Default for PauseSettings {
    fn default() -> Self {
        Self { max_gap: Duration::from_millis(600), max_wait: Duration::from_millis(250) }
    }
}

/// Whether the state of the instance has been confirmed since the last pause of the process. A
/// process that was suspended, or got no processor time, finds old datagrams in its sockets, so
/// only the reply to a call that was sent after the pause confirms its state.
#[derive(Clone, Debug, Default)]
pub struct PauseGuard {
    settings: PauseSettings,
    marked_at: Option<Time>,
    unconfirmed_since: Option<Time>,
}

impl PauseGuard {
    /// Creates the guard of a process that has just started.
    pub fn new(settings: PauseSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that the process runs. Returns the length of the pause that has just ended, if there
    /// was one.
    pub fn on_mark(&mut self, now: Time) -> Option<Duration> {
        let gap =
            self.marked_at.replace(now).map_or(Duration::ZERO, |marked_at| now.since(marked_at));
        let paused = gap > self.settings.max_gap;
        if paused {
            self.unconfirmed_since = Some(now);
        }
        paused.then_some(gap)
    }

    /// Records that the state is as current as that of another instance or of the store at
    /// `sent_at`, the time at which the call for it was sent.
    pub fn on_confirmed(&mut self, sent_at: Time) {
        if self.unconfirmed_since.is_some_and(|since| since <= sent_at) {
            self.unconfirmed_since = None;
        }
    }

    /// Returns whether the state has not been confirmed since the last pause. Datagrams may then
    /// have waited in the socket.
    pub fn awaits_confirmation(&self) -> bool {
        self.unconfirmed_since.is_some()
    }

    /// Returns whether a confirmation is awaited.
    pub fn is_unconfirmed(&self, now: Time) -> bool {
        self.unconfirmed_since.is_some_and(|since| now.since(since) < self.settings.max_wait)
    }
}
