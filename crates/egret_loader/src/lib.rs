//! Brings named weights to one model engine.
//!
//! The agent beside an engine fetches the pieces of the version that was named,
//! from other agents where it can and from the origin where it must, verifies
//! each, lays them down at the engine, and orders the engine to load them in
//! its turn. It keeps no copy of its own: what other agents ask for is read
//! back from the engine and verified again.
//!
//! - `engine`: the seams to the engine and to the origin.
//! - `staging`: which pieces lie at the engine.
//! - `sources`: whom a piece is fetched from.
//! - `peer`: pieces for other agents.
//! - `fetch`: fetches what is missing.
//! - `queue`: which piece is asked for next, and of whom.
//! - `peer_progress`: how far other agents are.
//! - `window`: how many pieces are fetched at once.
//! - `loader`: from the naming of a version to the engine that serves it.

mod engine;
mod fetch;
mod loader;
mod peer;
mod peer_progress;
mod queue;
mod sources;
mod staging;
mod window;

pub use engine::{Engine, EngineError, EngineReport, Origin, SwitchMode};
pub use fetch::Fetcher;
pub use loader::{Loader, LoaderSettings};
pub use peer::{PeerServer, Peers, PieceAnswer};
pub use peer_progress::PeerProgress;
pub use queue::{FetchQueue, PieceRequest, RetryState};
pub use sources::{Source, SourceTable, fetch_order};
pub use staging::{StagedVersion, Staging, Target};
pub use window::{FetchWindow, pieces_within};
