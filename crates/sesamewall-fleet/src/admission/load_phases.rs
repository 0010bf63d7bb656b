//! Learns how long phases of high and of low load last, and how much room they leave.

use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::Time;
use sesamewall_protocol::scaled;

/// Settings of the observation of the load.
#[derive(Clone, Debug)]
pub struct PhaseSettings {
    /// Free fraction of the places below which a phase of high load begins.
    pub high_below: f64,
    /// Free fraction of the places above which it ends.
    pub low_above: f64,
    /// Number of phases of each kind that are kept.
    pub kept: usize,
    /// Number of phases of each kind without which nothing is expected.
    pub min_phases: usize,
    /// Largest coefficient of variation of the lengths with which a phase's end is expected. Lengths
    /// of 2.4 to 3.6 s have 0.12, random ones (exponential) 1.
    pub max_variation: f64,
    /// Length below which a phase counts as part of the one before it. So short ones come from single
    /// requests near a limit and would make the lengths look irregular.
    pub min_length: Duration,
    /// Age of the last sample after which the observation starts anew.
    pub max_gap: Duration,
}

impl Default for PhaseSettings {
    fn default() -> Self {
        Self {
            high_below: 0.2,
            low_above: 0.4,
            kept: 6,
            min_phases: 2,
            max_variation: 0.35,
            min_length: Duration::from_millis(500),
            max_gap: Duration::from_secs(5),
        }
    }
}

/// A completed phase.
#[derive(Clone, Copy, Debug)]
struct Phase {
    length: Duration,
    free: f64,
}

/// Sum of samples.
#[derive(Clone, Copy, Debug, Default)]
struct LevelSum {
    free: f64,
    samples: u32,
}

impl LevelSum {
    fn add(&mut self, other: Self) {
        self.free += other.free;
        self.samples += other.samples;
    }

    fn mean(&self) -> f64 {
        self.free / f64::from(self.samples.max(1))
    }
}

/// A phase that goes on if the one after it is too short.
#[derive(Clone, Copy, Debug)]
struct Before {
    began_at: Time,
    partial: bool,
    sum: LevelSum,
}

/// The phases of the load.
#[derive(Clone, Debug, Default)]
pub struct LoadPhases {
    settings: PhaseSettings,
    /// Whether the present phase is one of high load; `None` before the first sample.
    is_high: Option<bool>,
    began_at: Time,
    /// The beginning of the present phase was not observed.
    partial: bool,
    sampled_at: Time,
    present: LevelSum,
    /// The phase before the present one, while the present one may turn out too short.
    before: Option<Before>,
    high: VecDeque<Phase>,
    low: VecDeque<Phase>,
}

impl LoadPhases {
    /// Creates the state of a process that has observed nothing.
    pub fn new(settings: PhaseSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes the free fraction of the places.
    pub fn observe(&mut self, free: f64, now: Time) {
        if self.is_high.is_some() && now.since(self.sampled_at) > self.settings.max_gap {
            *self = Self::new(self.settings.clone());
        }
        self.sampled_at = now;
        let sample = LevelSum { free, samples: 1 };
        let Some(was_high) = self.is_high else {
            self.is_high = Some(free < self.settings.high_below);
            self.began_at = now;
            self.partial = true;
            self.present = sample;
            return;
        };
        let is_high = match was_high {
            true => free <= self.settings.low_above,
            false => free < self.settings.high_below,
        };
        if is_high == was_high {
            self.present.add(sample);
            return;
        }
        self.is_high = Some(is_high);
        let is_short = now.since(self.began_at) < self.settings.min_length;
        if let Some(mut before) = self.before.take().filter(|_| is_short) {
            let list = if is_high { &mut self.high } else { &mut self.low };
            if !before.partial {
                list.pop_back();
            }
            before.sum.add(self.present);
            before.sum.add(sample);
            self.began_at = before.began_at;
            self.partial = before.partial;
            self.present = before.sum;
            return;
        }
        let phase = Phase { length: now.since(self.began_at), free: self.present.mean() };
        let list = if was_high { &mut self.high } else { &mut self.low };
        if !self.partial {
            list.push_back(phase);
        }
        if list.len() > self.settings.kept {
            list.pop_front();
        }
        self.before =
            Some(Before { began_at: self.began_at, partial: self.partial, sum: self.present });
        self.partial = false;
        self.began_at = now;
        self.present = sample;
    }

    /// Returns the free fraction expected in each of `count` slots from `now` on; `None` if the load
    /// has no pattern.
    pub fn forecast(&self, count: usize, slot: Duration, now: Time) -> Option<Vec<f64>> {
        let is_regular = |phases: &VecDeque<Phase>| {
            phases.len() >= self.settings.min_phases
                && variation(phases) <= self.settings.max_variation
        };
        if !is_regular(&self.high) || !is_regular(&self.low) {
            return None;
        }
        let is_high = self.is_high?;
        let (present, next) =
            if is_high { (&self.high, &self.low) } else { (&self.low, &self.high) };
        let age = now.since(self.began_at);
        let lengths: Vec<Duration> =
            present.iter().map(|phase| phase.length).filter(|length| *length > age).collect();
        // A phase that is longer than all the kept ones may end at any time.
        let rests: Vec<Duration> = match lengths.is_empty() {
            true => vec![slot, slot * 5],
            false => lengths.iter().map(|length| length.saturating_sub(age)).collect(),
        };
        let level = |phases: &VecDeque<Phase>| {
            phases.iter().map(|phase| phase.free).sum::<f64>() / phases.len() as f64
        };
        let (present_level, next_level) = (level(present), level(next));
        let middle = |index: usize| scaled(slot, index as f64 + 0.5);
        let at = |index: usize, rest: Duration, length: Duration| match middle(index) {
            time if time < rest => present_level,
            time if time < rest + length => next_level,
            _ => present_level,
        };
        let pairs = (rests.len() * next.len()) as f64;
        let expected = (0..count).map(|index| {
            let sum: f64 = rests
                .iter()
                .flat_map(|rest| next.iter().map(move |phase| (*rest, phase.length)))
                .map(|(rest, length)| at(index, rest, length))
                .sum();
            sum / pairs
        });
        Some(expected.collect())
    }
}

/// Returns the coefficient of variation of the lengths. Of four and more the one farthest from the
/// median is left out: a pause of the callers or a lost target prolongs a single phase.
fn variation(phases: &VecDeque<Phase>) -> f64 {
    let mut seconds: Vec<f64> = phases.iter().map(|phase| phase.length.as_secs_f64()).collect();
    seconds.sort_by(f64::total_cmp);
    if let [first, .., last] = seconds[..]
        && seconds.len() >= 4
    {
        let median = seconds[seconds.len() / 2];
        match last - median > median - first {
            true => seconds.truncate(seconds.len() - 1),
            false => seconds.rotate_left(1),
        }
        seconds.truncate(phases.len() - 1);
    }
    let count = seconds.len().max(1) as f64;
    let mean = seconds.iter().sum::<f64>() / count;
    let variance = seconds.iter().map(|length| (length - mean).powi(2)).sum::<f64>() / count;
    variance.sqrt() / mean.max(0.001)
}
