//! Entry point of `sesamewalld`.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    sesamewall_server::main().await
}
