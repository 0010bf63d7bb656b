//! A stand-in for the hubs of a failure domain, whose update call can be made to hang.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use sesamewall_fleet::Confirmation;
use sesamewall_fleet::Datagram;
use sesamewall_fleet::Digest;
use sesamewall_fleet::HubStatus;
use sesamewall_fleet::RolloutNews;
use sesamewall_fleet::TargetEntry;
use sesamewall_fleet::Versions;
use sesamewall_fleet::instance_key;
use sesamewall_fleet::target_key;
use sesamewall_platform::CONFIGURATION_KEY;
use sesamewall_platform::TARGET_PREFIX;
use sesamewall_platform::decode_target;
use sesamewall_platform_standin::StandinStore;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::InstanceName;
use tokio::net::UdpSocket;

/// Interval between two digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(50);

/// Low bits of a target table's version, which are no part of the store's revision.
const TABLE_VERSION_BITS: u32 = 8;

/// Evacuated failure domains and retiring instances, in the format of the update call.
type Maintenance = (BTreeSet<DomainName>, BTreeSet<InstanceName>);

/// Keys of all targets, and the entries with their revisions, in the format of the update call.
type Table = (Vec<u32>, Vec<(TargetEntry, u64)>);

#[derive(Default)]
struct Inner {
    document: Bytes,
    versions: Versions,
    entries: Vec<(TargetEntry, u64)>,
    /// Members by address, with their keys and the sequence numbers of their last reports.
    members: BTreeMap<SocketAddr, (u32, u64)>,
}

struct Shared {
    inner: Mutex<Inner>,
    hangs: AtomicBool,
    confirms: AtomicBool,
    sequence: AtomicU64,
    hubs: Vec<HubStatus>,
}

impl Shared {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Hubs that hold all hub records of failure domain `a`, so that instances of it are members.
pub struct StandinHubs {
    shared: Arc<Shared>,
}

impl StandinHubs {
    /// Starts a hub at each address and writes the hub records to the store.
    pub async fn start(store: &StandinStore, ips: &[IpAddr], port: u16) -> Self {
        let hub = |(number, ip): (usize, &IpAddr)| HubStatus {
            name: InstanceName::from(format!("hub-{number}")),
            address: *ip,
            domain: DomainName::from("a"),
            store_reachable: true,
            draining: false,
        };
        let hubs: Vec<HubStatus> = ips.iter().enumerate().map(hub).collect();
        for (number, hub) in hubs.iter().enumerate() {
            let record = format!("{} {}", hub.name, hub.address);
            store.put_bytes(&format!("sesamewall/hub/a/{number}"), record.as_bytes());
        }
        let shared = Arc::new(Shared {
            inner: Mutex::default(),
            hangs: AtomicBool::new(false),
            confirms: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            hubs: hubs.clone(),
        });
        for hub in hubs {
            let address = SocketAddr::new(hub.address, port);
            let socket = Arc::new(UdpSocket::bind(address).await.expect("a free address"));
            tokio::spawn(receive(shared.clone(), socket.clone(), hub.clone()));
            tokio::spawn(send_digests(shared.clone(), socket, hub));
            let listener = tokio::net::TcpListener::bind(address).await.expect("a free address");
            let router = axum::Router::new()
                .route("/feed", axum::routing::post(serve_updates))
                .with_state(shared.clone());
            tokio::spawn(async move { axum::serve(listener, router).await });
        }
        Self { shared }
    }

    /// Lets the hubs read the configuration and the targets' entries from the store.
    pub fn read(&self, store: &StandinStore) {
        let revision = store.revision();
        let entries = store.keys(TARGET_PREFIX).into_iter().map(|key| {
            let value = store.value(&key).expect("a listed key");
            (decode_target(&key, &value).expect("a valid entry"), revision)
        });
        let mut inner = self.shared.inner();
        inner.entries = entries.collect();
        inner.document = store.value(CONFIGURATION_KEY).expect("a configuration").into();
        let document: serde_json::Value =
            serde_json::from_slice(&inner.document).expect("a configuration is JSON");
        let config = document["version"].as_u64().expect("a version");
        inner.versions = Versions { config, maintenance: 0, table: revision << TABLE_VERSION_BITS };
    }

    /// Sets whether the update call hangs. Datagrams continue.
    pub fn set_hanging(&self, hangs: bool) {
        self.shared.hangs.store(hangs, Ordering::Relaxed);
    }

    /// Sets whether the hubs confirm what they have read as complete, however old it is: to its
    /// receiver, a confirmation that was late on its way looks the same.
    pub fn set_confirming(&self, confirms: bool) {
        self.shared.confirms.store(confirms, Ordering::Relaxed);
    }
}

async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>, hub: HubStatus) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        match Datagram::decode(&buffer[..length]) {
            Some(Datagram::Report(report)) => {
                let member = (instance_key(&report.instance), report.sequence);
                shared.inner().members.insert(from, member);
                let digest = digest(&shared, &hub, member);
                let _ = socket.send_to(&digest, from).await;
            }
            Some(Datagram::Hello(_)) => {
                let hubs = Datagram::Hubs(shared.hubs.clone()).encode();
                let _ = socket.send_to(&hubs, from).await;
            }
            _ => {}
        }
    }
}

async fn send_digests(shared: Arc<Shared>, socket: Arc<UdpSocket>, hub: HubStatus) {
    loop {
        tokio::time::sleep(DIGEST_INTERVAL).await;
        let members: Vec<_> = shared.inner().members.clone().into_iter().collect();
        for (address, member) in members {
            let _ = socket.send_to(&digest(&shared, &hub, member), address).await;
            if shared.confirms.load(Ordering::Relaxed) {
                let versions = shared.inner().versions;
                let confirmation = Confirmation { versions, operators_age: 0, targets_age: 0 };
                let datagram = Datagram::Confirmation(confirmation).encode();
                let _ = socket.send_to(&datagram, address).await;
            }
        }
    }
}

fn digest(shared: &Shared, hub: &HubStatus, member: (u32, u64)) -> Vec<u8> {
    let digest = Digest {
        hub: hub.clone(),
        boot_id: 1,
        sequence: shared.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        acked: vec![member],
        versions: shared.inner().versions,
        loads: Vec::new(),
        online: 0,
        front_coverage: 1.0,
        fleet_coverage: 1.0,
        fronts: 1,
        complete: true,
        levels_known: true,
        low_accounts: Vec::new(),
        crash_counts: Vec::new(),
        unreachable: Vec::new(),
        workers: Some(Vec::new()),
        hubs: Some(shared.hubs.clone()),
        part_evidence: Vec::new(),
        limits: Vec::new(),
        rollouts: RolloutNews::default(),
    };
    Datagram::Digest(Box::new(digest)).encode()
}

async fn serve_updates(
    axum::extract::State(shared): axum::extract::State<Arc<Shared>>,
    body: Bytes,
) -> Vec<u8> {
    if shared.hangs.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    let known: Versions = rmp_serde::from_slice(&body).expect("the versions of an instance");
    let inner = shared.inner();
    let document = (known.config < inner.versions.config).then(|| inner.document.clone());
    let table: Option<Table> = (known.table < inner.versions.table).then(|| {
        let keys = inner.entries.iter().map(|(entry, _)| target_key(&entry.name)).collect();
        (keys, inner.entries.clone())
    });
    let reply = (inner.versions, document, None::<Maintenance>, table);
    rmp_serde::to_vec(&reply).expect("an encodable reply")
}
