#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/tool-3/Cargo.toml \
    --target-dir target/review-3
