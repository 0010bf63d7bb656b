//! Cases of the third review that are no days for the bench. Each starts the project's own processes
//! beside stand-ins of the platform, on loopback addresses.
//!
//! `review-harness-3 CASE FOLDER` writes `FOLDER/record.txt` and exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod extra;
mod fleet;
mod items;
mod jobs;
mod limit;
mod order;
mod raw;
mod record;
mod restart;
mod runner;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Longest time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case has shown.
pub enum Verdict {
    Broken,
    Held,
}

/// A run of a case.
pub struct Case {
    pub record: Record,
    /// Temporary folder for settings and logs of the processes.
    pub folder: PathBuf,
    pub trouble: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = &arguments[..] else { return ExitCode::from(2) };
    let Ok(record) = Record::create(&PathBuf::from(folder).join("record.txt")) else {
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = Case { record: record.clone(), folder: temporary.clone(), trouble };
    record.say(&format!("case {name}, trouble {trouble}"));
    let run = async {
        match name.as_str() {
            "extra" => extra::run(&case).await,
            "items" => items::run(&case).await,
            "limit" => limit::run(&case).await,
            "order" => order::run(&case).await,
            _ => None,
        }
    };
    let mut terminated = signal(SignalKind::terminate()).expect("signals can be received");
    let verdict = tokio::select! {
        verdict = tokio::time::timeout(TIME_LIMIT, run) => verdict.ok().flatten(),
        // Dropping the run ends its processes.
        _ = terminated.recv() => None,
        _ = tokio::signal::ctrl_c() => None,
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match verdict {
        Some(Verdict::Broken) => {
            record.say("the rule is broken");
            ExitCode::from(1)
        }
        Some(Verdict::Held) => {
            record.say("the rule holds");
            ExitCode::SUCCESS
        }
        None => {
            record.say("the case could not run");
            ExitCode::from(2)
        }
    }
}
