//! Selects the instance from which updates are fetched, and determines when the store has to be
//! read instead.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use sesamewall_protocol::Time;

use crate::Versions;

/// Settings of the selection of update sources.
#[derive(Clone, Debug)]
pub struct UpdateSettings {
    /// Age after which the versions reported by an instance do not count.
    pub source_ttl: Duration,
    /// Time for which no update is fetched from an instance after a call failed or brought nothing.
    pub failure_backoff: Duration,
    /// Time after which an instance that has not fetched a reported update reads the store itself.
    /// Together with the delays of a watch and of datagrams it has to stay below the time in which
    /// a leaving target may still get requests.
    pub store_delay: Duration,
    /// Time between two such reads.
    pub store_interval: Duration,
}

impl Default for UpdateSettings {
    fn default() -> Self {
        Self {
            source_ttl: Duration::from_secs(2),
            failure_backoff: Duration::from_millis(300),
            store_delay: Duration::from_millis(700),
            store_interval: Duration::from_secs(1),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Source {
    versions: Versions,
    same_domain: bool,
    received_at: Time,
}

/// Instances that have reported how far they have read, by address.
#[derive(Clone, Debug, Default)]
pub struct UpdateSources {
    settings: UpdateSettings,
    sources: HashMap<IpAddr, Source>,
    backoffs: HashMap<IpAddr, Time>,
    behind_since: Option<Time>,
    store_read_at: Option<Time>,
}

impl UpdateSources {
    /// Creates the sources of a process that has received no report.
    pub fn new(settings: UpdateSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records the versions that an instance reports. `same_domain` is true for an instance of the
    /// local failure domain.
    pub fn on_versions(
        &mut self,
        address: IpAddr,
        versions: Versions,
        same_domain: bool,
        now: Time,
    ) {
        self.sources.insert(address, Source { versions, same_domain, received_at: now });
    }

    /// Records that a call to an instance failed or brought nothing.
    pub fn on_failure(&mut self, address: IpAddr, now: Time) {
        self.backoffs.insert(address, now + self.settings.failure_backoff);
    }

    /// Returns the instance to call for what the local instance, which has read as far as `local`,
    /// lacks: one that has reported more, preferably in the local failure domain, or, while that
    /// one does not answer, one of `others`.
    pub fn choose(&self, local: &Versions, others: &[IpAddr], now: Time) -> Option<IpAddr> {
        let ahead: Vec<_> =
            self.fresh(now).filter(|(_, source)| local.is_behind(&source.versions)).collect();
        let usable =
            |address: &IpAddr| self.backoffs.get(address).is_none_or(|until| *until <= now);
        let best = ahead
            .iter()
            .filter(|(address, _)| usable(address))
            .max_by_key(|(_, source)| (source.same_domain, source.versions.table));
        match best {
            Some((address, _)) => Some(**address),
            None if ahead.is_empty() => None,
            None => others.iter().copied().find(usable),
        }
    }

    /// Returns whether the local instance has to read the store itself, because it has not fetched
    /// a reported update for too long. Such a read counts as made at `now`.
    pub fn is_store_due(&mut self, local: &Versions, now: Time) -> bool {
        if !local.is_behind(&self.highest(now)) {
            self.behind_since = None;
            return false;
        }
        let since = *self.behind_since.get_or_insert(now);
        let is_due = now.since(since) >= self.settings.store_delay
            && self
                .store_read_at
                .is_none_or(|read_at| now.since(read_at) >= self.settings.store_interval);
        if is_due {
            self.store_read_at = Some(now);
        }
        is_due
    }

    /// Returns the highest reported version of each kind of state.
    pub fn highest(&self, now: Time) -> Versions {
        self.fresh(now).fold(Versions::default(), |all, (_, source)| all.merge(&source.versions))
    }

    /// Removes instances whose reported versions are too old, and back-offs that are over.
    pub fn on_tick(&mut self, now: Time) {
        let ttl = self.settings.source_ttl;
        self.sources.retain(|_, source| now.since(source.received_at) < ttl);
        self.backoffs.retain(|_, until| *until > now);
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = (&IpAddr, &Source)> {
        let ttl = self.settings.source_ttl;
        self.sources.iter().filter(move |(_, source)| now.since(source.received_at) < ttl)
    }
}
