//! The configuration in force: routes, client accounts, services and limits.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_protocol::AccountName;
use xxhash_rust::xxh3::xxh3_64;

/// Kind of a route: whether its requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// A broken stream may be resumed at another target after its last event.
        resumable: bool,
    },
    /// The route takes batch jobs.
    Batch,
}

impl RouteKind {
    /// Returns whether a request of this kind may be sent again after an unknown outcome.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true } | Self::Batch)
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host header that the route serves.
    pub host: Arc<str>,
    /// Prefix of the paths that the route serves, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Longest time until the end of a response.
    pub timeout: Duration,
    /// Objective for the time to the first byte, within which a response has its full value.
    pub objective: Duration,
    /// Longest time between two events of a stream that is on time; zero if there is no limit.
    pub gap: Duration,
    /// Largest number of targets on which one request may run.
    pub attempts: u32,
    /// Services with their weights.
    pub services: Vec<(Arc<str>, u32)>,
    /// Requests need no API key.
    pub public: bool,
    /// Regions whose targets may serve the route; empty for all.
    pub regions: Vec<Arc<str>>,
    /// Time from the first submission of a job within which all results are due.
    pub due: Duration,
    /// Time from the first submission of a job after which items may be given up.
    pub keep: Duration,
    /// Largest number of tokens of an account's unfinished items; 0 for no limit.
    pub max_waiting: u64,
    /// Rank of its requests while places are scarce; 0 is the highest.
    pub priority: u32,
}

impl RouteSpec {
    /// Returns the service for a request, by weight; `draw` is a random number.
    pub fn service(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut rest = draw % total.max(1);
        self.services
            .iter()
            .find(|(_, weight)| {
                let weight = u64::from(*weight);
                let chosen = rest < weight;
                rest = rest.saturating_sub(weight);
                chosen
            })
            .map(|(name, _)| name)
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountSpec {
    /// Name of the account.
    pub name: AccountName,
    /// Requests a second over all instances; 0 for no limit.
    pub rate: f64,
    /// Requests that may arrive at once after an idle period.
    pub burst: f64,
    /// Regions whose targets may serve the account; empty for all.
    pub regions: Vec<Arc<str>>,
    /// Rank of its requests, which precedes that of their route; `None` if it has none.
    pub priority: Option<u32>,
}

/// A service that targets belong to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections that one target accepts from all callers.
    pub max_conns: u32,
    /// Requests a second that a cold target sustains; 0 for no limit.
    pub cold_rate: f64,
    /// Time for which a target is cold after its start.
    pub cold_time: Duration,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time within which the headers have to arrive.
    pub header_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version of the configuration; versions only rise.
    pub version: u64,
    /// Limits on callers' requests.
    pub limits: Limits,
    /// Whether requests need an API key.
    pub requires_keys: bool,
    /// Whether routes of online requests and accounts name more than one rank.
    pub ranks_differ: bool,
    /// Whether a route takes batch jobs without an API key.
    pub has_public_jobs: bool,
    hosts: HashMap<Arc<str>, Vec<Arc<RouteSpec>>>,
    keys: HashMap<Arc<str>, Arc<AccountSpec>>,
    accounts: HashMap<AccountName, Arc<AccountSpec>>,
    services: HashMap<Arc<str>, ServiceSpec>,
}

impl Catalog {
    /// Builds the configuration from its parts. Each account comes with its API keys.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<RouteSpec>,
        accounts: Option<Vec<(AccountSpec, Vec<Arc<str>>)>>,
        services: Vec<ServiceSpec>,
    ) -> Self {
        let mut catalog =
            Self { version, limits, requires_keys: accounts.is_some(), ..Self::default() };
        let online = routes.iter().filter(|route| route.kind != RouteKind::Batch);
        let of_routes = online.map(|route| route.priority);
        let of_accounts = accounts.iter().flatten().filter_map(|(account, _)| account.priority);
        let ranks: HashSet<u32> = of_routes.chain(of_accounts).collect();
        catalog.ranks_differ = ranks.len() > 1;
        catalog.has_public_jobs =
            routes.iter().any(|route| route.kind == RouteKind::Batch && route.public);
        for route in routes {
            let list = catalog.hosts.entry(route.host.clone()).or_default();
            list.push(Arc::new(route));
        }
        for list in catalog.hosts.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        for (account, keys) in accounts.unwrap_or_default() {
            let account = Arc::new(account);
            catalog.keys.extend(keys.into_iter().map(|key| (key, account.clone())));
            catalog.accounts.insert(account.name.clone(), account);
        }
        let named = services.into_iter().map(|service| (service.name.clone(), service));
        catalog.services = named.collect();
        catalog
    }

    /// Returns the route of a request: of the host's routes the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        self.hosts.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the routes of a host, the longest prefix first.
    pub fn host_routes(&self, host: &str) -> &[Arc<RouteSpec>] {
        self.hosts.get(host).map_or(&[], Vec::as_slice)
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteSpec>> {
        self.hosts.values().flatten()
    }

    /// Returns the account that an API key belongs to.
    pub fn account_of(&self, key: &str) -> Option<&Arc<AccountSpec>> {
        self.keys.get(key)
    }

    /// Returns an account by its name.
    pub fn account(&self, name: &AccountName) -> Option<&Arc<AccountSpec>> {
        self.accounts.get(name)
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<AccountSpec>> {
        self.accounts.values()
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the longest time for which a target of any service is cold.
    pub fn cold_time(&self) -> Duration {
        self.services.values().map(|service| service.cold_time).max().unwrap_or_default()
    }

    /// Returns the rank of a request while places are scarce: that of its account, else that of its
    /// route.
    pub fn rank(route: &RouteSpec, account: Option<&AccountSpec>) -> u32 {
        account.and_then(|account| account.priority).unwrap_or(route.priority)
    }

    /// Returns the regions in which a request may run, or `None` for all.
    pub fn regions(route: &RouteSpec, account: Option<&AccountSpec>) -> Option<HashSet<Arc<str>>> {
        let of_account = account.map_or(&[][..], |account| &account.regions);
        match (route.regions.is_empty(), of_account.is_empty()) {
            (true, true) => None,
            (false, true) => Some(route.regions.iter().cloned().collect()),
            (true, false) => Some(of_account.iter().cloned().collect()),
            (false, false) => {
                let both = route.regions.iter().filter(|region| of_account.contains(region));
                Some(both.cloned().collect())
            }
        }
    }
}

/// Returns the key of an account in datagrams.
pub fn account_key(name: &AccountName) -> u32 {
    xxh3_64(name.as_str().as_bytes()) as u32
}
