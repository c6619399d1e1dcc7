//! HTTP client, headers and responses shared by the programs.
//!
//! - `client`: an HTTP/1.1 client whose errors tell whether a request may have been sent.
//! - `headers`: the header names.
//! - `listener`: a listener that disables Nagle's algorithm.
//! - `respond`: responses, among them those to refused requests.

mod client;
pub mod headers;
mod listener;
mod respond;

pub use client::{HttpClient, ReadError, SendError, read_whole};
pub use listener::NoDelayListener;
pub use respond::{json, refuse, response};
