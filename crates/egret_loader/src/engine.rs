//! Traits for the engine and the origin.

use bytes::Bytes;
use egret_fleet::LoadedModel;
use egret_record::WeightVersion;
use egret_weights::PieceList;

/// Why a call to the engine or the origin failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// No answer arrived.
    #[error("no answer: {0}; the call is retried")]
    Unreachable(String),
    /// The answer has an unexpected status.
    #[error("unexpected answer {status}: {text}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The start of the body.
        text: String,
    },
    /// The answer cannot be decoded.
    #[error("the answer cannot be decoded: {0}")]
    Unreadable(String),
}

/// The state that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// The engine's incarnation: its start in milliseconds since 1970 by its own clock.
    pub incarnation: u64,
    /// The loaded weights.
    pub models: Vec<LoadedModel>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// Requests in flight.
    pub active: u32,
    /// Requests in the queue.
    pub queued: u32,
}

/// How an engine treats requests in flight when it switches weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchMode {
    /// The engine drains: it finishes them and accepts no new ones meanwhile.
    Finish,
    /// The engine cancels them; streams resume at other engines.
    Stop,
}

/// The engine next to this agent.
pub trait Engine: 'static {
    /// Queries the state of the engine.
    fn report(&self) -> impl Future<Output = Result<EngineReport, EngineError>>;
    /// Lists the staged pieces of a model, whatever their version.
    fn staged(&self, model: &str) -> impl Future<Output = Result<Vec<u32>, EngineError>>;
    /// Reads back a staged piece.
    fn read(
        &self,
        model: &str,
        index: u32,
    ) -> impl Future<Output = Result<Option<Bytes>, EngineError>>;
    /// Stages a piece at the engine, replacing an earlier one.
    fn stage(
        &self,
        model: &str,
        index: u32,
        content: Bytes,
    ) -> impl Future<Output = Result<(), EngineError>>;
    /// Orders the engine to load the staged pieces.
    fn load(
        &self,
        model: &str,
        version: WeightVersion,
        mode: SwitchMode,
    ) -> impl Future<Output = Result<(), EngineError>>;
}

/// The server that publishes weights.
pub trait Origin: 'static {
    /// Fetches the piece list of a version, by default of the newest.
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
