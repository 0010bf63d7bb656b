//! Which versions the targets of a service had lately, as one instance has seen it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_protocol::Time;

use crate::Catalog;
use crate::RouteSpec;
use crate::TargetTable;

/// Settings of the history.
#[derive(Clone, Debug)]
pub struct VersionHistorySettings {
    /// Age of the target table above which versions may have come and gone unseen.
    pub max_age: Duration,
    /// Time between two observations above which versions may have come and gone unseen.
    pub max_gap: Duration,
    /// Time for which versions that no target has any more are remembered. It bounds the time for
    /// which a version can be shown to be the only one.
    pub retention: Duration,
}

impl Default for VersionHistorySettings {
    fn default() -> Self {
        Self {
            max_age: Duration::from_secs(3),
            max_gap: Duration::from_secs(1),
            retention: Duration::from_secs(600),
        }
    }
}

/// The services of a route, and since when it has them.
#[derive(Clone, Debug)]
struct RouteServices {
    services: Vec<Arc<str>>,
    since: Time,
}

/// The versions that targets had, by service, without gaps since a known time.
///
/// It shows that a stream without a record began at the one version of its service: the service had
/// no other one for as long as the stream can have run.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    settings: VersionHistorySettings,
    /// Time from which all versions were seen.
    since: Option<Time>,
    observed_at: Option<Time>,
    /// When a target of the service last had the version.
    seen: HashMap<(Arc<str>, Arc<str>), Time>,
    catalog_version: u64,
    routes: HashMap<Arc<str>, RouteServices>,
}

impl VersionHistory {
    /// Creates the history of a process that has seen nothing.
    pub fn new(settings: VersionHistorySettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Observes the versions of all targets. `age` is the age of the table; `None` if it was never
    /// read.
    pub fn on_table(&mut self, table: &TargetTable, age: Option<Duration>, now: Time) {
        let has_gap =
            self.observed_at.is_some_and(|before| now.since(before) > self.settings.max_gap);
        let is_old = age.is_none_or(|age| age > self.settings.max_age);
        if has_gap || is_old {
            self.since = None;
        }
        self.observed_at = Some(now);
        if !is_old {
            self.since.get_or_insert(now);
        }
        for target in table.iter() {
            let key = (target.entry.service.clone(), target.entry.version.clone());
            self.seen.insert(key, now);
        }
        let retention = self.settings.retention;
        self.seen.retain(|_, seen_at| now.since(*seen_at) <= retention);
    }

    /// Observes the services of all routes.
    pub fn on_catalog(&mut self, catalog: &Catalog, now: Time) {
        if catalog.version == self.catalog_version {
            return;
        }
        self.catalog_version = catalog.version;
        let mut before = std::mem::take(&mut self.routes);
        for route in catalog.routes() {
            let services: Vec<Arc<str>> =
                route.services.iter().map(|(service, _)| service.clone()).collect();
            let known = before.remove(&route.name).filter(|known| known.services == services);
            let entry = known.unwrap_or(RouteServices { services, since: now });
            self.routes.insert(route.name.clone(), entry);
        }
    }

    /// Returns the only version at which a stream of the route can have begun within `life`; `None`
    /// if there was another one, or could have been.
    pub fn sole_version(&self, route: &RouteSpec, life: Duration, now: Time) -> Option<Arc<str>> {
        let covers = |since: Time| now.since(since) >= life && life <= self.settings.retention;
        let is_observed = self.observed_at.is_some_and(|at| now.since(at) <= self.settings.max_gap);
        let services = self.routes.get(&route.name).filter(|known| covers(known.since));
        if !is_observed || !self.since.is_some_and(covers) || services.is_none() {
            return None;
        }
        let is_of_route =
            |service: &Arc<str>| route.services.iter().any(|(name, _)| name == service);
        let lately = self.seen.iter().filter(|(_, seen_at)| now.since(**seen_at) <= life);
        let mut versions = lately.filter(|((service, _), _)| is_of_route(service));
        let ((_, first), _) = versions.next()?;
        versions.all(|((_, version), _)| version == first).then(|| first.clone())
    }
}
