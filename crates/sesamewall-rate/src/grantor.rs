//! Grants tokens at a domain lead.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::RateDenial;
use sesamewall_protocol::peer::RateGrant;
use sesamewall_protocol::peer::RateRequest;

use crate::Bucket;
use crate::GRANT_WAIT;
use crate::Inherited;
use crate::Limits;
use crate::reserve_share;

const WASTE_SEGMENTS: usize = 64;

/// Configures a grantor.
#[derive(Clone, Debug)]
pub struct GrantorSettings {
    /// Epoch of the lead.
    pub epoch: u64,
    /// Share of the failure domain in each rate, in billionths.
    pub share: u64,
    /// Time without grants after a takeover, and time after which a silent holder's grants ended.
    pub wait: Duration,
    /// Largest number of grant holders for one account.
    pub max_holders: usize,
}

impl Default for GrantorSettings {
    fn default() -> Self {
        Self { epoch: 1, share: 0, wait: GRANT_WAIT, max_holders: 1024 }
    }
}

/// Owns the buckets of one failure domain during one epoch of its lead.
///
/// For each account, level + outstanding never exceeds the burst of the shares in force, where
/// outstanding is what was granted and not yet reported as spent or returned.
#[derive(Debug)]
pub struct Grantor {
    settings: GrantorSettings,
    start: Time,
    sessions: u64,
    full_until: Time,
    inherited: BTreeMap<DomainName, Inherited>,
    accounts: HashMap<AccountName, Account>,
}

#[derive(Debug)]
struct Account {
    limits: Limits,
    bucket: Bucket,
    outstanding: u64,
    holders: BTreeMap<u64, Counter>,
    waste: VecDeque<Waste>,
    capacity: u64,
    next_check: Time,
}

#[derive(Debug)]
struct Counter {
    session: u64,
    sequence: u64,
    granted: u64,
    spent: u64,
    returned: u64,
    contact: Time,
}

/// Refill that found the bucket full, evenly spread from `start` to `end`.
#[derive(Debug)]
struct Waste {
    start: Time,
    end: Time,
    tokens: u64,
}

