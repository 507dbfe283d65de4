#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The programs of the project come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --offline --release --locked --manifest-path review/cases-2/Cargo.toml --target-dir target/review-2
