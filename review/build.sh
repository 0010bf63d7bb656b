#!/bin/sh
# Builds the stand-ins and clients that the scripts of the review start. The packages are those that
# the build of the deploy file has fetched.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml \
    --target-dir target/review
