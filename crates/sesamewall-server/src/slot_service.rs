//! Allocates slots on targets. Each instance requests slots and reports their results; the lead
//! also runs the scheduler of its failure domain.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use sesamewall_ports::ListedInstance;
use sesamewall_protocol::Class;
use sesamewall_protocol::DomainMode;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::Numbers;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::Result;
use sesamewall_protocol::TargetKind;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::HeldSlot;
use sesamewall_protocol::peer::PeerMessage;
use sesamewall_protocol::peer::ScheduleMessage;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotRelease;
use sesamewall_protocol::peer::SlotRequest;
use sesamewall_protocol::peer::SlotResult;
use sesamewall_schedule::Action;
use sesamewall_schedule::Scheduler;
use sesamewall_schedule::Settings as ScheduleSettings;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::InstanceContext;
use crate::backlog::Backlogs;
use crate::backlog::pick;
use crate::cache_poll;
use crate::cache_poll::CachePoll;
use crate::control_service::Admission;
use crate::execute::micros;
use crate::lead_targets;
use crate::lead_targets::Loaded;
use crate::service_traits::Destination;
use crate::service_traits::SlotAllocator;
use crate::service_traits::SlotGuard;
use crate::service_traits::SlotReport;
use crate::service_traits::SlotSink;

const TICK: Duration = Duration::from_millis(15);
/// Delay before a request to a lead that did not reply is repeated.
const LEAD_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which an instance reports all its slots to the lead, which compensates for lost
/// reports.
const SYNC_PERIOD: Duration = Duration::from_secs(1);
/// Largest age of a grant that is still used. The lead reclaims slots that are not reported within
/// 2 s; if the attempt started later than this, its report could arrive after that.
const GRANT_AGE_LIMIT: Duration = Duration::from_millis(1500);
const REPORT_TRIES: u32 = 3;

/// Result codes that mean that the local failure domain cannot serve the request.
const CANNOT_SERVE: [u16; 3] = [4001, 4003, NO_LEAD];
const NO_LEAD: u16 = 8003;
/// Result code when the wait ends with a grant that is too old to be used.
const STALE_GRANT: u16 = 4002;

const CANCELLED: SlotReport =
    SlotReport { end: SlotResult::Cancelled, first_token_us: None, work: 0 };

type SlotKey = (u64, u64);

struct Held {
    slot: HeldSlot,
    preempted: CancellationToken,
}

struct LeadState {
    epoch: u64,
    scheduler: Scheduler,
    waiting: HashMap<RequestId, oneshot::Sender<ScheduleMessage>>,
    live: HashSet<InstanceName>,
}

impl LeadState {
    /// Reports to the scheduler the instances that are no longer in `live`, and replaces the set.
    fn remove_absent(&mut self, live: HashSet<InstanceName>, now: Time) -> Vec<Action> {
        let lost: Vec<InstanceName> = self.live.difference(&live).cloned().collect();
        self.live = live;
        lost.iter().flat_map(|name| self.scheduler.on_instance_lost(name, now)).collect()
    }
}

/// Requests slots from the lead and, if this instance is the lead, grants them.
pub struct SlotService {
    context: Arc<InstanceContext>,
    held: Mutex<HashMap<SlotKey, Held>>,
    lead: Mutex<Option<LeadState>>,
    backlogs: Backlogs,
    caches: CachePoll,
    loaded: lead_targets::LoadedModels,
}

impl SlotService {
    /// Creates the service.
    pub fn new(context: Arc<InstanceContext>) -> Arc<Self> {
        Arc::new(Self {
            context,
            held: Mutex::default(),
            lead: Mutex::default(),
            backlogs: Backlogs::default(),
            caches: CachePoll::default(),
            loaded: Default::default(),
        })
    }

    /// Starts the background tasks.
    pub fn spawn(self: &Arc<Self>) {
        let service = self.clone();
        self.context.tasks.spawn_essential("slots", async move {
            let mut ticks = tokio::time::interval(TICK);
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            let mut last_sync = service.context.clock.now();
            let mut last_poll = last_sync;
            loop {
                ticks.tick().await;
                service.tick();
                let now = service.context.clock.now();
                if now.since(last_sync) >= SYNC_PERIOD {
                    last_sync = now;
                    service.clone().sync();
                }
                if now.since(last_poll) >= cache_poll::POLL_PERIOD {
                    last_poll = now;
                    service.poll_caches();
                }
            }
        });
    }

