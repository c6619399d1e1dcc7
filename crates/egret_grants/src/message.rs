//! Demands of entries, and the agent's replies.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The number of ranks that are told apart; the last one stands for all that follow.
pub const RANKS: usize = 4;

/// An entry's report to the agent of an engine, repeated as a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The id of the entry.
    pub entry: String,
    /// Its incarnation; a later one replaces what is known of an earlier one.
    pub incarnation: u64,
    /// The number of this demand; increases within an incarnation.
    pub seq: u64,
    /// Whether the entry is in the data centre of the engine.
    pub near: bool,
    /// Its requests in flight at the engine.
    pub in_flight: u16,
    /// The slots of the grant that it obeys; its requests in flight if it has none.
    pub held: u16,
    /// The `seq` of that grant; 0 if it has none.
    ///
    /// Replies to later demands may still be under way, so the agent counts them as well.
    pub held_seq: u64,
    /// Its waiting requests that the engine could serve, by rank.
    pub waiting: [u16; RANKS],
}

/// The agent's reply to one [`Demand`]: a lease on slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The `seq` of the demand.
    pub seq: u64,
    /// The maximum number of requests that the entry may have in flight at the engine.
    pub slots: u16,
    /// The time from sending the demand until the grant ends.
    pub lease: Duration,
    /// The time from sending the demand until the next one, if nothing urgent comes up.
    ///
    /// The agent lengthens it with the number of entries, which bounds its control traffic.
    pub period: Duration,
}
