//! Settings of the daemon, read from a TOML file.

use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_rate::GRANT_WAIT;

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address for callers, as `IP:PORT`.
    pub caller_addr: String,
    /// Address for operators, as `IP:PORT`.
    pub operator_addr: String,
    /// Address for messages between instances, as `IP:PORT`.
    pub peer_addr: String,
    /// Address for requests forwarded from other failure domains, as `IP:PORT`.
    pub forward_addr: String,
    /// Base URL of the platform's store and instance list; empty with `--dev`.
    pub platform_url: String,
    /// Folder for bulk data; without it the instance stores nothing on disk.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_dir: Option<PathBuf>,
    /// SHA-256 of the operators' credential, in hex.
    pub operator_hash: String,
    /// Largest request body in bytes.
    pub body_limit: usize,
    /// Seconds in which a request body must arrive.
    pub body_seconds: u64,
    /// Longest wait of an online request for a target, in milliseconds.
    pub queue_ms: u64,
    /// Seconds for which results and files stay readable.
    pub retention_seconds: u64,
    /// Milliseconds between the moment when readiness becomes false and the end of accepting
    /// requests, for the load balancer.
    pub drain_ms: u64,
    /// All failure domains of the fleet.
    pub domains: Vec<String>,
    /// Items that this instance runs at a time for batch jobs.
    pub batch_workers: usize,
    /// Most loads from the weight store that the leads of all failure domains together start in a
    /// minute.
    pub weight_loads_per_minute: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: "instance-1".to_owned(),
            domain: "domain-1".to_owned(),
            caller_addr: "127.0.0.1:8080".to_owned(),
            operator_addr: "127.0.0.1:9090".to_owned(),
            peer_addr: "127.0.0.1:0".to_owned(),
            forward_addr: "127.0.0.1:0".to_owned(),
            platform_url: String::new(),
            data_dir: None,
            operator_hash: String::new(),
            body_limit: 8 << 20,
            body_seconds: 30,
            queue_ms: 10_000,
            retention_seconds: 30 * 24 * 3600,
            drain_ms: 5_000,
            domains: vec!["domain-1".to_owned()],
            batch_workers: 64,
            weight_loads_per_minute: 30,
        }
    }
}

impl Settings {
    /// Returns the time for which a new lead grants no rate tokens: with a single instance and its
    /// embedded store there are no earlier grants to wait for.
    pub fn grant_wait(&self) -> Duration {
        match self.platform_url.is_empty() {
            true => Duration::ZERO,
            false => GRANT_WAIT,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns `Error::SettingsInvalid` with file, line and key.
    pub fn load(file: &str) -> sesamewall_protocol::Result<Self> {
        let text = std::fs::read_to_string(file).map_err(|error| {
            sesamewall_protocol::Error::SettingsInvalid {
                file: file.to_owned(),
                line: 0,
                key: String::new(),
                detail: error.to_string(),
            }
        })?;
        crate::settings_check::check(&text, file)
    }
}
