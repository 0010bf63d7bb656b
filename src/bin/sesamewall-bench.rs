//! Entry point of `sesamewall-bench`.

use std::process::ExitCode;

fn main() -> ExitCode {
    sesamewall_bench::main()
}
