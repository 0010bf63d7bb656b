//! Admits or refuses requests at an instance with tokens granted by the leads of the failure
//! domains.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::AccountName;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::RateGrant;
use sesamewall_protocol::peer::RateRequest;

use crate::GRANT_TTL;
use crate::Limits;
use crate::TOKENS_PER_REQUEST;
use crate::source::Source;

const MIN_TICK: Duration = Duration::from_millis(1);

/// Settings of a [`Holder`].
#[derive(Clone, Debug)]
pub struct HolderSettings {
    /// TTL of granted tokens, counted from the sending of the token request.
    pub grant_ttl: Duration,
    /// Longest time that a request waits before it is refused, if every lead denies tokens.
    pub max_wait: Duration,
    /// Time after which a token request without a reply counts as lost.
    pub request_timeout: Duration,
    /// Time for which no token request is sent to a lead that did not reply.
    pub unreachable_backoff: Duration,
    /// Shortest backoff after a lead granted less than was needed; it doubles each time that
    /// happens again.
    pub min_backoff: Duration,
    /// Longest backoff after such grants, and the backoff after a denial.
    pub max_backoff: Duration,
    /// Time without requests after which unspent tokens are returned.
    pub idle_timeout: Duration,
    /// Largest number of waiting requests of one account.
    pub max_waiting: usize,
    /// Divisor of the known levels: the result is the largest number of tokens that may be held by
    /// prefetching.
    pub prefetch_divisor: u64,
    /// Minimum time between two token requests that only prefetch.
    pub prefetch_interval: Duration,
}

impl Default for HolderSettings {
    fn default() -> Self {
        Self {
            grant_ttl: GRANT_TTL,
            max_wait: Duration::from_millis(400),
            request_timeout: Duration::from_millis(50),
            unreachable_backoff: Duration::from_millis(500),
            min_backoff: Duration::from_millis(10),
            max_backoff: Duration::from_millis(150),
            idle_timeout: Duration::from_millis(100),
            max_waiting: 1024,
            prefetch_divisor: 16,
            prefetch_interval: Duration::from_millis(50),
        }
    }
}

/// The reason for which a request was refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Rate and burst of the account key.
    pub limits: Limits,
    /// Last known level of the bucket of each lead, in thousandths of a request.
    pub levels: Vec<(DomainName, u64)>,
    /// Leads that could not be reached.
    pub unreachable: Vec<DomainName>,
    /// Time in milliseconds after which the refill covers the request.
    pub retry_ms: u64,
    /// True if the limit on waiting requests refused it and not the rate.
    pub queue_full: bool,
}

/// An action that the user of the holder executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a token request to the lead of a failure domain.
    RequestTokens {
        /// Failure domain of the lead.
        lead: DomainName,
        /// The token request.
        request: RateRequest,
    },
    /// Admits a request.
    Admitted {
        /// Number of the request, given by the user of the holder.
        ticket: u64,
        /// Time that the request waited.
        waited: Duration,
    },
    /// Refuses a request.
    Refused {
        /// Number of the request, given by the user of the holder.
        ticket: u64,
        /// The reason and its numbers.
        refusal: Refusal,
    },
}

/// Holds the tokens of one instance. Requests of one account that wait at the same time share their
/// token requests.
#[derive(Debug)]
pub struct Holder {
    settings: HolderSettings,
    incarnation: u64,
    sequence: u64,
    local_domain: DomainName,
    leads: Vec<DomainName>,
    accounts: HashMap<AccountName, Account>,
    active: BTreeSet<AccountName>,
    stopping: bool,
}

#[derive(Debug)]
struct Account {
    limits: Limits,
    lowered_revision: u64,
    waiting: VecDeque<Waiting>,
    sources: BTreeMap<DomainName, Source>,
    backoff: Duration,
    demand: f64,
    demand_at: Time,
    prefetch_at: Time,
}

#[derive(Debug)]
struct Waiting {
    ticket: u64,
    since: Time,
}

impl Holder {
    /// Returns a holder for an instance of the failure domain `local_domain`. `incarnation` is a
    /// random number; `leads` are all failure domains.
    pub fn new(
        settings: HolderSettings,
        incarnation: u64,
        local_domain: DomainName,
        leads: Vec<DomainName>,
    ) -> Self {
        Self {
            settings,
            incarnation,
            sequence: 0,
            local_domain,
            leads,
            accounts: HashMap::new(),
            active: BTreeSet::new(),
            stopping: false,
        }
    }

