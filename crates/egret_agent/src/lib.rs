//! The process in the slot of each backend server instance.
//!
//! An agent announces its backend server, is the last gate before it, holds and
//! passes on weights, and orders the engine. It acts on the control state's view
//! only while its lease on it lasts.
//!
//! - `admission`: which requests may pass.
//! - `traffic`: requests from entries to the backend server.
//! - `engine`: the protocol of the backend server.
//! - `rollout`: from an order to a live version.
//! - `fetch`: chunks from agents and origin.
//! - `peer_server`: chunks for other agents.
//! - `shared`: what the threads share.

mod admission;
mod engine;
mod fetch;
mod peer_server;
mod program;
mod rollout;
mod shared;
mod traffic;

pub use admission::{Admission, admit};
pub use program::{ProgramError, run};
