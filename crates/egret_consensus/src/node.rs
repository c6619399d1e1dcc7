//! One member of the cluster.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    time::Duration,
};

use bytes::Bytes;
use egret_record::MemberId;
use rand::{SeedableRng as _, rngs::SmallRng};
use thiserror::Error;

use crate::{
    log::Log,
    message::{Body, Envelope},
    types::{ClusterId, HardState, Index, LogEntry, Membership, Payload, Snapshot, Term},
};

/// Timeouts and intervals of a member.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Shortest time without contact to a leader before an election.
    pub election_timeout: Duration,
    /// Interval between the leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Length of the leader's lease after it was last acknowledged by a quorum.
    ///
    /// It must be shorter than `election_timeout`, during which a follower refuses
    /// to vote, by at least the drift between clocks over that time.
    pub lease: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self::from_election_timeout(Duration::from_millis(400))
    }
}

impl Timing {
    /// Heartbeats within one election timeout.
    const HEARTBEATS_PER_TIMEOUT: u32 = 5;

    /// Derives heartbeat interval and lease from the election timeout.
    #[must_use]
    pub fn from_election_timeout(election: Duration) -> Self {
        Self {
            election_timeout: election,
            heartbeat_interval: election / Self::HEARTBEATS_PER_TIMEOUT,
            lease: election * 9 / 10,
        }
    }
}

/// The state of a member as read from disk.
#[derive(Debug, Clone, Default)]
pub struct Persisted {
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub entries: Vec<LogEntry>,
}

impl Persisted {
    /// Returns the initial state of a member of a new cluster.
    ///
    /// The first membership is also the first entry of the log, so that a
    /// member that joins later receives it like any other entry.
    #[must_use]
    pub fn bootstrap(membership: Membership) -> Self {
        /// The term before any election.
        const FIRST_TERM: Term = Term(1);
        let payload = Payload::Membership(membership.clone());
        Self {
            hard_state: HardState { term: FIRST_TERM, vote: None },
            snapshot: Snapshot { membership, ..Snapshot::default() },
            entries: vec![LogEntry { term: FIRST_TERM, index: Index(1), payload }],
        }
    }

    /// Returns the initial state of an instance that joins an existing cluster.
    #[must_use]
    pub fn joining(cluster: ClusterId) -> Self {
        let membership = Membership { cluster, ..Membership::default() };
        Self { snapshot: Snapshot { membership, ..Snapshot::default() }, ..Self::default() }
    }
}

/// Work for the caller, to be done in the order of the fields.
///
/// Everything up to `entries` must be on disk before a message is sent.
#[derive(Debug, Default)]
pub struct Ready {
    /// Term and vote to persist, if they changed.
    pub hard_state: Option<HardState>,
    /// A snapshot from the leader to persist; it replaces log and replicated state.
    pub snapshot: Option<Snapshot>,
    /// Entries to persist; they replace all entries from the first one's index on.
    pub entries: Vec<LogEntry>,
    /// Messages to send.
    pub messages: Vec<Envelope>,
    /// Committed entries to apply.
    pub committed: Vec<LogEntry>,
}

/// The role of a member in its current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows the leader, if one is known.
    Follower,
    /// Requests pre-votes to find out whether it could win an election.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the cluster.
    Leader,
}

/// Why a proposal was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This member is not the leader.
    #[error("this member is not the leader; ask {leader:?}")]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<MemberId>,
    },
    /// Another membership change is not committed yet.
    #[error("another membership change is in progress; try again when it is committed")]
    MembershipPending,
}

/// A leader's view of the replication progress of another member.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// The last index known to match.
    pub(crate) matched: Index,
    /// The next index to send.
    pub(crate) next: Index,
    /// Send time, on the leader's clock, of the latest message that was acknowledged.
    pub(crate) acked: Option<Duration>,
    /// When a snapshot was last sent, until the member replies.
    pub(crate) snapshot_sent: Option<Duration>,
}

/// One member of the cluster.
#[derive(Debug)]
pub struct Node {
    pub(crate) id: MemberId,
    pub(crate) timing: Timing,
    pub(crate) random: SmallRng,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    /// The last index that was handed out to be persisted.
    pub(crate) stable: Index,
    /// When this follower last had all entries that its leader had committed.
    pub(crate) last_caught_up: Option<Duration>,
    /// When the leader last contacted this member; initially, when the member started.
    pub(crate) leader_contact: Duration,
    pub(crate) election_at: Duration,
    pub(crate) heartbeat_at: Duration,
    pub(crate) votes: BTreeSet<MemberId>,
    /// Whether this candidate needs the votes of all voters instead of a quorum.
    pub(crate) unanimous: bool,
    /// When this process started.
    pub(crate) started: Duration,
    /// Whether this process has led or followed a leader since it started.
    pub(crate) had_leader: bool,
    /// The voters whose identities are lost with their disks.
    pub(crate) lost: BTreeSet<MemberId>,
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    /// The first index of this member's own term as leader.
    pub(crate) term_start: Index,
    /// When this member was last elected.
    pub(crate) elected_at: Duration,
    /// Term and vote as last handed out to be persisted.
    pub(crate) saved_state: HardState,
    /// A snapshot from the leader that is not handed out yet.
    pub(crate) pending_snapshot: Option<Snapshot>,
    pub(crate) outbox: Vec<Envelope>,
}

