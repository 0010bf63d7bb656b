//! Which versions the targets of a service had lately, as an instance that watches their entries has
//! seen it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_protocol::Time;

use crate::Catalog;
use crate::RouteSpec;
use crate::TargetEntry;
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

/// Returns the names of a route's services.
pub fn service_names(route: &RouteSpec) -> Vec<Arc<str>> {
    route.services.iter().map(|(service, _)| service.clone()).collect()
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
/// no other one for as long as the stream can have run. Only an instance that watches the entries sees
/// a version whose targets come and go between two states of the table.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    settings: VersionHistorySettings,
    /// Revision of the store up to which all changes of entries were seen; `None` while the instance
    /// does not watch them.
    revision: Option<u64>,
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

    /// Begins a watch of the entries after a complete read at `revision`. Versions that came and went
    /// before it are not known.
    pub fn on_watch_started(&mut self, table: &TargetTable, revision: u64, now: Time) {
        self.revision = Some(revision);
        self.since = Some(now);
        self.observe(table, now);
    }

    /// Records that the watch has returned all changes up to `revision`.
    pub fn on_watched(&mut self, revision: u64) {
        self.revision = self.revision.map(|known| known.max(revision));
    }

    /// Records that the watch has ended.
    pub fn on_watch_ended(&mut self) {
        self.revision = None;
        self.since = None;
    }

    /// Records that a target has this version, or had it until now.
    pub fn on_entry(&mut self, entry: &TargetEntry, now: Time) {
        self.seen.insert((entry.service.clone(), entry.version.clone()), now);
    }

    /// Returns the revision of the store up to which all changes of entries were seen; `None` while
    /// the instance does not watch them.
    pub fn revision(&self) -> Option<u64> {
        self.revision
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
        if !is_old && self.revision.is_some() {
            self.since.get_or_insert(now);
        }
        self.observe(table, now);
        let retention = self.settings.retention;
        self.seen.retain(|_, seen_at| now.since(*seen_at) <= retention);
    }

    fn observe(&mut self, table: &TargetTable, now: Time) {
        self.observed_at = Some(now);
        for target in table.iter() {
            self.on_entry(&target.entry, now);
        }
    }

    /// Observes the services of all routes.
    pub fn on_catalog(&mut self, catalog: &Catalog, now: Time) {
        if catalog.version == self.catalog_version {
            return;
        }
        self.catalog_version = catalog.version;
        let mut before = std::mem::take(&mut self.routes);
        for route in catalog.routes() {
            let services = service_names(route);
            let known = before.remove(&route.name).filter(|known| known.services == services);
            let entry = known.unwrap_or(RouteServices { services, since: now });
            self.routes.insert(route.name.clone(), entry);
        }
    }

    /// Returns the only version at which a stream of the route with these services can have begun
    /// within `life`; `None` if there was another one, or could have been.
    pub fn sole_version(
        &self,
        route: &str,
        services: &[Arc<str>],
        life: Duration,
        now: Time,
    ) -> Option<Arc<str>> {
        let covers = |since: Time| now.since(since) >= life && life <= self.settings.retention;
        let is_observed = self.observed_at.is_some_and(|at| now.since(at) <= self.settings.max_gap);
        let is_known = |known: &RouteServices| known.services == services && covers(known.since);
        let has_services = self.routes.get(route).is_some_and(is_known);
        if !is_observed || !self.since.is_some_and(covers) || !has_services {
            return None;
        }
        let is_of_route = |service: &Arc<str>| services.contains(service);
        let lately = self.seen.iter().filter(|(_, seen_at)| now.since(**seen_at) <= life);
        let mut versions = lately.filter(|((service, _), _)| is_of_route(service));
        let ((_, first), _) = versions.next()?;
        versions.all(|((_, version), _)| version == first).then(|| first.clone())
    }
}
