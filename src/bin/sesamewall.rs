//! Entry point of `sesamewall`.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    sesamewall_cli::main().await
}
