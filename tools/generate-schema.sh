#!/usr/bin/env bash
# Makes the generated Rust code of the inter-process schema again.
#
# Needs the `capnp` compiler (Debian's package capnproto) and the plugin of the
# crate capnpc (`cargo install capnpc`). The build needs neither.
set -euo pipefail
cd "$(dirname "$0")/../crates/egret_schema"
capnp compile --src-prefix=schema --output=rust:src schema/egret.capnp
cargo fmt -p egret_schema
