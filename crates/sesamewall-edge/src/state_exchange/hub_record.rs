//! Claims a hub record in the store and keeps it.
//!
//! A hub record is advisory: two instances may both hold it without harm. The records only limit
//! how many hubs a failure domain has, and let a newly started instance find the hubs.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_fleet::HUBS_PER_DOMAIN;
use sesamewall_fleet::HubClaimSettings;
use sesamewall_fleet::HubStatus;
use sesamewall_fleet::RecordStep;
use sesamewall_fleet::StoredRecord;
use sesamewall_fleet::compare_records;
use sesamewall_ports::CommitResult;
use sesamewall_ports::Page;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::StoredItem;
use sesamewall_ports::Transaction;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;
use slog::info;
use slog::warn;

use crate::InstanceContext;
use crate::state_exchange::StateExchange;

/// Prefix of the hub keys: `DOMAIN/NUMBER` for a hub record, `DOMAIN/size` for the size of the
/// domain.
const HUB_PREFIX: &str = "sesamewall/hub/";

/// Interval between checks of the local hub record and of vacant ones.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which a changed size of the failure domain has to persist before it is written.
const SIZE_DELAY: Duration = Duration::from_secs(3);

/// Interval between two comparisons of the records and the size in the store with the local ones.
const COMPARE_INTERVAL: Duration = Duration::from_secs(5);

/// Delay between attempts to read the hub records at the start.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A hub record as stored.
#[derive(Clone, Debug)]
struct HubRecord {
    hub: HubStatus,
    number: usize,
    revision: u64,
}

/// Size of a failure domain as stored.
#[derive(Clone, Copy, Debug, Default)]
struct StoredSize {
    fronts: u32,
    all: u32,
    /// Store revision of the size; 0 if there is none.
    revision: u64,
}

/// Hub records and sizes of failure domains, as read from the store.
#[derive(Clone, Debug, Default)]
struct HubRecords {
    hubs: Vec<HubRecord>,
    sizes: Vec<(DomainName, StoredSize)>,
}

impl HubRecords {
    fn read(items: &[StoredItem]) -> Self {
        let mut records = Self::default();
        for item in items {
            records.on_item(item);
        }
        records
    }

    fn on_item(&mut self, item: &StoredItem) {
        let Some((domain, kind)) =
            item.key.strip_prefix(HUB_PREFIX).and_then(|rest| rest.rsplit_once('/'))
        else {
            return;
        };
        let domain = DomainName::from(domain);
        let text = String::from_utf8_lossy(&item.value).into_owned();
        let Some((first, second)) = text.split_once(' ') else { return };
        if let (Ok(number), Ok(address)) = (kind.parse::<usize>(), second.parse::<IpAddr>()) {
            let name = InstanceName::from(first);
            let hub = HubStatus { name, address, domain, store_reachable: true, draining: false };
            self.hubs.push(HubRecord { hub, number, revision: item.revision });
        } else if let (Ok(fronts), Ok(all)) = (first.parse(), second.parse()) {
            self.sizes.push((domain, StoredSize { fronts, all, revision: item.revision }));
        }
    }
}

/// Claims a hub record if one is vacant, keeps it, and checks for vacant ones.
pub async fn keep(exchange: Arc<StateExchange>) {
    let context = exchange.context.clone();
    let settings = HubClaimSettings::default();
    let records = read_initial(&exchange).await;
    let is_local = |record: &&HubRecord| record.hub.name == context.settings.instance;
    let former = records.hubs.iter().find(is_local).cloned();
    let size = records.sizes.iter().find(|(domain, _)| *domain == context.settings.domain);
    let stored_size = size.map(|(_, size)| *size).unwrap_or_default();
    let mut keeper = HubRecordKeeper {
        exchange,
        settings,
        lease: 0,
        number: None,
        claim_lease: 0,
        compared_at: context.now(),
        size: None,
        stored_size,
        vacant_since: None,
    };
    match former {
        Some(record) => {
            // The process was restarted. Its members still send to it, so it acts as a hub at once.
            keeper.become_hub();
            keeper.claim(record.number, record.revision).await;
        }
        None => {
            tokio::time::sleep(keeper.claim_delay()).await;
            keeper.claim_vacant().await;
        }
    }
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if context.is_draining() {
            continue;
        }
        let hub = context.state().peers.is_hub();
        match hub {
            true => keeper.check_as_hub().await,
            false => keeper.check_as_member().await,
        }
        keeper.compare().await;
    }
}

