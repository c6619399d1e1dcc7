//! Brings named weights to one model engine.
//!
//! The agent beside an engine fetches the pieces of the version that was named,
//! from other agents where it can and from the origin where it must, verifies
//! each, lays them down at the engine, and orders the engine to load them in
//! its turn. It keeps no copy of its own: what other agents ask for is read
//! back from the engine and verified again.
//!
//! - `engine`: the seams to the engine and to the origin.
//! - `holdings`: which pieces lie at the engine.
//! - `sources`: whom a piece is fetched from.
//! - `peer`: pieces for other agents.
//! - `fetch`: fetches what is missing.
//! - `queue`: which piece is asked for next, and of whom.
//! - `neighbours`: how far other agents are.
//! - `window`: how many pieces are fetched at once.
//! - `loader`: from the naming of a version to the engine that serves it.

mod engine;
mod fetch;
mod holdings;
mod loader;
mod neighbours;
mod peer;
mod queue;
mod sources;
mod window;

pub use engine::{Engine, EngineError, EngineReport, Origin, Running};
pub use fetch::Fetcher;
pub use holdings::{Held, Holdings, Target};
pub use loader::{Loader, LoaderSettings};
pub use neighbours::Neighbours;
pub use peer::{PeerServer, Peers, PieceAnswer};
pub use queue::{Asked, Patience, Queue};
pub use sources::{Source, SourceTable, fetch_order};
pub use window::{Window, pieces_within};
