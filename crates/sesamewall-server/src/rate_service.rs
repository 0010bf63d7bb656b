//! Enforces fleet-wide rates. Each instance spends granted tokens as a grant holder; the lead also
//! grants them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Class;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::PeerMessage;
use sesamewall_protocol::peer::RateGrant;
use sesamewall_protocol::peer::RateMessage;
use sesamewall_protocol::peer::RateRequest;
use sesamewall_rate::Action;
use sesamewall_rate::Grantor;
use sesamewall_rate::GrantorSettings;
use sesamewall_rate::Holder;
use sesamewall_rate::HolderSettings;
use sesamewall_rate::Inherited;
use sesamewall_rate::Limits;
use sesamewall_rate::Refusal;
use sesamewall_rate::SHARE_UNIT;
use sesamewall_rate::TOKENS_PER_REQUEST;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::InstanceContext;
use crate::service_traits::RateLimiter;

const TICK: Duration = Duration::from_millis(5);
const IDLE_TICK: Duration = Duration::from_millis(200);
/// Suffix of the key under which the batch items of an account are counted.
const BATCH_SUFFIX: &str = "#batch";

/// Leads in another region reply within about 100 ms. A shorter timeout would treat a busy lead as
/// lost.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time that an online request waits for a reachable lead. A successor takes over within
/// 3.5 s.
const UNREACHABLE_WAIT: Duration = Duration::from_secs(4);
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(100);

type SpendResult = std::result::Result<Duration, Refusal>;

struct HolderState {
    holder: Holder,
    tickets: HashMap<u64, oneshot::Sender<SpendResult>>,
    next_ticket: u64,
    keys: HashSet<AccountName>,
}

struct LeadState {
    epoch: u64,
    grantor: Grantor,
    keys: HashSet<AccountName>,
}

/// Spends granted tokens and, if this instance is the lead, grants them.
pub struct RateService {
    context: Arc<InstanceContext>,
    local: Mutex<HolderState>,
    lead: Mutex<Option<LeadState>>,
    wake: Notify,
}

impl RateService {
    /// Creates the service.
    pub fn new(context: Arc<InstanceContext>) -> Arc<Self> {
        let domains = context.settings.domains.iter().map(|name| DomainName::from(name.as_str()));
        let holder = Holder::new(
            HolderSettings { request_timeout: REQUEST_TIMEOUT, ..HolderSettings::default() },
            rand::random(),
            context.local.domain.clone(),
            domains.collect(),
        );
        let local =
            HolderState { holder, tickets: HashMap::new(), next_ticket: 0, keys: HashSet::new() };
        Arc::new(Self {
            context,
            local: Mutex::new(local),
            lead: Mutex::default(),
            wake: Notify::new(),
        })
    }

