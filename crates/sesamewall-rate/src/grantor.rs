//! Grants tokens to holders at the lead of a failure domain.

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

const LOST_REFILL_LIMIT: usize = 64;

/// Settings of a [`Grantor`].
#[derive(Clone, Debug)]
pub struct GrantorSettings {
    /// Epoch of the lead.
    pub epoch: u64,
    /// Share of each rate that belongs to the failure domain, in billionths.
    pub share: u64,
    /// Time without grants after a takeover, and time without contact after which the grants of a
    /// holder have expired.
    pub grant_wait: Duration,
    /// Maximum number of grant holders of one account.
    pub max_holders: usize,
}

impl Default for GrantorSettings {
    fn default() -> Self {
        Self { epoch: 1, share: 0, grant_wait: GRANT_WAIT, max_holders: 1024 }
    }
}

/// Manages the token buckets of one failure domain during one epoch of its lead.
///
/// For each account, level + outstanding never exceeds the burst of the shares in force.
/// Outstanding tokens are those granted and not yet reported as spent or returned.
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
    holders: BTreeMap<u64, HolderCounters>,
    lost_refills: VecDeque<LostRefill>,
    capacity: u64,
    next_check: Time,
}

#[derive(Debug)]
struct HolderCounters {
    session: u64,
    sequence: u64,
    granted: u64,
    spent: u64,
    returned: u64,
    last_contact: Time,
}

/// Refill that overflowed a full bucket, spread evenly from `start` to `end`.
#[derive(Debug)]
struct LostRefill {
    start: Time,
    end: Time,
    tokens: u64,
}

impl Grantor {
    /// Returns the grantor of a lead that took over at `now`. It grants nothing for the
    /// `grant_wait` of the settings; after that its buckets refill from zero.
    pub fn new(settings: GrantorSettings, now: Time) -> Self {
        let start = now + settings.grant_wait;
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
        self.advance(key, now);
        let start = self.start.max(now);
        let account = self.accounts.entry(key.clone()).or_insert_with(|| Account {
            limits,
            bucket: Bucket::new(0, 0, start),
            outstanding: 0,
            holders: BTreeMap::new(),
            lost_refills: VecDeque::new(),
            capacity: 0,
            next_check: now,
        });
        if limits.revision >= account.limits.revision {
            account.limits = limits;
            account.lost_refills.clear();
        }
        self.advance(key, now);
    }

    /// Removes an account key and drops its tokens. A later key of the same name starts at level 0.
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
            self.advance(key, now);
        }
        self.full_until = full_until;
        self.inherited = inherited;
        for key in &keys {
            self.advance(key, now);
        }
    }

    /// Returns the level and the outstanding tokens of an account key, and the maximum of their
    /// sum.
    pub fn levels(&mut self, key: &AccountName, now: Time) -> Option<(u64, u64, u64)> {
        self.advance(key, now);
        let account = self.accounts.get(key)?;
        Some((account.bucket.level(), account.outstanding, account.capacity))
    }

    /// Returns the number of (account key, holder) pairs that are kept.
    pub fn holders(&self) -> usize {
        self.accounts.values().map(|account| account.holders.len()).sum()
    }

    /// Drops the counters of holders that made no contact for `grant_wait`.
    pub fn tick(&mut self, now: Time) {
        let due = |account: &&AccountName| self.accounts[*account].next_check <= now;
        let keys: Vec<_> = self.accounts.keys().filter(due).cloned().collect();
        for key in &keys {
            self.advance(key, now);
        }
    }

    /// Applies a token request and returns the grant to send as the reply. From `valid_until` on,
    /// the end of the lead's lease, every request is denied.
    pub fn on_request(&mut self, request: &RateRequest, now: Time, valid_until: Time) -> RateGrant {
        if now < self.start || now >= valid_until {
            return self.deny(request, RateDenial::NotReady);
        }
        self.advance(&request.account, now);
        let share = self.share(now);
        let Some(account) = self.accounts.get_mut(&request.account) else {
            return self.deny(request, RateDenial::UnknownAccount);
        };
        if !account.holders.contains_key(&request.incarnation) {
            if account.holders.len() >= self.settings.max_holders {
                return self.deny(request, RateDenial::TooManyHolders);
            }
            self.sessions += 1;
            account.add_holder(request.incarnation, self.sessions, now);
        }
        account.next_check = account.next_check.min(now + self.settings.grant_wait);
        account.apply_report(request, self.settings.epoch, now);
        let missing = account.grant(request, now);
        let rate = account.limits.scaled(share).0;
        let holder = &account.holders[&request.incarnation];
        RateGrant {
            account: request.account.clone(),
            incarnation: request.incarnation,
            epoch: self.settings.epoch,
            session: holder.session,
            sequence: request.sequence,
            granted_total: holder.granted,
            revision: account.limits.revision,
            level: account.bucket.level(),
            capacity: account.capacity,
            refill: rate / 1000,
            retry_us: missing.saturating_mul(1_000_000_000).checked_div(rate).unwrap_or(u64::MAX),
            denial: None,
        }
    }

    fn deny(&self, request: &RateRequest, denial: RateDenial) -> RateGrant {
        RateGrant {
            account: request.account.clone(),
            incarnation: request.incarnation,
            epoch: 0,
            session: 0,
            sequence: request.sequence,
            granted_total: 0,
            revision: 0,
            level: 0,
            capacity: 0,
            refill: 0,
            retry_us: u64::try_from(self.settings.grant_wait.as_micros()).unwrap_or(u64::MAX),
            denial: Some(denial),
        }
    }

    /// Returns the share of the rates in force at `at`, in billionths.
    fn share(&self, at: Time) -> u64 {
        let local = self.settings.share;
        let local = if at < self.full_until { local } else { reserve_share(local) };
        let inherited = self.inherited.values();
        local + inherited.filter(|i| i.from <= at && at < i.until).map(|i| i.share).sum::<u64>()
    }

    /// Refills the bucket of an account key up to `now`, in one step for each period between
    /// changes of the share.
    fn advance(&mut self, key: &AccountName, now: Time) {
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
                account.expire_holders(step, self.settings.grant_wait);
            }
            at = at.max(step);
        }
    }
}

