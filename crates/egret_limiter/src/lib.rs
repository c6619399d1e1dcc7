//! Server beside a model engine that divides the engine's slots among entries.
//!
//! Entries and agents exchange datagrams, since a lost demand or grant is replaced
//! by the next one, and must not hold up later ones as it would in a stream.
//!
//! - `message`: the datagrams between entries and agents.
//! - `server`: the agent's side.

mod message;
mod server;

pub use message::{DATAGRAM_BYTES_MAX, DemandMessage, GrantMessage};
pub use server::GrantServer;
