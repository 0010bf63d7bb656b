//! Decides requests at an instance with tokens granted by the domain leads.

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

use crate::GRANT_LIFE;
use crate::Limits;
use crate::REQUEST;
use crate::source::Source;

const MIN_TICK: Duration = Duration::from_millis(1);

/// Configures a holder.
#[derive(Clone, Debug)]
pub struct HolderSettings {
    /// Life of a grant from the sending of its ask.
    pub grant_life: Duration,
    /// Longest time that a request waits before it is refused, if every lead denies.
    pub max_wait: Duration,
    /// Time after which an unanswered ask counts as lost.
    pub ask_timeout: Duration,
    /// Time for which a lead that did not answer is not asked again.
    pub unreachable_pause: Duration,
    /// First pause after all leads denied; it doubles with each further denial.
    pub min_pause: Duration,
    /// Longest pause after all leads denied.
    pub max_pause: Duration,
    /// Time without requests after which unspent tokens are handed back.
    pub idle: Duration,
    /// Largest number of waiting requests of one account.
    pub max_waiting: usize,
    /// Part of the known levels that may be held in advance: one in this many.
    pub prefetch_divisor: u64,
    /// Time between two asks that only want tokens in advance.
    pub prefetch_pause: Duration,
}

impl Default for HolderSettings {
    fn default() -> Self {
        Self {
            grant_life: GRANT_LIFE,
            max_wait: Duration::from_millis(400),
            ask_timeout: Duration::from_millis(50),
            unreachable_pause: Duration::from_millis(500),
            min_pause: Duration::from_millis(10),
            max_pause: Duration::from_millis(150),
            idle: Duration::from_millis(100),
            max_waiting: 1024,
            prefetch_divisor: 16,
            prefetch_pause: Duration::from_millis(50),
        }
    }
}

/// States why a request was refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// Rate and burst of the account key.
    pub limits: Limits,
    /// Last known level of each lead in thousandths of a request.
    pub levels: Vec<(DomainName, u64)>,
    /// Leads that could not be reached.
    pub unreachable: Vec<DomainName>,
    /// Milliseconds after which the refill covers the request.
    pub retry_ms: u64,
    /// True if the bound on waiting requests refused it and not the rate.
    pub queue_full: bool,
}

/// Tells the caller what to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an ask to the lead of a failure domain.
    Ask {
        /// Failure domain of the lead.
        lead: DomainName,
        /// The message.
        ask: RateRequest,
    },
    /// Lets the request run.
    Spent {
        /// The caller's number of the request.
        ticket: u64,
        /// Time that it waited.
        waited: Duration,
    },
    /// Refuses the request.
    Refused {
        /// The caller's number of the request.
        ticket: u64,
        /// The numbers behind the refusal.
        refusal: Refusal,
    },
}

/// Holds the tokens of one instance. Requests of one account that wait at once share their asks.
#[derive(Debug)]
pub struct Holder {
    settings: HolderSettings,
    incarnation: u64,
    sequence: u64,
    own: DomainName,
    leads: Vec<DomainName>,
    accounts: HashMap<AccountName, Account>,
    active: BTreeSet<AccountName>,
    stopping: bool,
}

#[derive(Debug)]
struct Account {
    limits: Limits,
    lowered: u64,
    waiting: VecDeque<Waiting>,
    sources: BTreeMap<DomainName, Source>,
    pause: Duration,
    demand: f64,
    demand_at: Time,
    ahead_at: Time,
}

#[derive(Debug)]
struct Waiting {
    ticket: u64,
    since: Time,
}

impl Holder {
    /// Returns a holder for an instance of the failure domain `own`. The incarnation is a random
    /// number; `leads` are all failure domains.
    pub fn new(
        settings: HolderSettings,
        incarnation: u64,
        own: DomainName,
        leads: Vec<DomainName>,
    ) -> Self {
        Self {
            settings,
            incarnation,
            sequence: 0,
            own,
            leads,
            accounts: HashMap::new(),
            active: BTreeSet::new(),
            stopping: false,
        }
    }

    /// Sets the failure domains. Tokens of a removed one are dropped.
    pub fn set_leads(&mut self, leads: Vec<DomainName>) {
        for account in self.accounts.values_mut() {
            account.sources.retain(|lead, _| leads.contains(lead));
            for lead in &leads {
                account.sources.entry(lead.clone()).or_default();
            }
        }
        self.leads = leads;
    }

