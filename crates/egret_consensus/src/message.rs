//! The messages between members of a cluster.

use std::time::Duration;

use egret_record::MemberId;

use crate::types::{ClusterId, Index, LogEntry, Snapshot, Term};

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The cluster that both belong to.
    pub cluster: ClusterId,
    /// The sender.
    pub from: MemberId,
    /// The receiver.
    pub to: MemberId,
    /// The sender's term; in a pre-vote and its grant, the term of the proposed election.
    pub term: Term,
    /// The content.
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
    /// The leader's commit index.
    pub commit: Index,
    /// The leader's clock when it sent this, which the reply echoes.
    pub sent: Duration,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks whether a vote would be granted, without starting a new term.
    PreVote {
        /// The last log index of the candidate.
        last: Index,
        /// The term of that index.
        last_term: Term,
        /// Whether the candidate needs the votes of all voters instead of a quorum.
        unanimous: bool,
    },
    /// Replies to a pre-vote.
    PreVoteReply {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The last log index of the candidate.
        last: Index,
        /// The term of that index.
        last_term: Term,
        /// Whether the candidate needs the votes of all voters instead of a quorum.
        unanimous: bool,
    },
    /// Replies to a request for a vote.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Carries log entries, or a heartbeat.
    Append(Append),
    /// Replies to entries or a snapshot.
    AppendReply {
        /// Whether the entries or the snapshot were accepted.
        accepted: bool,
        /// The last index known to match; after a rejection, the index to retry after.
        index: Index,
        /// The leader's clock, as echoed from its message.
        sent: Duration,
    },
    /// Carries a snapshot in place of log entries that were compacted.
    Install {
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's clock when it sent this.
        sent: Duration,
    },
}

impl Body {
    /// Returns the size of the commands or the snapshot in the message, in bytes.
    #[must_use]
    pub fn data_bytes(&self) -> usize {
        match self {
            Self::Append(append) => {
                append.entries.iter().map(|entry| entry.payload.command_bytes()).sum()
            }
            Self::Install { snapshot, .. } => snapshot.data.len(),
            Self::PreVote { .. }
            | Self::PreVoteReply { .. }
            | Self::Vote { .. }
            | Self::VoteReply { .. }
            | Self::AppendReply { .. } => 0,
        }
    }
}
