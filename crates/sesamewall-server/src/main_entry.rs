//! The program `sesamewalld`.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use sesamewall_protocol::Error;
use sesamewall_protocol::Result;
use slog::Drain;
use slog::Logger;
use slog::o;

use crate::Instance;
use crate::Platform;
use crate::Settings;
use crate::dev;

/// Serves online and batch inference. Start it with --dev for a trial on one machine.
#[derive(FromArgs)]
struct Args {
    /// settings file, TOML
    #[argh(option)]
    config: Option<String>,
    /// check a settings file and end
    #[argh(option)]
    check_config: Option<String>,
    /// one instance with an embedded store and embedded stand-in targets
    #[argh(switch)]
    dev: bool,
    /// take settings and role from the users' platform
    #[argh(switch)]
    platform: bool,
    /// check a settings file of the users' platform and end
    #[argh(option)]
    check_platform: Option<String>,
    /// address for callers, as IP:PORT
    #[argh(option)]
    caller_addr: Option<String>,
    /// address for operators, as IP:PORT
    #[argh(option)]
    operator_addr: Option<String>,
}

/// Longest shutdown after a task has ended that the instance depends on. Its leases and claims expire
/// by themselves.
const FAILED_STOP_LIMIT: Duration = Duration::from_secs(30);

/// Runs the program with the process's arguments until SIGTERM or SIGINT.
pub fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match runtime(&args).and_then(|runtime| runtime.block_on(run(args))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sesamewalld: error {}: {error}", error.code());
            eprintln!("  help: {}", error.help());
            ExitCode::FAILURE
        }
    }
}

/// Builds the runtime. The platform's machines have a fraction of one core, so a single thread runs
/// all tasks there.
fn runtime(args: &Args) -> Result<tokio::runtime::Runtime> {
    let mut builder = match args.platform {
        true => tokio::runtime::Builder::new_current_thread(),
        false => tokio::runtime::Builder::new_multi_thread(),
    };
    let failed = |error: std::io::Error| Error::Internal { detail: error.to_string() };
    builder.enable_all().build().map_err(failed)
}

async fn run(args: Args) -> Result<()> {
    if let Some(file) = &args.check_config {
        Settings::load(file)?;
        println!("{file}: valid");
        return Ok(());
    }
    if let Some(file) = &args.check_platform {
        sesamewall_platform::InstanceSettings::load(std::path::Path::new(file))?;
        println!("{file}: valid");
        return Ok(());
    }
    if args.platform {
        return sesamewall_edge::run().await;
    }
    let settings = match &args.config {
        Some(file) => Settings::load(file)?,
        None if args.dev => dev::settings(),
        None => {
            return Err(Error::SettingsInvalid {
                file: "command line".to_owned(),
                line: 0,
                key: "--config".to_owned(),
                detail: "give a settings file, or --dev for a trial".to_owned(),
            });
        }
    };
    let settings = Settings {
        caller_addr: args.caller_addr.unwrap_or(settings.caller_addr),
        operator_addr: args.operator_addr.unwrap_or(settings.operator_addr),
        ..settings
    };
    let log = logger(&settings);
    let instance = match args.dev {
        true => dev::start(settings, log).await?,
        false => {
            let platform = Platform::over_http(&settings.platform_url);
            Instance::start(settings, platform, log).await?
        }
    };
    let failed = tokio::select! {
        () = wait_for_signal() => None,
        task = instance.wait_failure() => Some(task),
    };
    let Some(task) = failed else {
        instance.shut_down().await;
        return Ok(());
    };
    // Parts of the shutdown may wait for what the task did.
    let _ = tokio::time::timeout(FAILED_STOP_LIMIT, instance.shut_down()).await;
    Err(Error::Internal { detail: format!("the task `{task}` has ended") })
}

fn logger(settings: &Settings) -> Logger {
    let drain = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    Logger::root(
        drain,
        o!("instance" => settings.instance.clone(), "domain" => settings.domain.clone()),
    )
}

async fn wait_for_signal() {
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .expect("the signal handler can be installed once at start");
    tokio::select! {
        _ = term.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
