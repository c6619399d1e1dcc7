#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/tool-2/Cargo.toml \
  --target-dir target/review-2
