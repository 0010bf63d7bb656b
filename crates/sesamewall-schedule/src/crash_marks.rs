//! Limits how many targets one request can crash.

use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::CrashMark;
use sha2::Digest;
use sha2::Sha256;

/// Returns the key of the crash marks of a request body: its SHA-256 hash in hex.
pub fn body_hash(body: &[u8]) -> String {
    hex::encode(Sha256::digest(body))
}

/// Settings of crash marks.
#[derive(Clone, Debug)]
pub struct CrashMarkSettings {
    /// Number of crashes from which a request runs alone on a target.
    pub isolate_at: usize,
    /// Number of crashes from which a request is refused.
    pub refuse_at: usize,
    /// Age at which a mark no longer counts.
    pub mark_ttl: Duration,
    /// Time from the receipt of a mark until the request may run alone, and until its failure is
    /// returned to the caller. Marks of other instances arrive in this time, so that a caller that
    /// sends the request again reaches an instance that has the marks.
    pub settle_delay: Duration,
    /// Marks of one target that are less than this time apart count as one crash.
    pub same_crash: Duration,
    /// Largest number of marks.
    pub max_marks: usize,
}

impl Default for CrashMarkSettings {
    fn default() -> Self {
        Self {
            isolate_at: 1,
            refuse_at: 2,
            mark_ttl: Duration::from_secs(3600),
            settle_delay: Duration::from_secs(2),
            same_crash: Duration::from_secs(1),
            max_marks: 10_000,
        }
    }
}

/// Decision on a request that may have crash marks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashDecision {
    /// The request runs without restrictions.
    Run,
    /// The request runs alone on a target, not before the given time.
    Isolate {
        /// Earliest start.
        from: Time,
    },
    /// The request is refused.
    Refuse {
        /// Number of crashes at which the request was running.
        crashes: u32,
    },
}

#[derive(Clone, Debug)]
struct Mark {
    target: TargetName,
    at: Time,
    received: Time,
    cleared: bool,
}

type Key = (AccountName, String);

/// Keeps the crash marks that an instance has recorded or received.
#[derive(Clone, Debug, Default)]
pub struct CrashMarks {
    settings: CrashMarkSettings,
    marks: HashMap<Key, HashMap<String, Mark>>,
    count: usize,
}

impl CrashMarks {
    /// Creates an empty set.
    pub fn new(settings: CrashMarkSettings) -> Self {
        Self { settings, marks: HashMap::new(), count: 0 }
    }

    /// Returns the number of marks, cleared ones included.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether there are no marks.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Decides whether a request may run, must run alone or is refused.
    pub fn decide(&self, account: &AccountName, body: &str, now: Time) -> CrashDecision {
        let crashes = self.crashes(account, body, now);
        match crashes {
            _ if crashes >= self.settings.refuse_at => {
                CrashDecision::Refuse { crashes: crashes as u32 }
            }
            _ if crashes >= self.settings.isolate_at => {
                CrashDecision::Isolate { from: self.settled_at(account, body).unwrap_or(now) }
            }
            _ => CrashDecision::Run,
        }
    }

    /// Returns the time until which a failure of the request is not returned to the caller, or
    /// `None` if the request has no marks that are not cleared.
    pub fn settled_at(&self, account: &AccountName, body: &str) -> Option<Time> {
        let marks = self.marks.get(&(account.clone(), body.to_owned()))?;
        let received =
            marks.values().filter(|mark| !mark.cleared).map(|mark| mark.received).max()?;
        Some(received + self.settings.settle_delay)
    }

    /// Returns the number of crashes within `mark_ttl` at which the request was running.
    pub fn crashes(&self, account: &AccountName, body: &str, now: Time) -> usize {
        let Some(marks) = self.marks.get(&(account.clone(), body.to_owned())) else { return 0 };
        let mut active: Vec<_> = marks
            .values()
            .filter(|mark| !mark.cleared && now.since(mark.at) < self.settings.mark_ttl)
            .map(|mark| (&mark.target, mark.at))
            .collect();
        active.sort();
        let same = |pair: &&[(&TargetName, Time)]| {
            pair[0].0 == pair[1].0 && pair[1].1.since(pair[0].1) < self.settings.same_crash
        };
        active.len() - active.windows(2).filter(same).count()
    }

    /// Merges a mark that this instance recorded (with age 0) or received from another instance. A
    /// duplicate changes nothing; a cleared mark stays cleared. Returns whether the mark changed
    /// the state.
    pub fn merge(&mut self, mark: &CrashMark, now: Time) -> bool {
        let age = Duration::from_micros(mark.age_us);
        if age >= self.settings.mark_ttl {
            return false;
        }
        let key = (mark.account.clone(), mark.body.clone());
        let marks = self.marks.entry(key).or_default();
        if let Some(existing) = marks.get_mut(&mark.attempt) {
            let changed = mark.cleared && !existing.cleared;
            if changed {
                existing.cleared = true;
                existing.received = now;
            }
            return changed;
        }
        marks.insert(
            mark.attempt.clone(),
            Mark {
                target: mark.target.clone(),
                at: now - age,
                received: now,
                cleared: mark.cleared,
            },
        );
        self.count += 1;
        if self.count > self.settings.max_marks {
            self.drop_oldest();
        }
        true
    }

    /// Clears the marks of a request that ran alone and completed successfully.
    pub fn clear(&mut self, account: &AccountName, body: &str, now: Time) {
        if let Some(marks) = self.marks.get_mut(&(account.clone(), body.to_owned())) {
            for mark in marks.values_mut().filter(|mark| !mark.cleared) {
                mark.cleared = true;
                mark.received = now;
            }
        }
    }

    /// Returns the marks received or cleared within `window`, for the next heartbeats. A mark is
    /// sent in several heartbeats, so that the loss of one heartbeat does not lose the mark.
    pub fn recent(&self, window: Duration, now: Time) -> Vec<CrashMark> {
        let mut recent: Vec<_> = self
            .marks
            .iter()
            .flat_map(|(key, marks)| marks.iter().map(move |(attempt, mark)| (key, attempt, mark)))
            .filter(|(_, _, mark)| now.since(mark.received) <= window)
            .map(|((account, body), attempt, mark)| CrashMark {
                account: account.clone(),
                body: body.clone(),
                attempt: attempt.clone(),
                target: mark.target.clone(),
                age_us: now.since(mark.at).as_micros() as u64,
                cleared: mark.cleared,
            })
            .collect();
        recent.sort_by(|left, right| left.attempt.cmp(&right.attempt));
        recent
    }

    /// Drops expired marks.
    pub fn tick(&mut self, now: Time) {
        let ttl = self.settings.mark_ttl;
        self.marks.retain(|_, marks| {
            marks.retain(|_, mark| now.since(mark.at) < ttl);
            !marks.is_empty()
        });
        self.count = self.marks.values().map(HashMap::len).sum();
    }

    fn drop_oldest(&mut self) {
        let oldest = self
            .marks
            .iter()
            .flat_map(|(key, marks)| {
                marks.iter().map(move |(attempt, mark)| (mark.at, attempt, key))
            })
            .min()
            .map(|(_, attempt, key)| (key.clone(), attempt.clone()));
        if let Some((key, attempt)) = oldest {
            if let Some(marks) = self.marks.get_mut(&key) {
                marks.remove(&attempt);
            }
            self.marks.retain(|_, marks| !marks.is_empty());
            self.count -= 1;
        }
    }
}
