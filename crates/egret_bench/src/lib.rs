//! Load and experiments over the stand-ins; never deployed.
//!
//! - [`deployment`]: the programs as processes of this machine.
//! - [`caller`]: callers that check every answer.
//! - [`demo`]: the whole path once, with a data centre out and back.

pub mod caller;
pub mod demo;
pub mod deployment;
mod http_text;

pub use http_text::{Reply, ask};
