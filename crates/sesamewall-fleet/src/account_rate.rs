//! Rate limits of client accounts over all instances, without an owner of an account.
//!
//! Every hub keeps a bucket of the whole fleet for each account and subtracts the tokens that its
//! members and the groups of the other hubs report as consumed. A member takes the levels from the
//! digests of its assigned hub and subtracts the tokens that the hub has not yet counted. While
//! some instances are missing, the refill and the capacity shrink to the coverage; the sides of a
//! split fleet together never refill faster than the whole one.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use sesamewall_protocol::seconds;

use crate::AccountUsage;
use crate::Catalog;
use crate::catalog::account_key;

/// Settings of the shared rate limits.
#[derive(Clone, Debug)]
pub struct RateSettings {
    /// Time without a datagram after which an instance counts as cut off, so that the tokens it
    /// consumed meanwhile came from the rate of its own side of a split fleet. It is the live
    /// timeout of the beacons.
    pub live_timeout: Duration,
    /// Time after a start for which the level of a bucket is awaited from another instance.
    pub sync_time: Duration,
    /// Fraction of the limit's slack that buckets start with when no instance knows their level.
    /// All instances were down then, and each account may have used its whole burst just before.
    pub restart_fraction: f64,
    /// Largest debt of a bucket, in seconds of its rate. Consumption that is reported late lowers
    /// the level no further.
    pub max_debt: f64,
}

impl Default for RateSettings {
    fn default() -> Self {
        Self {
            live_timeout: Duration::from_millis(700),
            sync_time: Duration::from_millis(500),
            restart_fraction: 0.8,
            max_debt: 1.0,
        }
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    refilled_at: Time,
    /// Tokens that the local group has consumed since the start of the process.
    group_consumed: i64,
    /// Tokens that the local instance has consumed.
    local_consumed: i64,
    /// Time of the last change of `group_consumed`.
    changed_at: Time,
    /// Time at which the level is assumed if no other instance reports it; `None` once it is known.
    unknown_until: Option<Time>,
}

/// Seconds of the rate, fraction of the burst and number of requests by which the platform's limit
/// exceeds rate and burst: a tenth of five seconds, a tenth of the burst and twenty requests.
const LIMIT_SLACK: (f64, f64, f64) = (0.5, 0.1, 20.0);

impl Bucket {
    fn refill(&mut self, settings: &RateSettings, coverage: f64, now: Time) {
        if self.unknown_until.is_some_and(|until| until <= now) {
            let (seconds, burst, requests) = LIMIT_SLACK;
            let slack = seconds * self.rate + burst * self.burst + requests;
            self.level += (settings.restart_fraction * slack).min(self.burst) * coverage;
            self.unknown_until = None;
        }
        let seconds = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level =
            (self.level + self.rate * coverage * seconds).min(self.burst.max(1.0) * coverage);
    }
}

#[derive(Clone, Debug, Default)]
struct PeerUsage {
    boot_id: u64,
    received_at: Time,
    consumed: HashMap<u32, i64>,
    /// The instance had timed out before its last datagram: the tokens it consumed meanwhile came
    /// from the rate of its own side of a split fleet.
    resumed: bool,
}

/// Time for which beacons or reports repeat the usage of an account, so that a few lost ones do no
/// harm.
const REPEAT_WINDOW: Duration = Duration::from_millis(400);

/// Number of accounts up to which every beacon lists all of them.
const FEW_ACCOUNTS: usize = 16;

/// One in this many beacons lists all accounts.
const FULL_INTERVAL: u64 = 32;

/// Fraction of the burst below which digests list an account's level.
pub const LOW_FRACTION: f64 = 0.7;

/// Number of local consumptions that a member keeps until a digest of its assigned hub includes
/// them.
const MAX_PENDING: usize = 4096;

/// The buckets of all accounts.
#[derive(Clone, Debug, Default)]
pub struct AccountRates {
    settings: RateSettings,
    buckets: HashMap<u32, Bucket>,
    peer_usage: HashMap<InstanceName, PeerUsage>,
    configured: bool,
    sequence: u64,
    /// Local consumption that no digest includes yet: the report that lists it, the account, and
    /// the tokens.
    pending: VecDeque<(u64, u32, i64)>,
}

impl AccountRates {
    /// Creates the buckets of a process without accounts.
    pub fn new(settings: RateSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Applies the accounts of a configuration. `first_start` is true if no instance of the fleet
    /// ran before, so that full buckets cannot repeat a burst. Accounts that a later version adds
    /// start full.
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
                refilled_at: now,
                group_consumed: 0,
                local_consumed: 0,
                changed_at: now,
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

    /// Assumes the levels that are unknown at this instance. The caller has received from all other
    /// instances, and none of them reported these levels.
    pub fn assume_levels(&mut self, now: Time) {
        for bucket in self.buckets.values_mut() {
            bucket.unknown_until = bucket.unknown_until.map(|until| until.min(now));
        }
    }

    /// Takes a token. `coverage` is the live fraction of the fleet. Fails with the time until a
    /// token is expected.
    pub fn take(
        &mut self,
        account: &AccountName,
        coverage: f64,
        now: Time,
    ) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(&account_key(account)) else { return Ok(()) };
        bucket.refill(&self.settings, coverage, now);
        if bucket.level >= 1.0 {
            self.consume(account_key(account), 1, now);
            return Ok(());
        }
        let missing = (1.0 - bucket.level) / (bucket.rate * coverage).max(0.001);
        Err(seconds(missing.min(60.0)))
    }

