//! Tracks the queued work that other failure domains report when they refuse an offered request.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use sesamewall_ports::ListedInstance;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::Time;

/// TTL of an entry. A queue changes within seconds, so an older value is not useful.
const ENTRY_TTL: Duration = Duration::from_secs(1);
/// Most entries kept. At the limit all entries are removed, and the choice is random until new
/// refusals arrive.
const ENTRY_LIMIT: usize = 4096;

/// Stores for one second the queued work that refusals of other failure domains carried.
#[derive(Debug, Default)]
pub struct Backlogs {
    entries: Mutex<HashMap<(ModelName, DomainName), (Time, f64)>>,
}

impl Backlogs {
    /// Records that `domain` had `tokens` of work queued for `model` at `now`.
    pub fn record(&self, model: &ModelName, domain: &DomainName, tokens: f64, now: Time) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() >= ENTRY_LIMIT {
            entries.clear();
        }
        entries.insert((model.clone(), domain.clone()), (now, tokens));
    }

    /// Returns a random instance of the failure domain with the least queued work. A failure domain
    /// without a recent refusal counts as empty.
    pub fn least(
        &self,
        model: &ModelName,
        instances: Vec<ListedInstance>,
        now: Time,
    ) -> Option<ListedInstance> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let queued = |instance: &ListedInstance| {
            let found = entries.get(&(model.clone(), instance.domain.clone()));
            found.filter(|(at, _)| now.since(*at) < ENTRY_TTL).map_or(-1.0, |(_, tokens)| *tokens)
        };
        let least = instances.iter().map(queued).min_by(f64::total_cmp)?;
        let best = instances.iter().filter(|instance| queued(instance) <= least);
        pick(&best.cloned().collect::<Vec<_>>())
    }
}

/// Returns a random one of `instances`.
pub fn pick(instances: &[ListedInstance]) -> Option<ListedInstance> {
    instances.get(rand::random_range(0..instances.len().max(1))).cloned()
}
