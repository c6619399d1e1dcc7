//! What members say to each other.

use std::time::Duration;

use egret_record::MemberId;

use crate::types::{ClusterId, Index, LogEntry, Snapshot, Term};

/// A message with its addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The cluster that both belong to.
    pub cluster: ClusterId,
    /// Who sends.
    pub from: MemberId,
    /// Who receives.
    pub to: MemberId,
    /// The term of the sender, or the term it asks for in a pre-vote.
    pub term: Term,
    /// What is said.
    pub body: Body,
}

/// Log entries from the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Append {
    /// The index before the entries.
    pub previous: Index,
    /// The term of that index.
    pub previous_term: Term,
    /// The entries; none in a heartbeat.
    pub entries: Vec<LogEntry>,
    /// What the leader knows to be committed.
    pub commit: Index,
    /// The leader's clock when it sent this, which the reply returns.
    pub sent: Duration,
}

/// What is said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks whether a vote would be given, without a new term.
    PreVote {
        /// The last index of the asker.
        last: Index,
        /// The term of that index.
        last_term: Term,
        /// Whether the asker needs every voter instead of a quorum.
        unanimous: bool,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The last index of the candidate.
        last: Index,
        /// The term of that index.
        last_term: Term,
        /// Whether the candidate needs every voter instead of a quorum.
        unanimous: bool,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Carries log entries, or a heartbeat.
    Append(Append),
    /// Answers entries or a snapshot.
    AppendReply {
        /// Whether the entries fit.
        accepted: bool,
        /// The last index known to match, or where to try next.
        index: Index,
        /// The leader's clock from the message that is answered.
        sent: Duration,
    },
    /// Carries the state in place of log entries that are gone.
    Install {
        /// The state.
        snapshot: Snapshot,
        /// The leader's clock when it sent this.
        sent: Duration,
    },
}
