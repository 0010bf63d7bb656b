//! Starts one instance with its ports, services and listeners, and shuts it down in order.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::middleware::from_fn_with_state;
use sesamewall_adapters::DataFolder;
use sesamewall_adapters::HttpControl;
use sesamewall_adapters::HttpInstances;
use sesamewall_adapters::HttpStore;
use sesamewall_adapters::HttpTarget;
use sesamewall_adapters::TonicPeerLink;
use sesamewall_adapters::serve_peers;
use sesamewall_membership::BudgetSettings;
use sesamewall_ports::BulkStorage;
use sesamewall_ports::Clock;
use sesamewall_ports::InstanceList;
use sesamewall_ports::ListedInstance;
use sesamewall_ports::ListedState;
use sesamewall_ports::PeerAddress;
use sesamewall_ports::Store;
use sesamewall_ports::SystemClock;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Class;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Result;
use sesamewall_tasks::Tasks;
use slog::Logger;
use slog::info;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::BatchService;
use crate::ConfigView;
use crate::Directory;
use crate::InstanceContext;
use crate::LeadView;
use crate::Metrics;
use crate::OperatorService;
use crate::RateLimiter;
use crate::RecordLimits;
use crate::RecordService;
use crate::Recorder;
use crate::Settings;
use crate::StateDump;
use crate::batch_jobs::BatchJobs;
use crate::caller::CallerService;
use crate::caller::serve_http;
use crate::control_service::ControlService;
use crate::dump_part::DumpPart;
use crate::execute::BatchItemRunner;
use crate::execute::Executor;
use crate::idempotency_service::IdempotencyService;
use crate::membership::BudgetedStore;
use crate::membership::ConfigService;
use crate::membership::FloorService;
use crate::membership::MembershipService;
use crate::membership::Outgoing;
use crate::operator_router;
use crate::peer_service::PeerService;
use crate::rate_service::RateService;
use crate::slot_service::SlotService;
use crate::task_log;
use crate::task_log::TaskLog;

/// Ports of the platform, embedded with `--dev` or built from the settings.
pub struct Platform {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The instance list.
    pub instances: Arc<dyn InstanceList>,
}

impl Platform {
    /// Returns the platform's ports over HTTP.
    pub fn over_http(base: &str) -> Self {
        Self {
            store: Arc::new(HttpStore::new(base)),
            instances: Arc::new(HttpInstances::new(base)),
        }
    }
}

/// A running instance.
pub struct Instance {
    /// The ports and views that the services share.
    pub context: Arc<InstanceContext>,
    /// Accepts configuration changes.
    pub writer: Arc<ConfigService>,
    /// Bound address for callers.
    pub caller_addr: String,
    /// Bound address for operators.
    pub operator_addr: String,
    callers: Stoppable,
    inner: Vec<Stoppable>,
    services: Services,
}

