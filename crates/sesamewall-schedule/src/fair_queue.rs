//! Orders waiting requests by account with start-time fair queueing.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::Time;

/// Virtual time of one token at weight 1. The scale keeps the precision of weights in integers.
const TOKEN_SCALE: f64 = 1024.0;
/// Entries of one account that are examined when its first entries cannot be served. The limit
/// bounds the cost of one decision.
const MAX_EXAMINED: usize = 8;
const MIN_PRUNE: usize = 1024;

/// Order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// By the virtual start time of the account.
    Fair,
    /// By arrival; a baseline for experiments.
    Arrival,
}

/// Settings of a queue.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// Order of service.
    pub order: Order,
    /// Largest number of entries.
    pub max_entries: usize,
    /// Largest waiting work, in seconds at the measured service rate.
    pub max_seconds: f64,
    /// Number of entries that may wait whatever the measured rate is. During slow start the rate of
    /// the last seconds does not predict the rate of the next ones.
    pub min_entries: usize,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self { order: Order::Fair, max_entries: 1024, max_seconds: 4.0, min_entries: 32 }
    }
}

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// The request.
    pub request: RequestId,
    /// The client account.
    pub account: AccountName,
    /// Weight of the account.
    pub weight: f64,
    /// Expected work in tokens.
    pub work: u64,
    /// Places the request before the other entries of its account.
    pub urgent: bool,
    /// Time of arrival.
    pub arrived: Time,
    /// Time at which the wait ends.
    pub deadline: Time,
    /// Data that the caller stores with the entry.
    pub item: T,
}

#[derive(Debug)]
struct Backlog<T> {
    start_tag: u128,
    order: u128,
    weight: f64,
    work: u64,
    entries: VecDeque<Entry<T>>,
}

