#!/bin/bash
# Builds the stand-ins that the scripts of the review start; needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/tool/Cargo.toml --target-dir target/review
