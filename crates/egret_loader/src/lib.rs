//! Fetches model weights for one model engine and orders it to load them.
//!
//! The agent next to an engine fetches the pieces of the target version from other
//! agents or, if none can provide them, from the origin. It verifies each piece,
//! stages it at the engine, and orders the engine to load the version when its turn
//! in the rolling update comes. It stores no copy of its own: pieces that other
//! agents ask for are read back from the engine and verified again.
//!
//! - `engine`: traits for the engine and the origin.
//! - `staging`: which pieces are staged at the engine.
//! - `sources`: the agents that a piece is fetched from.
//! - `peer`: exchanges pieces with other agents.
//! - `fetch`: fetches missing pieces.
//! - `queue`: the order of fetches and the choice of their source.
//! - `peer_progress`: how many pieces other agents have.
//! - `window`: a congestion window for concurrent fetches.
//! - `activation`: has the engine load staged weights, and proves that it took them whole.
//! - `recorder`: records in the control state which weights are whole.
//! - `loader`: fetches the announced version and switches the engine to it.

mod activation;
mod engine;
mod fetch;
mod loader;
mod peer;
mod peer_progress;
mod queue;
mod recorder;
mod sources;
mod staging;
mod window;

pub use activation::{Activation, LoadProof};
pub use engine::{Engine, EngineError, EngineReport, LoadAnswer, LoadOrder, Origin, SwitchMode};
pub use fetch::Fetcher;
pub use loader::{Loader, LoaderSettings};
pub use peer::{PeerServer, Peers, PieceAnswer};
pub use peer_progress::PeerProgress;
pub use queue::{FetchQueue, PieceRequest, RetryState};
pub use recorder::RecordState;
pub use sources::{Source, SourceTable, fetch_order};
pub use staging::{StagedVersion, Staging, Target};
pub use window::{FetchWindow, pieces_within};