/// Reads the hub records at the start of the process. A stale read is enough, since claims are
/// conditional on the revision.
async fn read_initial(exchange: &StateExchange) -> HubRecords {
    let context = &exchange.context;
    loop {
        match context.store.stale_page(HUB_PREFIX).await {
            Ok(page) => {
                context.on_store_result(true, &"");
                return apply_records(context, &page);
            }
            Err(error) => {
                context.on_store_error(&error);
            }
        }
        // Another instance may have sent the hubs meanwhile.
        let now = context.now();
        let known = context.state().peers.assigned_hub(now).is_some();
        if known {
            return HubRecords::default();
        }
        tokio::time::sleep(READ_RETRY_DELAY).await;
    }
}

fn apply_records(context: &InstanceContext, page: &Page) -> HubRecords {
    let records = HubRecords::read(&page.items);
    let hubs: Vec<HubStatus> = records.hubs.iter().map(|record| record.hub.clone()).collect();
    let fronts = records.sizes.iter().map(|(_, size)| size.fronts).fold(0, u32::saturating_add);
    let all = records.sizes.iter().map(|(_, size)| size.all).fold(0, u32::saturating_add);
    let local = &context.settings.domain;
    let local_size = records.sizes.iter().find(|(domain, _)| domain == local);
    let mut state = context.state();
    state.peers.on_hubs(&hubs);
    state.peers.on_fleet_size(fronts, all);
    if let Some((_, size)) = local_size {
        state.peers.on_domain_size(size.fronts);
    }
    drop(state);
    context.state_changed.notify_one();
    records
}

struct HubRecordKeeper {
    exchange: Arc<StateExchange>,
    settings: HubClaimSettings,
    /// Lease under which the local hub record was claimed; 0 without a record.
    lease: u64,
    /// Number of the local hub record.
    number: Option<usize>,
    /// Lease of the last claim that was sent. As long as it lasts, a claim may take effect.
    claim_lease: u64,
    /// Time of the last comparison with the store.
    compared_at: Time,
    /// Size of the failure domain (fronts, all instances) that was observed last, and the time at
    /// which this size was first observed.
    size: Option<((u32, u32), Time)>,
    /// Size of the failure domain as stored.
    stored_size: StoredSize,
    /// Time from which `vacancy_delay` counts for a vacant hub record of the failure domain; `None`
    /// if none is vacant. It includes the claim delay and may be in the future.
    vacant_since: Option<Time>,
}

impl HubRecordKeeper {
    fn context(&self) -> &Arc<InstanceContext> {
        &self.exchange.context
    }

    fn claim_delay(&self) -> Duration {
        let instance_settings = &self.context().settings;
        let delay = self.settings.wait(
            instance_settings.caller_address.is_some(),
            instance_settings.cpu_share,
            rand::random(),
        );
        match instance_settings.first_start {
            true => delay,
            // After a restart a quarter of the delay is enough: either the other instances have
            // waited for this process, or the instances are not known to each other yet.
            false => delay / 4,
        }
    }

    fn become_hub(&self) {
        let context = self.context();
        let before = context.state().peers.is_hub();
        if !before {
            context.state().peers.set_hub(true);
            // A new hub watches the store itself until it receives beacons from other hubs.
            context.set_watches_store(true);
            info!(context.log, "instance is a hub"; "domain" => %context.settings.domain);
            context.state_changed.notify_one();
        }
    }

    fn become_member(&self) {
        let context = self.context();
        context.state().peers.set_hub(false);
        context.set_watches_store(false);
        info!(context.log, "instance is a member"; "domain" => %context.settings.domain);
        context.state_changed.notify_one();
    }

    fn key(&self, kind: &str) -> String {
        format!("{HUB_PREFIX}{}/{kind}", self.context().settings.domain)
    }

    /// Returns the number of known hubs in the local failure domain that are not draining.
    fn local_hub_count(&self) -> usize {
        let context = self.context();
        let now = context.now();
        let hubs = context.state().peers.hubs(now);
        hubs.iter().filter(|hub| hub.domain == context.settings.domain && !hub.draining).count()
    }

    /// Reads the hub records and claims a vacant one, unless enough hubs are known.
    async fn claim_vacant(&mut self) {
        if self.local_hub_count() >= HUBS_PER_DOMAIN {
            return;
        }
        let context = self.context().clone();
        match context.store.page(HUB_PREFIX, None).await {
            Ok(page) => {
                let records = apply_records(&context, &page);
                self.claim_lowest(&records).await;
            }
            Err(error) => context.on_store_result(false, &error),
        }
    }

