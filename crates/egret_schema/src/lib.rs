//! Generated Cap'n Proto code of the protocol between egretgap's processes.
//!
//! The crate is separate because the workspace's lints are meant for handwritten
//! code. `tools/generate-schema.sh` generates the code from `schema/egret.capnp`.

pub mod egret_capnp;
