//! Reads processor time and memory of this process, and fits lines.

use std::path::Path;
use std::time::Duration;

/// Length of a clock tick in `/proc/self/stat` on Linux (`USER_HZ` is 100).
const TICK: Duration = Duration::from_millis(10);

/// Shortest processor time of a loop, in which one tick is at most 2%.
const MIN_TIME: Duration = Duration::from_millis(500);

/// Returns user and system time of this process, of all its threads.
pub(super) fn processor_time() -> Duration {
    ticks("/proc/self/stat").map_or(Duration::ZERO, |(_, ticks)| TICK * ticks)
}

/// Returns user and system time of the threads with this name.
pub(super) fn thread_time(name: &str) -> Duration {
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let stats = threads.flatten().filter_map(|thread| ticks(thread.path().join("stat")));
    TICK * stats.filter(|(thread_name, _)| thread_name == name).map(|(_, ticks)| ticks).sum::<u32>()
}

/// Reads name and ticks of a process or thread.
fn ticks(file: impl AsRef<Path>) -> Option<(String, u32)> {
    let text = std::fs::read_to_string(file).ok()?;
    // The name in parentheses may hold spaces; utime and stime are fields 14 and 15.
    let (head, rest) = text.rsplit_once(')')?;
    let name = head.split_once('(')?.1.to_owned();
    Some((name, rest.split_whitespace().skip(11).take(2).filter_map(number).sum()))
}

fn number(text: &str) -> Option<u32> {
    text.parse().ok()
}

/// Returns the resident memory of this process in bytes.
pub(super) fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()).and_then(number);
    f64::from(kilobytes.unwrap_or(0)) * 1024.0
}

/// Returns the processor time of one call of `operation` in microseconds. Calls it until enough
/// ticks have passed, with a rising number as argument.
pub(super) fn cost_us(small: bool, mut operation: impl FnMut(u64)) -> f64 {
    let min_time = if small { TICK } else { MIN_TIME };
    let start = processor_time();
    let mut count = 0;
    loop {
        for _ in 0..100 {
            operation(count);
            count += 1;
        }
        let used = processor_time() - start;
        if used >= min_time {
            return used.as_secs_f64() * 1e6 / count as f64;
        }
    }
}

/// Returns slope and value at zero of the line with the least squared error.
pub(super) fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x) * (x - mean_x)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    (slope, mean_y - slope * mean_x)
}