    /// Claims a vacant hub record, the lowest number first. Returns false if none could be claimed.
    async fn claim_lowest(&mut self, records: &HubRecords) -> bool {
        let domain = &self.context().settings.domain;
        let taken: Vec<usize> = records
            .hubs
            .iter()
            .filter(|record| record.hub.domain == *domain)
            .map(|record| record.number)
            .collect();
        for number in (0..HUBS_PER_DOMAIN).filter(|number| !taken.contains(number)) {
            if self.claim(number, 0).await {
                return true;
            }
        }
        false
    }

    /// Claims a hub record on the condition that its key has this revision. Returns whether the
    /// local instance has the record now.
    async fn claim(&mut self, number: usize, revision: u64) -> bool {
        let context = self.context().clone();
        let lease = match self.exchange.lease.obtain(&context).await {
            Ok(lease) => lease,
            Err(error) => {
                context.on_store_result(false, &error);
                return false;
            }
        };
        let key = self.key(&number.to_string());
        let value = Bytes::from(format!("{} {}", context.settings.instance, context.settings.ip));
        let writes = vec![StoreWrite { key: key.clone(), value: value.clone(), lease }];
        let expect = vec![(key.clone(), revision)];
        let transaction = Transaction { expect, writes, removes: Vec::new() };
        self.claim_lease = lease;
        match context.store.commit(&transaction).await {
            Ok(CommitResult::Done(_)) => {}
            Ok(CommitResult::Conflict(items)) => {
                let already_written =
                    items.iter().any(|item| item.key == key && item.value == value);
                let records = HubRecords::read(&items);
                let hubs: Vec<HubStatus> =
                    records.hubs.into_iter().map(|record| record.hub).collect();
                context.state().peers.on_hubs(&hubs);
                context.state_changed.notify_one();
                if !already_written {
                    return false;
                }
            }
            Ok(CommitResult::LeaseGone) => return false,
            Err(error) => {
                info!(context.log, "seat claim got no reply"; "seat" => key, "error" => %error);
                context.on_store_error(&error);
                return false;
            }
        }
        self.lease = lease;
        self.number = Some(number);
        info!(context.log, "seat taken"; "seat" => key, "lease" => lease);
        self.become_hub();
        // Hubs that claimed their records at the same moment are not known yet.
        match context.store.page(HUB_PREFIX, None).await {
            Ok(page) => {
                apply_records(&context, &page);
            }
            Err(error) => context.on_store_result(false, &error),
        }
        true
    }

    /// Writes the size of the domain if the lease of the hub record is current. If the lease has
    /// expired, claims a record again, or becomes a member if other instances have claimed
    /// all records.
    async fn check_as_hub(&mut self) {
        let context = self.context().clone();
        let lease = self.exchange.lease.number();
        if self.lease == 0 || self.lease != lease {
            let records = match context.store.page(HUB_PREFIX, None).await {
                Ok(page) => apply_records(&context, &page),
                Err(error) => {
                    // A hub without a record continues as a hub, since it is known to its peers.
                    context.on_store_result(false, &error);
                    return;
                }
            };
            let is_local = |record: &&HubRecord| record.hub.name == context.settings.instance;
            let former = records.hubs.iter().find(is_local).cloned();
            let taken = match former {
                Some(record) => self.claim(record.number, record.revision).await,
                None => self.claim_lowest(&records).await,
            };
            let full =
                records.hubs.iter().filter(|record| record.hub.domain == context.settings.domain);
            if !taken && full.count() >= HUBS_PER_DOMAIN {
                self.become_member();
            }
            return;
        }
        self.write_size().await;
    }

