//! Starts one instance: ports, services, listeners, and an orderly end.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use sesamewall_adapters::HttpInstances;
use sesamewall_adapters::HttpStore;
use sesamewall_adapters::HttpTarget;
use sesamewall_adapters::TonicPeerLink;
use sesamewall_adapters::serve_peers;
use sesamewall_ports::Clock;
use sesamewall_ports::InstanceList;
use sesamewall_ports::ListedInstance;
use sesamewall_ports::ListedState;
use sesamewall_ports::PeerAddress;
use sesamewall_ports::Store;
use sesamewall_ports::SystemClock;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Error;
use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Result;
use slog::Logger;
use slog::info;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::ConfigView;
use crate::Directory;
use crate::LeadView;
use crate::Metrics;
use crate::Node;
use crate::Recorder;
use crate::Settings;
use crate::caller::CallerService;
use crate::caller::serve_http;
use crate::execute::Executor;
use crate::membership_service::MembershipService;
use crate::peer_service::PeerService;
use crate::rate_service::RateService;
use crate::slot_service::SlotService;

/// Ports of the platform, given by `--dev` or built from the settings.
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
    /// What the services share.
    pub node: Arc<Node>,
    /// Accepts configuration changes.
    pub writer: Arc<MembershipService>,
    /// Bound address for callers.
    pub caller_addr: String,
    /// Bound address for operators.
    pub operator_addr: String,
    rates: Arc<RateService>,
    callers: Stoppable,
    inner: Vec<Stoppable>,
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

fn serve(listener: TcpListener, router: Router) -> Stoppable {
    let stop = CancellationToken::new();
    let task = tokio::spawn(serve_http(listener, router, stop.clone()));
    Stoppable { stop, task }
}

impl Instance {
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
        let own = ListedInstance {
            name: InstanceName::from(settings.instance.as_str()),
            domain: DomainName::from(settings.domain.as_str()),
            address: PeerAddress { peer, forward },
            bulk: settings.data_dir.is_some(),
            state: ListedState::Live,
        };
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
        let node = Arc::new(Node {
            recorder: Recorder::new(own.name.clone(), clock.clone()),
            link: Arc::new(TonicPeerLink::new(own.clone())),
            target: Arc::new(HttpTarget::default()),
            bulk: None,
            config: ConfigView::default(),
            directory: Directory::default(),
            lead: LeadView::default(),
            metrics: Metrics::default(),
            store: platform.store,
            instances: platform.instances,
            draining: false.into(),
            clock,
            own,
            settings,
            log,
        });
        let membership = MembershipService::new(node.clone());
        let rates = RateService::new(node.clone());
        let slots = SlotService::new(node.clone());
        let executor =
            Arc::new(Executor::new(node.clone(), Arc::new(rates.clone()), Arc::new(slots.clone())));
        let handler = Arc::new(PeerService::new(rates.clone(), slots.clone(), executor.clone()));
        let peers = CancellationToken::new();
        let peer_task = tokio::spawn({
            let (own, stop) = (node.own.clone(), peers.clone());
            async move {
                let _ = serve_peers(peer_listener, own, handler, stop.cancelled_owned()).await;
            }
        });
        membership.spawn();
        rates.spawn();
        slots.spawn();
        follow_configuration(&node, &rates, &slots);
        let caller = Arc::new(CallerService::new(node.clone(), executor));
        let callers = serve(caller_listener, caller.clone().router(Router::new()));
        let forwards = serve(forward_listener, caller.forward_router());
        let operators = serve(operator_listener, Router::new());
        info!(node.log, "instance started"; "callers" => &caller_addr, "operators" => &operator_addr);
        Ok(Self {
            writer: membership,
            caller_addr,
            operator_addr,
            rates,
            callers,
            inner: vec![forwards, operators, Stoppable { stop: peers, task: peer_task }],
            node,
        })
    }

    /// Ends the instance in order: readiness goes false, the load balancer's lag is waited out,
    /// requests run to their end, tokens are handed back.
    pub async fn shut_down(self) {
        self.node.draining.store(true, Ordering::Relaxed);
        info!(self.node.log, "instance drains");
        tokio::time::sleep(Duration::from_millis(self.node.settings.drain_ms)).await;
        self.callers.end().await;
        self.rates.shut_down();
        for inner in self.inner {
            inner.end().await;
        }
        info!(self.node.log, "instance stopped");
    }
}

fn follow_configuration(node: &Arc<Node>, rates: &Arc<RateService>, slots: &Arc<SlotService>) {
    let mut revisions = node.config.subscribe();
    let (rates, slots) = (rates.clone(), slots.clone());
    tokio::spawn(async move {
        while revisions.changed().await.is_ok() {
            rates.configure();
            slots.configure();
        }
    });
}
