//! HTTP between the system, its callers and its backend servers.
//!
//! - `client`: requests to other processes, with what is known of a failure.
//! - `headers`: the names of headers.
//! - `listener`: listeners whose connections send small pieces at once.
//! - `respond`: answers and refusals.

mod client;
pub mod headers;
mod listener;
mod respond;

pub use client::{HttpClient, ReadError, SendError, read_whole};
pub use listener::NoDelayListener;
pub use respond::{json, refuse, response};
