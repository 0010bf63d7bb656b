//! A small deployment: the platform's store and the project's own processes, on loopback addresses.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use sesamewall_platform_standin::PATH_VARIABLE;
use sesamewall_platform_standin::StandinClient;
use sesamewall_platform_standin::StandinStore;
use sesamewall_platform_standin::target_entry;
use sesamewall_platform_standin::with_start;
use sesamewall_platform_standin::with_version;

use crate::jobs::Job;
use crate::record::Record;
use crate::runner::Behavior;
use crate::runner::Runner;

/// Memory of a front and of a store machine in MB, as the site `kereru-ops` has them.
pub const FRONT_MB: u64 = 110;
pub const STORE_MB: u64 = 140;

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["akl-a", "akl-b", "hlz-c"];

/// Fronts and store machines of the deployment, runners of its service and slots of each, as the sheet
/// of the site has them.
pub const FRONTS: usize = 6;
pub const WORKERS: usize = 3;
pub const RUNNERS: usize = 12;
pub const SLOTS: usize = 8;

/// Time without disruption before a case begins (`stableMs`).
const STABLE_TIME: Duration = Duration::from_millis(3000);

/// Time limit for the start of the fleet.
const START_LIMIT: Duration = Duration::from_secs(20);

/// One process of the deployment.
pub struct Process {
    pub name: String,
    pub front: Option<(SocketAddr, SocketAddr)>,
    settings: String,
    path: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts the process with the command of the deploy file, in the repository root.
    fn start(&mut self, root: &Path) {
        std::fs::write(&self.path, &self.settings).expect("a temporary folder");
        let open = |path: &Path| {
            let file = std::fs::File::options().create(true).append(true).open(path);
            file.expect("a temporary folder")
        };
        let child = Command::new(root.join("target/release/sesamewalld"))
            .arg("--platform")
            .current_dir(root)
            .env_clear()
            .env(PATH_VARIABLE, &self.path)
            .stdin(Stdio::null())
            .stdout(open(&self.log))
            .stderr(open(&self.log.with_extension("err")))
            .spawn();
        self.child = Some(child.expect("the program is built"));
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The processes of a deployment and the store beside them.
pub struct Fleet {
    pub store: StandinStore,
    pub fronts: Vec<Process>,
    pub workers: Vec<Process>,
    pub client: StandinClient,
}

fn free_port(ip: IpAddr) -> u16 {
    let socket = std::net::TcpListener::bind(SocketAddr::new(ip, 0)).expect("a loopback address");
    socket.local_addr().expect("a bound address").port()
}

fn settings(
    name: &str,
    zone: &str,
    ip: IpAddr,
    port: u16,
    front: Option<(SocketAddr, SocketAddr)>,
    store: SocketAddr,
    seed: IpAddr,
) -> String {
    let class = if front.is_some() { "front" } else { "store" };
    let serves = if front.is_some() { r#"["front","control"]"# } else { r#"["store"]"# };
    let listen = front.map_or(String::new(), |(front, ready)| {
        format!("front = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{ip}:{}\"\n", port + 15)
    });
    let zones: String = ZONES.iter().map(|zone| format!("{zone} = \"nz-north\"\n")).collect();
    let (share, memory, fds, disk) = match front {
        Some(_) => (0.25, FRONT_MB, 4200, 0),
        None => (0.5, STORE_MB, 8200, 530),
    };
    let data = if front.is_some() { "" } else { "dataDir = \"/data/worker\"\n" };
    format!(
        "nodeName = \"{name}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\n\
         serves = {serves}\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"nz-north\"\n\
         portRange = [{port},{}]\nseeds = [\"{seed}:{}\"]\nbootstrap = true\n\
         lossCounts = {}\n{data}discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\
         \"engine\",\"tenants\",\"quota\",\"places\",\"platform\"]\n\
         [zones]\n{zones}[listen]\n{listen}[limits]\ncpuShare = {share}\ncores = 1\n\
         memoryMb = {memory}\nmaxFds = {fds}\nbandwidthMbps = 1000.0\ndiskMb = {disk}\n\
         [faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
         [bounds]\nseedLagS = 3\nreuseDelayS = 2\nstableMs = 3000\nackMs = 4000\ncatchUpS = 4.9\n\
         drainMs = 2000\ngracePeriodS = 8\nlossSlackMs = 200\nconfigDeadlineMs = 2000\n\
         rollbackSlackMs = 250\nskewMaxMs = 5000\nstrictRevoke = false\nrevokeMs = 5000\n\
         quotaWindowS = 5\nquotaOver = 0.1\nquotaSlack = 20\ncoldOver = 1.5\ncoldSlack = 5\n\
         evacMs = 5000\nrecoverS = 12\npassMs = 120\nagainS = 0\nfinishS = 18\nstatusS = 120\n\
         cancelMs = 3000\nsettleMs = 1000\n\
         [platform]\naddress = \"{store}\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\n\
         historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
        port + 14,
        port + 15,
        front.is_none(),
    )
}

impl Fleet {
    /// Starts the processes in `folder` beside a store with the configuration and the runners' entries,
    /// and waits until all fronts have been ready for a while.
    pub async fn start(
        record: &Record,
        folder: &Path,
        runners: &[Runner],
        config: &Value,
    ) -> Option<Self> {
        let root = std::env::current_dir().ok()?;
        let store = StandinStore::start().await;
        let born = wall_millis() - 60_000;
        for (number, runner) in runners.iter().enumerate() {
            register(&store, runner, number, FIRST_VERSION, born);
        }
        store.put("op/config", config);
        let pid = std::process::id().to_le_bytes();
        let ip = |n: usize| {
            IpAddr::V4(Ipv4Addr::new(127, 100 + pid[1] % 100, pid[0].max(1), 10 + n as u8))
        };
        // The peers' port is the same on all machines.
        let port = 20_000 + free_port(ip(0)) % 10_000;
        let mut processes = Vec::new();
        for n in 0..FRONTS + WORKERS {
            let zone = ZONES[n % ZONES.len()];
            let front = (n < FRONTS).then(|| {
                let address = || SocketAddr::new(ip(n), free_port(ip(n)));
                (address(), address())
            });
            let class = if front.is_some() { "front" } else { "store" };
            let name = format!("{class}-{zone}-{n}");
            let address = store.address_for(ip(n)).await;
            let settings = settings(&name, zone, ip(n), port, front, address, ip(0));
            let mut process = Process {
                front,
                settings,
                path: folder.join(format!("{name}.toml")),
                log: folder.join(format!("{name}.log")),
                name,
                child: None,
            };
            process.start(&root);
            processes.push(process);
        }
        let workers = processes.split_off(FRONTS);
        let client = StandinClient::default();
        let fleet = Self { store, fronts: processes, workers, client };
        let deadline = Instant::now() + START_LIMIT;
        for front in &fleet.fronts {
            let ready = front.front?.1;
            loop {
                let sent =
                    fleet.client.send(ready, Method::GET, "/ready", "r", "", Bytes::new()).await;
                if sent.is_some_and(|response| response.status == 200) {
                    break;
                }
                if Instant::now() > deadline {
                    record.say(&format!("{} is not ready", front.name));
                    return None;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        record.say(&format!("{FRONTS} fronts and {WORKERS} workers run"));
        tokio::time::sleep(STABLE_TIME).await;
        Some(fleet)
    }

    /// Returns the callers' address of a front.
    pub fn caller(&self, n: usize) -> SocketAddr {
        self.fronts[n % self.fronts.len()].front.expect("a front").0
    }

    /// Returns the callers' addresses of all fronts.
    pub fn callers(&self) -> Vec<SocketAddr> {
        (0..FRONTS).map(|front| self.caller(front)).collect()
    }

    /// Returns the callers' addresses of two fronts, for the tries of a client.
    pub fn two_callers(&self, n: usize) -> [SocketAddr; 2] {
        [self.caller(n), self.caller(n + 1)]
    }

    /// Returns the number of listed results of each job.
    pub async fn listed(&self, jobs: &[Job]) -> Vec<(String, usize)> {
        let mut listed = Vec::new();
        for job in jobs {
            listed.push((job.id.clone(), job.results(&self.client, self.caller(0)).await.len()));
        }
        listed
    }

    /// Records which processes have written of panics to their standard error.
    pub fn report_panics(&self, record: &Record) {
        for process in self.fronts.iter().chain(&self.workers) {
            let text = std::fs::read_to_string(process.log.with_extension("err"));
            let text = text.unwrap_or_default();
            let count = text.matches("panicked at").count();
            if count > 0 {
                let line = text.lines().find(|line| line.starts_with("cannot")).unwrap_or_default();
                record.say(&format!("{}: {count} panics, the first: {line}", process.name));
            }
        }
    }
}

/// Version of the runners' software at the start.
pub const FIRST_VERSION: &str = "v1";

/// Returns the time of day in Unix milliseconds.
pub fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Writes the entry of a runner that has started at `born`, in Unix milliseconds.
pub fn register(store: &StandinStore, runner: &Runner, number: usize, version: &str, born: u64) {
    let entry = target_entry(runner.address, ZONES[number % ZONES.len()], false);
    let entry = with_start(with_version(entry, version), born);
    store.put(&format!("servers/{}", runner.id), &entry);
}

/// Starts the runners of the service.
pub async fn start_runners(behavior: &Behavior, record: &Record) -> Vec<Runner> {
    let mut runners = Vec::new();
    for number in 0..RUNNERS {
        let id = format!("i-{number:02}");
        runners.push(Runner::start(&id, SLOTS, behavior.clone(), record).await);
    }
    runners
}