impl Node {
    /// Creates a member from its state on disk.
    #[must_use]
    pub fn new(
        id: MemberId,
        persisted: Persisted,
        timing: Timing,
        seed: u64,
        now: Duration,
    ) -> Self {
        let applied = persisted.snapshot.index;
        let log = Log::new(persisted.snapshot, persisted.entries);
        let mut node = Self {
            id,
            timing,
            random: SmallRng::seed_from_u64(seed),
            hard_state: persisted.hard_state,
            stable: log.last(),
            log,
            role: Role::Follower,
            leader: None,
            commit: applied,
            applied,
            last_caught_up: None,
            leader_contact: now,
            election_at: now,
            heartbeat_at: now,
            votes: BTreeSet::new(),
            unanimous: false,
            started: now,
            had_leader: false,
            lost: BTreeSet::new(),
            progress: BTreeMap::new(),
            term_start: Index(0),
            elected_at: now,
            saved_state: persisted.hard_state,
            pending_snapshot: None,
            outbox: Vec::new(),
        };
        node.reset_election(now);
        node
    }

    /// Advances the member's timers to `now`.
    pub fn tick(&mut self, now: Duration) {
        match self.role {
            Role::Leader => self.tick_leader(now),
            _ if now >= self.election_at => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Returns when [`tick`](Self::tick) must be called next.
    #[must_use]
    pub const fn next_tick(&self) -> Duration {
        match self.role {
            Role::Leader => self.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, message: Envelope, now: Duration) {
        if message.to != self.id || message.cluster != self.membership().cluster {
            return;
        }
        if self.ignores_vote_request(&message.body, now) {
            return;
        }
        let proposes_term =
            matches!(message.body, Body::PreVote { .. } | Body::PreVoteReply { granted: true });
        if message.term > self.hard_state.term && !proposes_term {
            self.become_follower(message.term, now);
        }
        match message.body {
            Body::PreVote { last, last_term, unanimous } => {
                let Envelope { from, term, .. } = message;
                self.handle_pre_vote(from, term, last, last_term, unanimous, now);
            }
            Body::Vote { last, last_term, .. } => {
                self.handle_vote(message.from, message.term, last, last_term, now);
            }
            Body::PreVoteReply { granted } => {
                self.handle_pre_vote_reply(message.from, message.term, granted, now);
            }
            Body::VoteReply { granted } => {
                self.handle_vote_reply(message.from, message.term, granted, now);
            }
            Body::Append(append) => self.handle_append(message.from, message.term, append, now),
            Body::AppendReply { accepted, index, sent } => {
                self.handle_append_reply(message.from, message.term, accepted, index, sent, now);
            }
            Body::Install { snapshot, sent } => {
                self.handle_install(message.from, message.term, snapshot, sent, now);
            }
        }
    }

    /// Proposes an entry; it is committed once a later [`Ready`] contains it.
    ///
    /// # Errors
    ///
    /// Returns a [`ProposeError`] when this member is not the leader, or when
    /// a membership change would overlap another.
    pub fn propose(&mut self, payload: Payload, now: Duration) -> Result<Index, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader { leader: self.leader });
        }
        let changes = matches!(payload, Payload::Membership(_));
        if changes && (self.log.membership().0 > self.commit || self.commit < self.term_start) {
            return Err(ProposeError::MembershipPending);
        }
        let index = self.push(payload);
        if changes {
            self.sync_progress();
        }
        self.replicate(now);
        self.advance_commit(now);
        Ok(index)
    }

    /// Takes the work that has accumulated since the last call.
    pub fn ready(&mut self) -> Ready {
        let hard_state = (self.hard_state != self.saved_state).then_some(self.hard_state);
        self.saved_state = self.hard_state;
        let entries = self.log.after(self.stable).cloned().collect();
        self.stable = self.log.last();
        let committed: Vec<_> = self
            .log
            .after(self.applied)
            .take_while(|entry| entry.index <= self.commit)
            .cloned()
            .collect();
        if let Some(last) = committed.last() {
            self.applied = last.index;
        }
        Ready {
            hard_state,
            entries,
            snapshot: self.pending_snapshot.take(),
            messages: mem::take(&mut self.outbox),
            committed,
        }
    }

