//! The agent process next to each backend server instance.
//!
//! An agent registers its backend server, admits and forwards its requests, fetches
//! weights and serves them to other agents, and orders the engine to load them. It
//! admits requests only while it holds a lease on its view of the control state.
//!
//! - `program`: starts the threads of the process and drains it on shutdown.
//! - `admission`: decides which requests are admitted.
//! - `proxy`: forwards requests from entries to the backend server.
//! - `engine`: a client of the backend server's admin API.
//! - `rollout`: carries out an order until its version is live.
//! - `fetch`: fetches chunks from other agents and the origin.
//! - `peer_server`: serves chunks to other agents.
//! - `shared_state`: the state shared by the proxy, control and weights threads.

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
