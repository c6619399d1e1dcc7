//! Leader election, with a pre-vote so that a partitioned member does not disrupt the cluster.
//!
//! Lease renewals are not persisted, so a member that has just started may have
//! forgotten one. For one election timeout it therefore grants no vote to a
//! candidate that needs only a quorum. After a restart of all members that wait
//! would be pointless, so a candidate may instead request the votes of *all*
//! voters. A member that votes has left all earlier terms, so once every voter
//! has voted, no earlier leader can still hold a forgotten lease.

use std::time::Duration;

use egret_record::MemberId;
use rand::RngExt as _;

use crate::{
    message::Body,
    node::{Node, Progress, Role},
    types::{Index, Payload, Term},
};

/// Election attempts of a member that has just started, within one election timeout.
const START_ATTEMPTS: u32 = 10;

impl Node {
    /// Returns whether `body` is a vote request to ignore, because a leader may hold a lease.
    ///
    /// A member that was in contact with its leader within the last election
    /// timeout must not vote, so that the leader's lease stays valid. Nor may a
    /// member that started within that time, since it may have forgotten a lease,
    /// unless the candidate needs the votes of all voters, which include that leader.
    pub(crate) fn ignores_vote_request(&self, body: &Body, now: Duration) -> bool {
        let (Body::PreVote { unanimous, .. } | Body::Vote { unanimous, .. }) = body else {
            return false;
        };
        let waived = *unanimous && !self.had_leader;
        (!waived && now < self.leader_contact + self.timing.election_timeout)
            || self.holds_lease(now)
    }

    pub(crate) fn reset_election(&mut self, now: Duration) {
        let election = self.timing.election_timeout;
        // A lease that this member may have forgotten ends within one election timeout of its
        // start; the second timeout is for the other members, which may have started later.
        let just_started = !self.had_leader && now < self.started + election * 2;
        let (min, spread) = if now == self.started {
            // The first attempt is early, to tell the other members that this one has started.
            (Duration::ZERO, election / START_ATTEMPTS)
        } else if just_started {
            let attempts = if self.may_have_forgotten_lease(now) { START_ATTEMPTS } else { 2 };
            (election / START_ATTEMPTS, election / attempts)
        } else {
            (election, election)
        };
        let extra = Duration::from_micros(self.random.random_range(0..=spread.as_micros() as u64));
        self.election_at = now + min + extra;
    }

    /// Returns whether this process started so recently that it may have forgotten a lease.
    fn may_have_forgotten_lease(&self, now: Duration) -> bool {
        !self.had_leader && now < self.started + self.timing.election_timeout
    }

    pub(crate) fn become_follower(&mut self, term: Term, now: Duration) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.leader = None;
        }
        if self.role != Role::Follower {
            self.role = Role::Follower;
            self.leader = None;
            self.reset_election(now);
        }
        self.progress.clear();
    }

    pub(crate) fn start_pre_vote(&mut self, now: Duration) {
        self.reset_election(now);
        if !self.membership().voters.contains(&self.id) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.unanimous = self.may_have_forgotten_lease(now);
        self.votes = [self.id].into();
        if self.has_won() {
            self.start_vote(now);
            return;
        }
        let (last, last_term) = (self.log.last(), self.log.last_term());
        let term = Term(self.hard_state.term.0 + 1);
        self.request_votes(term, &Body::PreVote { last, last_term, unanimous: self.unanimous });
    }

    fn start_vote(&mut self, now: Duration) {
        self.reset_election(now);
        self.role = Role::Candidate;
        self.hard_state.term = Term(self.hard_state.term.0 + 1);
        self.hard_state.vote = Some(self.id);
        self.votes = [self.id].into();
        if self.has_won() {
            self.become_leader(now);
            return;
        }
        let (last, last_term) = (self.log.last(), self.log.last_term());
        self.request_votes(
            self.hard_state.term,
            &Body::Vote { last, last_term, unanimous: self.unanimous },
        );
    }

    fn request_votes(&mut self, term: Term, body: &Body) {
        let own = self.id;
        let voters: Vec<_> = self.membership().voters.iter().copied().collect();
        for id in voters.into_iter().filter(|id| *id != own) {
            self.send(id, term, body.clone());
        }
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        from: MemberId,
        term: Term,
        last: Index,
        last_term: Term,
        unanimous: bool,
        now: Duration,
    ) {
        // Of several candidates that need all votes only one may proceed, or none would win: the
        // one with the most recent log, and among equal logs the one with the smallest identity.
        let has_priority = unanimous
            && self.may_have_forgotten_lease(now)
            && self.membership().voters.contains(&self.id)
            && (self.log.last_term(), self.log.last(), from) > (last_term, last, self.id);
        let granted =
            term > self.hard_state.term && self.is_up_to_date(last, last_term) && !has_priority;
        if granted && !self.had_leader {
            // Gives the candidate time to be elected.
            self.reset_election(now);
        } else if has_priority {
            // The other candidate has started, and its vote may be the last one that this member
            // needs, so this member tries again soon.
            let soon = self.timing.election_timeout / (START_ATTEMPTS * START_ATTEMPTS);
            self.election_at = self.election_at.min(now + soon);
        }
        let term = if granted { term } else { self.hard_state.term };
        self.send(from, term, Body::PreVoteReply { granted });
    }

    pub(crate) fn handle_vote(
        &mut self,
        from: MemberId,
        term: Term,
        last: Index,
        last_term: Term,
        now: Duration,
    ) {
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard_state.term && free && self.is_up_to_date(last, last_term);
        if granted {
            self.hard_state.vote = Some(from);
            self.reset_election(now);
        }
        self.send(from, self.hard_state.term, Body::VoteReply { granted });
    }

    pub(crate) fn handle_pre_vote_reply(
        &mut self,
        from: MemberId,
        term: Term,
        granted: bool,
        now: Duration,
    ) {
        let proposed = Term(self.hard_state.term.0 + 1);
        if self.role != Role::PreCandidate || !granted || term != proposed {
            return;
        }
        self.votes.insert(from);
        if self.has_won() {
            self.start_vote(now);
        }
    }

    pub(crate) fn handle_vote_reply(
        &mut self,
        from: MemberId,
        term: Term,
        granted: bool,
        now: Duration,
    ) {
        if self.role != Role::Candidate || !granted || term != self.hard_state.term {
            return;
        }
        self.votes.insert(from);
        if self.has_won() {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Duration) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.had_leader = true;
        self.leader_contact = now;
        self.elected_at = now;
        self.progress.clear();
        self.term_start = self.push(Payload::Empty);
        self.sync_progress();
        self.heartbeat_at = now + self.timing.heartbeat_interval;
        self.replicate(now);
        self.advance_commit(now);
    }

    /// Tracks the progress of exactly the other members.
    pub(crate) fn sync_progress(&mut self) {
        let next = self.log.last();
        let others: Vec<_> = self.membership().others(self.id).collect();
        self.progress.retain(|id, _| others.contains(id));
        for id in others {
            self.progress.entry(id).or_insert(Progress { next, ..Progress::default() });
        }
    }

    fn has_won(&self) -> bool {
        if self.unanimous && !self.membership().voters.is_subset(&self.votes) {
            return false;
        }
        self.reached_by_quorum(|id| self.votes.contains(&id)) == Some(true)
    }

    fn is_up_to_date(&self, last: Index, last_term: Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }
}