impl Grantor {
    /// Returns the grantor of a lead that took over at `now`. It grants nothing for the wait of the
    /// settings, and its buckets refill from zero after that.
    pub fn new(settings: GrantorSettings, now: Time) -> Self {
        let start = now + settings.wait;
        Self {
            settings,
            start,
            sessions: 0,
            full_until: Time::ZERO,
            inherited: BTreeMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Sets rate and burst of an account key. A lower value takes effect at once. An older
    /// revision is ignored.
    pub fn set_limits(&mut self, key: &AccountName, limits: Limits, now: Time) {
        self.settle(key, now);
        let start = self.start.max(now);
        let account = self.accounts.entry(key.clone()).or_insert_with(|| Account {
            limits,
            bucket: Bucket::new(0, 0, start),
            outstanding: 0,
            holders: BTreeMap::new(),
            waste: VecDeque::new(),
            capacity: 0,
            next_check: now,
        });
        if limits.revision >= account.limits.revision {
            account.limits = limits;
            account.waste.clear();
        }
        self.settle(key, now);
    }

    /// Removes an account key. Its tokens are gone; a later key of this name starts at level 0.
    pub fn remove(&mut self, key: &AccountName) {
        self.accounts.remove(key);
    }

    /// Sets the end of the floor lease and the floors inherited from other failure domains.
    pub fn set_floor(
        &mut self,
        full_until: Time,
        inherited: BTreeMap<DomainName, Inherited>,
        now: Time,
    ) {
        if full_until == self.full_until && inherited == self.inherited {
            return;
        }
        let keys: Vec<_> = self.accounts.keys().cloned().collect();
        for key in &keys {
            self.settle(key, now);
        }
        self.full_until = full_until;
        self.inherited = inherited;
        for key in &keys {
            self.settle(key, now);
        }
    }

    /// Returns level and outstanding tokens of an account key and the largest value of their sum.
    pub fn levels(&mut self, key: &AccountName, now: Time) -> Option<(u64, u64, u64)> {
        self.settle(key, now);
        let account = self.accounts.get(key)?;
        Some((account.bucket.level(), account.outstanding, account.capacity))
    }

    /// Returns the number of (account key, holder) pairs kept.
    pub fn holders(&self) -> usize {
        self.accounts.values().map(|account| account.holders.len()).sum()
    }

    /// Drops the counters of holders that have been silent for the wait.
    pub fn tick(&mut self, now: Time) {
        let due = |account: &&AccountName| self.accounts[*account].next_check <= now;
        let keys: Vec<_> = self.accounts.keys().filter(due).cloned().collect();
        for key in &keys {
            self.settle(key, now);
        }
    }

    /// Answers an ask. Nothing is granted from `valid_until` on, the end of the lead's lease.
    pub fn ask(&mut self, ask: &RateRequest, now: Time, valid_until: Time) -> RateGrant {
        if now < self.start || now >= valid_until {
            return self.denied(ask, RateDenial::NotReady);
        }
        self.settle(&ask.account, now);
        let share = self.share(now);
        let Some(account) = self.accounts.get_mut(&ask.account) else {
            return self.denied(ask, RateDenial::UnknownAccount);
        };
        if !account.holders.contains_key(&ask.incarnation) {
            if account.holders.len() >= self.settings.max_holders {
                return self.denied(ask, RateDenial::TooManyHolders);
            }
            self.sessions += 1;
            account.open(ask.incarnation, self.sessions, now);
        }
        account.next_check = account.next_check.min(now + self.settings.wait);
        account.report(ask, self.settings.epoch, now);
        let missing = account.grant(ask, now);
        let rate = account.limits.part(share).0;
        let counter = &account.holders[&ask.incarnation];
        RateGrant {
            account: ask.account.clone(),
            incarnation: ask.incarnation,
            epoch: self.settings.epoch,
            session: counter.session,
            sequence: ask.sequence,
            granted_total: counter.granted,
            revision: account.limits.revision,
            level: account.bucket.level(),
            capacity: account.capacity,
            refill: rate / 1000,
            retry_us: missing.saturating_mul(1_000_000_000).checked_div(rate).unwrap_or(u64::MAX),
            denial: None,
        }
    }

    fn denied(&self, ask: &RateRequest, denial: RateDenial) -> RateGrant {
        RateGrant {
            account: ask.account.clone(),
            incarnation: ask.incarnation,
            epoch: 0,
            session: 0,
            sequence: ask.sequence,
            granted_total: 0,
            revision: 0,
            level: 0,
            capacity: 0,
            refill: 0,
            retry_us: u64::try_from(self.settings.wait.as_micros()).unwrap_or(u64::MAX),
            denial: Some(denial),
        }
    }

    /// Returns the share in force at `at`, in billionths.
    fn share(&self, at: Time) -> u64 {
        let own = self.settings.share;
        let own = if at < self.full_until { own } else { reserve_share(own) };
        let inherited = self.inherited.values();
        own + inherited.filter(|i| i.from <= at && at < i.until).map(|i| i.share).sum::<u64>()
    }

    /// Refills piece by piece between the moments at which the share changes.
    fn settle(&mut self, key: &AccountName, now: Time) {
        let Some(account) = self.accounts.get(key) else { return };
        let (from, mut steps) = (account.bucket.at(), vec![now]);
        let changes = self.inherited.values().flat_map(|i| [i.from, i.until]);
        let changes = changes.chain([self.full_until]);
        steps.extend(changes.filter(|at| *at > from && *at < now));
        steps.sort_unstable();
        let mut at = from;
        for step in steps {
            let (share, after) = (self.share(at), self.share(step));
            if let Some(account) = self.accounts.get_mut(key) {
                account.refill(step, share);
                account.clamp(after);
                account.write_off(step, self.settings.wait);
            }
            at = at.max(step);
        }
    }
}

impl Account {
    fn open(&mut self, incarnation: u64, session: u64, now: Time) {
        let counter =
            Counter { session, sequence: 0, granted: 0, spent: 0, returned: 0, contact: now };
        self.holders.insert(incarnation, counter);
    }

    fn refill(&mut self, now: Time, share: u64) {
        let (rate, capacity) = self.limits.part(share);
        let from = self.bucket.at();
        self.bucket.set_rate(rate);
        let wasted = self.bucket.refill(now, capacity.saturating_sub(self.outstanding));
        if wasted > 0 && now > from {
            if self.waste.len() >= WASTE_SEGMENTS {
                self.waste.pop_front();
            }
            // The bucket filled up first and overflowed after that.
            let micros = wasted.saturating_mul(1_000_000_000).checked_div(rate).unwrap_or(0);
            let start = from.max(now - Duration::from_micros(micros));
            self.waste.push_back(Waste { start, end: now, tokens: wasted });
        }
    }

    fn clamp(&mut self, share: u64) {
        let (rate, capacity) = self.limits.part(share);
        self.bucket.set_rate(rate);
        if capacity < self.capacity {
            self.waste.clear();
        }
        self.capacity = capacity;
        self.bucket.put(0, capacity.saturating_sub(self.outstanding));
    }

    fn write_off(&mut self, now: Time, wait: Duration) {
        if self.next_check > now {
            return;
        }
        let outstanding = &mut self.outstanding;
        self.holders.retain(|_, counter| {
            let keep = now < counter.contact + wait;
            if !keep {
                *outstanding -= counter.granted - counter.spent - counter.returned;
            }
            keep
        });
        let next = self.holders.values().map(|counter| counter.contact + wait).min();
        self.next_check = next.unwrap_or(now + wait);
    }

    /// Takes in what the holder reports as spent and returned in this session.
    fn report(&mut self, ask: &RateRequest, epoch: u64, now: Time) {
        let Some(counter) = self.holders.get_mut(&ask.incarnation) else { return };
        counter.contact = now;
        if (ask.epoch, ask.session) != (epoch, counter.session) {
            return;
        }
        let left = counter.granted - counter.spent - counter.returned;
        let returned = ask.returned_total.saturating_sub(counter.returned).min(left);
        counter.returned += returned;
        self.outstanding -= returned;
        self.bucket.put(returned, self.capacity.saturating_sub(self.outstanding));
        for point in &ask.spent {
            let Some(counter) = self.holders.get_mut(&ask.incarnation) else { return };
            let left = counter.granted - counter.spent - counter.returned;
            let spent = point.total.saturating_sub(counter.spent).min(left);
            counter.spent += spent;
            self.outstanding -= spent;
            let regained = self.regain(spent, now - Duration::from_micros(point.age_us));
            self.bucket.put(regained, self.capacity.saturating_sub(self.outstanding));
        }
    }

    /// Returns the refill lost since `since` only because `spent` tokens still counted as
    /// outstanding: the bucket had room for it from the moment at which they were spent.
    fn regain(&mut self, spent: u64, since: Time) -> u64 {
        let mut regained = 0;
        for waste in self.waste.iter_mut().filter(|waste| waste.end > since) {
            if regained == spent {
                break;
            }
            let length = waste.end.as_micros() - waste.start.as_micros();
            let start = waste.start.max(since);
            let usable = u128::from(waste.tokens)
                * u128::from(waste.end.as_micros() - start.as_micros())
                / u128::from(length.max(1));
            let usable = u64::try_from(usable).unwrap_or(0);
            let taken = usable.min(spent - regained);
            let moved = (waste.end.as_micros() - start.as_micros()).saturating_mul(taken);
            let moved = moved.checked_div(usable).unwrap_or(0);
            waste.start = start + Duration::from_micros(moved);
            waste.tokens = usable - taken;
            regained += taken;
        }
        self.waste.retain(|waste| waste.tokens > 0 && waste.end > waste.start);
        regained
    }

    /// Grants what a new ask needs, then part of what it wants in advance, and returns the part of
    /// the need that is missing.
    fn grant(&mut self, ask: &RateRequest, now: Time) -> u64 {
        let Some(counter) = self.holders.get_mut(&ask.incarnation) else { return ask.need };
        if ask.sequence <= counter.sequence {
            return ask.need;
        }
        counter.sequence = ask.sequence;
        counter.contact = now;
        let needed = self.bucket.take(ask.need);
        // Tokens held by one instance are missing at the others, so a bucket below half its
        // capacity grants nothing in advance.
        let spare = self.bucket.level().saturating_sub(self.capacity / 2) / 4;
        let ahead = self.bucket.take(ask.prefetch.min(spare));
        counter.granted += needed + ahead;
        self.outstanding += needed + ahead;
        ask.need - needed
    }
}