    /// Sets rate and burst of an account key. Tokens of a higher burst are handed back.
    pub fn set_limits(&mut self, key: &AccountName, limits: Limits) {
        let leads = self.leads.iter().map(|lead| (lead.clone(), Source::default()));
        let account = self.accounts.entry(key.clone()).or_insert_with(|| Account {
            limits,
            lowered: 0,
            waiting: VecDeque::new(),
            sources: leads.collect(),
            pause: Duration::ZERO,
            demand: 0.0,
            demand_at: Time::ZERO,
            ahead_at: Time::ZERO,
        });
        if limits.revision < account.limits.revision {
            return;
        }
        if limits.burst < account.limits.burst {
            account.lowered = limits.revision;
            account.sources.values_mut().for_each(Source::give_back);
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

    /// Decides a request, or lets it wait while it asks the leads. Returns `None` if the account
    /// key is unknown.
    pub fn request(&mut self, key: &AccountName, ticket: u64, now: Time) -> Option<Vec<Action>> {
        let account = self.accounts.get_mut(key)?;
        if account.waiting.len() >= self.settings.max_waiting {
            let refusal = account.refusal(now, true);
            return Some(vec![Action::Refused { ticket, refusal }]);
        }
        account.note_demand(now);
        account.waiting.push_back(Waiting { ticket, since: now });
        self.active.insert(key.clone());
        let mut actions = Vec::new();
        self.pump(key, now, &mut actions);
        Some(actions)
    }

    /// Takes in the reply of a lead.
    pub fn on_grant(&mut self, lead: &DomainName, grant: &RateGrant, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(account) = self.accounts.get_mut(&grant.account) else { return actions };
        if grant.incarnation != self.incarnation {
            return actions;
        }
        account.on_grant(lead, grant, &self.settings, now);
        self.pump(&grant.account, now, &mut actions);
        actions
    }

    /// Takes in that an ask did not reach its lead or got no reply.
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
            source.unreachable_until = now + self.settings.unreachable_pause;
        }
        self.pump(key, now, &mut actions);
        actions
    }

