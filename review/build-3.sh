#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/14 start, the project's own among them.
# Run it in the repository root after the build of the deploy file; it needs no network.
cd "$(dirname "$0")/.." || exit 1
exec cargo build --release --offline --locked \
    --manifest-path review/harness-3/Cargo.toml --target-dir target/review-3
