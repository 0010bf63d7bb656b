//! Runs the floor lease of this failure domain and the backup for the floor of the preceding
//! failure domain in name order, which the lead may inherit.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_ports::Clock;
use sesamewall_ports::Precondition;
use sesamewall_ports::Store;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Time;
use sesamewall_protocol::peer::PeerMessage;
use sesamewall_protocol::peer::RateMessage;
use sesamewall_rate::Floor;
use sesamewall_rate::FloorBackup;
use sesamewall_rate::FloorCall;
use sesamewall_rate::FloorRecord;
use sesamewall_rate::FloorSettings;
use sesamewall_rate::Inherited;
use sesamewall_rate::SHARE_UNIT;
use sesamewall_rate::reserve_share;

use super::service::lead_key;
use crate::InstanceContext;
use crate::rate_service::RateService;

const TICK: Duration = Duration::from_millis(500);

#[derive(Default)]
struct State {
    epoch: u64,
    floor: Option<Floor>,
    backup: Option<FloorBackup>,
}

/// Runs the floor lease while this instance is lead.
pub struct FloorService {
    clock: Arc<dyn Clock>,
    /// All failure domains in name order.
    domains: Vec<DomainName>,
    local: DomainName,
    state: Mutex<State>,
}

impl FloorService {
    /// Creates the service for an instance of the failure domain `local`.
    pub fn new(
        clock: Arc<dyn Clock>,
        local: DomainName,
        mut domains: Vec<DomainName>,
    ) -> Arc<Self> {
        domains.sort();
        Arc::new(Self { clock, domains, local, state: Mutex::default() })
    }

    /// Starts the background task.
    pub fn spawn(self: &Arc<Self>, context: Arc<InstanceContext>, rates: Arc<RateService>) {
        let service = self.clone();
        let tasks = context.tasks.clone();
        tasks.spawn_essential("floor", async move {
            loop {
                service.tick(&context, &rates).await;
                tokio::time::sleep(TICK).await;
            }
        });
    }

    /// Applies a renewal of the local lead record that was sent at `sent`.
    pub fn on_renewed(&self, sent: Time, now: Time) {
        if let Some(floor) = self.lock().floor.as_mut() {
            floor.on_renewed(sent, now);
        }
    }

    /// Returns the time until which the full floor may be granted. A single failure domain has no
    /// backup lead, so no other lead can claim its floor.
    pub fn full_until(&self, now: Time) -> Time {
        match &self.lock().floor {
            _ if self.domains.len() < 2 => Time::from_micros(u64::MAX),
            Some(floor) => floor.full_until(now),
            None => Time::ZERO,
        }
    }

    /// Returns the promise for the lead of another failure domain, if this instance is its backup
    /// lead.
    pub fn promise(&self, domain: &DomainName) -> Option<Duration> {
        let backed = self.neighbour(-1)?;
        match backed == domain {
            true => self.lock().backup.as_mut()?.promise(self.clock.now()),
            false => None,
        }
    }

    fn neighbour(&self, step: isize) -> Option<&DomainName> {
        let count = isize::try_from(self.domains.len()).ok().filter(|count| *count > 1)?;
        let local = self.domains.iter().position(|domain| *domain == self.local)?;
        let index = (isize::try_from(local).ok()? + step).rem_euclid(count);
        self.domains.get(usize::try_from(index).ok()?)
    }

    async fn tick(&self, context: &InstanceContext, rates: &RateService) {
        let now = self.clock.now();
        let term = context.lead.valid(now);
        let Some(term) = term.filter(|_| self.domains.len() > 1) else {
            if term.is_none() {
                *self.lock() = State::default();
            }
            rates.set_inherited(Vec::new());
            return;
        };
        self.start_epoch(term.epoch, now);
        self.request_promise(context, now).await;
        self.run_floor(context).await;
        self.run_backup(context).await;
        let inherited: Option<Inherited> =
            self.lock().backup.as_ref().and_then(|backup| backup.inherited(self.clock.now()));
        let from = self.neighbour(-1).cloned();
        rates.set_inherited(from.zip(inherited).into_iter().collect());
    }