    /// Starts the background tasks.
    pub fn spawn(self: &Arc<Self>) {
        let service = self.clone();
        self.context.tasks.spawn_essential("rates", async move {
            loop {
                let now = service.context.clock.now();
                service.tick(now);
                let busy = service.lock_holder().holder.next_wake(now).is_some();
                let pause = if busy { TICK } else { IDLE_TICK };
                let _ = tokio::time::timeout(pause, service.wake.notified()).await;
                if busy {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
        });
    }

    /// Handles a message of another instance.
    pub fn handle(&self, message: RateMessage) -> RateMessage {
        match message {
            RateMessage::Ask(request) => RateMessage::Grant(self.grant(&request)),
            other => other,
        }
    }

    /// Applies the configuration in force.
    pub fn configure(&self) {
        let limits = self.limits();
        let now = self.context.clock.now();
        let mut local = self.lock_holder();
        for (key, limits) in &limits {
            local.holder.set_limits(key, *limits);
        }
        let keys: HashSet<AccountName> = limits.iter().map(|(key, _)| key.clone()).collect();
        let removed: Vec<AccountName> = local.keys.difference(&keys).cloned().collect();
        for key in removed {
            let actions = local.holder.remove(&key, now);
            local.apply_actions(actions);
        }
        local.keys = keys;
        drop(local);
        if let Some(lead) = self.lock_lead().as_mut() {
            lead.configure(&limits, now);
        }
    }

    /// Sets the floors that this lead inherited from other failure domains.
    pub fn set_inherited(&self, inherited: Vec<(DomainName, Inherited)>) {
        let term = self.context.lead.term();
        if let Some(lead) = self.lock_lead().as_mut() {
            let now = self.context.clock.now();
            lead.grantor.set_floor(term.full_until, inherited.into_iter().collect(), now);
        }
    }

    /// Returns unspent tokens to the leads before the instance stops.
    pub fn shut_down(self: &Arc<Self>) {
        let now = self.context.clock.now();
        let mut local = self.lock_holder();
        let actions = local.holder.shut_down(now);
        let requests = local.apply_actions(actions);
        drop(local);
        self.send(requests);
    }

    /// Returns the state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.context.clock.now();
        let mut lead = self.lock_lead();
        let levels: Vec<serde_json::Value> = lead.as_mut().map_or_else(Vec::new, |lead| {
            let mut keys: Vec<AccountName> = lead.keys.iter().cloned().collect();
            keys.sort();
            keys.iter()
                .filter_map(|key| {
                    let (level, outstanding, largest) = lead.grantor.levels(key, now)?;
                    Some(serde_json::json!({ "account": key, "level": level,
                        "outstanding": outstanding, "largest": largest }))
                })
                .collect()
        });
        let waiting = self.lock_holder().tickets.len();
        serde_json::json!({ "waiting": waiting, "buckets": levels })
    }

    fn limits(&self) -> Vec<(AccountName, Limits)> {
        let configuration = self.context.config.current();
        let revision = configuration.revision();
        configuration
            .accounts()
            .flat_map(|account| {
                let online = (account.name.clone(), Limits::new(account.online, revision));
                let batch = account
                    .batch
                    .map(|limit| (batch_key(&account.name), Limits::new(limit, revision)));
                std::iter::once(online).chain(batch)
            })
            .collect()
    }

    fn tick(self: &Arc<Self>, now: Time) {
        let mut local = self.lock_holder();
        let actions = local.holder.tick(now);
        let requests = local.apply_actions(actions);
        drop(local);
        self.send(requests);
        self.update_term(now);
    }

    /// Creates the lead state when a term of this instance starts and drops it when the term ends.
    fn update_term(&self, now: Time) {
        let term = self.context.lead.valid(now);
        let mut lead = self.lock_lead();
        match term {
            None => *lead = None,
            Some(term) if lead.as_ref().map(|lead| lead.epoch) != Some(term.epoch) => {
                let domains = self.context.settings.domains.len().max(1) as u64;
                let settings = GrantorSettings {
                    epoch: term.epoch,
                    share: SHARE_UNIT / domains,
                    grant_wait: self.context.settings.grant_wait(),
                    ..GrantorSettings::default()
                };
                let grantor = Grantor::new(settings, now);
                let mut state = LeadState { epoch: term.epoch, grantor, keys: HashSet::new() };
                state.configure(&self.limits(), now);
                *lead = Some(state);
            }
            Some(_) => {
                if let Some(lead) = lead.as_mut() {
                    lead.grantor.tick(now);
                }
            }
        }
    }

    fn grant(&self, request: &RateRequest) -> RateGrant {
        let now = self.context.clock.now();
        self.update_term(now);
        let term = self.context.lead.term();
        match self.lock_lead().as_mut() {
            Some(lead) => lead.grantor.on_request(request, now, term.valid_until),
            None => {
                Grantor::new(GrantorSettings::default(), now).on_request(request, now, Time::ZERO)
            }
        }
    }

    fn send(self: &Arc<Self>, requests: Vec<(DomainName, RateRequest)>) {
        for (domain, request) in requests {
            let (subject, account) = (request.account.clone(), request.account.clone());
            let recovery = self.clone().on_no_grant(domain.clone(), account);
            let service = self.clone();
            let ask = async move { service.request_tokens(domain, request).await };
            self.context.tasks.spawn("token request", subject, ask, recovery);
        }
    }

    async fn request_tokens(self: &Arc<Self>, domain: DomainName, request: RateRequest) {
        let account = request.account.clone();
        let lead = self.context.directory.lead(&domain);
        let grant = match lead {
            Some(lead) if lead.name == self.context.local.name => Some(self.grant(&request)),
            Some(lead) => {
                let message = PeerMessage::Rate(RateMessage::Ask(request));
                match self.context.link.exchange(&lead.address, message).await {
                    Ok(PeerMessage::Rate(RateMessage::Grant(grant))) => Some(grant),
                    _ => None,
                }
            }
            None => None,
        };
        let now = self.context.clock.now();
        let mut local = self.lock_holder();
        let actions = match grant {
            Some(grant) => local.holder.on_grant(&domain, &grant, now),
            None => local.holder.on_lead_unreachable(&domain, &account, now),
        };
        let requests = local.apply_actions(actions);
        drop(local);
        self.send(requests);
    }

    /// Ends a request of tokens whose task has panicked.
    async fn on_no_grant(self: Arc<Self>, domain: DomainName, account: AccountName) {
        let now = self.context.clock.now();
        let mut local = self.lock_holder();
        let actions = local.holder.on_lead_unreachable(&domain, &account, now);
        let requests = local.apply_actions(actions);
        drop(local);
        self.send(requests);
    }

    fn lock_holder(&self) -> MutexGuard<'_, HolderState> {
        self.local.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_lead(&self) -> MutexGuard<'_, Option<LeadState>> {
        self.lead.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HolderState {
    /// Completes the decided tickets and returns the token requests to send.
    fn apply_actions(&mut self, actions: Vec<Action>) -> Vec<(DomainName, RateRequest)> {
        let mut requests = Vec::new();
        for action in actions {
            match action {
                Action::RequestTokens { lead, request } => requests.push((lead, request)),
                Action::Admitted { ticket, waited } => self.complete_ticket(ticket, Ok(waited)),
                Action::Refused { ticket, refusal } => self.complete_ticket(ticket, Err(refusal)),
            }
        }
        requests
    }

    fn complete_ticket(&mut self, ticket: u64, result: SpendResult) {
        if let Some(sender) = self.tickets.remove(&ticket) {
            // The caller may have disconnected; the token is consumed regardless.
            let _ = sender.send(result);
        }
    }
}

impl LeadState {
    fn configure(&mut self, limits: &[(AccountName, Limits)], now: Time) {
        let keys: HashSet<AccountName> = limits.iter().map(|(key, _)| key.clone()).collect();
        for removed in self.keys.difference(&keys) {
            self.grantor.remove(removed);
        }
        for (key, limits) in limits {
            self.grantor.set_limits(key, *limits, now);
        }
        self.keys = keys;
    }
}

fn batch_key(account: &AccountName) -> AccountName {
    AccountName::from(format!("{account}{BATCH_SUFFIX}"))
}

fn refused(account: &AccountName, refusal: &Refusal) -> Error {
    let mut numbers = vec![
        ("rate_per_second".to_owned(), refusal.limits.rate as f64 / 1e6),
        ("burst".to_owned(), refusal.limits.burst as f64 / TOKENS_PER_REQUEST as f64),
    ];
    let levels = refusal.levels.iter().map(|(domain, level)| {
        (format!("level_{domain}"), *level as f64 / TOKENS_PER_REQUEST as f64)
    });
    numbers.extend(levels);
    numbers.extend(refusal.unreachable.iter().map(|domain| (format!("unreachable_{domain}"), 1.0)));
    let account = account.to_string();
    match refusal.levels.len() <= refusal.unreachable.len() {
        true => Error::RateUnavailable { account, numbers },
        false => Error::RateExceeded { account, retry_ms: refusal.retry_ms, numbers },
    }
}

#[async_trait]
impl RateLimiter for Arc<RateService> {
    async fn spend(&self, account: &AccountName, class: Class) -> Result<()> {
        let key = match class {
            Class::Online => account.clone(),
            Class::Batch => batch_key(account),
        };
        let started = self.context.clock.now();
        loop {
            let (sender, receiver) = oneshot::channel();
            let requests = {
                let mut local = self.lock_holder();
                let ticket = local.next_ticket;
                local.next_ticket += 1;
                local.tickets.insert(ticket, sender);
                let now = self.context.clock.now();
                match local.holder.request(&key, ticket, now) {
                    Some(actions) => local.apply_actions(actions),
                    None => {
                        local.tickets.remove(&ticket);
                        // Batch items of an account without a batch rate are limited only by fair
                        // share.
                        return match class {
                            Class::Batch => Ok(()),
                            Class::Online => Err(Error::RateUnavailable {
                                account: account.to_string(),
                                numbers: Vec::new(),
                            }),
                        };
                    }
                }
            };
            self.send(requests);
            self.wake.notify_one();
            match (receiver.await, class) {
                (Ok(Ok(_)), _) => return Ok(()),
                // A batch item waits for its token; its job was accepted already.
                (Ok(Err(refusal)), Class::Batch) => {
                    let pause = refusal.retry_ms.clamp(10, 1000);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
                (Ok(Err(refusal)), Class::Online) => {
                    let error = refused(account, &refusal);
                    let waited = self.context.clock.now().since(started);
                    if !matches!(error, Error::RateUnavailable { .. }) || waited >= UNREACHABLE_WAIT
                    {
                        return Err(error);
                    }
                    tokio::time::sleep(UNREACHABLE_RETRY_DELAY).await;
                }
                (Err(_), _) => {
                    let detail = "rate decision was dropped".to_owned();
                    return Err(Error::Internal { detail });
                }
            }
        }
    }
}