    /// Starts one poll of the cache events of each engine in the failure domain if this instance is
    /// its lead, and else only clears the poll positions.
    pub fn poll_caches(self: &Arc<Self>) {
        if self.lock_lead().is_none() {
            self.caches.retain(|_| false);
            return;
        }
        let configuration = self.context.config.current();
        let engines =
            configuration.groups().filter(|group| group.target_kind == TargetKind::Engine);
        let local = &self.context.local.domain;
        let targets: HashMap<_, _> = engines
            .flat_map(|group| group.targets.iter().filter(|target| target.domain == *local))
            .map(|target| (target.name.clone(), target.address.clone()))
            .collect();
        self.caches.retain(|name| targets.contains_key(name));
        for (name, address) in targets {
            let service = self.clone();
            tokio::spawn(async move {
                let hints = service.caches.poll(&service.context.target, &name, &address).await;
                service.with_lead(|lead, _| {
                    hints.iter().for_each(|hint| lead.scheduler.on_hint(hint));
                    Vec::new()
                });
            });
        }
    }

    /// Returns the state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.context.clock.now();
        let held = self.lock_held().len();
        let lead = self.lock_lead();
        let targets: Vec<String> = lead.as_ref().map_or_else(Vec::new, |lead| {
            lead.scheduler.targets(now).iter().map(|view| format!("{view:?}")).collect()
        });
        let outstanding = lead.as_ref().map(|lead| lead.scheduler.outstanding());
        serde_json::json!({ "held": held, "outstanding": outstanding, "targets": targets })
    }

    /// Handles a message of another instance.
    pub async fn handle(
        self: &Arc<Self>,
        from: InstanceName,
        message: ScheduleMessage,
    ) -> ScheduleMessage {
        match message {
            ScheduleMessage::Ask(slot_request) => self.request_locally(slot_request, &from).await,
            ScheduleMessage::Done(release) => {
                self.with_lead(|lead, now| lead.scheduler.on_release(&release, now));
                ScheduleMessage::Ack
            }
            ScheduleMessage::Cancel { request } => {
                self.with_lead(|lead, now| {
                    lead.waiting.remove(&request);
                    lead.scheduler.on_cancel(&request, now)
                });
                ScheduleMessage::Ack
            }
            ScheduleMessage::Held(held) => {
                self.with_lead(|lead, now| lead.scheduler.on_sync(&from, &held, now));
                ScheduleMessage::Ack
            }
            ScheduleMessage::Sync => ScheduleMessage::Held(self.held_slots()),
            ScheduleMessage::Yield { slot, epoch } => {
                self.preempt_slot(slot, epoch);
                ScheduleMessage::Ack
            }
            ScheduleMessage::Cache(hint) => {
                self.with_lead(|lead, _| {
                    lead.scheduler.on_hint(&hint);
                    Vec::new()
                });
                ScheduleMessage::Ack
            }
            _ => ScheduleMessage::Ack,
        }
    }

    /// Applies the configuration in force.
    pub fn configure(self: &Arc<Self>) {
        let configuration = self.context.config.current();
        let mut config = lead_targets::targets_of(&configuration, &self.context.local.domain);
        lead_targets::retain_loaded(&mut config, &self.loaded.lock());
        self.with_lead(|lead, now| lead.scheduler.on_config(&config, now));
    }

    async fn request_locally(
        self: &Arc<Self>,
        slot_request: SlotRequest,
        from: &InstanceName,
    ) -> ScheduleMessage {
        let request = slot_request.request.clone();
        let (sender, receiver) = oneshot::channel();
        let known = self.with_lead(|lead, now| {
            lead.waiting.insert(request.clone(), sender);
            lead.scheduler.on_request(slot_request, from, now)
        });
        match (known, receiver.await) {
            (true, Ok(reply)) => reply,
            _ => ScheduleMessage::Denied { request, code: 8003, numbers: Vec::new() },
        }
    }

    /// Runs `decide` on the lead state and executes the resulting actions. Returns false if this
    /// instance is not lead.
    fn with_lead(
        self: &Arc<Self>,
        decide: impl FnOnce(&mut LeadState, Time) -> Vec<Action>,
    ) -> bool {
        let now = self.context.clock.now();
        let mut guard = self.lock_lead();
        let Some(lead) = guard.as_mut() else { return false };
        lead.scheduler.set_valid_until(self.context.lead.term().valid_until);
        let mut actions = decide(lead, now);
        while let Some(action) = actions.pop() {
            actions.extend(self.act(lead, action, now));
        }
        true
    }

    fn act(self: &Arc<Self>, lead: &mut LeadState, action: Action, now: Time) -> Vec<Action> {
        match action {
            Action::Grant { slot, .. } => {
                let sender = lead.waiting.remove(&slot.request);
                let unsent = match sender {
                    Some(sender) => sender.send(ScheduleMessage::Slot(slot)).err(),
                    None => Some(ScheduleMessage::Slot(slot)),
                };
                // The requesting instance has cancelled, so the slot is released at once.
                match unsent {
                    Some(ScheduleMessage::Slot(slot)) => {
                        lead.scheduler.on_release(&slot_release(&slot, CANCELLED), now)
                    }
                    _ => Vec::new(),
                }
            }
            Action::Deny { request, code, numbers, .. } => {
                if let Some(sender) = lead.waiting.remove(&request) {
                    let _ = sender.send(ScheduleMessage::Denied { request, code, numbers });
                }
                Vec::new()
            }
            Action::Yield { to, slot, epoch, .. } => {
                if to == self.context.local.name {
                    self.preempt_slot(slot, epoch);
                } else if let Some(peer) = self.context.directory.find(&to) {
                    self.send(peer, ScheduleMessage::Yield { slot, epoch }, 1);
                }
                Vec::new()
            }
        }
    }

    fn tick(self: &Arc<Self>) {
        let now = self.context.clock.now();
        let term = self.context.lead.valid(now);
        let epoch = self.lock_lead().as_ref().map(|lead| lead.epoch);
        match term {
            None if epoch.is_some() => *self.lock_lead() = None,
            None => {}
            Some(term) if epoch != Some(term.epoch) => self.start_term(term.epoch),
            Some(_) => {
                let live = self.domain_instances();
                self.with_lead(|lead, now| {
                    let mut actions = lead.remove_absent(live, now);
                    actions.extend(lead.scheduler.tick(now));
                    actions
                });
            }
        }
    }

    fn domain_instances(&self) -> HashSet<InstanceName> {
        let instances = self.context.directory.instances().into_iter();
        let local = instances.filter(|instance| instance.domain == self.context.local.domain);
        local.map(|instance| instance.name).collect()
    }

    fn start_term(self: &Arc<Self>, epoch: u64) {
        let now = self.context.clock.now();
        let instances = self.domain_instances();
        let scheduler = Scheduler::new(ScheduleSettings::default(), epoch, instances.clone(), now);
        let live = instances.clone();
        *self.lock_lead() = Some(LeadState { epoch, scheduler, waiting: HashMap::new(), live });
        self.configure();
        for name in instances {
            let service = self.clone();
            let subject = name.clone();
            let ask = async move { service.request_held_slots(&name).await };
            // The instance reports its slots again within a period.
            self.context.tasks.spawn("held slots", subject, ask, std::future::ready(()));
        }
    }

    /// Requests the list of slots that earlier leads granted to an instance.
    async fn request_held_slots(self: &Arc<Self>, name: &InstanceName) {
        if *name == self.context.local.name {
            let held = self.held_slots();
            self.with_lead(|lead, now| lead.scheduler.on_sync(name, &held, now));
            return;
        }
        let Some(peer) = self.context.directory.find(name) else { return };
        let message = PeerMessage::Schedule(ScheduleMessage::Sync);
        let reply = self.context.link.exchange(&peer.address, message).await;
        if let Ok(PeerMessage::Schedule(ScheduleMessage::Held(held))) = reply {
            self.with_lead(|lead, now| lead.scheduler.on_sync(name, &held, now));
        }
    }

    /// Reports all slots to the lead.
    fn sync(self: Arc<Self>) {
        let outstanding = self.lock_lead().as_ref().map_or(0, |lead| lead.scheduler.outstanding());
        self.context.metrics.set_level("slots_outstanding", outstanding as u64);
        let Some(lead) = self.context.directory.lead(&self.context.local.domain) else { return };
        let held = self.held_slots();
        if lead.name == self.context.local.name {
            self.with_lead(|state, now| state.scheduler.on_sync(&lead.name, &held, now));
        } else {
            self.send(lead, ScheduleMessage::Held(held), 1);
        }
    }

    fn held_slots(&self) -> Vec<HeldSlot> {
        self.lock_held().values().map(|held| held.slot.clone()).collect()
    }

    fn preempt_slot(&self, slot: u64, epoch: u64) {
        if let Some(held) = self.lock_held().get(&(epoch, slot)) {
            held.preempted.cancel();
        }
    }

    fn send(self: &Arc<Self>, peer: ListedInstance, message: ScheduleMessage, tries: u32) {
        let link = self.context.link.clone();
        tokio::spawn(async move {
            for _ in 0..tries {
                let message = PeerMessage::Schedule(message.clone());
                if link.exchange(&peer.address, message).await.is_ok() {
                    return;
                }
                tokio::time::sleep(LEAD_RETRY_DELAY).await;
            }
        });
    }

    async fn request_from_lead(
        self: &Arc<Self>,
        slot_request: &SlotRequest,
    ) -> Result<ScheduleMessage> {
        let domain = &self.context.local.domain;
        let Some(lead) = self.context.directory.lead(domain) else {
            return Err(Error::NotLead { domain: domain.to_string() });
        };
        let cancel_guard =
            CancelGuard::new(self.clone(), lead.clone(), slot_request.request.clone());
        let reply = if lead.name == self.context.local.name {
            Ok(self.request_locally(slot_request.clone(), &lead.name).await)
        } else {
            let message = PeerMessage::Schedule(ScheduleMessage::Ask(slot_request.clone()));
            match self.context.link.exchange(&lead.address, message).await {
                Ok(PeerMessage::Schedule(reply)) => Ok(reply),
                Ok(_) => Err(Error::NotLead { domain: domain.to_string() }),
                Err(error) => Err(error),
            }
        };
        if reply.is_ok() {
            cancel_guard.disarm();
        }
        reply
    }

    fn hold_slot(self: &Arc<Self>, slot: Slot, slot_request: &SlotRequest) -> SlotGuard {
        let preempted = CancellationToken::new();
        let held = HeldSlot {
            slot: slot.slot,
            epoch: slot.epoch,
            request: slot.request.clone(),
            account: slot_request.account.clone(),
            class: slot_request.class,
            model: slot_request.model.clone(),
            target: slot.target.clone(),
            work: slot_request.work,
            prompt: slot_request.prompt,
            isolated: slot_request.isolated,
        };
        let entry = Held { slot: held, preempted: preempted.clone() };
        self.lock_held().insert((slot.epoch, slot.slot), entry);
        SlotGuard::new(slot, preempted, Arc::new(self.clone()))
    }

    /// Returns the instances of other failure domains that have a lead and targets for the model.
    fn remote_candidates(&self, model: &ModelName) -> Vec<ListedInstance> {
        let configuration = self.context.config.current();
        let group = configuration
            .group_for_model(model.as_str())
            .or_else(|| configuration.group(model.as_str()));
        let Some(group) = group else { return Vec::new() };
        let local = &self.context.local.domain;
        let serves = |instance: &ListedInstance| {
            instance.domain != *local
                && configuration.domain_mode(instance.domain.as_str()) == DomainMode::In
                && group
                    .targets
                    .iter()
                    .any(|target| target.domain == instance.domain && !target.leaving)
        };
        let instances = self.context.directory.instances().into_iter().filter(serves);
        instances.filter(|found| self.context.directory.lead(&found.domain).is_some()).collect()
    }

    /// Returns whether a grant is recent enough to be used. `requested_at` is the time of the first
    /// slot request that can have led to it.
    fn is_fresh(&self, slot: &Slot, requested_at: Time) -> bool {
        let age = self.context.clock.now().since(requested_at);
        age.saturating_sub(Duration::from_micros(slot.wait_us)) <= GRANT_AGE_LIMIT
    }

    fn lock_held(&self) -> MutexGuard<'_, HashMap<SlotKey, Held>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_lead(&self) -> MutexGuard<'_, Option<LeadState>> {
        self.lead.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Cancels a slot request at the lead when the future that sent it is dropped.
struct CancelGuard {
    service: Arc<SlotService>,
    lead: ListedInstance,
    request: Option<RequestId>,
}

impl CancelGuard {
    fn new(service: Arc<SlotService>, lead: ListedInstance, request: RequestId) -> Self {
        Self { service, lead, request: Some(request) }
    }

    fn disarm(mut self) {
        self.request = None;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(request) = self.request.take() else { return };
        if self.lead.name != self.service.context.local.name {
            self.service.send(self.lead.clone(), ScheduleMessage::Cancel { request }, 1);
            return;
        }
        self.service.with_lead(|lead, now| {
            lead.waiting.remove(&request);
            lead.scheduler.on_cancel(&request, now)
        });
    }
}

#[async_trait]
impl SlotAllocator for Arc<SlotService> {
    async fn acquire(&self, slot_request: SlotRequest, may_forward: bool) -> Result<Destination> {
        let start = self.context.clock.now();
        let limit = Duration::from_micros(slot_request.wait_us);
        // After a lost reply the lead repeats a grant, which can be as old as the first request.
        let mut first_unanswered: Option<Time> = None;
        let mut returned: Option<SlotKey> = None;
        loop {
            let requested_at = self.context.clock.now();
            let remaining = limit.saturating_sub(requested_at.since(start));
            let current = SlotRequest { wait_us: micros(remaining), ..slot_request.clone() };
            let configuration = self.context.config.current();
            let out =
                configuration.domain_mode(self.context.local.domain.as_str()) == DomainMode::Out;
            let since = first_unanswered.unwrap_or(requested_at);
            let (code, numbers) = match self.request_from_lead(&current).await {
                Ok(ScheduleMessage::Slot(slot))
                    if self.is_fresh(&slot, since) && returned != Some((slot.epoch, slot.slot)) =>
                {
                    return Ok(Destination::Local(self.hold_slot(slot, &slot_request)));
                }
                Ok(ScheduleMessage::Slot(slot)) => {
                    returned = Some((slot.epoch, slot.slot));
                    first_unanswered = None;
                    self.report(&slot, CANCELLED);
                    (STALE_GRANT, None)
                }
                Ok(ScheduleMessage::Denied { code, numbers, .. }) => {
                    first_unanswered = None;
                    (code, Some(numbers))
                }
                Ok(_) | Err(_) => {
                    first_unanswered.get_or_insert(requested_at);
                    (NO_LEAD, None)
                }
            };
            if may_forward
                && CANNOT_SERVE.contains(&code)
                && let Some(instance) = pick(&self.remote_candidates(&slot_request.model))
            {
                return Ok(Destination::Forward(instance));
            }
            let waited = self.context.clock.now().since(start);
            // Only a stale grant and a missing lead, which is replaced within seconds, allow a
            // retry. All other results are decisions of the lead.
            let again = code == STALE_GRANT || (code == NO_LEAD && !out);
            if !again || waited >= limit {
                return Err(refused(&slot_request, code, numbers));
            }
            tokio::time::sleep(LEAD_RETRY_DELAY).await;
        }
    }

    fn offer(&self, model: &ModelName, tried: &[DomainName]) -> Option<ListedInstance> {
        let mut instances = self.remote_candidates(model);
        instances.retain(|instance| !tried.contains(&instance.domain));
        self.backlogs.least(model, instances, self.context.clock.now())
    }

    fn record_denied_offer(&self, model: &ModelName, domain: &DomainName, tokens: f64) {
        self.backlogs.record(model, domain, tokens, self.context.clock.now());
    }
}

impl Admission for Arc<SlotService> {
    fn demand(&self) -> BTreeMap<ModelName, usize> {
        self.lock_lead().as_ref().map_or_else(BTreeMap::new, |lead| lead.scheduler.demand())
    }

    fn set_loaded(&self, loaded: Loaded) {
        if self.loaded.replace(loaded) {
            self.configure();
        }
    }
}

fn refused(slot_request: &SlotRequest, code: u16, numbers: Option<Numbers>) -> Error {
    let model = slot_request.model.to_string();
    let numbers = numbers.unwrap_or_default();
    match code {
        4001 => Error::QueueFull { model, numbers },
        4002 => Error::QueueTimeout { model, numbers },
        _ if slot_request.class == Class::Batch => Error::QueueTimeout { model, numbers },
        _ => Error::NoTarget { model },
    }
}

fn slot_release(slot: &Slot, report: SlotReport) -> SlotRelease {
    SlotRelease {
        slot: slot.slot,
        epoch: slot.epoch,
        target: slot.target.clone(),
        end: report.end,
        first_token_us: report.first_token_us,
        work: report.work,
    }
}

impl SlotSink for Arc<SlotService> {
    fn report(&self, slot: &Slot, report: SlotReport) {
        self.lock_held().remove(&(slot.epoch, slot.slot));
        let release = slot_release(slot, report);
        let Some(lead) = self.context.directory.lead(&self.context.local.domain) else { return };
        if lead.name == self.context.local.name {
            self.with_lead(|state, now| state.scheduler.on_release(&release, now));
        } else {
            self.send(lead, ScheduleMessage::Done(release), REPORT_TRIES);
        }
    }
}
