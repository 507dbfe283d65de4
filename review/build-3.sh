#!/bin/sh
# Builds what the scripts of review/11 to 14 start beside the program of the deploy file, without a network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --offline --release --locked --manifest-path review/rig/Cargo.toml --target-dir target/review-3