    /// Sets the failure domains. Tokens from a removed failure domain are dropped.
    pub fn set_leads(&mut self, leads: Vec<DomainName>) {
        for account in self.accounts.values_mut() {
            account.sources.retain(|lead, _| leads.contains(lead));
            for lead in &leads {
                account.sources.entry(lead.clone()).or_default();
            }
        }
        self.leads = leads;
    }

    /// Sets rate and burst of an account key. If the burst is lowered, all tokens are returned. An
    /// older revision is ignored.
    pub fn set_limits(&mut self, key: &AccountName, limits: Limits) {
        let leads = self.leads.iter().map(|lead| (lead.clone(), Source::default()));
        let account = self.accounts.entry(key.clone()).or_insert_with(|| Account {
            limits,
            lowered_revision: 0,
            waiting: VecDeque::new(),
            sources: leads.collect(),
            backoff: Duration::ZERO,
            demand: 0.0,
            demand_at: Time::ZERO,
            prefetch_at: Time::ZERO,
        });
        if limits.revision < account.limits.revision {
            return;
        }
        if limits.burst < account.limits.burst {
            account.lowered_revision = limits.revision;
            account.sources.values_mut().for_each(Source::return_all);
            self.active.insert(key.clone());
        }
        account.limits = limits;
    }

    /// Removes an account key and refuses its waiting requests.
    pub fn remove(&mut self, key: &AccountName, now: Time) -> Vec<Action> {
        self.active.remove(key);
        let Some(mut account) = self.accounts.remove(key) else { return Vec::new() };
        let refusal = account.refusal(now, false);
        let waiting = account.waiting.drain(..);
        waiting.map(|w| Action::Refused { ticket: w.ticket, refusal: refusal.clone() }).collect()
    }

    /// Decides a request, or queues it while tokens are requested from the leads. Returns `None` if
    /// the account key is unknown.
    pub fn request(&mut self, key: &AccountName, ticket: u64, now: Time) -> Option<Vec<Action>> {
        let account = self.accounts.get_mut(key)?;
        if account.waiting.len() >= self.settings.max_waiting {
            let refusal = account.refusal(now, true);
            return Some(vec![Action::Refused { ticket, refusal }]);
        }
        account.record_demand(now);
        account.waiting.push_back(Waiting { ticket, since: now });
        self.active.insert(key.clone());
        let mut actions = Vec::new();
        self.process_queue(key, now, &mut actions);
        Some(actions)
    }

    /// Applies the reply of a lead to a token request.
    pub fn on_grant(&mut self, lead: &DomainName, grant: &RateGrant, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(account) = self.accounts.get_mut(&grant.account) else { return actions };
        if grant.incarnation != self.incarnation {
            return actions;
        }
        account.on_grant(lead, grant, &self.settings, now);
        self.process_queue(&grant.account, now, &mut actions);
        actions
    }

    /// Records that a token request did not reach its lead or got no reply.
    pub fn on_lead_unreachable(
        &mut self,
        lead: &DomainName,
        key: &AccountName,
        now: Time,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(account) = self.accounts.get_mut(key) else { return actions };
        if let Some(source) = account.sources.get_mut(lead) {
            source.abandon();
            source.unreachable_until = now + self.settings.unreachable_backoff;
        }
        self.process_queue(key, now, &mut actions);
        actions
    }

