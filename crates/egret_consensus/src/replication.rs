//! Replication from the leader, and what a quorum has confirmed.

use std::time::Duration;

use egret_record::MemberId;

use crate::{
    message::{Append, Body},
    node::{Node, Role},
    types::{Index, Payload, Snapshot, Term},
};

/// Most entries in one message.
const APPEND_ENTRIES: usize = 512;
/// Bytes of commands after which a message is full.
const APPEND_BYTES: usize = 512 * 1024;
/// Shortest election times after which a leader without a quorum steps down.
const STEP_DOWN_ELECTIONS: u32 = 2;
/// Shortest election times between two sendings of one snapshot.
const INSTALL_ELECTIONS: u32 = 4;

impl Node {
    pub(crate) fn tick_leader(&mut self, now: Duration) {
        let limit = self.timing.election_timeout * STEP_DOWN_ELECTIONS;
        let acked = self.quorum_acked(now).unwrap_or(self.heard);
        if now > acked.max(self.heard) + limit {
            self.become_follower(self.state.term, now);
            return;
        }
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.timing.heartbeat_interval;
            self.broadcast(now, true);
        }
    }

    /// Sends each other member the entries that it lacks.
    pub(crate) fn replicate(&mut self, now: Duration) {
        self.broadcast(now, false);
    }

    fn broadcast(&mut self, now: Duration, heartbeat: bool) {
        let others: Vec<_> = self.progress.keys().copied().collect();
        for id in others {
            self.send_entries(id, now, heartbeat);
        }
    }

    fn send_entries(&mut self, to: MemberId, now: Duration, heartbeat: bool) {
        let Some(known) = self.progress.get(&to).copied() else {
            return;
        };
        let previous = known.next.previous();
        let Some(previous_term) = self.log.term(previous) else {
            self.send_snapshot(to, now);
            return;
        };
        let mut bytes = 0;
        let entries: Vec<_> = self
            .log
            .after(previous)
            .take(APPEND_ENTRIES)
            .take_while(|entry| {
                let fits = bytes < APPEND_BYTES;
                if let Payload::Command(command) = &entry.payload {
                    bytes += command.len();
                }
                fits
            })
            .cloned()
            .collect();
        if entries.is_empty() && !heartbeat {
            return;
        }
        if let Some(last) = entries.last()
            && let Some(known) = self.progress.get_mut(&to)
        {
            known.next = last.index.next();
        }
        let append = Append { previous, previous_term, entries, commit: self.commit, sent: now };
        self.send(to, self.state.term, Body::Append(append));
    }

    fn send_snapshot(&mut self, to: MemberId, now: Duration) {
        let wait = self.timing.election_timeout * INSTALL_ELECTIONS;
        let Some(known) = self.progress.get_mut(&to) else {
            return;
        };
        if known.installed.is_some_and(|sent| now < sent + wait) {
            return;
        }
        known.installed = Some(now);
        let snapshot = self.log.snapshot().clone();
        self.send(to, self.state.term, Body::Install { snapshot, sent: now });
    }

    pub(crate) fn append(&mut self, from: MemberId, term: Term, append: Append, now: Duration) {
        if term < self.state.term {
            self.reply(from, false, self.log.last(), append.sent);
            return;
        }
        self.follow(from, now);
        let Some(known) = self.log.term(append.previous) else {
            // Either beyond the log's end, or already covered by the snapshot.
            let next =
                if append.previous > self.log.last() { self.log.last() } else { self.commit };
            self.reply(from, false, next, append.sent);
            return;
        };
        if known != append.previous_term {
            let next = append.previous.previous().min(self.log.last()).max(self.commit);
            self.reply(from, false, next, append.sent);
            return;
        }
        let matched = append.entries.last().map_or(append.previous, |entry| entry.index);
        for entry in append.entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => {}
                _ if entry.index <= self.commit => {}
                known => {
                    if known.is_some() {
                        self.log.truncate(entry.index);
                        self.stable = self.stable.min(entry.index.previous());
                    }
                    self.log.push(entry);
                }
            }
        }
        self.commit = self.commit.max(append.commit.min(matched));
        // A new leader does not know what is committed before it has committed in its own term.
        if self.commit >= append.commit && self.log.term(self.commit) == Some(term) {
            self.caught_up = Some(now);
        }
        self.reply(from, true, matched, append.sent);
    }

    pub(crate) fn install(
        &mut self,
        from: MemberId,
        term: Term,
        snapshot: Snapshot,
        sent: Duration,
        now: Duration,
    ) {
        if term < self.state.term {
            self.reply(from, false, self.log.last(), sent);
            return;
        }
        self.follow(from, now);
        if snapshot.index > self.commit {
            let index = snapshot.index;
            self.log.compact(snapshot.clone());
            self.commit = index;
            self.applied = index;
            // What followed the snapshot must be written again after it.
            self.stable = index;
            self.installing = Some(snapshot);
        }
        self.reply(from, true, self.commit, sent);
    }

    pub(crate) fn appended(
        &mut self,
        from: MemberId,
        term: Term,
        accepted: bool,
        index: Index,
        sent: Duration,
        now: Duration,
    ) {
        if self.role != Role::Leader || term != self.state.term {
            return;
        }
        let last = self.log.last();
        let Some(known) = self.progress.get_mut(&from) else {
            return;
        };
        known.acked = known.acked.max(Some(sent));
        known.installed = None;
        if accepted {
            known.matched = known.matched.max(index.min(last));
            known.next = known.next.max(known.matched.next());
        } else {
            known.next = index.next().max(known.matched.next());
        }
        let behind = known.next <= last;
        if accepted {
            self.advance_commit(now);
        }
        if behind {
            self.send_entries(from, now, false);
        }
    }

    /// Commits what a quorum holds, if it is of this leader's term.
    pub(crate) fn advance_commit(&mut self, now: Duration) {
        let membership = self.membership();
        let mut matched: Vec<_> = membership
            .voters
            .iter()
            .map(|id| match self.progress.get(id) {
                _ if *id == self.id => self.log.last(),
                Some(known) => known.matched,
                None => Index(0),
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let quorum = membership.quorum();
        let Some(index) = matched.get(quorum - 1).copied() else {
            return;
        };
        if index <= self.commit || self.log.term(index) != Some(self.state.term) {
            return;
        }
        self.commit = index;
        let left = self.log.membership().0 <= index && !self.membership().voters.contains(&self.id);
        if left {
            self.broadcast(now, true);
            self.become_follower(self.state.term, now);
        }
    }

    /// Returns the latest time, on this clock, at which a quorum is known to have followed.
    pub(crate) fn quorum_acked(&self, now: Duration) -> Option<Duration> {
        let membership = self.membership();
        let mut acked: Vec<_> = membership
            .voters
            .iter()
            .map(|id| match self.progress.get(id) {
                _ if *id == self.id => Some(now),
                Some(known) => known.acked,
                None => None,
            })
            .collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        acked.get(membership.quorum() - 1).copied().flatten()
    }

    fn follow(&mut self, leader: MemberId, now: Duration) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.heard = now;
        self.was_led = true;
        self.reset_election(now);
    }

    fn reply(&mut self, to: MemberId, accepted: bool, index: Index, sent: Duration) {
        self.send(to, self.state.term, Body::AppendReply { accepted, index, sent });
    }
}
