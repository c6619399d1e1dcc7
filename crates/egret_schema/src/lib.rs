//! Generated code of the protocol between the system's own processes.
//!
//! It stands in a crate of its own, since the workspace's lints are for code
//! that people write. `tools/generate-schema.sh` makes it again.

pub mod egret_capnp;