    /// Handles everything that is due: lost token requests, retries, refusals and tokens to return.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for key in self.active.clone() {
            self.process_queue(&key, now, &mut actions);
        }
        actions
    }

    /// Returns the time at which `tick` should be called, or `None` if no account has waiting
    /// requests, pending token requests, or unspent or unreported tokens.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let accounts = self.active.iter().filter_map(|key| self.accounts.get(key));
        let wake = accounts.filter_map(|account| account.next_wake(&self.settings, now)).min()?;
        Some(wake.max(now + MIN_TICK))
    }

    /// Returns all unspent tokens and requests none from now on.
    pub fn shut_down(&mut self, now: Time) -> Vec<Action> {
        self.stopping = true;
        for (key, account) in &mut self.accounts {
            account.sources.values_mut().for_each(Source::return_all);
            self.active.insert(key.clone());
        }
        self.tick(now)
    }

    /// Returns the unspent tokens of an account key, in thousandths of a request.
    pub fn tokens(&mut self, key: &AccountName, now: Time) -> u64 {
        let Some(account) = self.accounts.get_mut(key) else { return 0 };
        account.expire(now);
        account.tokens()
    }

    fn process_queue(&mut self, key: &AccountName, now: Time, actions: &mut Vec<Action>) {
        let Some(account) = self.accounts.get_mut(key) else { return };
        account.expire(now);
        account.drop_lost_requests(&self.settings, now);
        account.admit(now, actions);
        let mut token_requests = Vec::new();
        if !self.stopping {
            account.request_missing(&self.settings, &self.local_domain, now, &mut token_requests);
            account.request_prefetch(&self.settings, now, &mut token_requests);
        }
        account.refuse(&self.settings, self.stopping, now, actions);
        account.return_tokens(&self.settings, now, &mut token_requests);
        if account.is_idle() {
            self.active.remove(key);
        }
        for (lead, need, prefetch) in token_requests {
            self.sequence += 1;
            let Some(source) = account.sources.get_mut(&lead) else { continue };
            let spent = source.begin_request(self.sequence, need, now);
            let request = RateRequest {
                account: key.clone(),
                incarnation: self.incarnation,
                sequence: self.sequence,
                epoch: source.epoch,
                session: source.session,
                need,
                prefetch,
                spent,
                returned_total: source.returned,
            };
            actions.push(Action::RequestTokens { lead, request });
        }
    }
}

impl Account {
    fn tokens(&self) -> u64 {
        self.sources.values().map(Source::tokens).sum()
    }

    fn expire(&mut self, now: Time) {
        self.sources.values_mut().for_each(|source| source.expire(now));
    }

    /// Returns the sum of the levels expected at the reachable leads.
    fn expected(&self, now: Time) -> u64 {
        let reachable = self.sources.values().filter(|source| source.unreachable_until <= now);
        reachable.filter_map(|source| source.hint).map(|hint| hint.expected(now)).sum()
    }

    fn missing(&self) -> u64 {
        (self.waiting.len() as u64 * TOKENS_PER_REQUEST).saturating_sub(self.tokens())
    }

    fn is_idle(&self) -> bool {
        let busy = |source: &Source| {
            let unreported = source.has_unreported_returned() || source.has_unreported_spent();
            source.pending.is_some() || unreported || source.tokens() > 0
        };
        self.waiting.is_empty() && !self.sources.values().any(busy)
    }

    fn next_wake(&self, settings: &HolderSettings, now: Time) -> Option<Time> {
        let idle = self.demand_at + settings.idle_timeout;
        let if_future = |at: Time| (at > now).then_some(at);
        let sources = self.sources.values().flat_map(|source| {
            let lost =
                source.pending.as_ref().map(|pending| pending.sent + settings.request_timeout);
            let held = source.tokens() > 0 || source.has_unreported_spent();
            let unused = source.has_unreported_spent() || held && self.waiting.is_empty();
            let unreported = source.has_unreported_returned() || unused && now >= idle;
            let at = source.retry_at.max(source.unreachable_until);
            let waits = (unreported || !self.waiting.is_empty()) && source.pending.is_none();
            // A lead that is open is not due for a retry while pending token requests cover the
            // need: their replies come first.
            let retry = if unreported { Some(at) } else { if_future(at) };
            [lost, retry.filter(|_| waits), held.then_some(idle).and_then(if_future)]
        });
        let pending = self.sources.values().any(|source| source.pending.is_some());
        let covered = self.covered_at(settings, now).filter(|_| !pending).and_then(if_future);
        let deadline = self.waiting.front().map(|waiting| waiting.since + settings.max_wait);
        let deadline = deadline.and_then(if_future);
        sources.flatten().chain(covered).chain(deadline).min()
    }

    /// Updates the arrival rate in requests per second, which decays exponentially with a time
    /// constant of one second.
    fn record_demand(&mut self, now: Time) {
        self.demand = self.demand_now(now) + 1.0;
        self.demand_at = now;
    }

    fn demand_now(&self, now: Time) -> f64 {
        self.demand * (-now.since(self.demand_at).as_secs_f64()).exp()
    }

