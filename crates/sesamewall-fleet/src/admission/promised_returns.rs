//! Returns that the local instance has promised to refused callers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::Time;

/// Largest number of promised returns that are recognised. A front refuses some callers a second;
/// this covers several hundred a second for the longest wait.
const MAX_PROMISES: usize = 4096;

/// Length of a time slot.
pub const SLOT: Duration = Duration::from_millis(100);

/// Time before the promised one from which a return is recognised. Callers count from the arrival
/// of the refusal, so an earlier return is rounding only.
const EARLY: Duration = Duration::from_millis(20);

/// Time after the promised one until which a return is recognised.
const LATE: Duration = Duration::from_millis(400);

/// Time over which the promised returns of the next moment are averaged. One instance promises few,
/// and their number is multiplied by that of the fronts.
const RATE_SPAN: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct Promise {
    due: Time,
    rank: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct SlotCount {
    promised: u32,
    kept: u32,
    expected: f64,
    estimates: u32,
    observed: f64,
    samples: u32,
}

/// What was expected of a time slot with promised returns, and what came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotCheck {
    /// Returns promised for the slot.
    pub promised: u32,
    /// Returns that came as promised.
    pub kept: u32,
    /// Free fraction of the places that was expected, as a mean over the promises; `None` if the
    /// load had no pattern.
    pub expected: Option<f64>,
    /// Free fraction during the slot; `None` if it was not observed.
    pub observed: Option<f64>,
}

/// The promised returns by hash of the request, and their number by time slot.
#[derive(Clone, Debug, Default)]
pub struct PromisedReturns {
    promises: HashMap<u64, Promise>,
    slots: BTreeMap<u64, SlotCount>,
}

fn slot_of(time: Time) -> u64 {
    time.as_micros() / SLOT.as_micros() as u64
}

fn mean(sum: f64, count: u32) -> Option<f64> {
    (count > 0).then(|| sum / f64::from(count))
}

impl PromisedReturns {
    /// Records a promise. `expected` is the free fraction expected then, if any. A promise beyond
    /// the bound is counted but not recognised.
    pub fn add(&mut self, hash: u64, rank: u32, due: Time, expected: Option<f64>) {
        let slot = self.slots.entry(slot_of(due)).or_default();
        slot.promised = slot.promised.saturating_add(1);
        if let Some(expected) = expected {
            slot.expected += expected;
            slot.estimates += 1;
        }
        if self.promises.len() < MAX_PROMISES || self.promises.contains_key(&hash) {
            self.promises.insert(hash, Promise { due, rank });
        }
    }

    /// Returns whether a request returns as promised. Each promise is used once.
    pub fn take(&mut self, hash: u64, now: Time) -> bool {
        let Some(promise) = self.promises.remove(&hash) else { return false };
        let kept = now + EARLY >= promise.due && now.since(promise.due) <= LATE;
        if kept && let Some(slot) = self.slots.get_mut(&slot_of(promise.due)) {
            slot.kept += 1;
        }
        kept
    }

    /// Returns the number of returns promised for the slot that contains `time`.
    pub fn promised_at(&self, time: Time) -> u32 {
        self.slots.get(&slot_of(time)).map_or(0, |slot| slot.promised)
    }

    /// Returns the number of returns a second that were promised to callers of `rank` and higher ranks
    /// for the next moment.
    pub fn rate(&self, rank: u32, now: Time) -> f64 {
        let is_due = |promise: &&Promise| {
            promise.rank <= rank && promise.due < now + RATE_SPAN && now.since(promise.due) < SLOT
        };
        let due = self.promises.values().filter(is_due).count() as f64;
        due / (RATE_SPAN + SLOT).as_secs_f64()
    }

    /// Takes the free fraction of the places.
    pub fn observe(&mut self, free: f64, now: Time) {
        if let Some(slot) = self.slots.get_mut(&slot_of(now)) {
            slot.observed += free;
            slot.samples += 1;
        }
    }

    /// Removes expired promises. Returns the time slots whose returns can no longer come.
    pub fn on_tick(&mut self, now: Time) -> Vec<SlotCheck> {
        self.promises.retain(|_, promise| now.since(promise.due) <= LATE);
        let past = slot_of(now - LATE - SLOT);
        let open = self.slots.split_off(&past);
        let ended = std::mem::replace(&mut self.slots, open);
        let check = |slot: SlotCount| SlotCheck {
            promised: slot.promised,
            kept: slot.kept,
            expected: mean(slot.expected, slot.estimates),
            observed: mean(slot.observed, slot.samples),
        };
        ended.into_values().map(check).collect()
    }
}