    /// Replaces the log up to `index` by `data`, the replicated state at that index.
    ///
    /// Returns the snapshot to persist, or `None` when `index` is not applied
    /// yet or is already covered by the latest snapshot.
    pub fn compact(&mut self, index: Index, data: Bytes) -> Option<Snapshot> {
        if index > self.applied || index <= self.log.snapshot().index {
            return None;
        }
        let snapshot = Snapshot {
            index,
            term: self.log.term(index)?,
            membership: self.log.membership_at(index).clone(),
            data,
        };
        self.log.compact(snapshot.clone());
        Some(snapshot)
    }

    /// Returns the member's identity.
    #[must_use]
    pub const fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the member's role.
    #[must_use]
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Returns the leader, if one is known.
    #[must_use]
    pub const fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns the latest term.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns term and vote.
    #[must_use]
    pub const fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Returns the last index that this member knows to be committed.
    #[must_use]
    pub const fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the log.
    #[must_use]
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the membership in effect.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Returns whether this member holds the leader's lease at `now`.
    ///
    /// A quorum has acknowledged it so recently that no other member can have
    /// been elected, and everything that earlier leaders committed is known. A
    /// leader that has appended its own removal holds no lease, since the other
    /// members may elect a new leader without it.
    #[must_use]
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.role == Role::Leader
            && self.membership().voters.contains(&self.id)
            && self.commit >= self.term_start
            && self.quorum_acked(now).is_some_and(|acked| now < acked + self.timing.lease)
    }

    /// Returns whether a quorum has confirmed this leader since `start`.
    ///
    /// What counts is when the acknowledged messages were sent, not when the replies arrived.
    #[must_use]
    pub fn confirmed_since(&self, start: Duration, now: Duration) -> bool {
        self.role == Role::Leader
            && self.commit >= self.term_start
            && self.quorum_acked(now).is_some_and(|acked| acked >= start)
    }

    /// Sends heartbeats now, to confirm this leader before a linearizable read.
    pub fn confirm_leadership(&mut self, now: Duration) {
        if self.role == Role::Leader {
            self.heartbeat_at = now;
            self.tick_leader(now);
        }
    }

    /// Returns when the leader last contacted this member; on the leader, when a quorum replied.
    #[must_use]
    pub fn last_leader_contact(&self, now: Duration) -> Option<Duration> {
        match self.role {
            Role::Leader => self.quorum_acked(now),
            _ => self.leader.map(|_| self.leader_contact),
        }
    }

    /// Returns when this member last had all entries that its leader had committed.
    ///
    /// A member that receives heartbeats may still miss entries, if its replies are lost.
    #[must_use]
    pub fn last_caught_up(&self, now: Duration) -> Option<Duration> {
        match self.role {
            Role::Leader if self.commit < self.term_start => None,
            Role::Leader => self.quorum_acked(now),
            _ => self.leader.and(self.last_caught_up),
        }
    }

    /// Returns the voters that have not acknowledged this leader for `limit`.
    #[must_use]
    pub fn unresponsive_voters(&self, limit: Duration, now: Duration) -> Vec<MemberId> {
        let leading_for = now.saturating_sub(self.elected_at);
        if self.role != Role::Leader || leading_for < limit {
            return Vec::new();
        }
        let silent = |id: &&MemberId| {
            let acked = self.progress.get(*id).and_then(|progress| progress.acked);
            **id != self.id && acked.is_none_or(|acked| now > acked + limit)
        };
        self.membership().voters.iter().filter(silent).copied().collect()
    }

    /// Returns the learners that have caught up enough to become voters.
    #[must_use]
    pub fn promotable(&self) -> Vec<MemberId> {
        /// Entries that a learner may be behind and still be promoted.
        const LAG_ENTRIES_MAX: u64 = 64;
        let last = self.log.last().0;
        let caught_up = |id: &&MemberId| {
            self.progress.get(*id).is_some_and(|progress| {
                progress.matched.0 > 0 && progress.matched.0 + LAG_ENTRIES_MAX >= last
            })
        };
        self.membership().learners.iter().filter(caught_up).copied().collect()
    }

    pub(crate) fn push(&mut self, payload: Payload) -> Index {
        let index = self.log.last().next();
        self.log.push(LogEntry { term: self.hard_state.term, index, payload });
        index
    }

    pub(crate) fn send(&mut self, to: MemberId, term: Term, body: Body) {
        self.outbox.push(Envelope {
            cluster: self.membership().cluster,
            from: self.id,
            to,
            term,
            body,
        });
    }
}
