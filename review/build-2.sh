#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with what the build of the deploy file has fetched.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
