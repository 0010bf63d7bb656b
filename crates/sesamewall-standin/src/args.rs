//! The program `sesamewall-standin`.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use sesamewall_ports::MemoryStore;
use tokio::sync::mpsc;

use crate::Engine;
use crate::EngineSettings;
use crate::FakeInstances;
use crate::PlainService;
use crate::listen::listen;
use crate::platform_router;

/// Runs stand-ins for the platform: store, instance list, model engines and plain services.
#[derive(FromArgs)]
struct Args {
    /// address of the store and instance list, as IP:PORT
    #[argh(option)]
    platform: Option<String>,
    /// a model engine, as NAME@IP:PORT; may be repeated
    #[argh(option)]
    engine: Vec<String>,
    /// a plain service, as IP:PORT; may be repeated
    #[argh(option)]
    service: Vec<String>,
    /// models that the engines serve, separated by commas
    #[argh(option, default = "String::from(\"standin-1\")")]
    models: String,
    /// milliseconds by which the instance list lags
    #[argh(option, default = "500")]
    list_lag_ms: u64,
    /// milliseconds for which a started engine is cold
    #[argh(option, default = "2000")]
    cold_ms: u64,
    /// concurrent requests that a cold engine bears
    #[argh(option, default = "4")]
    cold_limit: u64,
    /// microseconds of one decoding step
    #[argh(option, default = "2000")]
    step_us: u64,
    /// engines ignore fencing tokens
    #[argh(switch)]
    unfenced: bool,
}

/// Runs the program with the process's arguments until it is ended.
pub async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args).await {
        Ok(()) => std::future::pending().await,
        Err(error) => {
            eprintln!("sesamewall-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<(), std::io::Error> {
    if let Some(address) = &args.platform {
        let store = Arc::new(MemoryStore::default());
        let instances = Arc::new(FakeInstances::new(Duration::from_millis(args.list_lag_ms)));
        let (_, crashes) = mpsc::channel(1);
        let router = platform_router(store, instances);
        let server = listen(address, router, crashes, Arc::new(|| ())).await?;
        println!("platform http://{}", server.address);
    }
    let models: Vec<String> = args.models.split(',').map(str::to_owned).collect();
    for engine in &args.engine {
        let Some((name, address)) = engine.split_once('@') else {
            let detail = format!("`{engine}` is not NAME@IP:PORT");
            return Err(std::io::Error::new(std::io::ErrorKind::InvalidInput, detail));
        };
        let settings = EngineSettings {
            name: name.to_owned(),
            models: models.clone(),
            cold: Duration::from_millis(args.cold_ms),
            cold_limit: args.cold_limit,
            step: Duration::from_micros(args.step_us),
            fenced: !args.unfenced,
            ..EngineSettings::default()
        };
        let server = Engine::start(address, settings).await?;
        println!("engine {name} http://{}", server.address);
    }
    for address in &args.service {
        let server = PlainService::start(address).await?;
        println!("service http://{}", server.address);
    }
    Ok(())
}
