//! Terms, log entries, membership and snapshots.

use std::collections::{BTreeMap, BTreeSet};

use egret_record::MemberId;
use serde::{Deserialize, Serialize};

/// A term; each has one leader at most.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// A place in the log; the first entry has index 1.
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

/// What must survive of a member beside its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term it has seen.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<MemberId>,
}

/// Where a member is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name in its settings.
    pub name: String,
    /// Its address for the system's own protocol.
    pub address: String,
}

impl Member {
    /// Names a member and its address.
    #[must_use]
    pub fn new(name: &str, address: &str) -> Self {
        Self { name: name.to_owned(), address: address.to_owned() }
    }
}

/// Who belongs to the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Membership {
    /// The cluster.
    pub cluster: ClusterId,
    /// Who votes.
    pub voters: BTreeSet<MemberId>,
    /// Who receives the log, and does not vote yet.
    pub learners: BTreeSet<MemberId>,
    /// Where each is reached.
    pub members: BTreeMap<MemberId, Member>,
}

impl Membership {
    /// Forms the first membership of a cluster, which names the cluster.
    #[must_use]
    pub fn from_voters(members: impl IntoIterator<Item = (MemberId, Member)>) -> Self {
        let members: BTreeMap<_, _> = members.into_iter().collect();
        let voters: BTreeSet<_> = members.keys().copied().collect();
        let cluster = voters.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, id| {
            (hash ^ id.0).wrapping_mul(0x0100_0000_01b3).rotate_left(23)
        });
        Self { cluster: ClusterId(cluster), voters, learners: BTreeSet::new(), members }
    }

    /// Returns the number of voters that decide.
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

    /// Returns this membership with a learner made voter.
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

    /// Returns everybody but `own`.
    pub fn others(&self, own: MemberId) -> impl Iterator<Item = MemberId> + '_ {
        self.voters.iter().chain(&self.learners).copied().filter(move |id| *id != own)
    }
}

/// What a log entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader commits one to learn what is committed.
    Empty,
    /// A change of membership, in force once it is in the log.
    Membership(Membership),
    /// A command to the state, opaque here.
    Command(Vec<u8>),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the leader that wrote it.
    pub term: Term,
    /// Its place.
    pub index: Index,
    /// What it carries.
    pub payload: Payload,
}

/// The state after an index, in place of the log up to it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last index that it covers.
    pub index: Index,
    /// The term of that index.
    pub term: Term,
    /// The membership at that index.
    pub membership: Membership,
    /// The state, opaque here.
    pub data: Vec<u8>,
}
