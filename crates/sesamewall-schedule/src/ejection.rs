//! Takes targets out that fail more often than their peers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;

const WINDOW: Duration = Duration::from_secs(10);

/// Settings of ejection.
#[derive(Clone, Debug)]
pub struct EjectionSettings {
    /// Error share above the median of the peers from which a target is ejected.
    pub excess: f64,
    /// Smallest number of requests in the window.
    pub min_requests: u32,
    /// Largest share of a model's targets in the failure domain that may be ejected.
    pub max_fraction: f64,
    /// Time until the first probe; it doubles with each ejection in a row, up to 16 times.
    pub cooldown: Duration,
}

impl Default for EjectionSettings {
    fn default() -> Self {
        Self { excess: 0.3, min_requests: 5, max_fraction: 0.5, cooldown: Duration::from_secs(5) }
    }
}

#[derive(Clone, Debug, Default)]
struct Record {
    started: Time,
    requests: [u32; 2],
    errors: [u32; 2],
    ejected_at: Option<Time>,
    in_a_row: u32,
}

impl Record {
    fn rotate(&mut self, now: Time) {
        let elapsed = now.since(self.started);
        if elapsed >= WINDOW {
            let recent = elapsed < 2 * WINDOW;
            self.requests = [0, if recent { self.requests[0] } else { 0 }];
            self.errors = [0, if recent { self.errors[0] } else { 0 }];
            self.started = now;
        }
    }

    fn share(&self) -> f64 {
        let requests: u32 = self.requests.iter().sum();
        f64::from(self.errors.iter().sum::<u32>()) / f64::from(requests.max(1))
    }
}

/// Compares the error share of each target with the median of its peers.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    settings: EjectionSettings,
    records: HashMap<TargetName, Record>,
}

impl Ejection {
    /// Creates the state without any ejected target.
    pub fn new(settings: EjectionSettings) -> Self {
        Self { settings, records: HashMap::new() }
    }

    /// Records the end of a request.
    pub fn on_end(&mut self, target: &TargetName, error: bool, now: Time) {
        let record = self.records.entry(target.clone()).or_default();
        record.rotate(now);
        record.requests[0] += 1;
        record.errors[0] += u32::from(error);
        if !error && record.ejected_at.is_none() && record.share() < self.settings.excess / 2.0 {
            record.in_a_row = 0;
        }
    }

    /// Tells whether the target is ejected.
    pub fn is_ejected(&self, target: &TargetName) -> bool {
        self.records.get(target).is_some_and(|record| record.ejected_at.is_some())
    }

    /// Ejects and returns targets. `models` lists, for each model, its targets in service, ejected
    /// ones included. Returns the targets that are back and must go through the cold ramp.
    pub fn update<K: Ord>(
        &mut self,
        models: &BTreeMap<K, Vec<TargetName>>,
        now: Time,
    ) -> Vec<TargetName> {
        let mut back = self.end_pauses(now);
        for peers in models.values() {
            let bound = self.bound(peers.len());
            back.extend(self.release(peers, bound));
        }
        for peers in models.values() {
            for target in peers {
                let allowed = models
                    .values()
                    .filter(|others| others.contains(target))
                    .all(|peers| self.ejected(peers) < self.bound(peers.len()));
                if allowed && self.is_outlier(target, peers) {
                    let record = self.records.entry(target.clone()).or_default();
                    record.ejected_at = Some(now);
                    record.in_a_row += 1;
                }
            }
        }
        back
    }

    /// Forgets all targets for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.records.retain(|target, _| keep(target));
    }

    fn bound(&self, peers: usize) -> usize {
        (peers as f64 * self.settings.max_fraction) as usize
    }

    fn ejected(&self, peers: &[TargetName]) -> usize {
        peers.iter().filter(|target| self.is_ejected(target)).count()
    }

    fn end_pauses(&mut self, now: Time) -> Vec<TargetName> {
        let cooldown = self.settings.cooldown;
        let mut back = Vec::new();
        for (target, record) in &mut self.records {
            let factor = 1 << record.in_a_row.saturating_sub(1).min(4);
            if record.ejected_at.is_some_and(|at| now.since(at) >= cooldown * factor) {
                *record = Record { started: now, in_a_row: record.in_a_row, ..Record::default() };
                back.push(target.clone());
            }
        }
        back.sort();
        back
    }

    /// Returns ejected targets early when peers left and too large a share is ejected.
    fn release(&mut self, peers: &[TargetName], bound: usize) -> Vec<TargetName> {
        let mut ejected: Vec<_> = peers
            .iter()
            .filter_map(|target| Some((self.records.get(target)?.ejected_at?, target.clone())))
            .collect();
        ejected.sort();
        ejected.truncate(ejected.len().saturating_sub(bound));
        for (_, target) in &ejected {
            if let Some(record) = self.records.get_mut(target) {
                *record = Record { in_a_row: record.in_a_row, ..Record::default() };
            }
        }
        ejected.into_iter().map(|(_, target)| target).collect()
    }

    fn is_outlier(&self, target: &TargetName, peers: &[TargetName]) -> bool {
        let Some(record) = self.records.get(target) else { return false };
        if record.ejected_at.is_some()
            || record.requests.iter().sum::<u32>() < self.settings.min_requests
        {
            return false;
        }
        let mut shares: Vec<f64> = peers
            .iter()
            .filter(|peer| *peer != target && !self.is_ejected(peer))
            .map(|peer| self.records.get(peer).map_or(0.0, Record::share))
            .collect();
        shares.sort_by(f64::total_cmp);
        let median = shares.get(shares.len() / 2).copied().unwrap_or(0.0);
        record.share() > median + self.settings.excess
    }
}