struct Stoppable {
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Stoppable {
    async fn end(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

async fn bind(key: &str, address: &str) -> Result<(TcpListener, String)> {
    let failed = |error: std::io::Error| Error::SettingsInvalid {
        file: "settings".to_owned(),
        line: 0,
        key: key.to_owned(),
        detail: format!("cannot listen on `{address}`: {error}"),
    };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?.to_string();
    Ok((listener, bound))
}

fn open_bulk(settings: &Settings) -> Result<Option<Arc<dyn BulkStorage>>> {
    let Some(folder) = &settings.data_dir else { return Ok(None) };
    let bulk: Arc<dyn BulkStorage> = Arc::new(DataFolder::open(folder.join("bulk"))?);
    Ok(Some(bulk))
}

fn serve(
    context: &InstanceContext,
    name: &'static str,
    listener: TcpListener,
    router: Router,
) -> Stoppable {
    let stop = CancellationToken::new();
    let router = router.layer(from_fn_with_state(context.tasks.clone(), task_log::respond));
    let task = context.tasks.spawn_essential(name, serve_http(listener, router, stop.clone()));
    Stoppable { stop, task }
}

/// Delay between two attempts to spend a token of an account.
const ADMIT_RETRY_DELAY: Duration = Duration::from_millis(50);

impl Instance {
    /// Waits until a request of a client account is admitted. This spends the tokens of one
    /// request.
    ///
    /// # Errors
    ///
    /// Returns the last refusal after `limit`.
    pub async fn wait_admitted(&self, account: &AccountName, limit: Duration) -> Result<()> {
        let until = tokio::time::Instant::now() + limit;
        loop {
            let refused = self.services.rates.spend(account, Class::Online).await;
            if refused.is_ok() || tokio::time::Instant::now() >= until {
                return refused;
            }
            tokio::time::sleep(ADMIT_RETRY_DELAY).await;
        }
    }

    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Returns `Error::SettingsInvalid` if an address cannot be bound.
    pub async fn start(settings: Settings, platform: Platform, log: Logger) -> Result<Self> {
        let (caller_listener, caller_addr) = bind("caller_addr", &settings.caller_addr).await?;
        let (operator_listener, operator_addr) =
            bind("operator_addr", &settings.operator_addr).await?;
        let (peer_listener, peer) = bind("peer_addr", &settings.peer_addr).await?;
        let (forward_listener, forward) = bind("forward_addr", &settings.forward_addr).await?;
        let local = ListedInstance {
            name: InstanceName::from(settings.instance.as_str()),
            domain: DomainName::from(settings.domain.as_str()),
            address: PeerAddress { peer, forward },
            bulk: settings.data_dir.is_some(),
            state: ListedState::Live,
        };
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let budget = match settings.platform_url.is_empty() {
            true => BudgetSettings { slow_start: false, ..BudgetSettings::default() },
            false => BudgetSettings::default(),
        };
        let budgeted = Arc::new(BudgetedStore::new(platform.store, clock.clone(), budget));
        let (metrics, draining) = (Metrics::default(), Arc::new(AtomicBool::new(false)));
        let task_log = TaskLog::new(log.clone(), metrics.changes.clone(), draining.clone());
        let context = Arc::new(InstanceContext {
            recorder: Recorder::new(local.name.clone(), clock.clone()),
            link: Arc::new(TonicPeerLink::new(local.clone())),
            target: Arc::new(HttpTarget::default()),
            bulk: open_bulk(&settings)?,
            config: ConfigView::default(),
            directory: Directory::default(),
            lead: LeadView::default(),
            metrics,
            store: budgeted.clone(),
            instances: platform.instances,
            draining,
            tasks: Tasks::new(Arc::new(task_log)),
            clock,
            local,
            settings,
            log,
        });
        let services = Services::new(&context, budgeted)?;
        let peers = serve_peer_messages(peer_listener, &context, &services);
        services.spawn(&context);
        let (executor, keys) = (services.executor.clone(), services.idempotency.clone());
        let caller = Arc::new(CallerService::new(context.clone(), executor, keys));
        let router = caller.clone().router(services.batch.router());
        let callers = serve(&context, "callers", caller_listener, router);
        let forwards = serve(&context, "forwards", forward_listener, caller.forward_router());
        let router = operator_router(services.operators.clone());
        let operators = serve(&context, "operators", operator_listener, router);
        info!(context.log, "instance started"; "callers" => &caller_addr,
            "operators" => &operator_addr);
        Ok(Self {
            writer: services.config.clone(),
            caller_addr,
            operator_addr,
            callers,
            inner: vec![forwards, operators, peers],
            services,
            context,
        })
    }

    /// Waits until a task has ended that the instance depends on, and returns its name. The instance
    /// then has to be shut down.
    pub async fn wait_failure(&self) -> &'static str {
        self.context.tasks.wait_failure().await
    }

    /// Shuts the instance down in order: readiness becomes false, the delay of the load balancer
    /// passes, running requests complete, and tokens are returned.
    pub async fn shut_down(self) {
        self.context.draining.store(true, Ordering::Relaxed);
        info!(self.context.log, "instance drains");
        // Batch work ends during the delay of the load balancer, and before the peer listener
        // stops, because its outcomes are sent to other instances.
        let lag = tokio::time::sleep(Duration::from_millis(self.context.settings.drain_ms));
        tokio::join!(lag, self.services.batch.drain());
        // Waiting requests need slots from the lead, which may be this instance without a
        // successor, so they end before membership does.
        self.callers.end().await;
        self.services.membership.shut_down().await;
        self.services.rates.shut_down();
        self.services.stop.cancel();
        self.services.records.flush().await;
        for inner in self.inner {
            inner.end().await;
        }
        info!(self.context.log, "instance stopped");
    }
}

/// The services of an instance.
struct Services {
    config: Arc<ConfigService>,
    outgoing: Mutex<Option<mpsc::UnboundedReceiver<Outgoing>>>,
    membership: Arc<MembershipService>,
    floor: Arc<FloorService>,
    rates: Arc<RateService>,
    slots: Arc<SlotService>,
    orders: Arc<ControlService>,
    executor: Arc<Executor>,
    idempotency: Arc<IdempotencyService>,
    batch: Arc<BatchService>,
    records: Arc<RecordService>,
    operators: Arc<OperatorService>,
    stop: CancellationToken,
}

impl Services {
    fn new(context: &Arc<InstanceContext>, store: Arc<BudgetedStore>) -> Result<Self> {
        let domains = context.settings.domains.iter().map(|name| DomainName::from(name.as_str()));
        let floor = FloorService::new(
            context.clock.clone(),
            context.local.domain.clone(),
            domains.collect(),
        );
        let (config, outgoing) = ConfigService::new(context.clone());
        let membership =
            MembershipService::new(context.clone(), config.clone(), floor.clone(), store);
        let rates = RateService::new(context.clone());
        let slots = SlotService::new(context.clone());
        let control = Arc::new(HttpControl::default());
        let orders = ControlService::new(context.clone(), control, Arc::new(slots.clone()));
        let executor = Arc::new(Executor::new(
            context.clone(),
            Arc::new(rates.clone()),
            Arc::new(slots.clone()),
        ));
        let idempotency = IdempotencyService::new(context.clone());
        let runner = Arc::new(BatchItemRunner::new(executor.clone()));
        let batch = BatchService::new(context.clone(), runner);
        let records = Arc::new(RecordService::new(context.clone(), RecordLimits::default())?);
        let dumps: Vec<Arc<dyn StateDump>> = vec![
            Arc::new(DumpPart::new("membership", membership.clone(), |part| part.dump())),
            Arc::new(DumpPart::new("rates", rates.clone(), |part| part.dump())),
            Arc::new(DumpPart::new("slots", slots.clone(), |part| part.dump())),
            Arc::new(DumpPart::new("idempotency", idempotency.clone(), |part| part.dump())),
            Arc::new(DumpPart::new("orders", orders.clone(), |part| part.dump())),
            Arc::new(DumpPart::new("batch", batch.clone(), |part| part.dump())),
        ];
        let operators = Arc::new(OperatorService {
            context: context.clone(),
            writer: config.clone(),
            records: records.clone(),
            jobs: Some(Arc::new(BatchJobs::new(batch.clone()))),
            dumps,
        });
        let outgoing = Mutex::new(Some(outgoing));
        let stop = CancellationToken::new();
        Ok(Self {
            config,
            outgoing,
            membership,
            floor,
            rates,
            slots,
            orders,
            executor,
            idempotency,
            batch,
            records,
            operators,
            stop,
        })
    }

    fn spawn(&self, context: &Arc<InstanceContext>) {
        let outgoing = self.outgoing.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(outgoing) = outgoing {
            self.membership.spawn(outgoing);
        }
        self.config.spawn();
        self.floor.spawn(context.clone(), self.rates.clone());
        self.rates.spawn();
        self.slots.spawn();
        self.orders.spawn();
        self.executor.spawn_mark_sender();
        self.batch.spawn();
        let (records, stop) = (self.records.clone(), self.stop.clone());
        context.tasks.spawn_essential("records", async move { records.run(stop).await });
        watch_configuration(context, &self.rates, &self.slots);
    }
}

fn serve_peer_messages(
    listener: TcpListener,
    context: &Arc<InstanceContext>,
    services: &Services,
) -> Stoppable {
    let handler = Arc::new(PeerService {
        rates: services.rates.clone(),
        slots: services.slots.clone(),
        executor: services.executor.clone(),
        idempotency: services.idempotency.clone(),
        membership: services.membership.clone(),
        floor: services.floor.clone(),
        batch: services.batch.clone(),
        records: services.records.clone(),
        operators: services.operators.clone(),
    });
    let stop = CancellationToken::new();
    let ended = stop.clone().cancelled_owned();
    let local = context.local.clone();
    let task = context.tasks.spawn_essential("peers", async move {
        // An error ends the task, which is reported.
        let _ = serve_peers(listener, local, handler, ended).await;
    });
    Stoppable { stop, task }
}

fn watch_configuration(
    context: &Arc<InstanceContext>,
    rates: &Arc<RateService>,
    slots: &Arc<SlotService>,
) {
    let mut revisions = context.config.subscribe();
    let (rates, slots) = (rates.clone(), slots.clone());
    context.tasks.spawn_essential("configuration", async move {
        while revisions.changed().await.is_ok() {
            rates.configure();
            slots.configure();
        }
    });
}
