//! Cost of single decisions and of the state that they need.

use std::collections::BTreeMap;

use sesamewall_batch::Frame;
use sesamewall_batch::FrameBody;
use sesamewall_batch::decode_frames;
use sesamewall_batch::encode_frame;
use sesamewall_batch::parse_line;
use sesamewall_membership::Configuration;
use sesamewall_membership::MemberReport;
use sesamewall_membership::Members;
use sesamewall_protocol::Account;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Change;
use sesamewall_protocol::Class;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Key;
use sesamewall_protocol::ModelName;
use sesamewall_protocol::Operation;
use sesamewall_protocol::RateLimit;
use sesamewall_protocol::RequestId;
use sesamewall_protocol::Resource;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::Heartbeat;
use sesamewall_protocol::peer::LeadNotice;
use sesamewall_protocol::peer::MembershipMessage;
use sesamewall_protocol::peer::SlotRelease;
use sesamewall_protocol::peer::SlotRequest;
use sesamewall_protocol::peer::SlotResult;
use sesamewall_rate::Action as RateAction;
use sesamewall_rate::Grantor;
use sesamewall_rate::GrantorSettings;
use sesamewall_rate::Holder;
use sesamewall_rate::HolderSettings;
use sesamewall_rate::Limits;
use sesamewall_rate::SHARE_UNIT;
use sesamewall_schedule::Action;
use sesamewall_schedule::Config;
use sesamewall_schedule::LimitSettings;
use sesamewall_schedule::Scheduler;
use sesamewall_schedule::Settings;
use sesamewall_schedule::TargetInfo;

const FOREVER: Time = Time::from_micros(u64::MAX);
const STEP_US: u64 = 1_000;
const START_US: u64 = 100_000_000;

fn account(index: usize) -> AccountName {
    AccountName::from(format!("account-{index:05}"))
}

fn limits() -> Limits {
    Limits::new(RateLimit { rate: 1e6, burst: 1e6 }, 1)
}

/// A grant holder and its lead with a number of accounts.
pub(super) struct Rates {
    holder: Holder,
    grantor: Grantor,
    names: Vec<AccountName>,
}

impl Rates {
    /// Sets up the accounts. They have tokens for every request.
    pub(super) fn new(accounts: usize) -> Self {
        let names: Vec<_> = (0..accounts).map(account).collect();
        let domain = DomainName::from("d0");
        let mut holder = Holder::new(HolderSettings::default(), 1, domain.clone(), vec![domain]);
        let settings = GrantorSettings { share: SHARE_UNIT, ..GrantorSettings::default() };
        let mut grantor = Grantor::new(settings, Time::ZERO);
        grantor.set_floor(FOREVER, BTreeMap::new(), Time::ZERO);
        for name in &names {
            holder.set_limits(name, limits());
            grantor.set_limits(name, limits(), Time::ZERO);
        }
        Self { holder, grantor, names }
    }

    /// Decides a request of an account, including the token request to the lead and its reply where
    /// one is needed. Returns whether the request was admitted.
    pub(super) fn decide(&mut self, count: u64) -> bool {
        let now = Time::from_micros(START_US + count * STEP_US);
        let name = &self.names[count as usize * 7919 % self.names.len()];
        let mut admitted = false;
        let mut actions = self.holder.request(name, count, now).unwrap_or_default();
        while let Some(action) = actions.pop() {
            match action {
                RateAction::Admitted { .. } => admitted = true,
                RateAction::Refused { .. } => {}
                RateAction::RequestTokens { lead, request } => {
                    let grant = self.grantor.on_request(&request, now, FOREVER);
                    actions.extend(self.holder.on_grant(&lead, &grant, now));
                }
            }
        }
        admitted
    }
}

/// A lead's scheduler with a number of targets of one model.
pub(super) struct Slots {
    scheduler: Scheduler,
    accounts: Vec<AccountName>,
    from: InstanceName,
}

impl Slots {
    /// Sets up the targets with capacity for many streams.
    pub(super) fn new(targets: usize, accounts: usize) -> Self {
        let limit = LimitSettings { slow_start: false, ..LimitSettings::default() };
        let settings = Settings { limit, ..Settings::default() };
        let mut scheduler = Scheduler::new(settings, 1, [], Time::ZERO);
        scheduler.set_valid_until(FOREVER);
        let target = |index| TargetInfo {
            name: TargetName::from(format!("target-{index:04}")),
            address: format!("http://127.0.0.1:{index}"),
            models: vec![ModelName::from("m")],
            max_limit: 64,
            leaving: false,
        };
        let config = Config { targets: (0..targets).map(target).collect(), domain_out: false };
        scheduler.on_config(&config, Time::ZERO);
        let accounts = (0..accounts).map(account).collect();
        Self { scheduler, accounts, from: InstanceName::from("instance-0001") }
    }

