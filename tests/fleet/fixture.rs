//! A fleet of 8 instances, 12 engines and one plain service in 4 failure domains.

use std::fmt::Write;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;
use sesamewall_protocol::hash_key;
use tempfile::TempDir;

use crate::client::Client;
use crate::client::Prompt;
use crate::process::Process;
use crate::process::eventually;

const TOKEN: &str = "operator-token-of-the-fleet-test";
const DOMAINS: [&str; 4] = ["d1", "d2", "d3", "d4"];
const ENGINES: usize = 12;

/// Accounts with the rate and burst of their online requests.
const ACCOUNTS: [(&str, f64, f64); 3] =
    [("online", 2000.0, 4000.0), ("bulk", 500.0, 1000.0), ("low", 8.0, 16.0)];

/// An instance; `process` is none after it was killed or ended.
pub struct Instance {
    pub name: String,
    pub domain: String,
    pub callers: String,
    pub operators: String,
    pub process: Option<Process>,
}

/// A running fleet with its stand-ins and an HTTP client.
pub struct TestFleet {
    pub client: Client,
    pub instances: Vec<Instance>,
    pub engines: Vec<String>,
    pub service: String,
    pub platform: String,
    folder: TempDir,
    files: AtomicU32,
    _standin: Process,
}

impl TestFleet {
    /// Starts stand-ins and instances, applies the resources and waits until all instances serve.
    pub async fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut args = vec!["--platform".to_owned(), "127.0.0.1:0".to_owned()];
        args.extend(["--service".to_owned(), "127.0.0.1:0".to_owned()]);
        for index in 0..ENGINES {
            args.extend(["--engine".to_owned(), format!("e{index}@127.0.0.1:0")]);
        }
        let output = folder.path().join("standin.txt");
        let standin = Process::start(env!("CARGO_BIN_EXE_sesamewall-standin"), &args, &output);
        let found = eventually("stand-ins start", async || {
            let text = standin.printed();
            let urls: Vec<(String, String)> = text.lines().filter_map(printed_address).collect();
            (urls.len() == ENGINES + 2).then_some(urls).ok_or(text)
        })
        .await;
        let url = |kind: &str| {
            let found = found.iter().filter(|(name, _)| name == kind);
            found.map(|(_, url)| url.clone()).collect::<Vec<_>>()
        };
        let mut fleet = Self {
            client: Client::default(),
            instances: Vec::new(),
            engines: url("engine"),
            service: url("service").remove(0),
            platform: url("platform").remove(0),
            folder,
            files: AtomicU32::new(0),
            _standin: standin,
        };
        for domain in DOMAINS {
            for number in 1..=2 {
                fleet.instances.push(fleet.launch(&format!("{domain}-{number}"), domain));
            }
        }
        for index in 0..fleet.instances.len() {
            fleet.wait_for_start(index).await;
        }
        fleet.apply(&fleet.resources()).await.unwrap();
        fleet
    }

    /// Starts instances that were killed again, with new ports, and waits until they serve.
    pub async fn restart(&mut self, indices: &[usize], key: &str) {
        for index in indices {
            let Instance { name, domain, .. } = &self.instances[*index];
            self.instances[*index] = self.launch(&name.clone(), &domain.clone());
        }
        for index in indices {
            self.wait_for_start(*index).await;
            self.wait_until_serving(*index, key).await;
        }
    }

    /// Kills an instance with SIGKILL.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].process.take().unwrap().kill();
    }

    /// Returns the index of the instance with the name.
    pub fn index(&self, name: &str) -> usize {
        self.instances.iter().position(|instance| instance.name == name).unwrap()
    }

    /// Returns the indices of the running instances.
    pub fn live(&self) -> Vec<usize> {
        (0..self.instances.len()).filter(|index| self.instances[*index].process.is_some()).collect()
    }

    /// Returns the callers' base URLs of the running instances.
    pub fn callers(&self) -> Vec<String> {
        self.live().into_iter().map(|index| self.instances[index].callers.clone()).collect()
    }

    /// Waits until an instance serves a completion for the key.
    pub async fn wait_until_serving(&self, index: usize, key: &str) {
        let instance = &self.instances[index];
        let prompt = Prompt::new(&format!("is {} ready", instance.name), 2, false);
        eventually(&format!("{} serves", instance.name), async || {
            self.client.complete(&instance.callers, key, &prompt).await
        })
        .await;
    }

    /// Runs the operators' tool against an instance and returns its JSON output or its error text.
    pub async fn operate_at(&self, index: usize, args: &[&str]) -> Result<Value, String> {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_sesamewall"))
            .args(["--server", &self.instances[index].operators])
            .args(["--output", "json", "--author", "fleet-test"])
            .args(args)
            .env("SESAMEWALL_TOKEN", TOKEN)
            .output()
            .unwrap();
        match output.status.success() {
            true => Ok(serde_json::from_slice(&output.stdout).unwrap()),
            false => Err(String::from_utf8_lossy(&output.stderr).into_owned()),
        }
    }

    /// Runs the operators' tool against the first running instance.
    pub async fn operate(&self, args: &[&str]) -> Result<Value, String> {
        self.operate_at(self.live()[0], args).await
    }

    /// Applies resources from a file with the operators' tool.
    pub async fn apply(&self, resources: &str) -> Result<Value, String> {
        let number = self.files.fetch_add(1, Ordering::Relaxed);
        let file = self.folder.path().join(format!("resources-{number}.toml"));
        std::fs::write(&file, resources).unwrap();
        self.operate(&["apply", "-f", file.to_str().unwrap()]).await
    }

    /// Grants a key and returns its secret.
    pub async fn grant(&self, account: &str, id: &str) -> String {
        let response = self.operate(&["keys", "grant", "--account", account, "--id", id]).await;
        response.unwrap()["secret"].as_str().unwrap().to_owned()
    }

    /// Sets the faults of the platform, an engine or the service.
    pub async fn set_faults(&self, url: &str, faults: Value) {
        let response = self.client.call("POST", url, "", &faults).await.unwrap();
        assert_eq!(response.status, 200, "{url} took no faults: {}", response.text());
    }

    /// Returns a count of every engine.
    pub async fn engine_counts(&self, count: &str) -> Vec<u64> {
        let mut counts = Vec::new();
        for engine in &self.engines {
            let response = self.client.get(&format!("{engine}/standin/counts"), "").await.unwrap();
            counts.push(response.json()["counts"][count].as_u64().unwrap());
        }
        counts
    }

    /// Returns the indices of the engines in a failure domain.
    pub fn engines_of(&self, domain: &str) -> Vec<usize> {
        (0..ENGINES).filter(|index| DOMAINS[index % DOMAINS.len()] == domain).collect()
    }

    /// Returns the name of the instance that holds the claim on a segment of a job, if one does.
    pub async fn claim_holder(&self, job: &str, segment: usize) -> Option<String> {
        let url = format!("{}/kv?key=batch/segment/{job}/{segment:05}", self.platform);
        let record = self.client.get(&url, "").await.unwrap().text();
        // The first instance name in the record is that of the claim holder.
        let names = self.instances.iter().map(|instance| &instance.name);
        names.filter_map(|name| Some((record.find(name)?, name.clone()))).min().map(|found| found.1)
    }

    fn folder_of(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn launch(&self, name: &str, domain: &str) -> Instance {
        let mut settings = format!(
            "instance = {name:?}\ndomain = {domain:?}\ndomains = {DOMAINS:?}\n\
             caller_addr = \"127.0.0.1:0\"\noperator_addr = \"127.0.0.1:0\"\n\
             peer_addr = \"127.0.0.1:0\"\nforward_addr = \"127.0.0.1:0\"\n\
             platform_url = {:?}\noperator_hash = {:?}\ndrain_ms = 1000\nbatch_workers = 16\n",
            self.platform,
            hash_key(TOKEN),
        );
        if name.ends_with("-1") {
            writeln!(settings, "data_dir = {:?}", self.folder_of(name)).unwrap();
        }
        let number = self.files.fetch_add(1, Ordering::Relaxed);
        let file = self.folder.path().join(format!("{name}-{number}.toml"));
        std::fs::write(&file, settings).unwrap();
        let args = ["--config".to_owned(), file.to_str().unwrap().to_owned()];
        let output = file.with_extension("log");
        let process = Process::start(env!("CARGO_BIN_EXE_sesamewalld"), &args, &output);
        Instance {
            name: name.to_owned(),
            domain: domain.to_owned(),
            callers: String::new(),
            operators: String::new(),
            process: Some(process),
        }
    }

    async fn wait_for_start(&mut self, index: usize) {
        let process = self.instances[index].process.as_ref().unwrap();
        let (callers, operators) = eventually("an instance starts", async || {
            let text = process.printed();
            text.lines().find_map(logged_addresses).ok_or(text)
        })
        .await;
        self.instances[index].callers = format!("http://{callers}");
        self.instances[index].operators = format!("http://{operators}");
    }

    fn resources(&self) -> String {
        let mut text = String::new();
        for domain in DOMAINS {
            writeln!(text, "[[domain]]\nname = {domain:?}\nmode = \"in\"").unwrap();
        }
        for (name, rate, burst) in ACCOUNTS {
            let online = format!("{{ rate = {rate:?}, burst = {burst:?} }}");
            writeln!(text, "[[account]]\nname = {name:?}\nonline = {online}").unwrap();
        }
        let targets: Vec<Value> = self
            .engines
            .iter()
            .enumerate()
            .map(|(index, address)| (format!("e{index}"), DOMAINS[index % DOMAINS.len()], address))
            .map(|(name, domain, address)| json!([name, domain, address]))
            .collect();
        writeln!(text, "[[target-group]]\nname = \"engines\"\ntype = \"engine\"").unwrap();
        writeln!(text, "models = [{:?}]\ntargets = [", crate::client::MODEL).unwrap();
        for target in &targets {
            writeln!(
                text,
                "  {{ name = {}, domain = {}, address = {}, fenced = true }},",
                target[0], target[1], target[2]
            )
            .unwrap();
        }
        writeln!(text, "]\n[[target-group]]\nname = \"ledger\"\ntype = \"service\"").unwrap();
        writeln!(
            text,
            "targets = [{{ name = \"ledger-1\", domain = \"d1\", address = {:?} }}]",
            self.service
        )
        .unwrap();
        writeln!(text, "[[route]]\nname = \"ledger\"\nprefix = \"/ledger\"\ngroup = \"ledger\"")
            .unwrap();
        writeln!(text, "once_methods = [\"POST\"]").unwrap();
        text
    }
}

fn printed_address(line: &str) -> Option<(String, String)> {
    let mut words = line.split_whitespace();
    let kind = words.next()?.to_owned();
    let url = words.last().filter(|url| url.starts_with("http://"))?;
    Some((kind, url.to_owned()))
}

fn logged_addresses(line: &str) -> Option<(String, String)> {
    let entry: Value = serde_json::from_str(line).ok()?;
    Some((entry["callers"].as_str()?.to_owned(), entry["operators"].as_str()?.to_owned()))
}
