//! The seams to the engine and to the origin.

use bytes::Bytes;
use egret_fleet::LoadedModel;
use egret_record::WeightVersion;
use egret_weights::PieceList;

/// A call that failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// Nobody answered.
    #[error("no answer: {0}; it is asked again")]
    Unreachable(String),
    /// The answer was another than hoped for.
    #[error("unexpected answer {status}: {text}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The beginning of the body.
        text: String,
    },
    /// The answer cannot be read.
    #[error("the answer cannot be read: {0}")]
    Unreadable(String),
}

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// The start of its lifetime, in milliseconds since 1970 by its own clock.
    pub incarnation: u64,
    /// The weights that it has loaded.
    pub models: Vec<LoadedModel>,
    /// Whether it carries out an order.
    pub busy: bool,
    /// Requests that run.
    pub active: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// What becomes of the requests that run when an engine changes its weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchMode {
    /// They end first; the engine takes no new ones meanwhile.
    Finish,
    /// They are cut off; streams go on at other engines.
    Stop,
}

/// The engine beside this agent.
pub trait Engine: 'static {
    /// Asks the engine for its state.
    fn report(&self) -> impl Future<Output = Result<EngineReport, EngineError>>;
    /// Lists the pieces of a model that lie at the engine, whatever their version.
    fn staged(&self, model: &str) -> impl Future<Output = Result<Vec<u32>, EngineError>>;
    /// Reads back a piece that lies at the engine.
    fn read(
        &self,
        model: &str,
        index: u32,
    ) -> impl Future<Output = Result<Option<Bytes>, EngineError>>;
    /// Lays a piece down at the engine, in place of an earlier one.
    fn stage(
        &self,
        model: &str,
        index: u32,
        content: Bytes,
    ) -> impl Future<Output = Result<(), EngineError>>;
    /// Orders the engine to load what lies there.
    fn load(
        &self,
        model: &str,
        version: WeightVersion,
        running: SwitchMode,
    ) -> impl Future<Output = Result<(), EngineError>>;
}

/// Where weights come from first.
pub trait Origin: 'static {
    /// Asks which pieces a version has; the newest version if none is given.
    fn list(
        &self,
        model: &str,
        version: Option<WeightVersion>,
    ) -> impl Future<Output = Result<(WeightVersion, PieceList), EngineError>>;
    /// Fetches a piece.
    fn piece(
        &self,
        model: &str,
        version: WeightVersion,
        index: u32,
    ) -> impl Future<Output = Result<Bytes, EngineError>>;
}