    fn consume(&mut self, account: u32, tokens: i64, now: Time) {
        let Some(bucket) = self.buckets.get_mut(&account) else { return };
        bucket.level -= tokens as f64;
        bucket.group_consumed += tokens;
        bucket.local_consumed += tokens;
        bucket.changed_at = now;
        self.pending.push_back((self.sequence + 1, account, tokens));
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
    }

    /// Returns a token to the bucket for a request that no target ran.
    pub fn refund(&mut self, account: &AccountName, now: Time) {
        self.consume(account_key(account), -1, now);
    }

    /// Subtracts the tokens that a member of the local group has consumed since its last report.
    pub fn on_member_report(
        &mut self,
        instance: &InstanceName,
        boot_id: u64,
        report: &[(u32, i64)],
        now: Time,
    ) {
        let known = self.peer_usage.entry(instance.clone()).or_default();
        let timed_out = now.since(known.received_at) > self.settings.live_timeout;
        if known.boot_id != boot_id || timed_out {
            // What the member consumed before was counted through another hub, or is unknown.
            known.boot_id = boot_id;
            known.resumed = known.received_at != Time::ZERO && timed_out;
            known.consumed.clear();
        }
        known.received_at = now;
        for (account, consumed) in report {
            let before = known.consumed.insert(*account, *consumed);
            let Some(bucket) = self.buckets.get_mut(account) else { continue };
            let newly_consumed = consumed.saturating_sub(before.unwrap_or(*consumed));
            if newly_consumed != 0 {
                bucket.level -= newly_consumed as f64;
                bucket.level = bucket.level.max(-self.settings.max_debt * bucket.rate);
                bucket.group_consumed = bucket.group_consumed.saturating_add(newly_consumed);
                bucket.changed_at = now;
            }
        }
    }

    /// Subtracts the tokens that the group of another hub has consumed since its last beacon.
    pub fn on_hub_beacon(
        &mut self,
        instance: &InstanceName,
        boot_id: u64,
        report: &[AccountUsage],
        coverage: f64,
        now: Time,
    ) {
        let first = !self.peer_usage.contains_key(instance);
        let known = self.peer_usage.entry(instance.clone()).or_default();
        let timed_out = !first && now.since(known.received_at) > self.settings.live_timeout;
        if timed_out {
            known.resumed = true;
            known.consumed.clear();
        }
        if known.boot_id != boot_id {
            // All tokens that a new process reports were consumed since its start.
            known.resumed = first || timed_out;
            known.consumed.clear();
            known.boot_id = boot_id;
        }
        known.received_at = now;
        for usage in report {
            let before = known.consumed.insert(usage.account, usage.consumed);
            let Some(bucket) = self.buckets.get_mut(&usage.account) else { continue };
            bucket.refill(&self.settings, coverage, now);
            let level = usage.level.filter(|level| level.is_finite());
            if let Some(level) = level
                && bucket.unknown_until.take().is_some()
            {
                bucket.level = f64::from(level);
                continue;
            }
            match (before, known.resumed) {
                // The group consumed these tokens from the rate of its own side of a split fleet
                // meanwhile, or before this process first received from it.
                (None, true) => {
                    bucket.level = bucket.level.min(level.map_or(f64::MAX, f64::from));
                }
                (before, _) => {
                    bucket.level -= usage.consumed.saturating_sub(before.unwrap_or(0)) as f64;
                }
            }
            bucket.level = bucket.level.max(-self.settings.max_debt * bucket.rate);
        }
    }

