//! Maintains the lead lease and the live instances of this instance's failure domain.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_membership::DomainState;
use sesamewall_membership::DomainView;
use sesamewall_membership::Lead;
use sesamewall_membership::LeadAction;
use sesamewall_membership::LeadRecord;
use sesamewall_membership::LeadSettings;
use sesamewall_membership::MemberAction;
use sesamewall_membership::MemberReport;
use sesamewall_membership::Members;
use sesamewall_ports::ListedInstance;
use sesamewall_ports::ListedState;
use sesamewall_ports::Precondition;
use sesamewall_ports::StoreError;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::MembershipMessage;
use sesamewall_protocol::peer::PeerMessage;
use slog::info;
use tokio::sync::mpsc;

use super::BudgetedStore;
use super::ConfigService;
use super::FloorService;
use super::config_service::Outgoing;
use crate::InstanceContext;
use crate::LeadTerm;

const TICK: Duration = Duration::from_millis(100);
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Limit of known addresses. Addresses of instances that left the list are kept up to it.
const ADDRESS_LIMIT: usize = 4096;

/// The last known lead and instances of another failure domain stay in use for this long after the
/// local lead, which reports them, was lost. A request to one that has departed costs a refused
/// connection.
const REMOTE_TTL: Duration = Duration::from_secs(15);

/// The last reported state of another failure domain.
struct Remote {
    at: Time,
    lead: InstanceName,
    live: Vec<InstanceName>,
}

struct State {
    lead: Lead,
    members: Members,
    addresses: HashMap<InstanceName, ListedInstance>,
    remotes: HashMap<DomainName, Remote>,
}

impl State {
    /// Returns the lead and the live instances of a failure domain, taken from the last report if
    /// there is no current one.
    fn peers_of(
        &mut self,
        view: DomainView,
        local: &DomainName,
        now: Time,
    ) -> (Option<InstanceName>, Vec<InstanceName>) {
        if view.name == *local {
            return (self.lead.lead().cloned(), view.live);
        }
        if let Some((lead, _)) = view.lead {
            let remote = Remote { at: now, lead: lead.clone(), live: view.live.clone() };
            self.remotes.insert(view.name, remote);
            return (Some(lead), view.live);
        }
        match self.remotes.get(&view.name) {
            Some(remote) if now.since(remote.at) < REMOTE_TTL => {
                (Some(remote.lead.clone()), remote.live.clone())
            }
            _ => (None, Vec::new()),
        }
    }
}

/// Renews the lead lease and keeps the directory up to date.
pub struct MembershipService {
    context: Arc<InstanceContext>,
    state: Mutex<State>,
    config: Arc<ConfigService>,
    floor: Arc<FloorService>,
    store: Arc<BudgetedStore>,
}

impl MembershipService {
    /// Creates the service.
    pub fn new(
        context: Arc<InstanceContext>,
        config: Arc<ConfigService>,
        floor: Arc<FloorService>,
        store: Arc<BudgetedStore>,
    ) -> Arc<Self> {
        let (local, domain) = (context.local.name.clone(), context.local.domain.clone());
        let lead = Lead::new(local.clone(), LeadSettings::default(), context.clock.now());
        let members = Members::new(local, domain);
        let addresses = HashMap::from([(context.local.name.clone(), context.local.clone())]);
        let state = Mutex::new(State { lead, members, addresses, remotes: HashMap::new() });
        Arc::new(Self { context, state, config, floor, store })
    }

