#!/bin/sh
# Builds the stand-ins and clients of the cases, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --offline --release --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
