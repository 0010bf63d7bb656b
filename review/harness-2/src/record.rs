//! The record of a run: what was sent, answered and run.

use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:>7} {}", self.start.elapsed().as_millis(), line.as_ref());
        self.lines.lock().expect("no panic under the lock").push(line);
    }

    /// Adds a line that is also printed.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.add(line);
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut file = std::fs::File::create(path)?;
        for line in self.lines.lock().expect("no panic under the lock").iter() {
            writeln!(file, "{line}")?;
        }
        Ok(())
    }
}
