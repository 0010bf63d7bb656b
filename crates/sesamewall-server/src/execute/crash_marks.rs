//! Crash marks of requests that were running when a target crashed.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Result;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::CrashMark;
use sesamewall_protocol::peer::Slot;
use sesamewall_schedule::CrashDecision;
use sesamewall_schedule::CrashMarks;

/// Time for which a mark is sent to the other instances, so that lost messages do no harm.
const SPREAD_WINDOW: Duration = Duration::from_secs(5);

/// Crash marks known to this instance, shared between tasks.
#[derive(Debug, Default)]
pub struct SharedCrashMarks {
    marks: Mutex<CrashMarks>,
}

/// Restrictions under which a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCheck {
    /// The request runs alone on a target.
    pub isolated: bool,
    /// The request does not start before this time.
    pub from: Time,
}

impl SharedCrashMarks {
    /// Decides whether and how a request may be run.
    ///
    /// # Errors
    ///
    /// Returns `Error::PoisonRequest` if the request was running at too many target crashes.
    pub fn check(&self, account: &AccountName, digest: &str, now: Time) -> Result<CrashCheck> {
        match self.lock().decide(account, digest, now) {
            CrashDecision::Run => Ok(CrashCheck { isolated: false, from: now }),
            CrashDecision::Isolate { from } => Ok(CrashCheck { isolated: true, from }),
            CrashDecision::Refuse { crashes } => Err(Error::PoisonRequest { crashes }),
        }
    }

    /// Adds a mark for a request that was running on the slot's target when the target crashed.
    pub fn add(
        &self,
        account: &AccountName,
        digest: &str,
        slot: &Slot,
        instance: &InstanceName,
        now: Time,
    ) {
        let mark = CrashMark {
            account: account.clone(),
            body: digest.to_owned(),
            attempt: format!("{instance}/{}/{}/{}", slot.request, slot.epoch, slot.slot),
            target: slot.target.clone(),
            age_us: 0,
            cleared: false,
        };
        self.lock().merge(&mark, now);
    }

    /// Returns the time by which all instances have the marks of a request; `None` if the request
    /// has no marks.
    pub fn settled_at(&self, account: &AccountName, digest: &str) -> Option<Time> {
        self.lock().settled_at(account, digest)
    }

    /// Clears the marks of a request that succeeded while it ran alone on a target.
    pub fn clear(&self, account: &AccountName, digest: &str, now: Time) {
        self.lock().clear(account, digest, now);
    }

    /// Merges marks received from another instance.
    pub fn merge(&self, marks: &[CrashMark], now: Time) {
        let mut local = self.lock();
        for mark in marks {
            local.merge(mark, now);
        }
    }

    /// Returns the recent marks, which are sent to the other instances.
    pub fn recent(&self, now: Time) -> Vec<CrashMark> {
        self.lock().recent(SPREAD_WINDOW, now)
    }

    /// Removes expired marks.
    pub fn tick(&self, now: Time) {
        self.lock().tick(now);
    }

    fn lock(&self) -> MutexGuard<'_, CrashMarks> {
        self.marks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
