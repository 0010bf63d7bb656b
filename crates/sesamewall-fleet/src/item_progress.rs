//! The progress of one batch item over its attempts.

use std::sync::Arc;
use std::time::Duration;

use sesamewall_protocol::Time;

use crate::ResultState;
use crate::ServiceVersion;
use crate::StreamEvent;
use crate::TargetState;
use crate::TargetTable;

/// Largest output of an item in bytes: a result has to fit into one value of the store. A target
/// that sends more is at fault.
const MAX_OUTPUT: usize = 512 << 10;

/// Settings of the attempts of an item.
#[derive(Clone, Debug)]
pub struct ItemSettings {
    /// Backoff after a failed attempt, doubled with each failure in a row.
    pub backoff: Duration,
    /// Longest backoff.
    pub max_backoff: Duration,
    /// Refusals in a row after which the backoff grows, and an item whose time is over is given up.
    pub refusal_limit: u32,
    /// Longest wait of an item with an output for a place at a target of the version that wrote it,
    /// while targets of other versions have a place.
    pub version_wait: Duration,
}

impl Default for ItemSettings {
    fn default() -> Self {
        Self {
            backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(1),
            refusal_limit: 5,
            version_wait: Duration::from_secs(2),
        }
    }
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemEnd {
    /// The stream is complete.
    Whole,
    /// The target responded that the item can never be run.
    Impossible,
    /// The target ran the item and failed.
    Failed,
    /// The target refused the item, because it is full or cannot take it. Nothing distinguishes an item
    /// that is larger than the target's memory from one that comes at a bad time.
    Refused,
    /// The item did not reach a target.
    NotRun,
    /// The stream broke off, or the outcome is unknown.
    Broken,
    /// The item was preempted for online requests.
    MadeWay,
}

/// Why an item with an output starts from its first event again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum RestartCause {
    /// It is not known which version wrote the output.
    #[display("version not known")]
    Unknown,
    /// No target of the version may run the item any more.
    #[display("no target of the version")]
    Gone,
    /// The targets of the version had no place for the item in time.
    #[display("no place at the version")]
    NoPlace,
}

/// Where the next attempt of an item may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextRun {
    /// At any target: the item has no output yet.
    First,
    /// At targets of the version that wrote the output.
    Continue(Arc<str>),
    /// At any target, from the first event. An attempt at a target of the version that wrote the
    /// output may still continue it, unless the version is not known.
    Restart(RestartCause),
}

/// Progress of an item that has no result yet.
#[derive(Clone, Debug, Default)]
pub struct ItemProgress {
    output: Vec<u8>,
    events: u64,
    last_id: Option<u64>,
    /// The version that wrote the output; `None` if it is not known.
    version: Option<ServiceVersion>,
    /// Number of events before the first one of the present attempt; `None` until that has arrived.
    begun_after: Option<u64>,
    /// Time since which the item has had no place at its version.
    no_place_since: Option<Time>,
    failures: u32,
    breaks: u32,
    /// Refusals since the last run.
    refusals: u32,
    not_before: Time,
}

