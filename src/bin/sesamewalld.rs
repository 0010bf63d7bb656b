//! Entry point of `sesamewalld`.

use std::process::ExitCode;

fn main() -> ExitCode {
    sesamewall_server::main()
}
