//! Elections, with a pre-vote so that a member cut off disturbs nobody.
//!
//! A member that has just started may have forgotten that it renewed a leader's
//! lease, so for one election time it gives no vote to a candidate that needs
//! only a quorum. After a restart of all members that would be a long wait for
//! nothing: a candidate may instead ask for the votes of *all* voters. Whoever
//! votes has left all earlier terms, so when every voter has, no earlier leader
//! is left whose lease could have been forgotten.

use std::time::Duration;

use egret_record::MemberId;
use rand::RngExt as _;

use crate::{
    message::Body,
    node::{Node, Progress, Role},
    types::{Index, Payload, Term},
};

/// Tries of a member that has just started, within one shortest election time.
const START_TRIES: u32 = 10;

impl Node {
    /// Tells whether a request for a vote is to be ignored.
    ///
    /// A member that heard its leader lately, or started lately and may have
    /// forgotten that it did, keeps the leader's lease good. The latter need not
    /// refuse a candidate that asks every voter, the leader among them.
    pub(crate) fn is_sticky(&self, body: &Body, now: Duration) -> bool {
        let (Body::PreVote { unanimous, .. } | Body::Vote { unanimous, .. }) = body else {
            return false;
        };
        let waived = *unanimous && !self.was_led;
        (!waived && now < self.heard + self.timing.election_timeout) || self.holds_lease(now)
    }

    pub(crate) fn reset_election(&mut self, now: Duration) {
        let election = self.timing.election_timeout;
        // The lease that a member may have forgotten ends within one election time after its
        // start; the second is for the others, which may have started later.
        let starting = !self.was_led && now < self.started + election * 2;
        let (least, most) = if now == self.started {
            // The first try tells the others that this member is there.
            (Duration::ZERO, election / START_TRIES)
        } else if starting {
            let most = if self.may_have_forgotten(now) { START_TRIES } else { 2 };
            (election / START_TRIES, election / most)
        } else {
            (election, election)
        };
        let extra = Duration::from_micros(self.random.random_range(0..=most.as_micros() as u64));
        self.election_at = now + least + extra;
    }

    /// Tells whether this process started so lately that it may have forgotten a leader's lease.
    fn may_have_forgotten(&self, now: Duration) -> bool {
        !self.was_led && now < self.started + self.timing.election_timeout
    }

    pub(crate) fn become_follower(&mut self, term: Term, now: Duration) {
        if term > self.state.term {
            self.state.term = term;
            self.state.vote = None;
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
        self.unanimous = self.may_have_forgotten(now);
        self.votes = [self.id].into();
        if self.has_won() {
            self.start_vote(now);
            return;
        }
        let (last, last_term) = (self.log.last(), self.log.last_term());
        let term = Term(self.state.term.0 + 1);
        self.ask_voters(term, &Body::PreVote { last, last_term, unanimous: self.unanimous });
    }

    fn start_vote(&mut self, now: Duration) {
        self.reset_election(now);
        self.role = Role::Candidate;
        self.state.term = Term(self.state.term.0 + 1);
        self.state.vote = Some(self.id);
        self.votes = [self.id].into();
        if self.has_won() {
            self.become_leader(now);
            return;
        }
        let (last, last_term) = (self.log.last(), self.log.last_term());
        self.ask_voters(
            self.state.term,
            &Body::Vote { last, last_term, unanimous: self.unanimous },
        );
    }

    fn ask_voters(&mut self, term: Term, body: &Body) {
        let own = self.id;
        let voters: Vec<_> = self.membership().voters.iter().copied().collect();
        for id in voters.into_iter().filter(|id| *id != own) {
            self.send(id, term, body.clone());
        }
    }

    pub(crate) fn answer_pre_vote(
        &mut self,
        from: MemberId,
        term: Term,
        last: Index,
        last_term: Term,
        unanimous: bool,
        now: Duration,
    ) {
        // Among candidates that ask everybody only one may go on, or none would win: of those with
        // the longest log the one with the smallest identity.
        let precedes = unanimous
            && self.may_have_forgotten(now)
            && self.membership().voters.contains(&self.id)
            && (self.log.last_term(), self.log.last(), from) > (last_term, last, self.id);
        let granted = term > self.state.term && self.is_current(last, last_term) && !precedes;
        if granted && !self.was_led {
            // Leaves the candidate the time to be elected.
            self.reset_election(now);
        } else if precedes {
            // The other one has started, and may be the last whose vote this one lacked.
            let soon = self.timing.election_timeout / (START_TRIES * START_TRIES);
            self.election_at = self.election_at.min(now + soon);
        }
        let term = if granted { term } else { self.state.term };
        self.send(from, term, Body::PreVoteReply { granted });
    }

    pub(crate) fn answer_vote(
        &mut self,
        from: MemberId,
        term: Term,
        last: Index,
        last_term: Term,
        now: Duration,
    ) {
        let free = self.state.vote.is_none_or(|vote| vote == from);
        let granted = term == self.state.term && free && self.is_current(last, last_term);
        if granted {
            self.state.vote = Some(from);
            self.reset_election(now);
        }
        self.send(from, self.state.term, Body::VoteReply { granted });
    }

    pub(crate) fn count_pre_vote(
        &mut self,
        from: MemberId,
        term: Term,
        granted: bool,
        now: Duration,
    ) {
        let asked = Term(self.state.term.0 + 1);
        if self.role != Role::PreCandidate || !granted || term != asked {
            return;
        }
        self.votes.insert(from);
        if self.has_won() {
            self.start_vote(now);
        }
    }

    pub(crate) fn count_vote(&mut self, from: MemberId, term: Term, granted: bool, now: Duration) {
        if self.role != Role::Candidate || !granted || term != self.state.term {
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
        self.was_led = true;
        self.heard = now;
        self.led_since = now;
        self.progress.clear();
        self.term_start = self.push(Payload::Empty);
        self.track_members();
        self.heartbeat_at = now + self.timing.heartbeat_interval;
        self.replicate(now);
        self.advance_commit(now);
    }

    /// Keeps track of exactly the other members.
    pub(crate) fn track_members(&mut self) {
        let next = self.log.last();
        let others: Vec<_> = self.membership().others(self.id).collect();
        self.progress.retain(|id, _| others.contains(id));
        for id in others {
            self.progress.entry(id).or_insert(Progress { next, ..Progress::default() });
        }
    }

    fn has_won(&self) -> bool {
        let membership = self.membership();
        if self.unanimous {
            return membership.voters.is_subset(&self.votes);
        }
        let votes = self.votes.iter().filter(|id| membership.voters.contains(id));
        votes.count() >= membership.quorum()
    }

    fn is_current(&self, last: Index, last_term: Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }
}
