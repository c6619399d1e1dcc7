//! What entries ask of the leader, and its replies.

use std::time::Duration;

use egret_record::RateLimit;
use serde::{Deserialize, Serialize};

/// An entry's request for permits for one backend server, with what it knows of the limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitWant {
    /// The id of the backend server.
    pub backend: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its limit; none if that has ended.
    pub limit: Option<RateLimit>,
    /// The time since a response showed this; the maximum if the entry has it from the leader.
    pub age: Duration,
    /// How many permits the entry can use now.
    pub count: u32,
    /// How many permits of earlier grants it returns unused.
    pub unused: u32,
}

/// The leader's reply to one [`PermitWant`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The id of the backend server.
    pub backend: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its limit, by all that the leader was told; none if it has none.
    pub limit: Option<RateLimit>,
    /// The number of permits granted.
    pub count: u32,
    /// The time until the leader expects to have another permit for this entry.
    pub wait: Duration,
}
