//! What entries tell the leader.

use std::time::Duration;

use egret_record::PartId;
use serde::{Deserialize, Serialize};

/// A backend server that ended while it ran requests of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The id of the backend server.
    pub backend: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The time since its first answer broke.
    pub age: Duration,
    /// The parts of the requests that may have crashed it.
    pub parts: Vec<PartId>,
}

/// A part on which an answer was written without a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// The part.
    pub part: PartId,
    /// The time since the latest such answer.
    pub age: Duration,
}

/// What an entry has seen since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PartsReport {
    /// The backend servers that ended.
    pub crashes: Vec<CrashReport>,
    /// The suspected and blocked parts that were answered.
    pub answers: Vec<AnswerReport>,
}