    fn drop_lost_requests(&mut self, settings: &HolderSettings, now: Time) {
        for source in self.sources.values_mut() {
            let lost =
                |pending: &crate::source::Pending| now >= pending.sent + settings.request_timeout;
            if source.pending.as_ref().is_some_and(lost) {
                source.abandon();
                source.timeouts += 1;
            }
            // A single lost request or reply does not make a lead unreachable.
            if source.timeouts >= 2 {
                source.timeouts = 0;
                source.unreachable_until = now + settings.unreachable_backoff;
            }
        }
    }

    fn admit(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.tokens() >= TOKENS_PER_REQUEST {
            let Some(waiting) = self.waiting.pop_front() else { return };
            let mut remaining = TOKENS_PER_REQUEST;
            for source in self.sources.values_mut() {
                remaining -= source.spend(remaining, now);
            }
            self.backoff /= 2;
            let waited = now.since(waiting.since);
            actions.push(Action::Admitted { ticket: waiting.ticket, waited });
        }
    }

    fn on_grant(
        &mut self,
        lead: &DomainName,
        grant: &RateGrant,
        settings: &HolderSettings,
        now: Time,
    ) {
        let Some(source) = self.sources.get_mut(lead) else { return };
        let need = source.pending.as_ref().map_or(0, |pending| pending.need);
        let before = source.tokens();
        if !source.on_grant(grant, self.lowered_revision, settings.grant_ttl, now) {
            return;
        }
        let gained = source.tokens() - before.min(source.tokens());
        source.unreachable_until = Time::ZERO;
        source.timeouts = 0;
        if grant.denial.is_some() {
            source.hint = None;
            source.retry_at = now + settings.max_backoff;
        } else if gained < need {
            self.backoff = (self.backoff * 2).clamp(settings.min_backoff, settings.max_backoff);
            let refilled = Duration::from_micros(grant.retry_us).max(settings.min_backoff);
            source.retry_at = now + refilled.min(self.backoff);
        }
    }

    /// Returns the time at which the expected levels cover the first waiting request, so that a
    /// retry is due before the backoff ends. Returns `None` for an account at the longest backoff:
    /// after repeated denials it waits for the backoff, which limits its token requests.
    fn covered_at(&self, settings: &HolderSettings, now: Time) -> Option<Time> {
        if self.waiting.is_empty() || self.backoff >= settings.max_backoff {
            return None;
        }
        let hint_at = self.sources.values().filter_map(|s| s.hint).map(|hint| hint.at).max()?;
        let deficit = TOKENS_PER_REQUEST.saturating_sub(self.tokens() + self.expected(now));
        let refill = Duration::from_micros(self.refill_us(deficit));
        Some((now + refill).max(hint_at + settings.min_backoff))
    }

    /// Requests the tokens that the waiting requests still need, from the lead with the highest
    /// expected level first; the local lead is preferred among equals. A larger need is divided in
    /// proportion to the expected levels. Buckets that are drained unevenly overflow at one lead
    /// while another is empty, and then a later burst is refused wrongly.
    fn request_missing(
        &self,
        settings: &HolderSettings,
        local_domain: &DomainName,
        now: Time,
        token_requests: &mut Vec<(DomainName, u64, u64)>,
    ) {
        let requested: u64 =
            self.sources.values().filter_map(|s| s.pending.as_ref()).map(|p| p.need).sum();
        let missing = self.missing().saturating_sub(requested);
        if missing == 0 {
            return;
        }
        let score = |name: &DomainName, source: &Source| {
            let expected = source.expected(now);
            if name == local_domain { expected + expected / 16 + 1 } else { expected }
        };
        let covered = self.covered_at(settings, now).is_some_and(|at| at <= now);
        let open = |source: &Source| source.is_open(now) || covered && source.is_reachable(now);
        let open = self.sources.iter().filter(|(_, source)| open(source));
        let mut open: Vec<_> = open.map(|(name, source)| (score(name, source), name)).collect();
        open.sort_unstable_by(|a, b| b.cmp(a));
        let known: u64 = open.iter().map(|(score, _)| score).sum();
        let mut remaining = missing;
        for (score, lead) in open {
            let portion = missing.saturating_mul(score).checked_div(known).unwrap_or(missing);
            let need = portion
                .div_ceil(TOKENS_PER_REQUEST)
                .max(1)
                .saturating_mul(TOKENS_PER_REQUEST)
                .min(remaining);
            token_requests.push((lead.clone(), need, 0));
            remaining -= need;
            if remaining == 0 {
                return;
            }
        }
    }

