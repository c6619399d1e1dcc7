#!/usr/bin/env bash
# Runs the whole path once as separate processes, and prints what came of it.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace
exec target/release/egret-bench demo "$@"
