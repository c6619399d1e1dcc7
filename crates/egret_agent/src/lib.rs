//! The agent process next to each backend server instance.
//!
//! An agent registers its backend server, admits and forwards its requests, fetches
//! weights and serves them to other agents, and orders the engine to load them. It
//! acts on the view of the control state only while it holds a lease on it.
//!
//! - `admission`: decides which requests are admitted.
//! - `proxy`: forwards requests from entries to the backend server.
//! - `engine`: a client of the backend server's admin API.
//! - `rollout`: carries out an order until its version is live.
//! - `fetch`: fetches chunks from other agents and the origin.
//! - `peer_server`: serves chunks to other agents.
//! - `shared_state`: the state that the threads share.

mod admission;
mod engine;
mod fetch;
mod peer_server;
mod program;
mod proxy;
mod rollout;
mod shared_state;

pub use admission::{Admission, admit};
pub use program::{ProgramError, run};
