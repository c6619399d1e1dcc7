//! One member of the cluster.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    time::Duration,
};

use egret_record::MemberId;
use rand::{SeedableRng as _, rngs::SmallRng};
use thiserror::Error;

use crate::{
    log::Log,
    message::{Body, Envelope},
    types::{ClusterId, HardState, Index, LogEntry, Membership, Payload, Snapshot, Term},
};

/// The periods of a member.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Shortest time without a leader before an election.
    pub election_timeout: Duration,
    /// Time between heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// How long a quorum's last reply lets a leader act alone.
    ///
    /// It must stay below `election_timeout`, for which a follower refuses its vote,
    /// by as much as clocks may drift apart in that time.
    pub lease: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self::from_election_timeout(Duration::from_millis(400))
    }
}

impl Timing {
    /// Heartbeats within one shortest election time.
    const HEARTBEATS: u32 = 5;

    /// Derives the other periods from the shortest election time.
    #[must_use]
    pub fn from_election_timeout(election: Duration) -> Self {
        Self {
            election_timeout: election,
            heartbeat_interval: election / Self::HEARTBEATS,
            lease: election * 9 / 10,
        }
    }
}

/// What a member found on disk.
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
    /// Describes the disk of a member of a new cluster.
    ///
    /// The first membership is also the first entry of the log, so that a
    /// member that joins later learns it like any other.
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

    /// Describes the disk of an instance that shall join a cluster.
    #[must_use]
    pub fn joining(cluster: ClusterId) -> Self {
        let membership = Membership { cluster, ..Membership::default() };
        Self { snapshot: Snapshot { membership, ..Snapshot::default() }, ..Self::default() }
    }
}

/// What must be done, in the order of the fields.
///
/// Everything up to `entries` must be on disk before a message is sent.
#[derive(Debug, Default)]
pub struct Ready {
    /// Term and vote to keep.
    pub hard_state: Option<HardState>,
    /// A snapshot from the leader, to keep and to load in place of log and state.
    pub snapshot: Option<Snapshot>,
    /// The entries to keep; they replace all at and after the first one's index.
    pub entries: Vec<LogEntry>,
    /// What to send.
    pub messages: Vec<Envelope>,
    /// What to apply.
    pub committed: Vec<LogEntry>,
}

/// What a member is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It follows the leader, if it knows one.
    Follower,
    /// It asks whether it could win.
    PreCandidate,
    /// It asks for votes.
    Candidate,
    /// It leads.
    Leader,
}

/// Why a proposal was not taken.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This member does not lead.
    #[error("this member does not lead; ask {leader:?}")]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<MemberId>,
    },
    /// A change of membership is under way.
    #[error("a change of membership is under way; try again when it is committed")]
    MembershipPending,
}

/// What a leader knows of another member.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// The last index known to match.
    pub(crate) matched: Index,
    /// The next index to send.
    pub(crate) next: Index,
    /// The leader's clock of the latest message that was answered.
    pub(crate) acked: Option<Duration>,
    /// When a snapshot was sent last.
    pub(crate) installed: Option<Duration>,
}

/// One member of the cluster.
#[derive(Debug)]
pub struct Node {
    pub(crate) id: MemberId,
    pub(crate) timing: Timing,
    pub(crate) random: SmallRng,
    pub(crate) state: HardState,
    pub(crate) log: Log,
    pub(crate) role: Role,
    pub(crate) leader: Option<MemberId>,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) stable: Index,
    /// When the log last had all that the leader had committed.
    pub(crate) caught_up: Option<Duration>,
    /// When the leader was heard last, or the member started.
    pub(crate) heard: Duration,
    pub(crate) election_at: Duration,
    pub(crate) heartbeat_at: Duration,
    pub(crate) votes: BTreeSet<MemberId>,
    /// Whether this candidate needs every voter instead of a quorum.
    pub(crate) unanimous: bool,
    /// When this process started.
    pub(crate) started: Duration,
    /// Whether this process has led or followed a leader since it started.
    pub(crate) was_led: bool,
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    /// The first index of this member's own term as leader.
    pub(crate) term_start: Index,
    /// When this member was elected last.
    pub(crate) led_since: Duration,
    pub(crate) kept: HardState,
    pub(crate) installing: Option<Snapshot>,
    pub(crate) outbox: Vec<Envelope>,
}

