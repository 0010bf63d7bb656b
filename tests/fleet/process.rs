//! Processes of the fleet. Dropping the handle of a process kills the process by its id.

use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

/// Longest wait for an expected state; only a fault reaches it. The slowest repair in the design is
/// that of the blobs of a lost storage instance, which starts after 30 s and then takes the time to
/// copy.
const STATE_TIMEOUT: Duration = Duration::from_secs(120);

/// A process with its output in files.
pub struct Process {
    child: Child,
    pub output: PathBuf,
}

impl Process {
    /// Starts a program whose output is written to the file `output`.
    pub fn start(program: &str, args: &[String], output: &Path) -> Self {
        let file = File::create(output).unwrap();
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(file.try_clone().unwrap())
            .stderr(file)
            .spawn()
            .unwrap();
        Self { child, output: output.to_owned() }
    }

    /// Returns what the process has printed.
    pub fn printed(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    }

    /// Returns the exit status once the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Calls `attempt` until it succeeds. Fails the test with its last error after [`STATE_TIMEOUT`].
pub async fn eventually<T>(what: &str, mut attempt: impl AsyncFnMut() -> Result<T, String>) -> T {
    let start = Instant::now();
    loop {
        match attempt().await {
            Ok(value) => return value,
            Err(fault) if start.elapsed() > STATE_TIMEOUT => panic!("{what}: {fault}"),
            Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
}
