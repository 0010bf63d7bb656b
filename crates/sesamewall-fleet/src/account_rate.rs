//! The rate of client accounts over all instances, without an owner.
//!
//! Every instance keeps the bucket of the whole fleet for each account and subtracts what the
//! others say that they spent. While some instances are not heard, the refill and the capacity
//! shrink to the part of the fleet that is heard; the parts of a split fleet together never refill
//! faster than the whole one.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

use crate::Catalog;
use crate::catalog::account_key;

/// Settings of the shared rates.
#[derive(Clone, Debug)]
pub struct RateSettings {
    /// Silence after which what an instance spent came from its own part: the contact time of the
    /// beacons.
    pub contact_time: Duration,
    /// Time after a start in which another instance's word about a bucket is waited for.
    pub sync_time: Duration,
    /// Part of the bound's slack that buckets start with when no instance knows their level. All
    /// instances were down then, and each account may have used its whole burst just before.
    pub restart_part: f64,
    /// Debt beyond which a late report of spending is not remembered, in seconds of the rate.
    pub max_debt: f64,
}

impl Default for RateSettings {
    fn default() -> Self {
        Self {
            contact_time: Duration::from_millis(700),
            sync_time: Duration::from_millis(500),
            restart_part: 0.8,
            max_debt: 1.0,
        }
    }
}

/// What one instance says about one account.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Spending {
    /// The account, numbered by its name's hash.
    pub account: u32,
    /// Requests sent on since the start of the process.
    pub spent: u64,
    /// Tokens that the sender sees in the bucket; `None` while it does not know.
    pub level: Option<f32>,
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Time,
    spent: u64,
    /// Time at which the bucket stops waiting for other instances; `None` once it is known.
    unknown_until: Option<Time>,
}

/// Seconds of the rate, part of the burst and requests by which the platform's bound exceeds rate and
/// burst: a tenth of five seconds, a tenth of the burst and twenty requests.
const BOUND_SLACK: (f64, f64, f64) = (0.5, 0.1, 20.0);

impl Bucket {
    fn refill(&mut self, settings: &RateSettings, part: f64, now: Time) {
        if self.unknown_until.is_some_and(|until| until <= now) {
            let (seconds, burst, requests) = BOUND_SLACK;
            let slack = seconds * self.rate + burst * self.burst + requests;
            self.level += (settings.restart_part * slack).min(self.burst) * part;
            self.unknown_until = None;
        }
        let seconds = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.level = (self.level + self.rate * part * seconds).min(self.burst.max(1.0) * part);
    }
}

#[derive(Clone, Debug)]
struct Reported {
    boot: u64,
    heard: Time,
    spent: HashMap<u32, u64>,
}

/// The buckets of all accounts.
#[derive(Clone, Debug, Default)]
pub struct AccountRates {
    settings: RateSettings,
    buckets: HashMap<u32, Bucket>,
    reported: HashMap<InstanceName, Reported>,
    configured: bool,
}

impl AccountRates {
    /// Creates the buckets of a process without accounts.
    pub fn new(settings: RateSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes over the accounts of a configuration. `first_start` tells that no instance of the fleet
    /// ran before, so that full buckets cannot repeat a burst. Accounts of later versions start full.
    pub fn configure(&mut self, catalog: &Catalog, first_start: bool, now: Time) {
        let full = first_start || self.configured;
        let limited = catalog.accounts().filter(|account| account.rate > 0.0);
        let mut buckets = HashMap::new();
        for account in limited {
            let key = account_key(&account.name);
            let mut bucket = self.buckets.remove(&key).unwrap_or(Bucket {
                rate: account.rate,
                burst: account.burst,
                level: if full { account.burst } else { 0.0 },
                at: now,
                spent: 0,
                unknown_until: (!full).then_some(now + self.settings.sync_time),
            });
            bucket.rate = account.rate;
            bucket.burst = account.burst;
            buckets.insert(key, bucket);
        }
        self.buckets = buckets;
        self.configured = true;
    }

    /// Returns the time until which the level of an account's bucket is unknown; `None` if it is known.
    pub fn unknown_until(&self, account: &AccountName, now: Time) -> Option<Time> {
        let bucket = self.buckets.get(&account_key(account))?;
        bucket.unknown_until.filter(|until| *until > now)
    }

    /// Stops waiting for other instances: all of them have been heard, and none knows the levels that are
    /// unknown here.
    pub fn stop_waiting(&mut self, now: Time) {
        for bucket in self.buckets.values_mut() {
            bucket.unknown_until = bucket.unknown_until.map(|until| until.min(now));
        }
    }

    /// Takes a token. `part` is the part of the fleet that is heard. Fails with the time until a
    /// token is expected.
    pub fn take(&mut self, account: &AccountName, part: f64, now: Time) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(&account_key(account)) else { return Ok(()) };
        bucket.refill(&self.settings, part, now);
        if bucket.level >= 1.0 {
            bucket.level -= 1.0;
            bucket.spent += 1;
            return Ok(());
        }
        let missing = (1.0 - bucket.level) / (bucket.rate * part).max(0.001);
        Err(Duration::from_secs_f64(missing.min(60.0)))
    }

    /// Returns a token of a request that no target ran.
    pub fn give_back(&mut self, account: &AccountName) {
        if let Some(bucket) = self.buckets.get_mut(&account_key(account)) {
            bucket.level += 1.0;
            bucket.spent = bucket.spent.saturating_sub(1);
        }
    }

    /// Subtracts what another instance spent since its last report.
    pub fn on_report(
        &mut self,
        instance: &InstanceName,
        boot: u64,
        report: &[Spending],
        part: f64,
        now: Time,
    ) {
        let known = self.reported.get(instance);
        let silent = known.is_some_and(|known| now.since(known.heard) > self.settings.contact_time);
        let same = known.filter(|known| known.boot == boot);
        for spending in report {
            let Some(bucket) = self.buckets.get_mut(&spending.account) else { continue };
            bucket.refill(&self.settings, part, now);
            if let Some(level) = spending.level
                && bucket.unknown_until.take().is_some()
            {
                bucket.level = f64::from(level);
                continue;
            }
            let before = match same {
                Some(known) => known.spent.get(&spending.account).copied().unwrap_or_default(),
                None => 0,
            };
            let news = spending.spent.saturating_sub(before) as f64;
            match silent || (same.is_none() && known.is_none()) {
                // It spent from its own part meanwhile, or ran before this process heard it.
                true => bucket.level = bucket.level.min(spending.level.map_or(f64::MAX, f64::from)),
                false => bucket.level -= news,
            }
            bucket.level = bucket.level.max(-self.settings.max_debt * bucket.rate);
        }
        let spent = report.iter().map(|spending| (spending.account, spending.spent)).collect();
        self.reported.insert(instance.clone(), Reported { boot, heard: now, spent });
    }

    /// Returns the own spending for the next beacon.
    pub fn report(&self) -> Vec<Spending> {
        self.buckets
            .iter()
            .map(|(account, bucket)| Spending {
                account: *account,
                spent: bucket.spent,
                level: bucket.unknown_until.is_none().then_some(bucket.level as f32),
            })
            .collect()
    }

    /// Returns the tokens in an account's bucket, for logs and dumps.
    pub fn level(&self, account: &AccountName) -> Option<f64> {
        self.buckets.get(&account_key(account)).map(|bucket| bucket.level)
    }
}