impl Node {
    /// Starts a member from what was on disk.
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
            state: persisted.hard_state,
            stable: log.last(),
            log,
            role: Role::Follower,
            leader: None,
            commit: applied,
            applied,
            caught_up: None,
            heard: now,
            election_at: now,
            heartbeat_at: now,
            votes: BTreeSet::new(),
            unanimous: false,
            started: now,
            was_led: false,
            progress: BTreeMap::new(),
            term_start: Index(0),
            led_since: now,
            kept: persisted.hard_state,
            installing: None,
            outbox: Vec::new(),
        };
        node.reset_election(now);
        node
    }

    /// Tells the member what time it is.
    pub fn tick(&mut self, now: Duration) {
        match self.role {
            Role::Leader => self.tick_leader(now),
            _ if now >= self.election_at => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Returns when [`tick`](Self::tick) is wanted next.
    #[must_use]
    pub const fn next_tick(&self) -> Duration {
        match self.role {
            Role::Leader => self.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Takes a message from another member.
    pub fn receive(&mut self, message: Envelope, now: Duration) {
        if message.to != self.id || message.cluster != self.membership().cluster {
            return;
        }
        if self.is_sticky(&message.body, now) {
            return;
        }
        let asks =
            matches!(message.body, Body::PreVote { .. } | Body::PreVoteReply { granted: true });
        if message.term > self.state.term && !asks {
            self.become_follower(message.term, now);
        }
        match message.body {
            Body::PreVote { last, last_term, unanimous } => {
                let Envelope { from, term, .. } = message;
                self.answer_pre_vote(from, term, last, last_term, unanimous, now);
            }
            Body::Vote { last, last_term, .. } => {
                self.answer_vote(message.from, message.term, last, last_term, now);
            }
            Body::PreVoteReply { granted } => {
                self.count_pre_vote(message.from, message.term, granted, now);
            }
            Body::VoteReply { granted } => {
                self.count_vote(message.from, message.term, granted, now);
            }
            Body::Append(append) => self.append(message.from, message.term, append, now),
            Body::AppendReply { accepted, index, sent } => {
                self.appended(message.from, message.term, accepted, index, sent, now);
            }
            Body::Install { snapshot, sent } => {
                self.install(message.from, message.term, snapshot, sent, now);
            }
        }
    }

    /// Proposes an entry; it is committed if a later [`Ready`] says so.
    ///
    /// # Errors
    ///
    /// Returns a [`ProposeError`] when this member does not lead, or when a
    /// change of membership would overlap another.
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
            self.track_members();
        }
        self.replicate(now);
        self.advance_commit(now);
        Ok(index)
    }

    /// Takes what must be done since the last call.
    pub fn ready(&mut self) -> Ready {
        let hard_state = (self.state != self.kept).then_some(self.state);
        self.kept = self.state;
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
            snapshot: self.installing.take(),
            messages: mem::take(&mut self.outbox),
            committed,
        }
    }

    /// Puts the state at `index` in place of the log up to it.
    ///
    /// Returns the snapshot to keep on disk, or none when `index` is not applied.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) -> Option<Snapshot> {
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

    /// Returns what the member is at the moment.
    #[must_use]
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Returns the leader, if the member knows one.
    #[must_use]
    pub const fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Returns the latest term.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.state.term
    }

    /// Returns term and vote.
    #[must_use]
    pub const fn hard_state(&self) -> HardState {
        self.state
    }

    /// Returns the last committed index that the member knows.
    #[must_use]
    pub const fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the log.
    #[must_use]
    pub const fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the membership in force.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Tells whether this member may act alone as the leader at `now`.
    ///
    /// A quorum has answered so lately that no other member can have been
    /// elected, and all that earlier leaders committed is known. A leader that
    /// has written its own removal holds none, since the others may elect
    /// another without it.
    #[must_use]
    pub fn holds_lease(&self, now: Duration) -> bool {
        self.role == Role::Leader
            && self.membership().voters.contains(&self.id)
            && self.commit >= self.term_start
            && self.quorum_acked(now).is_some_and(|acked| now < acked + self.timing.lease)
    }

    /// Tells whether a quorum confirmed this leader after `since`.
    #[must_use]
    pub fn confirmed_since(&self, since: Duration, now: Duration) -> bool {
        self.role == Role::Leader
            && self.commit >= self.term_start
            && self.quorum_acked(now).is_some_and(|acked| acked >= since)
    }

    /// Starts a round of heartbeats now, for a read that must be confirmed.
    pub fn confirm_leadership(&mut self, now: Duration) {
        if self.role == Role::Leader {
            self.heartbeat_at = now;
            self.tick_leader(now);
        }
    }

    /// Returns when the leader was heard last, or now for the leader itself.
    #[must_use]
    pub fn last_leader_contact(&self, now: Duration) -> Option<Duration> {
        match self.role {
            Role::Leader => self.quorum_acked(now),
            _ => self.leader.map(|_| self.heard),
        }
    }

    /// Returns when this member last had all that its leader had committed.
    ///
    /// One that hears its leader may yet lack entries, if its own answers are lost.
    #[must_use]
    pub fn last_caught_up(&self, now: Duration) -> Option<Duration> {
        match self.role {
            Role::Leader if self.commit < self.term_start => None,
            Role::Leader => self.quorum_acked(now),
            _ => self.leader.and(self.caught_up),
        }
    }

    /// Returns the voters that have not answered this leader for `limit`.
    #[must_use]
    pub fn unresponsive_voters(&self, limit: Duration, now: Duration) -> Vec<MemberId> {
        let led_for = now.saturating_sub(self.led_since);
        if self.role != Role::Leader || led_for < limit {
            return Vec::new();
        }
        let silent = |id: &&MemberId| {
            let acked = self.progress.get(*id).and_then(|known| known.acked);
            **id != self.id && acked.is_none_or(|acked| now > acked + limit)
        };
        self.membership().voters.iter().filter(silent).copied().collect()
    }

    /// Returns the learners that have nearly the whole log.
    #[must_use]
    pub fn promotable(&self) -> Vec<MemberId> {
        /// Entries that a learner may lack and still be made voter.
        const LAG_ENTRIES: u64 = 64;
        let last = self.log.last().0;
        let caught_up = |id: &&MemberId| {
            self.progress
                .get(*id)
                .is_some_and(|known| known.matched.0 > 0 && known.matched.0 + LAG_ENTRIES >= last)
        };
        self.membership().learners.iter().filter(caught_up).copied().collect()
    }

    pub(crate) fn push(&mut self, payload: Payload) -> Index {
        let index = self.log.last().next();
        self.log.push(LogEntry { term: self.state.term, index, payload });
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