    /// Prefetches tokens for the expected demand of the next second, at most a fraction of the
    /// known levels.
    fn request_prefetch(
        &mut self,
        settings: &HolderSettings,
        now: Time,
        token_requests: &mut Vec<(DomainName, u64, u64)>,
    ) {
        let known = self.expected(now);
        let expected = (self.demand_now(now) * TOKENS_PER_REQUEST as f64) as u64;
        let target = expected.min(known / settings.prefetch_divisor) / TOKENS_PER_REQUEST
            * TOKENS_PER_REQUEST;
        let held = self.tokens();
        if target == 0 || held > target / 2 {
            return;
        }
        if let Some(request) = token_requests.first_mut() {
            request.2 = target - held;
            return;
        }
        if now < self.prefetch_at || self.sources.values().any(|source| source.pending.is_some()) {
            return;
        }
        self.prefetch_at = now + settings.prefetch_interval;
        let open = self.sources.iter().filter(|(_, source)| source.is_open(now));
        if let Some((lead, _)) = open.max_by_key(|(_, source)| source.expected(now)) {
            token_requests.push((lead.clone(), 0, target - held));
        }
    }

    /// Refuses the waiting requests that the refill cannot cover in time, once every reachable lead
    /// has denied tokens.
    fn refuse(
        &mut self,
        settings: &HolderSettings,
        stopping: bool,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let reachable = |source: &&Source| source.unreachable_until <= now;
        let has_pending = self.sources.values().any(|source| source.pending.is_some());
        let open = self.sources.values().any(|source| source.is_open(now));
        if (has_pending || open) && !stopping {
            return;
        }
        let retry = self.sources.values().filter(reachable).map(|source| source.retry_at).min();
        let available = self.tokens() + self.expected(now);
        while let Some(last) = self.waiting.back() {
            let position = self.waiting.len() as u64;
            let deficit = (position * TOKENS_PER_REQUEST).saturating_sub(available);
            let refill = Duration::from_micros(self.refill_us(deficit));
            let deadline = last.since + settings.max_wait;
            let in_time = position == 1 || now + refill <= deadline;
            if in_time && retry.is_some_and(|at| at < deadline) && !stopping {
                return;
            }
            let refusal = self.refusal(now, false);
            let Some(last) = self.waiting.pop_back() else { return };
            actions.push(Action::Refused { ticket: last.ticket, refusal });
        }
    }

    /// Returns unspent tokens once the account is idle, and reports consumed and returned tokens
    /// that a lead has not confirmed: tokens that a lead still counts as outstanding keep its
    /// bucket from refilling.
    fn return_tokens(
        &mut self,
        settings: &HolderSettings,
        now: Time,
        token_requests: &mut Vec<(DomainName, u64, u64)>,
    ) {
        // Tokens that do not add up to a whole request are of more use at the leads.
        let idle = now >= self.demand_at + settings.idle_timeout;
        let partial = self.tokens() < TOKENS_PER_REQUEST;
        if self.waiting.is_empty() && (idle || partial) {
            self.sources.values_mut().for_each(Source::return_all);
        }
        for (lead, source) in &self.sources {
            let listed = token_requests.iter().any(|request| request.0 == *lead);
            let unreported =
                source.has_unreported_returned() || (idle && source.has_unreported_spent());
            if unreported && source.is_open(now) && !listed {
                token_requests.push((lead.clone(), 0, 0));
            }
        }
    }

    /// Returns the time in microseconds in which the full rate refills `tokens`.
    fn refill_us(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(1_000_000_000).checked_div(self.limits.rate).unwrap_or(u64::MAX)
    }

    fn refusal(&self, now: Time, queue_full: bool) -> Refusal {
        let known = self.sources.iter().filter_map(|(lead, s)| Some((lead.clone(), s.hint?)));
        let unreachable = self.sources.iter().filter(|(_, s)| s.unreachable_until > now);
        let levels: Vec<_> = known.map(|(lead, hint)| (lead, hint.expected(now))).collect();
        let sum = levels.iter().map(|(_, level)| level).sum::<u64>() + self.tokens();
        let queued = self.waiting.len().max(1) as u64 * TOKENS_PER_REQUEST;
        let missing = queued.saturating_sub(sum).max(1);
        Refusal {
            limits: self.limits,
            levels,
            unreachable: unreachable.map(|(lead, _)| lead.clone()).collect(),
            retry_ms: (self.refill_us(missing) / 1000).max(1),
            queue_full,
        }
    }
}