    /// Starts the background tasks.
    pub fn spawn(self: &Arc<Self>, mut outgoing: mpsc::UnboundedReceiver<Outgoing>) {
        let service = self.clone();
        self.context.tasks.spawn_essential("membership", async move {
            let mut ticks = tokio::time::interval(TICK);
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                service.tick();
            }
        });
        let service = self.clone();
        self.context.tasks.spawn_essential("instance list", async move {
            loop {
                service.read_list().await;
                tokio::time::sleep(LIST_PERIOD).await;
            }
        });
        let service = self.clone();
        self.context.tasks.spawn_essential("membership messages", async move {
            while let Some(message) = outgoing.recv().await {
                match message {
                    Outgoing::To(to, message) => service.send(to, message),
                    Outgoing::Push(message) => service.push(&message),
                }
            }
        });
    }

    /// Handles a message of another instance and returns the reply.
    pub fn handle(
        self: &Arc<Self>,
        from: &InstanceName,
        domain: &DomainName,
        message: &MembershipMessage,
    ) -> MembershipMessage {
        let mut reply = None;
        for (to, outgoing) in self.apply_message(from, domain, message) {
            match reply {
                None if to == *from => reply = Some(outgoing),
                _ => self.send(to, outgoing),
            }
        }
        reply.unwrap_or(MembershipMessage::Ack)
    }

    /// Ends the lead lease and reports to the peers and the instance list that this instance is
    /// about to stop.
    pub async fn shut_down(self: &Arc<Self>) {
        let actions = {
            let mut state = self.lock();
            state.members.leave();
            let now = self.context.clock.now();
            state.lead.shut_down(now, &mut rand::rng())
        };
        self.act_all(actions);
        self.publish();
        let leaving = ListedInstance { state: ListedState::Leaving, ..self.context.local.clone() };
        let _ = self.context.instances.announce(&leaving).await;
    }

    /// Returns the state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.context.clock.now();
        let state = self.lock();
        let configuration = self.context.config.current();
        let domains: Vec<String> = state
            .members
            .domain_view(now, &configuration)
            .iter()
            .map(|view| format!("{view:?}"))
            .collect();
        serde_json::json!({
            "lead": state.lead.lead(),
            "epoch": state.lead.highest_epoch(),
            "own_epoch": state.lead.epoch(now),
            "domains": domains,
        })
    }

    fn apply_message(
        self: &Arc<Self>,
        from: &InstanceName,
        domain: &DomainName,
        message: &MembershipMessage,
    ) -> Vec<(InstanceName, MembershipMessage)> {
        let now = self.context.clock.now();
        let own_domain = *domain == self.context.local.domain;
        let (lead_actions, member_actions) = {
            let mut guard = self.lock();
            let state = &mut *guard;
            let lead_actions = match own_domain {
                true => state.lead.on_message(now, from, message),
                false => Vec::new(),
            };
            let report = report(&state.lead, &self.context);
            let member_actions = state.members.on_message(now, from, domain, message, &report);
            (lead_actions, member_actions)
        };
        let mut sends = Vec::new();
        for action in lead_actions {
            match action {
                LeadAction::Send { to, message } => sends.push((to, message)),
                other => self.act(other),
            }
        }
        for action in member_actions {
            match action {
                MemberAction::Send { to, message } => sends.push((to, message)),
                MemberAction::Revision { from, revision } => {
                    self.config.on_peer_revision(&from, revision)
                }
                MemberAction::CrashMarks(_) => {}
            }
        }
        if let MembershipMessage::ConfigAsk { after } = message {
            let chunks = self.config.changes_since(*after);
            sends.extend(chunks.into_iter().map(|chunk| (from.clone(), chunk)));
        } else {
            self.config.on_message(message);
        }
        self.publish();
        sends
    }

    fn tick(self: &Arc<Self>) {
        let now = self.context.clock.now();
        let (lead_actions, member_actions) = {
            let mut guard = self.lock();
            let state = &mut *guard;
            let peers = state.members.domain_peers();
            state.lead.set_peers(peers);
            let lead_actions = state.lead.tick(now, &mut rand::rng());
            let report = report(&state.lead, &self.context);
            let member_actions = state.members.tick(now, &report);
            (lead_actions, member_actions)
        };
        self.act_all(lead_actions);
        for action in member_actions {
            if let MemberAction::Send { to, message } = action {
                self.send(to, message);
            }
        }
        self.publish();
    }

    fn act_all(self: &Arc<Self>, actions: Vec<LeadAction>) {
        for action in actions {
            self.act(action);
        }
    }

    fn act(self: &Arc<Self>, action: LeadAction) {
        match action {
            LeadAction::Send { to, message } => self.send(to, message),
            LeadAction::Read { call } => {
                let read = self.clone().read_record(call);
                let recovery = self.clone().on_record_read(call, Err(StoreError::Unavailable));
                self.context.tasks.spawn("lead record read", call, read, recovery);
            }
            LeadAction::Put { call, record, expect } => {
                let write = self.clone().write_record(call, record, expect);
                let recovery = self.clone().on_record_written(call, Err(StoreError::Unclear));
                self.context.tasks.spawn("lead record write", call, write, recovery);
            }
            LeadAction::Gained(epoch) => {
                self.context.metrics.changes.with_label_values(&["lead_gained"]).inc();
                info!(self.context.log, "lead gained"; "epoch" => epoch);
            }
            LeadAction::Lost(epoch) => {
                self.context.metrics.changes.with_label_values(&["lead_lost"]).inc();
                info!(self.context.log, "lead lost"; "epoch" => epoch);
            }
        }
    }

    async fn read_record(self: Arc<Self>, call: u64) {
        let key = lead_key(&self.context.local.domain);
        let result = self.context.store.get(&key).await.and_then(|found| match found {
            None => Ok(None),
            Some(entry) => match serde_json::from_slice::<LeadRecord>(&entry.value) {
                Ok(record) => Ok(Some((entry.version, record))),
                Err(_) => Err(StoreError::Unavailable),
            },
        });
        self.on_record_read(call, result).await;
    }

    async fn on_record_read(
        self: Arc<Self>,
        call: u64,
        result: Result<Option<(u64, LeadRecord)>, StoreError>,
    ) {
        let actions = self.lock().lead.on_read(self.context.clock.now(), call, result);
        self.act_all(actions);
        self.publish();
    }

    async fn write_record(self: Arc<Self>, call: u64, record: LeadRecord, expect: Precondition) {
        let key = lead_key(&self.context.local.domain);
        let started = self.context.clock.now();
        let Ok(value) = serde_json::to_vec(&record) else { return };
        let result = self.context.store.put(&key, Bytes::from(value), expect).await;
        let now = self.context.clock.now();
        if result.is_ok() && record.instance == self.context.local.name {
            self.floor.on_renewed(started, now);
        }
        self.on_record_written(call, result).await;
    }

    async fn on_record_written(self: Arc<Self>, call: u64, result: Result<u64, StoreError>) {
        let now = self.context.clock.now();
        let actions = self.lock().lead.on_written(now, call, result);
        self.act_all(actions);
        self.publish();
    }

    fn send(self: &Arc<Self>, to: InstanceName, message: MembershipMessage) {
        let Some(peer) = self.lock().addresses.get(&to).cloned() else { return };
        let service = self.clone();
        tokio::spawn(async move {
            let sent = PeerMessage::Membership(message);
            let reply = service.context.link.exchange(&peer.address, sent).await;
            if let Ok(PeerMessage::Membership(reply)) = reply
                && reply != MembershipMessage::Ack
            {
                for (to, message) in service.apply_message(&peer.name, &peer.domain, &reply) {
                    service.send(to, message);
                }
            }
        });
    }

    /// Sends a change to all instances of the local failure domain and to the other leads, which
    /// forward it in the same way.
    fn push(self: &Arc<Self>, message: &MembershipMessage) {
        let local = &self.context.local;
        let leads = self.context.directory.leads();
        for instance in self.context.directory.instances() {
            let is_lead = leads.iter().any(|(_, lead)| *lead == instance.name);
            if instance.name != local.name && (instance.domain == local.domain || is_lead) {
                self.send(instance.name, message.clone());
            }
        }
    }

    async fn read_list(self: &Arc<Self>) {
        let _ = self.context.instances.announce(&self.local_entry()).await;
        let Ok(list) = self.context.instances.list().await else { return };
        let mut state = self.lock();
        for entry in &list {
            if state.addresses.len() < ADDRESS_LIMIT || state.addresses.contains_key(&entry.name) {
                state.addresses.insert(entry.name.clone(), entry.clone());
            }
        }
        state.members.set_list(list);
    }

    fn local_entry(&self) -> ListedInstance {
        let draining = self.context.draining.load(std::sync::atomic::Ordering::Relaxed);
        let state = if draining { ListedState::Leaving } else { ListedState::Live };
        ListedInstance { state, ..self.context.local.clone() }
    }

    /// Publishes lead lease, leads and live instances to the other services.
    fn publish(&self) {
        let now = self.context.clock.now();
        let configuration = self.context.config.current();
        let mut state = self.lock();
        let term = match (state.lead.epoch(now), state.lead.valid_until()) {
            (Some(epoch), Some(valid_until)) => {
                let full_until = self.floor.full_until(now);
                LeadTerm { epoch, valid_until, full_until }
            }
            _ => LeadTerm::default(),
        };
        self.context.lead.set(term);
        let local = &self.context.local;
        let mut live = vec![local.clone()];
        let mut domains = 0;
        for view in state.members.domain_view(now, &configuration) {
            domains += usize::from(view.state != DomainState::Unreachable);
            let name = view.name.clone();
            let (lead, mut peers) = state.peers_of(view, &local.domain, now);
            let lead = lead.filter(|lead| state.addresses.contains_key(lead));
            peers.extend(
                lead.iter().filter(|lead| !peers.contains(lead)).cloned().collect::<Vec<_>>(),
            );
            let others = peers.iter().filter(|peer| **peer != local.name);
            live.extend(others.filter_map(|peer| state.addresses.get(peer).cloned()));
            self.context.directory.set_lead(&name, lead);
        }
        drop(state);
        self.store.set_fleet(live.len(), domains);
        let metrics = &self.context.metrics;
        metrics.set_level("live_instances", live.len() as u64);
        metrics.set_level("lead_epoch", term.epoch);
        let full = term.epoch > 0 && now < term.full_until;
        metrics.set_level("floor_full", u64::from(full));
        metrics.set_level("store_reachable", u64::from(self.store.is_reachable()));
        metrics.set_level("records_dropped", self.context.recorder.dropped());
        self.context.directory.set_instances(live);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn report<'a>(lead: &'a Lead, context: &InstanceContext) -> MemberReport<'a> {
    let now = context.clock.now();
    MemberReport {
        lead: lead.lead(),
        notice: lead.notice(now),
        revision: context.config.current().revision(),
        crash_marks: Vec::new(),
    }
}

/// Returns the key of a failure domain's lead record.
pub fn lead_key(domain: &DomainName) -> String {
    format!("lead/{domain}")
}
