//! The datagrams between entries and agents.

use egret_grants::{Demand, Grant};
use serde::{Deserialize, Serialize};

/// Maximum size of a datagram, in bytes; names have at most some tens of bytes.
pub const DATAGRAM_BYTES_MAX: usize = 1_024;

/// An entry's demand, for one incarnation of an engine.
///
/// The incarnation keeps a grant of an engine that has ended from being used at its successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandMessage {
    /// The id of the engine.
    pub engine: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// How many requests it runs concurrently; agents do not follow the reports of engines.
    pub slots: u32,
    /// The demand.
    pub demand: Demand,
}

/// The agent's reply to a [`DemandMessage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantMessage {
    /// The id of the engine.
    pub engine: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The grant.
    pub grant: Grant,
}
