//! Traits for the engine and the origin.

use std::ops::Range;

use bytes::Bytes;
use egret_fleet::LoadedModel;
use egret_record::WeightVersion;
use egret_weights::PieceList;

use crate::staging::Target;

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
    /// The engine is carrying out an order of another process or an earlier one.
    #[error("the engine is carrying out an order; the load is retried")]
    Busy,
    /// The engine took the order for one that is in effect, and loaded nothing.
    #[error("the engine took the load order for one in effect; the load is retried")]
    InEffect,
    /// The control instances have not confirmed that a record of the engine's weights is withdrawn.
    #[error("no leader has recorded that the weights are taken anew; the load is retried")]
    Unrecorded,
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
    /// How many orders it has accepted, if it counts them.
    pub orders: Option<u64>,
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

/// An order to load the staged pieces of a version.
#[derive(Debug, Clone)]
pub struct LoadOrder<'a> {
    /// The version.
    pub target: &'a Target,
    /// The layers that the engine holds afterwards; all of them if `None`.
    pub layers: Option<Range<u32>>,
    /// How it treats requests in flight.
    pub mode: SwitchMode,
    /// How many orders it must have accepted before this one, or it refuses this one.
    pub expected: Option<u64>,
}

/// An engine's answer to a load order that it accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadAnswer {
    /// It has taken the pieces as they were staged and begins to load them.
    Started,
    /// It holds these layers: it held them before, or has loaded them since it got the order.
    Complete,
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
    /// Orders the engine to load staged pieces.
    ///
    /// It keeps the layers of the version that it holds already.
    fn load(&self, order: &LoadOrder<'_>) -> impl Future<Output = Result<LoadAnswer, EngineError>>;
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
