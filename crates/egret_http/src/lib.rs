//! HTTP client, headers and responses shared by the programs.
//!
//! - `client`: an HTTP/1.1 client whose errors tell whether a request may have been sent.
//! - `events`: the framing of event streams.
//! - `headers`: the header names.
//! - `joined`: heads that two responses make up together.
//! - `listener`: a listener that disables Nagle's algorithm.
//! - `respond`: responses, among them those to refused requests.
//! - `status`: which statuses end a request.

mod client;
mod events;
pub mod headers;
mod joined;
mod listener;
mod respond;
mod status;

pub use client::{HttpClient, ReadError, SendError, read_whole};
pub use events::{EVENT_BYTES_MAX, Event, EventReader};
pub use joined::is_joined;
pub use listener::NoDelayListener;
pub use respond::{json, refuse, response};
pub use status::is_final;
