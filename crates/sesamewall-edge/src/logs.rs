//! The log of a process: JSON lines on standard output, with a bounded queue that never blocks.

use sesamewall_platform::InstanceSettings;
use slog::Drain;
use slog::Logger;
use slog::o;

/// Lines queued for the writer. Further ones are dropped, and their number is logged.
const QUEUED_LINES: usize = 1024;

/// Returns the log of the process on `settings`.
pub fn logger(settings: &InstanceSettings) -> Logger {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    Logger::root(
        drain,
        o!("instance" => settings.instance.to_string(), "domain" => settings.domain.to_string()),
    )
}