impl ItemProgress {
    /// Returns the event id after which the next attempt resumes the stream.
    pub fn resume_after(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the earliest time of the next attempt.
    pub fn not_before(&self) -> Time {
        self.not_before
    }

    /// Returns the output so far.
    pub fn into_output(self) -> Vec<u8> {
        self.output
    }

    /// Returns the number of events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the version that wrote the output; `None` if it is not known.
    pub fn version(&self) -> Option<&ServiceVersion> {
        self.version.as_ref()
    }

    /// Returns where the next attempt may run, at targets of `service` for which `may_run` returns
    /// true.
    pub fn next_run(
        &self,
        settings: &ItemSettings,
        table: &TargetTable,
        service: &str,
        may_run: impl Fn(&TargetState) -> bool,
        now: Time,
    ) -> NextRun {
        if self.events == 0 {
            return NextRun::First;
        }
        let definite = |version: &&ServiceVersion| version.is_definite(table);
        let Some(version) = self.version.as_ref().filter(definite) else {
            return NextRun::Restart(RestartCause::Unknown);
        };
        let is_able = |target: &TargetState| {
            target.entry.version == version.version && !target.has_left() && may_run(target)
        };
        let is_gone = *version.service != *service || !table.of_service(service).any(is_able);
        let is_over = |since: Time| now.since(since) >= settings.version_wait;
        match self.no_place_since {
            _ if is_gone => NextRun::Restart(RestartCause::Gone),
            Some(since) if is_over(since) => NextRun::Restart(RestartCause::NoPlace),
            _ => NextRun::Continue(version.version.clone()),
        }
    }

    /// Records that no target of the item's version had a place for it, while one of another version
    /// had.
    pub fn on_no_place(&mut self, now: Time) {
        self.no_place_since.get_or_insert(now);
    }

    /// Returns whether the item waits for a place at its version while others have one.
    pub fn has_no_place(&self) -> bool {
        self.no_place_since.is_some()
    }

    /// Begins the events of an attempt at a target of `version`, `None` if that is not known.
    /// Returns false if the output must not go on with them.
    pub fn begin(&mut self, version: Option<ServiceVersion>) -> bool {
        if self.events > 0 && (version.is_none() || version != self.version) {
            return false;
        }
        self.begun_after = Some(self.events);
        self.version = version;
        self.no_place_since = None;
        true
    }

    /// Records at the end of an attempt that its target had been replaced by another start, which
    /// may have written the events of the attempt. Returns the end that counts.
    pub fn on_replaced(&mut self, end: ItemEnd) -> ItemEnd {
        let Some(before) = self.begun_after else { return end };
        self.version = None;
        match end {
            ItemEnd::Whole if before > 0 => ItemEnd::Broken,
            end => end,
        }
    }

    /// Adds an event. Returns false if the stream does not continue after the last event, or if the
    /// output exceeds its limit; the output is removed then.
    pub fn on_event(&mut self, event: &StreamEvent) -> bool {
        let Some(id) = event.id else { return false };
        match self.last_id {
            Some(last) if id <= last => return false,
            Some(last) if id != last + 1 => return false,
            _ => {}
        }
        let data = event.data();
        if self.output.len() + data.len() > MAX_OUTPUT {
            self.restart();
            return false;
        }
        if self.events > 0 {
            self.output.push(b'\n');
        }
        self.output.extend_from_slice(&data);
        self.events += 1;
        self.last_id = Some(id);
        true
    }

    /// Records the end of an attempt. Returns the state of the result if the item has ended.
    /// `attempts` is the number of failures after which the item is given up.
    pub fn on_end(
        &mut self,
        settings: &ItemSettings,
        end: ItemEnd,
        attempts: u32,
        now: Time,
    ) -> Option<ResultState> {
        let is_unheard = self.begun_after.take().is_none();
        let lost_place = matches!(end, ItemEnd::Refused | ItemEnd::NotRun | ItemEnd::Broken);
        if is_unheard && self.events > 0 && lost_place {
            self.on_no_place(now);
        }
        self.refusals = match end {
            ItemEnd::Refused => self.refusals.saturating_add(1),
            ItemEnd::NotRun => self.refusals,
            _ => 0,
        };
        let backoff = (settings.backoff * (1 << self.breaks.min(4))).min(settings.max_backoff);
        match end {
            ItemEnd::Whole => return Some(ResultState::Completed),
            ItemEnd::Impossible => return Some(ResultState::GivenUp),
            ItemEnd::Failed => {
                self.failures += 1;
                self.not_before = now + backoff;
                // The output of a failed run is not reliable: the next attempt starts from the
                // beginning.
                self.restart();
                if self.failures >= attempts.max(1) {
                    return Some(ResultState::GivenUp);
                }
            }
            ItemEnd::Refused => {
                let further = self.refusals.saturating_sub(settings.refusal_limit).min(4);
                self.not_before =
                    now + (settings.backoff * (1 << further)).min(settings.max_backoff);
            }
            ItemEnd::NotRun => self.not_before = now + settings.backoff,
            ItemEnd::Broken => {
                self.breaks += 1;
                self.not_before = now + backoff;
            }
            ItemEnd::MadeWay => {}
        }
        None
    }

    /// Returns whether targets only refuse the item, so that it is given up once its time is over.
    pub fn is_refused(&self, settings: &ItemSettings) -> bool {
        self.refusals >= settings.refusal_limit
    }

    /// Delays the next attempt.
    pub fn hold(&mut self, until: Time) {
        self.not_before = self.not_before.max(until);
    }

    /// Removes the output, so that the next attempt starts from the first event. Returns the number
    /// of removed events.
    pub fn restart(&mut self) -> u64 {
        self.output.clear();
        self.last_id = None;
        self.version = None;
        self.no_place_since = None;
        std::mem::take(&mut self.events)
    }
}