    /// Applies the levels of the assigned hub's digest, which includes the local reports up to
    /// `acked`.
    pub fn on_digest(
        &mut self,
        acked: u64,
        known: bool,
        low_accounts: &[(u32, f32)],
        coverage: f64,
        now: Time,
    ) {
        while self.pending.front().is_some_and(|(sequence, _, _)| *sequence <= acked) {
            self.pending.pop_front();
        }
        if !known {
            return;
        }
        let mut pending: HashMap<u32, i64> = HashMap::new();
        for (_, account, tokens) in &self.pending {
            *pending.entry(*account).or_default() += tokens;
        }
        let low_accounts: HashMap<u32, f32> =
            low_accounts.iter().copied().filter(|(_, level)| level.is_finite()).collect();
        for (account, bucket) in &mut self.buckets {
            bucket.refill(&self.settings, coverage, now);
            let consumed = pending.get(account).copied().unwrap_or_default() as f64;
            match low_accounts.get(account) {
                Some(level) => bucket.level = f64::from(*level) - consumed,
                // The hub lists all accounts below this level.
                None if bucket.unknown_until.is_some() => {
                    bucket.level = LOW_FRACTION * bucket.burst - consumed
                }
                None => {
                    bucket.level =
                        bucket.level.max(LOW_FRACTION * bucket.burst * coverage - consumed)
                }
            }
            bucket.unknown_until = None;
        }
    }

    /// Removes the usage of an instance that is no longer live as a member.
    pub fn drop_member(&mut self, instance: &InstanceName) {
        self.peer_usage.remove(instance);
    }

    /// Returns the usage of the local group for beacon `sequence`.
    pub fn group_usage(&self, sequence: u64, now: Time) -> Vec<AccountUsage> {
        let all = self.buckets.len() <= FEW_ACCOUNTS || sequence.is_multiple_of(FULL_INTERVAL);
        let listed = |bucket: &&Bucket| all || now.since(bucket.changed_at) < REPEAT_WINDOW;
        self.buckets
            .iter()
            .filter(|(_, bucket)| listed(bucket))
            .map(|(account, bucket)| AccountUsage {
                account: *account,
                consumed: bucket.group_consumed,
                level: bucket.unknown_until.is_none().then_some(bucket.level as f32),
            })
            .collect()
    }

    /// Returns the local usage for report `sequence`, and records the sequence so that a digest can
    /// confirm it.
    pub fn local_usage(&mut self, sequence: u64, now: Time) -> Vec<(u32, i64)> {
        self.sequence = sequence;
        let listed = |bucket: &&Bucket| {
            bucket.local_consumed != 0 && now.since(bucket.changed_at) < REPEAT_WINDOW
        };
        let buckets = self.buckets.iter().filter(|(_, bucket)| listed(bucket));
        buckets.map(|(account, bucket)| (*account, bucket.local_consumed)).collect()
    }

    /// Returns whether the levels are known at all, and the levels of the accounts below
    /// `LOW_FRACTION` of the burst, for a digest.
    pub fn low_accounts(&mut self, coverage: f64, now: Time) -> (bool, Vec<(u32, f32)>) {
        let mut known = self.configured;
        let mut low_accounts = Vec::new();
        for (account, bucket) in &mut self.buckets {
            bucket.refill(&self.settings, coverage, now);
            known &= bucket.unknown_until.is_none();
            if bucket.level < LOW_FRACTION * bucket.burst * coverage {
                low_accounts.push((*account, bucket.level as f32));
            }
        }
        (known, low_accounts)
    }

    /// Returns the tokens in an account's bucket, for logs and dumps.
    pub fn level(&self, account: &AccountName) -> Option<f64> {
        self.buckets.get(&account_key(account)).map(|bucket| bucket.level)
    }
}