/// Holds the waiting requests of one class and model. The account with the smallest virtual start
/// time is served first (P. Goyal, H. Vin and H. Cheng, "Start-time Fair Queuing: A Scheduling
/// Algorithm for Integrated Services Packet Switching Networks", SIGCOMM 1996). Work is counted in
/// tokens.
#[derive(Debug)]
pub struct FairQueue<T> {
    settings: QueueSettings,
    accounts: HashMap<AccountName, Backlog<T>>,
    order: BTreeSet<(u128, AccountName)>,
    request_accounts: HashMap<RequestId, AccountName>,
    virtual_time: u128,
    work: u64,
    rate: Option<f64>,
    measured_at: Time,
    busy_us: u64,
    served: u64,
    prune_at: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            accounts: HashMap::new(),
            order: BTreeSet::new(),
            request_accounts: HashMap::new(),
            virtual_time: 0,
            work: 0,
            rate: None,
            measured_at: Time::ZERO,
            busy_us: 0,
            served: 0,
            prune_at: MIN_PRUNE,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.request_accounts.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.request_accounts.is_empty()
    }

    /// Returns whether `request` waits.
    pub fn contains(&self, request: &RequestId) -> bool {
        self.request_accounts.contains_key(request)
    }

    /// Returns the waiting work in tokens.
    pub fn work(&self) -> u64 {
        self.work
    }

    /// Returns the measured service rate in tokens a second, or `None` until the queue has been
    /// busy for a second.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Iterates over the waiting requests in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry<T>> {
        self.accounts.values().flat_map(|backlog| backlog.entries.iter())
    }

    /// Adds a request. Returns the entries that were refused to keep the limits of the queue: the
    /// newest ones of the account with the largest backlog relative to its weight, possibly `entry`
    /// itself.
    pub fn push(&mut self, entry: Entry<T>, now: Time) -> Vec<Entry<T>> {
        self.measure(now);
        self.prune();
        let virtual_time = self.virtual_time;
        let account = entry.account.clone();
        self.request_accounts.insert(entry.request.clone(), account.clone());
        self.work += entry.work;
        let backlog = self.accounts.entry(account.clone()).or_insert_with(|| Backlog {
            start_tag: 0,
            order: 0,
            weight: 1.0,
            work: 0,
            entries: VecDeque::new(),
        });
        backlog.weight = if entry.weight.is_finite() { entry.weight.clamp(1e-3, 1e6) } else { 1.0 };
        backlog.work += entry.work;
        let idle = backlog.entries.is_empty();
        if entry.urgent {
            let index = backlog.entries.iter().take_while(|other| other.urgent).count();
            backlog.entries.insert(index, entry);
        } else {
            backlog.entries.push_back(entry);
        }
        if idle {
            backlog.start_tag = backlog.start_tag.max(virtual_time);
            self.add_to_order(&account);
        }
        let mut refused = Vec::new();
        while self.is_over() {
            match self.refuse() {
                Some(entry) => refused.push(entry),
                None => break,
            }
        }
        refused
    }

    /// Removes and returns the next request that `serves` accepts.
    pub fn pop(
        &mut self,
        now: Time,
        mut serves: impl FnMut(&Entry<T>) -> bool,
    ) -> Option<Entry<T>> {
        self.measure(now);
        let (account, index) = self.order.iter().find_map(|(_, account)| {
            let entries = &self.accounts.get(account)?.entries;
            let index = entries.iter().take(MAX_EXAMINED).position(&mut serves)?;
            Some((account.clone(), index))
        })?;
        let start_tag = self.accounts.get(&account)?.start_tag;
        self.virtual_time = self.virtual_time.max(start_tag);
        let entry = self.take(&account, index, true)?;
        self.served += entry.work;
        Some(entry)
    }

    /// Removes a request that timed out or whose caller disconnected.
    pub fn remove(&mut self, request: &RequestId, now: Time) -> Option<Entry<T>> {
        self.measure(now);
        let account = self.request_accounts.get(request)?.clone();
        let entries = &self.accounts.get(&account)?.entries;
        let index = entries.iter().position(|entry| &entry.request == request)?;
        self.take(&account, index, false)
    }

    /// Removes and returns all requests for which `matches` returns true.
    pub fn remove_where(
        &mut self,
        now: Time,
        matches: impl Fn(&Entry<T>) -> bool,
    ) -> Vec<Entry<T>> {
        let mut names: Vec<_> =
            self.iter().filter(|entry| matches(entry)).map(|entry| entry.request.clone()).collect();
        names.sort();
        names.iter().filter_map(|request| self.remove(request, now)).collect()
    }

    /// Corrects the service that is charged to the account when a request of `expected` tokens used
    /// `actual` tokens.
    pub fn correct(&mut self, account: &AccountName, expected: u64, actual: u64) {
        let Some(backlog) = self.accounts.get_mut(account) else { return };
        let weight = backlog.weight;
        let is_ordered = !backlog.entries.is_empty();
        if is_ordered {
            self.order.remove(&(backlog.order, account.clone()));
        }
        if actual >= expected {
            backlog.start_tag += cost(actual - expected, weight);
        } else {
            backlog.start_tag = backlog.start_tag.saturating_sub(cost(expected - actual, weight));
        }
        if is_ordered {
            self.add_to_order(account);
        }
    }

    fn add_to_order(&mut self, account: &AccountName) {
        let Some(backlog) = self.accounts.get_mut(account) else { return };
        backlog.order = match (self.settings.order, backlog.entries.front()) {
            (Order::Arrival, Some(entry)) => u128::from(entry.arrived.as_micros()),
            _ => backlog.start_tag,
        };
        self.order.insert((backlog.order, account.clone()));
    }

    fn take(&mut self, account: &AccountName, index: usize, served: bool) -> Option<Entry<T>> {
        let backlog = self.accounts.get_mut(account)?;
        self.order.remove(&(backlog.order, account.clone()));
        let entry = backlog.entries.remove(index)?;
        backlog.work -= entry.work;
        self.work -= entry.work;
        self.request_accounts.remove(&entry.request);
        if served {
            backlog.start_tag += cost(entry.work, backlog.weight);
        }
        if !backlog.entries.is_empty() {
            self.add_to_order(account);
        }
        Some(entry)
    }

    fn is_over(&self) -> bool {
        let seconds = self.rate.is_some_and(|rate| {
            self.len() > self.settings.min_entries
                && self.work as f64 > rate * self.settings.max_seconds
        });
        self.len() > self.settings.max_entries || seconds
    }

    fn refuse(&mut self) -> Option<Entry<T>> {
        if self.settings.order == Order::Arrival {
            let newest = self.iter().max_by_key(|entry| (entry.arrived, entry.request.clone()))?;
            let request = newest.request.clone();
            let account = self.request_accounts.get(&request)?.clone();
            let entries = &self.accounts.get(&account)?.entries;
            let index = entries.iter().position(|entry| entry.request == request)?;
            return self.take(&account, index, false);
        }
        let (account, _) = self
            .order
            .iter()
            .filter_map(|(_, account)| {
                let backlog = self.accounts.get(account)?;
                Some((account, backlog.work as f64 / backlog.weight))
            })
            .max_by(|left, right| left.1.total_cmp(&right.1).then(left.0.cmp(right.0)))?;
        let account = account.clone();
        let last = self.accounts.get(&account)?.entries.len().checked_sub(1)?;
        self.take(&account, last, false)
    }

    /// Measures the service rate over the time in which requests waited, since the rate of an idle
    /// queue does not show how much the targets can serve.
    fn measure(&mut self, now: Time) {
        let elapsed = now.since(self.measured_at).as_micros() as u64;
        self.measured_at = now;
        if self.is_empty() {
            self.busy_us = 0;
            self.served = 0;
            return;
        }
        self.busy_us += elapsed;
        if self.busy_us >= 1_000_000 {
            let sample = self.served as f64 * 1e6 / self.busy_us as f64;
            // A second without any service is a stall of the targets, not their rate.
            if sample > 0.0 {
                self.rate = Some(self.rate.map_or(sample, |rate| rate + 0.5 * (sample - rate)));
            }
            self.busy_us = 0;
            self.served = 0;
        }
    }

    fn prune(&mut self) {
        if self.accounts.len() < self.prune_at {
            return;
        }
        let virtual_time = self.virtual_time;
        self.accounts
            .retain(|_, backlog| !backlog.entries.is_empty() || backlog.start_tag > virtual_time);
        self.prune_at = MIN_PRUNE.max(2 * self.accounts.len());
    }
}

fn cost(work: u64, weight: f64) -> u128 {
    (work as f64 * TOKEN_SCALE / weight) as u128
}