impl Account {
    fn add_holder(&mut self, incarnation: u64, session: u64, now: Time) {
        let holder = HolderCounters {
            session,
            sequence: 0,
            granted: 0,
            spent: 0,
            returned: 0,
            last_contact: now,
        };
        self.holders.insert(incarnation, holder);
    }

    fn refill(&mut self, now: Time, share: u64) {
        let (rate, capacity) = self.limits.scaled(share);
        let from = self.bucket.at();
        self.bucket.set_rate(rate);
        let overflow = self.bucket.refill(now, capacity.saturating_sub(self.outstanding));
        if overflow > 0 && now > from {
            if self.lost_refills.len() >= LOST_REFILL_LIMIT {
                self.lost_refills.pop_front();
            }
            // The overflow belongs to the end of the period, after the bucket became full.
            let micros = overflow.saturating_mul(1_000_000_000).checked_div(rate).unwrap_or(0);
            let start = from.max(now - Duration::from_micros(micros));
            self.lost_refills.push_back(LostRefill { start, end: now, tokens: overflow });
        }
    }

    fn clamp(&mut self, share: u64) {
        let (rate, capacity) = self.limits.scaled(share);
        self.bucket.set_rate(rate);
        if capacity < self.capacity {
            self.lost_refills.clear();
        }
        self.capacity = capacity;
        self.bucket.put(0, capacity.saturating_sub(self.outstanding));
    }

    fn expire_holders(&mut self, now: Time, wait: Duration) {
        if self.next_check > now {
            return;
        }
        let outstanding = &mut self.outstanding;
        self.holders.retain(|_, holder| {
            let keep = now < holder.last_contact + wait;
            if !keep {
                *outstanding -= holder.granted - holder.spent - holder.returned;
            }
            keep
        });
        let next = self.holders.values().map(|holder| holder.last_contact + wait).min();
        self.next_check = next.unwrap_or(now + wait);
    }

    /// Applies the tokens that the holder reports as spent and returned in this session.
    fn apply_report(&mut self, request: &RateRequest, epoch: u64, now: Time) {
        let Some(holder) = self.holders.get_mut(&request.incarnation) else { return };
        holder.last_contact = now;
        if (request.epoch, request.session) != (epoch, holder.session) {
            return;
        }
        let unspent = holder.granted - holder.spent - holder.returned;
        let returned = request.returned_total.saturating_sub(holder.returned).min(unspent);
        holder.returned += returned;
        self.outstanding -= returned;
        self.bucket.put(returned, self.capacity.saturating_sub(self.outstanding));
        for point in &request.spent {
            let Some(holder) = self.holders.get_mut(&request.incarnation) else { return };
            let unspent = holder.granted - holder.spent - holder.returned;
            let spent = point.total.saturating_sub(holder.spent).min(unspent);
            holder.spent += spent;
            self.outstanding -= spent;
            let credited =
                self.credit_lost_refill(spent, now - Duration::from_micros(point.age_us));
            self.bucket.put(credited, self.capacity.saturating_sub(self.outstanding));
        }
    }

    /// Returns the refill that was lost since `since` only because `spent` tokens still counted as
    /// outstanding: from the time at which they were spent, the bucket had capacity for it. The
    /// returned refill is removed from the record of lost refill, so it is credited once.
    fn credit_lost_refill(&mut self, spent: u64, since: Time) -> u64 {
        let mut credited = 0;
        for lost in self.lost_refills.iter_mut().filter(|lost| lost.end > since) {
            if credited == spent {
                break;
            }
            let length = lost.end.as_micros() - lost.start.as_micros();
            let start = lost.start.max(since);
            let usable = u128::from(lost.tokens)
                * u128::from(lost.end.as_micros() - start.as_micros())
                / u128::from(length.max(1));
            let usable = u64::try_from(usable).unwrap_or(0);
            let taken = usable.min(spent - credited);
            let moved = (lost.end.as_micros() - start.as_micros()).saturating_mul(taken);
            let moved = moved.checked_div(usable).unwrap_or(0);
            lost.start = start + Duration::from_micros(moved);
            lost.tokens = usable - taken;
            credited += taken;
        }
        self.lost_refills.retain(|lost| lost.tokens > 0 && lost.end > lost.start);
        credited
    }

    /// Grants the tokens that a new request needs, then some of those it prefetches. Returns the
    /// tokens of the need that were not granted.
    fn grant(&mut self, request: &RateRequest, now: Time) -> u64 {
        let Some(holder) = self.holders.get_mut(&request.incarnation) else { return request.need };
        if request.sequence <= holder.sequence {
            return request.need;
        }
        holder.sequence = request.sequence;
        holder.last_contact = now;
        let needed = self.bucket.take(request.need);
        // Tokens held by one instance are not available to the others, so a bucket below half its
        // capacity grants no prefetched tokens.
        let spare = self.bucket.level().saturating_sub(self.capacity / 2) / 4;
        let prefetched = self.bucket.take(request.prefetch.min(spare));
        holder.granted += needed + prefetched;
        self.outstanding += needed + prefetched;
        request.need - needed
    }
}
