//! Requests that were running when a target crashed.

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
use sesamewall_schedule::PoisonMarks;
use sesamewall_schedule::Verdict;

/// Marks travel in heartbeats for this long, so that a lost heartbeat does no harm.
const SPREAD_WINDOW: Duration = Duration::from_secs(5);

/// Crash marks that this instance knows.
#[derive(Debug, Default)]
pub struct SharedCrashMarks {
    marks: Mutex<PoisonMarks>,
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCheck {
    /// It runs alone on a target.
    pub isolated: bool,
    /// It does not start before this time.
    pub from: Time,
}

impl SharedCrashMarks {
    /// Decides about a request.
    ///
    /// # Errors
    ///
    /// Returns `Error::PoisonRequest` if it was running at too many crashes.
    pub fn check(&self, account: &AccountName, digest: &str, now: Time) -> Result<CrashCheck> {
        match self.lock().verdict(account, digest, now) {
            Verdict::Run => Ok(CrashCheck { isolated: false, from: now }),
            Verdict::Isolate { from } => Ok(CrashCheck { isolated: true, from }),
            Verdict::Refuse { crashes } => Err(Error::PoisonRequest { crashes }),
        }
    }

    /// Marks a request that was running on the slot's target when it crashed.
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

    /// Returns the time at which all instances know the marks of a request, if it has any.
    pub fn settled_at(&self, account: &AccountName, digest: &str) -> Option<Time> {
        self.lock().settled_at(account, digest)
    }

    /// Clears the marks of a request that ended well alone.
    pub fn clear(&self, account: &AccountName, digest: &str, now: Time) {
        self.lock().clear(account, digest, now);
    }

    /// Merges marks of another instance.
    pub fn merge(&self, marks: &[CrashMark], now: Time) {
        let mut local = self.lock();
        for mark in marks {
            local.merge(mark, now);
        }
    }

    /// Returns the marks that heartbeats carry.
    pub fn recent(&self, now: Time) -> Vec<CrashMark> {
        self.lock().recent(SPREAD_WINDOW, now)
    }

    /// Drops expired marks.
    pub fn tick(&self, now: Time) {
        self.lock().on_tick(now);
    }

    fn lock(&self) -> MutexGuard<'_, PoisonMarks> {
        self.marks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
