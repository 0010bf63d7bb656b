//! The rate of client accounts over all instances, without an owner.
//!
//! Every hub keeps the bucket of the whole fleet for each account and subtracts what its members and
//! the other hubs' groups say that they spent. A member takes the levels from its home and subtracts
//! what the home does not know yet. While some instances are not heard, the refill and the capacity
//! shrink to the part of the fleet that is heard; the parts of a split fleet together never refill
//! faster than the whole one.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

use crate::Catalog;
use crate::Spending;
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

#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Time,
    /// Requests that the own group sent on since the start of the process.
    spent: i64,
    /// Requests that the own instance sent on.
    own: i64,
    /// Time of the last change of `spent`.
    changed: Time,
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

#[derive(Clone, Debug, Default)]
struct Reported {
    boot: u64,
    heard: Time,
    spent: HashMap<u32, i64>,
    /// It was silent until now: what it spent meanwhile came from its own part.
    resumed: bool,
}

/// Time for which a beacon or report repeats the spending of an account, so that a few lost ones do no
/// harm.
const REPEAT_TIME: Duration = Duration::from_millis(400);

/// Fleets with at most so many accounts always list all of them.
const FEW_ACCOUNTS: usize = 16;

/// One in so many beacons lists all accounts.
const FULL_EVERY: u64 = 32;

/// Part of the burst below which digests list an account's level.
pub const HOT_PART: f64 = 0.7;

/// Own spending that a member remembers until its home has counted it.
const MAX_PENDING: usize = 4096;

