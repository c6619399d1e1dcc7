//! Terms, log entries, membership and snapshots.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use egret_record::MemberId;
use serde::{Deserialize, Serialize};

/// An election term, with at most one leader.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// A position in the log; the first entry has index 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Index(pub u64);

impl Index {
    /// Returns the index after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the index before this one, or zero.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// The identity of a cluster, fixed by its first membership.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClusterId(pub u64);

/// The term and vote that a member persists besides its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that the member has seen.
    pub term: Term,
    /// The candidate that it voted for in that term.
    pub vote: Option<MemberId>,
}

/// Name and address of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name in its settings.
    pub name: String,
    /// Its address for RPC between the processes of the system.
    pub address: String,
}

impl Member {
    /// Creates a member from its name and address.
    #[must_use]
    pub fn new(name: &str, address: &str) -> Self {
        Self { name: name.to_owned(), address: address.to_owned() }
    }
}

/// The members of a cluster.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    /// The identity of the cluster.
    pub cluster: ClusterId,
    /// The members that vote.
    pub voters: BTreeSet<MemberId>,
    /// The members that receive the log but do not vote yet.
    pub learners: BTreeSet<MemberId>,
    /// Name and address of each member.
    pub members: BTreeMap<MemberId, Member>,
}

impl Membership {
    /// Creates the first membership of a cluster, from which its identity is derived.
    #[must_use]
    pub fn from_voters(members: impl IntoIterator<Item = (MemberId, Member)>) -> Self {
        let members: BTreeMap<_, _> = members.into_iter().collect();
        let voters: BTreeSet<_> = members.keys().copied().collect();
        let cluster = voters.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, id| {
            (hash ^ id.0).wrapping_mul(0x0100_0000_01b3).rotate_left(23)
        });
        Self { cluster: ClusterId(cluster), voters, learners: BTreeSet::new(), members }
    }

    /// Returns the number of voters that form a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns this membership with one more learner.
    #[must_use]
    pub fn with_learner(&self, id: MemberId, member: Member) -> Self {
        let mut next = self.clone();
        next.learners.insert(id);
        next.members.insert(id, member);
        next
    }

    /// Returns this membership with a learner promoted to voter.
    #[must_use]
    pub fn with_promoted(&self, id: MemberId) -> Self {
        let mut next = self.clone();
        if next.learners.remove(&id) {
            next.voters.insert(id);
        }
        next
    }

    /// Returns this membership without a member.
    #[must_use]
    pub fn without(&self, id: MemberId) -> Self {
        let mut next = self.clone();
        next.voters.remove(&id);
        next.learners.remove(&id);
        next.members.remove(&id);
        next
    }

    /// Returns all voters and learners except `own`.
    pub fn others(&self, own: MemberId) -> impl Iterator<Item = MemberId> + '_ {
        self.voters.iter().chain(&self.learners).copied().filter(move |id| *id != own)
    }
}

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; a new leader commits such an entry to learn what is committed.
    Empty,
    /// A membership change, in effect as soon as it is in the log.
    Membership(Membership),
    /// A command for the replicated state, opaque to this crate.
    Command(Bytes),
}

impl Payload {
    /// Returns the size of a command, in bytes; other content is small.
    #[must_use]
    pub const fn command_bytes(&self) -> usize {
        match self {
            Self::Command(command) => command.len(),
            Self::Empty | Self::Membership(_) => 0,
        }
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the leader that wrote it.
    pub term: Term,
    /// Its position in the log.
    pub index: Index,
    /// Its content.
    pub payload: Payload,
}

/// The replicated state at an index, which replaces the log up to it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last index that it covers.
    pub index: Index,
    /// The term of that index.
    pub term: Term,
    /// The membership at that index.
    pub membership: Membership,
    /// The replicated state, opaque to this crate.
    pub data: Bytes,
}