    /// Writes the size of the failure domain if it has changed. Only the hub with the lowest name
    /// in the domain does so.
    async fn write_size(&mut self) {
        let context = self.context().clone();
        let now = context.now();
        let (size, writes) = {
            let state = context.state();
            let nearby: Vec<_> = state
                .peers
                .live_hubs(now)
                .filter(|contact| contact.beacon.hub.domain == context.settings.domain)
                .collect();
            let local = state.peers.group_state(now);
            let members = nearby.iter().flat_map(|contact| contact.beacon.members.iter());
            let all: Vec<bool> =
                members.chain(local.members.iter()).map(|member| member.front).collect();
            let fronts = all.iter().filter(|front| **front).count() as u32;
            let lowest =
                nearby.iter().all(|contact| contact.beacon.hub.name > context.settings.instance);
            ((fronts, all.len() as u32), lowest && local.missing.is_empty())
        };
        match self.size {
            Some((known, _)) if known == size => {}
            _ => self.size = Some((size, now)),
        }
        let Some((_, since)) = self.size else { return };
        let stored = (self.stored_size.fronts, self.stored_size.all);
        if !writes || stored == size || now.since(since) < SIZE_DELAY {
            return;
        }
        let value = Bytes::from(format!("{} {}", size.0, size.1));
        let key = self.key("size");
        // The condition keeps a write that takes effect late from restoring an earlier size.
        let expect = vec![(key.clone(), self.stored_size.revision)];
        let writes = vec![StoreWrite { key, value, lease: 0 }];
        let transaction = Transaction { expect, writes, removes: Vec::new() };
        match context.store.commit(&transaction).await {
            Ok(CommitResult::Done(revision)) => {
                self.stored_size = StoredSize { fronts: size.0, all: size.1, revision };
                context.state().peers.on_domain_size(size.0);
                info!(context.log, "size written"; "fronts" => size.0, "instances" => size.1);
            }
            Ok(CommitResult::Conflict(items)) => {
                let read = HubRecords::read(&items).sizes.pop();
                let revision = items.first().map_or(0, |item| item.revision);
                let size = read.map(|(_, size)| size).unwrap_or_default();
                self.stored_size = StoredSize { revision, ..size };
                info!(context.log, "size differs"; "fronts" => self.stored_size.fronts,
                    "instances" => self.stored_size.all, "revision" => revision);
            }
            Ok(CommitResult::LeaseGone) => {}
            Err(error) => warn!(context.log, "size not written"; "error" => %error),
        }
    }

    /// Compares the records and the size of the local failure domain in the store with the local
    /// ones, for as long as a claim of this instance may take effect.
    async fn compare(&mut self) {
        let context = self.context().clone();
        let now = context.now();
        let lease = self.exchange.lease.number();
        let hub = context.state().peers.is_hub();
        let due = now.since(self.compared_at) >= COMPARE_INTERVAL;
        let current = self.claim_lease == lease && (!hub || self.lease == lease);
        if lease == 0 || !current || !due || context.store.is_lost() {
            return;
        }
        self.compared_at = now;
        let page = match context.store.stale_page(&self.key("")).await {
            Ok(page) => page,
            Err(error) => {
                context.on_store_error(&error);
                return;
            }
        };
        let records = HubRecords::read(&page.items);
        if let Some((_, size)) = records.sizes.first()
            && size.revision > self.stored_size.revision
        {
            info!(context.log, "size differs"; "fronts" => size.fronts, "instances" => size.all,
                "revision" => size.revision);
            self.stored_size = *size;
            context.state().peers.on_domain_size(size.fronts);
        }
        let stored: Vec<StoredRecord> = records
            .hubs
            .into_iter()
            .map(|HubRecord { hub, number, revision }| StoredRecord {
                name: hub.name,
                number,
                revision,
            })
            .collect();
        let kept = self.number.filter(|_| hub);
        for step in compare_records(&context.settings.instance, kept, &stored) {
            info!(context.log, "seat differs"; "domain" => %context.settings.domain,
                "step" => format!("{step:?}"));
            match step {
                RecordStep::Take { number, revision } => {
                    self.claim(number, revision).await;
                }
                RecordStep::Remove { number, revision } => {
                    self.remove_record(number, revision).await;
                }
                // The next check reads the records and claims one.
                RecordStep::ClaimAgain => self.lease = 0,
            }
        }
    }

    /// Removes a record that names this instance.
    async fn remove_record(&self, number: usize, revision: u64) {
        let context = self.context();
        let key = self.key(&number.to_string());
        let expect = vec![(key.clone(), revision)];
        let transaction = Transaction { expect, writes: Vec::new(), removes: vec![key] };
        if let Err(error) = context.store.commit(&transaction).await {
            warn!(context.log, "seat not removed"; "number" => number, "error" => %error);
        }
    }

    /// Claims a hub record that has been vacant for a while.
    async fn check_as_member(&mut self) {
        let context = self.context().clone();
        let now = context.now();
        if self.local_hub_count() >= HUBS_PER_DOMAIN {
            self.vacant_since = None;
            return;
        }
        // The claim delay is added so that instances with shorter delays claim first; the others
        // then see that the record has been claimed.
        let since = *self.vacant_since.get_or_insert(now + self.claim_delay() * 4);
        if now < since || now.since(since) < self.settings.vacancy_delay {
            return;
        }
        self.vacant_since = None;
        self.claim_vacant().await;
    }
}