/// The buckets of all accounts.
#[derive(Clone, Debug, Default)]
pub struct AccountRates {
    settings: RateSettings,
    buckets: HashMap<u32, Bucket>,
    reported: HashMap<InstanceName, Reported>,
    configured: bool,
    sequence: u64,
    /// Own spending that no digest includes yet: the report that tells it, the account, and the tokens.
    pending: VecDeque<(u64, u32, i64)>,
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
                own: 0,
                changed: now,
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
            self.spend(account_key(account), 1, now);
            return Ok(());
        }
        let missing = (1.0 - bucket.level) / (bucket.rate * part).max(0.001);
        Err(Duration::from_secs_f64(missing.min(60.0)))
    }

    fn spend(&mut self, account: u32, tokens: i64, now: Time) {
        let Some(bucket) = self.buckets.get_mut(&account) else { return };
        bucket.level -= tokens as f64;
        bucket.spent += tokens;
        bucket.own += tokens;
        bucket.changed = now;
        self.pending.push_back((self.sequence + 1, account, tokens));
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
    }

    /// Returns a token of a request that no target ran.
    pub fn give_back(&mut self, account: &AccountName, now: Time) {
        self.spend(account_key(account), -1, now);
    }

    /// Counts what a member of the own group spent since its last report.
    pub fn on_member(
        &mut self,
        instance: &InstanceName,
        boot: u64,
        report: &[(u32, i64)],
        now: Time,
    ) {
        let known = self.reported.entry(instance.clone()).or_default();
        let silent = now.since(known.heard) > self.settings.contact_time;
        if known.boot != boot || silent {
            // What it spent before came through another hub, or is unknown.
            known.boot = boot;
            known.resumed = known.heard != Time::ZERO && silent;
            known.spent.clear();
        }
        known.heard = now;
        for (account, spent) in report {
            let before = known.spent.insert(*account, *spent);
            let Some(bucket) = self.buckets.get_mut(account) else { continue };
            let news = spent - before.unwrap_or(*spent);
            if news != 0 {
                bucket.level -= news as f64;
                bucket.level = bucket.level.max(-self.settings.max_debt * bucket.rate);
                bucket.spent += news;
                bucket.changed = now;
            }
        }
    }

    /// Subtracts what another hub's group spent since its last beacon.
    pub fn on_report(
        &mut self,
        instance: &InstanceName,
        boot: u64,
        report: &[Spending],
        part: f64,
        now: Time,
    ) {
        let first = !self.reported.contains_key(instance);
        let known = self.reported.entry(instance.clone()).or_default();
        let silent = !first && now.since(known.heard) > self.settings.contact_time;
        if silent {
            known.resumed = true;
            known.spent.clear();
        }
        if known.boot != boot {
            // A new process: all that it names was spent since its start.
            known.resumed = first || silent;
            known.spent.clear();
            known.boot = boot;
        }
        known.heard = now;
        for spending in report {
            let before = known.spent.insert(spending.account, spending.spent);
            let Some(bucket) = self.buckets.get_mut(&spending.account) else { continue };
            bucket.refill(&self.settings, part, now);
            if let Some(level) = spending.level
                && bucket.unknown_until.take().is_some()
            {
                bucket.level = f64::from(level);
                continue;
            }
            match (before, known.resumed) {
                // It spent from its own part meanwhile, or ran before this process heard it.
                (None, true) => {
                    bucket.level = bucket.level.min(spending.level.map_or(f64::MAX, f64::from));
                }
                (before, _) => bucket.level -= (spending.spent - before.unwrap_or(0)) as f64,
            }
            bucket.level = bucket.level.max(-self.settings.max_debt * bucket.rate);
        }
    }

    /// Takes over levels from the home's digest, which includes the own reports up to `acked`.
    pub fn on_digest(&mut self, acked: u64, known: bool, hot: &[(u32, f32)], part: f64, now: Time) {
        while self.pending.front().is_some_and(|(sequence, _, _)| *sequence <= acked) {
            self.pending.pop_front();
        }
        if !known {
            return;
        }
        let mut own: HashMap<u32, i64> = HashMap::new();
        for (_, account, tokens) in &self.pending {
            *own.entry(*account).or_default() += tokens;
        }
        let hot: HashMap<u32, f32> = hot.iter().copied().collect();
        for (account, bucket) in &mut self.buckets {
            bucket.refill(&self.settings, part, now);
            let spent = own.get(account).copied().unwrap_or_default() as f64;
            match hot.get(account) {
                Some(level) => bucket.level = f64::from(*level) - spent,
                // The home sees more than that in it.
                None if bucket.unknown_until.is_some() => {
                    bucket.level = HOT_PART * bucket.burst - spent
                }
                None => bucket.level = bucket.level.max(HOT_PART * bucket.burst * part - spent),
            }
            bucket.unknown_until = None;
        }
    }

    /// Forgets what an instance reported, because it is no longer heard as a member.
    pub fn drop_member(&mut self, instance: &InstanceName) {
        self.reported.remove(instance);
    }

    /// Returns the spending of the own group for beacon `sequence`.
    pub fn report(&self, sequence: u64, now: Time) -> Vec<Spending> {
        let all = self.buckets.len() <= FEW_ACCOUNTS || sequence.is_multiple_of(FULL_EVERY);
        let listed = |bucket: &&Bucket| all || now.since(bucket.changed) < REPEAT_TIME;
        self.buckets
            .iter()
            .filter(|(_, bucket)| listed(bucket))
            .map(|(account, bucket)| Spending {
                account: *account,
                spent: bucket.spent,
                level: bucket.unknown_until.is_none().then_some(bucket.level as f32),
            })
            .collect()
    }

    /// Returns the own spending for report `sequence`, and remembers which digests include it.
    pub fn own_report(&mut self, sequence: u64, now: Time) -> Vec<(u32, i64)> {
        self.sequence = sequence;
        let listed = |bucket: &&Bucket| bucket.own != 0 && now.since(bucket.changed) < REPEAT_TIME;
        let buckets = self.buckets.iter().filter(|(_, bucket)| listed(bucket));
        buckets.map(|(account, bucket)| (*account, bucket.own)).collect()
    }

    /// Returns the levels of the accounts that have little left, for a digest, and whether levels are
    /// known at all.
    pub fn hot(&mut self, part: f64, now: Time) -> (bool, Vec<(u32, f32)>) {
        let mut known = self.configured;
        let mut hot = Vec::new();
        for (account, bucket) in &mut self.buckets {
            bucket.refill(&self.settings, part, now);
            known &= bucket.unknown_until.is_none();
            if bucket.level < HOT_PART * bucket.burst * part {
                hot.push((*account, bucket.level as f32));
            }
        }
        (known, hot)
    }

    /// Returns the tokens in an account's bucket, for logs and dumps.
    pub fn level(&self, account: &AccountName) -> Option<f64> {
        self.buckets.get(&account_key(account)).map(|bucket| bucket.level)
    }
}
