//! The record of a case, and its exit status.

use std::fs::File;
use std::future::Future;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Longest time of a case; a case that takes longer could not run.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// Result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

/// Returns whether the case plays its disruption.
pub fn is_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the record in the folder of the case.
    pub fn create(folder: PathBuf) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self { file: Arc::new(Mutex::new(file)), started: Instant::now() })
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.started.elapsed().as_secs_f64();
        // A record that cannot be written shows in its missing lines.
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    /// Returns the time since the start of the case in seconds.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// Runs a case in the folder that the first argument names, and ends the process with its verdict:
/// 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn run_case<F: Future<Output = Verdict>>(case: impl FnOnce(Record) -> F) {
    let folder = std::env::args().nth(1).map(PathBuf::from).unwrap_or_default();
    let record = match Record::create(folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record cannot be written: {error}");
            std::process::exit(2);
        }
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    record.line(format!("trouble {}", is_trouble()));
    let verdict = runtime.block_on(async {
        let mut term = signal(SignalKind::terminate()).expect("a signal handler");
        tokio::select! {
            verdict = case(record.clone()) => verdict,
            // Leaving the case ends the processes that it has started.
            () = tokio::time::sleep(TIME_LIMIT) => {
                record.line("time limit reached");
                Verdict::NotRun
            }
            _ = term.recv() => {
                record.line("stopped by a signal");
                Verdict::NotRun
            }
        }
    });
    record.line(format!("verdict {verdict:?}"));
    println!("{verdict:?}");
    std::process::exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}
