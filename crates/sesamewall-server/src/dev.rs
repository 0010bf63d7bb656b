//! Runs a trial on one machine: one instance with an embedded store and embedded stand-in targets.

use std::sync::Arc;
use std::time::Duration;

use sesamewall_ports::MemoryStore;
use sesamewall_protocol::Account;
use sesamewall_protocol::DomainName;
use sesamewall_protocol::Error;
use sesamewall_protocol::Key;
use sesamewall_protocol::Operation;
use sesamewall_protocol::RateLimit;
use sesamewall_protocol::Resource;
use sesamewall_protocol::Result;
use sesamewall_protocol::Route;
use sesamewall_protocol::TargetGroup;
use sesamewall_protocol::TargetKind;
use sesamewall_protocol::TargetName;
use sesamewall_protocol::TargetSpec;
use sesamewall_protocol::hash_key;
use sesamewall_standin::Engine;
use sesamewall_standin::EngineSettings;
use sesamewall_standin::FakeInstances;
use sesamewall_standin::PlainService;
use slog::Logger;

use crate::ConfigWriter;
use crate::Instance;
use crate::Platform;
use crate::Settings;

const ENGINES: usize = 2;
const MODEL: &str = "standin-1";
const DOMAIN: &str = "domain-1";
const ACCOUNT: &str = "trial";

/// Time in which the bucket refills for further requests, because the admitted request emptied it.
/// The trial's rate of 100 a second adds 50 requests.
const REFILL_TIME: Duration = Duration::from_millis(500);

/// Longest time until the first request is admitted. The election of a lead and its wait for
/// earlier grants take about two seconds.
const START_TIME: Duration = Duration::from_secs(15);

/// Returns the settings of a trial.
pub fn settings() -> Settings {
    let folder = format!("sesamewall-dev-{}", std::process::id());
    Settings {
        data_dir: Some(std::env::temp_dir().join(folder)),
        drain_ms: 0,
        ..Settings::default()
    }
}

/// Starts a trial and prints how to use it.
pub async fn start(settings: Settings, log: Logger) -> Result<Instance> {
    let operator_token = secret("op");
    let settings = Settings { operator_hash: hash_key(&operator_token), ..settings };
    let platform = Platform {
        store: Arc::new(MemoryStore::default()),
        instances: Arc::new(FakeInstances::new(Duration::ZERO)),
    };
    let instance = Instance::start(settings, platform, log).await?;
    let key = secret("sk");
    tokio::select! {
        prepared = prepare(&instance, &key) => prepared?,
        task = instance.wait_failure() => {
            return Err(Error::Internal { detail: format!("the task `{task}` has ended") });
        }
    }
    let (callers, operators) = (&instance.caller_addr, &instance.operator_addr);
    println!("callers    http://{callers}/v1");
    println!("operators  http://{operators}  (export SESAMEWALL_TOKEN={operator_token})");
    println!("key        {key}");
    println!();
    println!("curl http://{callers}/v1/chat/completions \\");
    println!("  -H 'authorization: Bearer {key}' -H 'content-type: application/json' \\");
    println!(
        "  -d '{{\"model\": \"{MODEL}\", \"messages\": [{{\"role\": \"user\", \"content\": \"Hello\"}}]}}'"
    );
    Ok(instance)
}

/// Declares the resources, and waits until requests are admitted.
async fn prepare(instance: &Instance, key: &str) -> Result<()> {
    let operations = resources(key).await?.into_iter().map(Operation::Put).collect();
    instance.writer.submit("dev", 0, operations).await?;
    // The buckets of a new account are empty until the first leads are elected. Callers' requests
    // would be refused until then.
    instance.wait_admitted(&ACCOUNT.into(), START_TIME).await?;
    tokio::time::sleep(REFILL_TIME).await;
    Ok(())
}

/// Returns a secret with 256 random bits.
fn secret(prefix: &str) -> String {
    format!("{prefix}-{}", hex::encode(rand::random::<[u8; 32]>()))
}

async fn resources(key: &str) -> Result<Vec<Resource>> {
    let failed = |error: std::io::Error| Error::Internal { detail: error.to_string() };
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let name = format!("engine-{index}");
        let settings = EngineSettings { name: name.clone(), ..EngineSettings::default() };
        let listening = Engine::start("127.0.0.1:0", settings).await.map_err(failed)?;
        engines.push(target(&name, &listening.address.to_string()));
    }
    let service = PlainService::start("127.0.0.1:0").await.map_err(failed)?;
    let account = Account {
        name: ACCOUNT.into(),
        online: RateLimit { rate: 100.0, burst: 200.0 },
        batch: None,
        weight: 1.0,
    };
    Ok(vec![
        Resource::Account(account),
        Resource::Key(Key {
            id: "trial-key".to_owned(),
            account: ACCOUNT.into(),
            hash: hash_key(key),
        }),
        Resource::TargetGroup(TargetGroup {
            name: "engines".to_owned(),
            target_kind: TargetKind::Engine,
            models: vec![MODEL.into()],
            targets: engines,
            limit: 64,
            placement: None,
        }),
        Resource::TargetGroup(TargetGroup {
            name: "services".to_owned(),
            target_kind: TargetKind::Service,
            models: Vec::new(),
            targets: vec![target("service-0", &service.address.to_string())],
            limit: 64,
            placement: None,
        }),
        Resource::Route(Route {
            name: "service".to_owned(),
            host: None,
            prefix: Some("/service".to_owned()),
            group: "services".to_owned(),
            open: false,
            once_methods: vec!["POST".to_owned()],
            once_paths: Vec::new(),
        }),
    ])
}

fn target(name: &str, address: &str) -> TargetSpec {
    TargetSpec {
        name: TargetName::from(name),
        domain: DomainName::from(DOMAIN),
        address: format!("http://{address}"),
        leaving: false,
        fenced: true,
        version: String::new(),
    }
}
