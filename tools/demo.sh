#!/usr/bin/env bash
# Runs a complete deployment once, as separate processes, and prints the results.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace
exec target/release/egret-bench demo "$@"