    fn start_epoch(&self, epoch: u64, now: Time) {
        let mut state = self.lock();
        if state.epoch == epoch {
            return;
        }
        let settings = FloorSettings::default();
        let share = SHARE_UNIT / self.domains.len().max(1) as u64;
        let leased_share = share - reserve_share(share);
        *state = State {
            epoch,
            floor: Some(Floor::new(settings)),
            backup: Some(FloorBackup::new(settings, epoch, leased_share, now)),
        };
    }

    /// Requests a promise from the backup lead. It preserves the full floor during a store outage.
    async fn request_promise(&self, context: &InstanceContext, sent: Time) {
        let Some(backup) = self.neighbour(1).and_then(|domain| context.directory.lead(domain))
        else {
            return;
        };
        let message = PeerMessage::Rate(RateMessage::PromiseAsk { domain: self.local.clone() });
        let exchange = context.link.exchange(&backup.address, message);
        let reply = tokio::time::timeout(TICK, exchange).await;
        if let Ok(Ok(PeerMessage::Rate(RateMessage::Promise { clear_us: Some(clear_us) }))) = reply
            && let Some(floor) = self.lock().floor.as_mut()
        {
            floor.on_promised(sent, Duration::from_micros(clear_us), self.clock.now());
        }
    }

    async fn run_floor(&self, context: &InstanceContext) {
        let now = self.clock.now();
        let call = self.lock().floor.as_ref().and_then(|floor| floor.tick(now));
        let key = floor_key(&self.local);
        match call {
            Some(FloorCall::ReadFloor) => {
                if let Some((record, version)) = read_floor(&*context.store, &key).await
                    && let Some(floor) = self.lock().floor.as_mut()
                {
                    floor.on_floor_read(record, version, now, self.clock.now());
                }
            }
            Some(FloorCall::Write { expect, record }) => {
                let written = write_floor(&*context.store, &key, expect, record).await;
                if let Some(floor) = self.lock().floor.as_mut() {
                    match written {
                        Some(version) => floor.on_floor_written(record, version),
                        None => floor.on_conflict(),
                    }
                }
            }
            Some(FloorCall::ReadLead) | None => {}
        }
    }

    async fn run_backup(&self, context: &InstanceContext) {
        let Some(backed) = self.neighbour(-1).cloned() else { return };
        let now = self.clock.now();
        let call = self.lock().backup.as_mut().and_then(|backup| backup.tick(now));
        let key = floor_key(&backed);
        match call {
            Some(FloorCall::ReadFloor) => {
                if let Some((record, version)) = read_floor(&*context.store, &key).await
                    && let Some(backup) = self.lock().backup.as_mut()
                {
                    backup.on_floor_read(record, version, self.clock.now());
                }
            }
            Some(FloorCall::ReadLead) => {
                if let Ok(found) = context.store.get(&lead_key(&backed)).await
                    && let Some(backup) = self.lock().backup.as_mut()
                {
                    let version = found.map_or(0, |entry| entry.version);
                    backup.on_lead_read(version, now, self.clock.now());
                }
            }
            Some(FloorCall::Write { expect, record }) => {
                let written = write_floor(&*context.store, &key, expect, record).await;
                if let Some(backup) = self.lock().backup.as_mut() {
                    match written {
                        Some(version) => {
                            backup.on_floor_written(record, version, now, self.clock.now());
                        }
                        None => backup.on_conflict(),
                    }
                }
            }
            None => {}
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn floor_key(domain: &DomainName) -> String {
    format!("floor/{domain}")
}

async fn read_floor(store: &dyn Store, key: &str) -> Option<(FloorRecord, u64)> {
    match store.get(key).await.ok()? {
        None => Some((FloorRecord::default(), 0)),
        Some(entry) => Some((serde_json::from_slice(&entry.value).ok()?, entry.version)),
    }
}

async fn write_floor(
    store: &dyn Store,
    key: &str,
    expect: u64,
    record: FloorRecord,
) -> Option<u64> {
    let value = Bytes::from(serde_json::to_vec(&record).ok()?);
    let expect = if expect == 0 { Precondition::Absent } else { Precondition::Version(expect) };
    store.put(key, value, expect).await.ok()
}
