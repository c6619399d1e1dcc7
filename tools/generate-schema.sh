#!/usr/bin/env bash
# Regenerates the Rust code of the RPC schema.
#
# Requires the `capnp` compiler (Debian package capnproto) and the plugin of the
# crate capnpc (`cargo install capnpc`). The build requires neither.
set -euo pipefail
cd "$(dirname "$0")/../crates/egret_schema"
capnp compile --src-prefix=schema --output=rust:src schema/egret.capnp
cargo fmt -p egret_schema