    /// Handles all that became due: lost asks, retries, refusals and tokens to hand back.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for key in self.active.clone() {
            self.pump(&key, now, &mut actions);
        }
        actions
    }

    /// Returns a time at which `tick` should be called, if any account has waiting requests, open
    /// asks or unspent or unreported tokens.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let accounts = self.active.iter().filter_map(|key| self.accounts.get(key));
        let wake = accounts.filter_map(|account| account.next_wake(&self.settings, now)).min()?;
        Some(wake.max(now + MIN_TICK))
    }

    /// Hands back all unspent tokens and asks for none from now on.
    pub fn shut_down(&mut self, now: Time) -> Vec<Action> {
        self.stopping = true;
        for (key, account) in &mut self.accounts {
            account.sources.values_mut().for_each(Source::give_back);
            self.active.insert(key.clone());
        }
        self.tick(now)
    }

    /// Returns the unspent tokens of an account key in thousandths of a request.
    pub fn tokens(&mut self, key: &AccountName, now: Time) -> u64 {
        let Some(account) = self.accounts.get_mut(key) else { return 0 };
        account.expire(now);
        account.tokens()
    }

    fn pump(&mut self, key: &AccountName, now: Time, actions: &mut Vec<Action>) {
        let Some(account) = self.accounts.get_mut(key) else { return };
        account.expire(now);
        account.drop_lost_asks(&self.settings, now);
        account.spend(now, actions);
        let mut asks = Vec::new();
        if !self.stopping {
            account.ask_for_missing(&self.settings, &self.own, now, &mut asks);
            account.ask_ahead(&self.settings, now, &mut asks);
        }
        account.refuse(&self.settings, self.stopping, now, actions);
        account.hand_back(&self.settings, now, &mut asks);
        if account.is_idle() {
            self.active.remove(key);
        }
        for (lead, need, prefetch) in asks {
            self.sequence += 1;
            let Some(source) = account.sources.get_mut(&lead) else { continue };
            let spent = source.begin(self.sequence, need, now);
            let ask = RateRequest {
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
            actions.push(Action::Ask { lead, ask });
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

    /// Returns the tokens expected at the leads that can be reached.
    fn expected(&self, now: Time) -> u64 {
        let reachable = self.sources.values().filter(|source| source.unreachable_until <= now);
        reachable.filter_map(|source| source.hint).map(|hint| hint.expected(now)).sum()
    }

    fn missing(&self) -> u64 {
        (self.waiting.len() as u64 * REQUEST).saturating_sub(self.tokens())
    }

    fn is_idle(&self) -> bool {
        let busy = |source: &Source| {
            let owes = source.owes_returned() || source.owes_spent();
            source.pending.is_some() || owes || source.tokens() > 0
        };
        self.waiting.is_empty() && !self.sources.values().any(busy)
    }

    fn next_wake(&self, settings: &HolderSettings, now: Time) -> Option<Time> {
        let idle = self.demand_at + settings.idle;
        let later = |at: Time| (at > now).then_some(at);
        let sources = self.sources.values().flat_map(|source| {
            let lost = source.pending.as_ref().map(|pending| pending.sent + settings.ask_timeout);
            let held = source.tokens() > 0 || source.owes_spent();
            let unused = source.owes_spent() || held && self.waiting.is_empty();
            let owes = source.owes_returned() || unused && now >= idle;
            let at = source.retry_at.max(source.unreachable_until);
            let waits = (owes || !self.waiting.is_empty()) && source.pending.is_none();
            // An open lead is not asked while other asks cover the need; their replies come first.
            let retry = if owes { Some(at) } else { later(at) };
            [lost, retry.filter(|_| waits), held.then_some(idle).and_then(later)]
        });
        let pending = self.sources.values().any(|source| source.pending.is_some());
        let covered = self.covered_at(settings, now).filter(|_| !pending).and_then(later);
        let deadline = self.waiting.front().map(|waiting| waiting.since + settings.max_wait);
        let deadline = deadline.and_then(later);
        sources.flatten().chain(covered).chain(deadline).min()
    }

    /// Follows the arrivals in requests a second with a time constant of one second.
    fn note_demand(&mut self, now: Time) {
        self.demand = self.demand_now(now) + 1.0;
        self.demand_at = now;
    }

    fn demand_now(&self, now: Time) -> f64 {
        self.demand * (-now.since(self.demand_at).as_secs_f64()).exp()
    }

    fn drop_lost_asks(&mut self, settings: &HolderSettings, now: Time) {
        for source in self.sources.values_mut() {
            let lost =
                |pending: &crate::source::Pending| now >= pending.sent + settings.ask_timeout;
            if source.pending.as_ref().is_some_and(lost) {
                source.abandon();
                source.timeouts += 1;
            }
            // A single lost message does not make a lead unreachable.
            if source.timeouts >= 2 {
                source.timeouts = 0;
                source.unreachable_until = now + settings.unreachable_pause;
            }
        }
    }

    fn spend(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.tokens() >= REQUEST {
            let Some(waiting) = self.waiting.pop_front() else { return };
            let mut left = REQUEST;
            for source in self.sources.values_mut() {
                left -= source.spend(left, now);
            }
            self.pause /= 2;
            let waited = now.since(waiting.since);
            actions.push(Action::Spent { ticket: waiting.ticket, waited });
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
        if !source.on_grant(grant, self.lowered, settings.grant_life, now) {
            return;
        }
        let gained = source.tokens() - before.min(source.tokens());
        source.unreachable_until = Time::ZERO;
        source.timeouts = 0;
        if grant.denial.is_some() {
            source.hint = None;
            source.retry_at = now + settings.max_pause;
        } else if gained < need {
            self.pause = (self.pause * 2).clamp(settings.min_pause, settings.max_pause);
            let refilled = Duration::from_micros(grant.retry_us).max(settings.min_pause);
            source.retry_at = now + refilled.min(self.pause);
        }
    }

    /// Returns when the expected levels cover the first waiting request, if that is worth a retry
    /// before the pauses after denials end. An account that is denied again and again waits for
    /// the pauses, which bounds its asks.
    fn covered_at(&self, settings: &HolderSettings, now: Time) -> Option<Time> {
        if self.waiting.is_empty() || self.pause >= settings.max_pause {
            return None;
        }
        let seen = self.sources.values().filter_map(|s| s.hint).map(|hint| hint.at).max()?;
        let deficit = REQUEST.saturating_sub(self.tokens() + self.expected(now));
        let refill = Duration::from_micros(self.refill_us(deficit));
        Some((now + refill).max(seen + settings.min_pause))
    }

    /// Asks for what the waiting requests miss, the fullest lead first and the own lead among
    /// equals; a larger need is divided by the expected levels. Buckets that are drained unevenly
    /// overflow at one lead while another is empty, which refuses a later burst wrongly.
    fn ask_for_missing(
        &self,
        settings: &HolderSettings,
        own: &DomainName,
        now: Time,
        asks: &mut Vec<(DomainName, u64, u64)>,
    ) {
        let asked: u64 =
            self.sources.values().filter_map(|s| s.pending.as_ref()).map(|p| p.need).sum();
        let missing = self.missing().saturating_sub(asked);
        if missing == 0 {
            return;
        }
        let score = |name: &DomainName, source: &Source| {
            let expected = source.expected(now);
            if name == own { expected + expected / 16 + 1 } else { expected }
        };
        let covered = self.covered_at(settings, now).is_some_and(|at| at <= now);
        let open = |source: &Source| source.is_open(now) || covered && source.is_reachable(now);
        let open = self.sources.iter().filter(|(_, source)| open(source));
        let mut open: Vec<_> = open.map(|(name, source)| (score(name, source), name)).collect();
        open.sort_unstable_by(|a, b| b.cmp(a));
        let known: u64 = open.iter().map(|(score, _)| score).sum();
        let mut left = missing;
        for (score, lead) in open {
            let part = missing.saturating_mul(score).checked_div(known).unwrap_or(missing);
            let need = part.div_ceil(REQUEST).max(1).saturating_mul(REQUEST).min(left);
            asks.push((lead.clone(), need, 0));
            left -= need;
            if left == 0 {
                return;
            }
        }
    }

    /// Asks in advance for the expected use of the next second, within a part of the known levels.
    fn ask_ahead(
        &mut self,
        settings: &HolderSettings,
        now: Time,
        asks: &mut Vec<(DomainName, u64, u64)>,
    ) {
        let known = self.expected(now);
        let expected = (self.demand_now(now) * REQUEST as f64) as u64;
        let target = expected.min(known / settings.prefetch_divisor) / REQUEST * REQUEST;
        let held = self.tokens();
        if target == 0 || held > target / 2 {
            return;
        }
        if let Some(ask) = asks.first_mut() {
            ask.2 = target - held;
            return;
        }
        if now < self.ahead_at || self.sources.values().any(|source| source.pending.is_some()) {
            return;
        }
        self.ahead_at = now + settings.prefetch_pause;
        let open = self.sources.iter().filter(|(_, source)| source.is_open(now));
        if let Some((lead, _)) = open.max_by_key(|(_, source)| source.expected(now)) {
            asks.push((lead.clone(), 0, target - held));
        }
    }

    /// Refuses the waiting requests that the refill cannot cover in time, once every lead that can
    /// be reached has denied.
    fn refuse(
        &mut self,
        settings: &HolderSettings,
        stopping: bool,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let reachable = |source: &&Source| source.unreachable_until <= now;
        let asking = self.sources.values().any(|source| source.pending.is_some());
        let open = self.sources.values().any(|source| source.is_open(now));
        if (asking || open) && !stopping {
            return;
        }
        let retry = self.sources.values().filter(reachable).map(|source| source.retry_at).min();
        let held = self.tokens() + self.expected(now);
        while let Some(last) = self.waiting.back() {
            let place = self.waiting.len() as u64;
            let deficit = (place * REQUEST).saturating_sub(held);
            let refill = Duration::from_micros(self.refill_us(deficit));
            let deadline = last.since + settings.max_wait;
            let in_time = place == 1 || now + refill <= deadline;
            if in_time && retry.is_some_and(|at| at < deadline) && !stopping {
                return;
            }
            let refusal = self.refusal(now, false);
            let Some(last) = self.waiting.pop_back() else { return };
            actions.push(Action::Refused { ticket: last.ticket, refusal });
        }
    }

    /// Hands unspent tokens back once the account is idle, and reports what the leads do not know:
    /// what they count as outstanding keeps their buckets from refilling.
    fn hand_back(
        &mut self,
        settings: &HolderSettings,
        now: Time,
        asks: &mut Vec<(DomainName, u64, u64)>,
    ) {
        // Fractions that could not be completed are of more use at the leads.
        let idle = now >= self.demand_at + settings.idle;
        let scattered = self.tokens() < REQUEST;
        if self.waiting.is_empty() && (idle || scattered) {
            self.sources.values_mut().for_each(Source::give_back);
        }
        for (lead, source) in &self.sources {
            let listed = asks.iter().any(|ask| ask.0 == *lead);
            let owes = source.owes_returned() || (idle && source.owes_spent());
            if owes && source.is_open(now) && !listed {
                asks.push((lead.clone(), 0, 0));
            }
        }
    }

    /// Returns the microseconds in which the whole rate refills `tokens`.
    fn refill_us(&self, tokens: u64) -> u64 {
        tokens.saturating_mul(1_000_000_000).checked_div(self.limits.rate).unwrap_or(u64::MAX)
    }

    fn refusal(&self, now: Time, queue_full: bool) -> Refusal {
        let known = self.sources.iter().filter_map(|(lead, s)| Some((lead.clone(), s.hint?)));
        let unreachable = self.sources.iter().filter(|(_, s)| s.unreachable_until > now);
        let levels: Vec<_> = known.map(|(lead, hint)| (lead, hint.expected(now))).collect();
        let sum = levels.iter().map(|(_, level)| level).sum::<u64>() + self.tokens();
        let ahead = self.waiting.len().max(1) as u64 * REQUEST;
        let missing = ahead.saturating_sub(sum).max(1);
        Refusal {
            limits: self.limits,
            levels,
            unreachable: unreachable.map(|(lead, _)| lead.clone()).collect(),
            retry_ms: (self.refill_us(missing) / 1000).max(1),
            queue_full,
        }
    }
}
