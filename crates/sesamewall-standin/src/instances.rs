//! An instance list in memory whose readers see changes late.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use sesamewall_ports::InstanceList;
use sesamewall_ports::ListedInstance;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Result;

/// An instance that has not announced itself for this time is removed from the list.
const ENTRY_TTL: Duration = Duration::from_secs(6);
const HISTORY_LIMIT: usize = 4096;

/// An instance list in memory. Readers see the list as it was `lag` ago.
#[derive(Debug, Default)]
pub struct FakeInstances {
    lag: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    history: VecDeque<(Instant, ListedInstance)>,
}

impl FakeInstances {
    /// Creates a list whose readers see it `lag` late.
    pub fn new(lag: Duration) -> Self {
        Self { lag, ..Self::default() }
    }

    /// Adds an announcement of an instance.
    pub fn add_entry(&self, entry: ListedInstance) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        while state
            .history
            .front()
            .is_some_and(|(at, _)| now.duration_since(*at) > self.lag + ENTRY_TTL)
            || state.history.len() >= HISTORY_LIMIT
        {
            state.history.pop_front();
        }
        state.history.push_back((now, entry));
    }

    /// Returns the list as readers see it.
    pub fn entries(&self) -> Vec<ListedInstance> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let mut latest: BTreeMap<InstanceName, ListedInstance> = BTreeMap::new();
        for (at, entry) in &state.history {
            let age = now.duration_since(*at);
            if age >= self.lag && age <= self.lag + ENTRY_TTL {
                latest.insert(entry.name.clone(), entry.clone());
            }
        }
        latest.into_values().collect()
    }
}

#[async_trait]
impl InstanceList for FakeInstances {
    async fn announce(&self, local: &ListedInstance) -> Result<()> {
        self.add_entry(local.clone());
        Ok(())
    }

    async fn list(&self) -> Result<Vec<ListedInstance>> {
        Ok(self.entries())
    }
}
