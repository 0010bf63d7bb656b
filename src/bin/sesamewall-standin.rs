//! Entry point of `sesamewall-standin`.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    sesamewall_standin::main().await
}