    /// Grants a slot and applies its release. Returns whether it was granted.
    pub(super) fn decide(&mut self, count: u64) -> bool {
        let now = Time::from_micros(START_US + count * STEP_US);
        let request = SlotRequest {
            request: RequestId::from(format!("r{count}")),
            account: self.accounts[count as usize * 7919 % self.accounts.len()].clone(),
            weight: 1.0,
            class: Class::Online,
            model: ModelName::from("m"),
            work: 1_000,
            prompt: 800,
            urgent: false,
            prefix: vec![count % 50, count % 500],
            wait_us: 0,
            exclude: Vec::new(),
            isolated: false,
        };
        let actions = self.scheduler.on_request(request, &self.from, now);
        let slot = actions.into_iter().find_map(|action| match action {
            Action::Grant { slot, .. } => Some(slot),
            _ => None,
        });
        let Some(slot) = slot else { return false };
        let release = SlotRelease {
            slot: slot.slot,
            epoch: slot.epoch,
            target: slot.target,
            end: SlotResult::Whole,
            first_token_us: Some(100_000),
            work: 1_000,
        };
        self.scheduler.on_release(&release, now);
        true
    }
}

/// A lead's view of its failure domain.
pub(super) struct Domain {
    members: Members,
    names: Vec<InstanceName>,
    domain: DomainName,
}

impl Domain {
    /// Sets up a failure domain whose instances have all sent a heartbeat.
    pub(super) fn new(instances: usize) -> Self {
        let domain = DomainName::from("d0");
        let members = Members::new(InstanceName::from("lead"), domain.clone());
        let name = |index| InstanceName::from(format!("instance-{index:04}"));
        let names = (0..instances).map(name).collect();
        let mut domain = Self { members, names, domain };
        (0..instances as u64).for_each(|count| domain.heartbeat(count));
        domain
    }

    /// Applies a heartbeat and creates the reply.
    pub(super) fn heartbeat(&mut self, count: u64) {
        let now = Time::from_micros(START_US + count * STEP_US);
        let notice = LeadNotice { epoch: 9, version: 1 << 30, age_ms: 100 };
        let report =
            MemberReport { lead: None, notice: Some(notice), revision: 9, crash_marks: Vec::new() };
        let heartbeat = Heartbeat { revision: 9, ..Heartbeat::default() };
        let from = &self.names[count as usize % self.names.len()];
        let message = MembershipMessage::Heartbeat(heartbeat);
        self.members.on_message(now, from, &self.domain, &message, &report);
    }
}

/// Returns a configuration with this many accounts and keys.
pub(super) fn configuration(accounts: usize, keys: usize) -> Configuration {
    let mut current = Configuration::default();
    let put_account = |index| Operation::Put(Resource::Account(account_resource(index)));
    let put_key = |index: usize| {
        let id = format!("key-{index:05}");
        let hash = sesamewall_protocol::hash_key(&id);
        let account = account(index % accounts.max(1));
        Operation::Put(Resource::Key(Key { id, account, hash }))
    };
    let operations: Vec<_> = (0..accounts).map(put_account).chain((0..keys).map(put_key)).collect();
    for part in operations.chunks(100) {
        current = apply(&current, part.to_vec());
    }
    current
}

fn account_resource(index: usize) -> Account {
    let online = RateLimit { rate: 10.0, burst: 20.0 };
    Account { name: account(index), online, batch: None, weight: 1.0 }
}

/// Applies a change to one account.
pub(super) fn change_one(current: &Configuration) -> Configuration {
    apply(current, vec![Operation::Put(Resource::Account(account_resource(0)))])
}

fn apply(current: &Configuration, operations: Vec<Operation>) -> Configuration {
    let change = Change {
        revision: current.revision() + 1,
        token: "token".to_owned(),
        author: "bench".to_owned(),
        at_ms: 0,
        operations,
    };
    current.apply(&change).expect("the resources are valid")
}

/// Parses an input line, writes an outcome frame for it and reads that again.
pub(super) fn batch_item(count: u64) {
    let line = format!(
        "{{\"custom_id\":\"item-{count}\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\
         \"body\":{{\"model\":\"m\",\"messages\":[{{\"role\":\"user\",\"content\":\"{:800}\"}}]}}}}",
        "text"
    );
    let parsed = parse_line(1, line.as_bytes()).map(|parsed| parsed.custom_id);
    let body = FrameBody::Outcome { ok: parsed.is_ok(), line };
    let frame = Frame { fence: 1, item: (count % 500) as u32, body };
    let _ = decode_frames(&encode_frame(&frame));
}
