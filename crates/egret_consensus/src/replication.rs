//! Log replication from the leader, and the quorum's acknowledgements.

use std::time::Duration;

use egret_record::MemberId;

use crate::{
    message::{Append, Body},
    node::{Node, Role},
    types::{Index, Snapshot, Term},
};

/// Limit of entries in one message.
const APPEND_ENTRIES_MAX: usize = 512;
/// Size of commands after which no further entry is added to a message.
const APPEND_BYTES_MAX: usize = 512 * 1024;
/// Election timeouts after which a leader without a quorum steps down.
const STEP_DOWN_TIMEOUTS: u32 = 2;
/// Election timeouts before a snapshot is sent again to a member that has not replied.
const SNAPSHOT_RESEND_TIMEOUTS: u32 = 4;

impl Node {
    pub(crate) fn tick_leader(&mut self, now: Duration) {
        let limit = self.timing.election_timeout * STEP_DOWN_TIMEOUTS;
        let acked = self.quorum_acked(now).unwrap_or(self.leader_contact);
        if now > acked.max(self.leader_contact) + limit {
            self.become_follower(self.hard_state.term, now);
            return;
        }
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.timing.heartbeat_interval;
            self.broadcast(now, true);
        }
    }

    /// Sends each other member the entries that it is missing.
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
        let Some(progress) = self.progress.get(&to).copied() else {
            return;
        };
        let previous = progress.next.previous();
        let Some(previous_term) = self.log.term(previous) else {
            self.send_snapshot(to, now);
            return;
        };
        let mut bytes = 0;
        let entries: Vec<_> = self
            .log
            .after(previous)
            .take(APPEND_ENTRIES_MAX)
            .take_while(|entry| {
                let fits = bytes < APPEND_BYTES_MAX;
                bytes += entry.payload.command_bytes();
                fits
            })
            .cloned()
            .collect();
        if entries.is_empty() && !heartbeat {
            return;
        }
        if let Some(last) = entries.last()
            && let Some(progress) = self.progress.get_mut(&to)
        {
            progress.next = last.index.next();
        }
        let append = Append { previous, previous_term, entries, commit: self.commit, sent: now };
        self.send(to, self.hard_state.term, Body::Append(append));
    }

    fn send_snapshot(&mut self, to: MemberId, now: Duration) {
        let wait = self.timing.election_timeout * SNAPSHOT_RESEND_TIMEOUTS;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        if progress.snapshot_sent.is_some_and(|sent| now < sent + wait) {
            return;
        }
        progress.snapshot_sent = Some(now);
        let snapshot = self.log.snapshot().clone();
        self.send(to, self.hard_state.term, Body::Install { snapshot, sent: now });
    }

    pub(crate) fn handle_append(
        &mut self,
        from: MemberId,
        term: Term,
        append: Append,
        now: Duration,
    ) {
        if term < self.hard_state.term {
            self.reply(from, false, self.log.last(), append.sent);
            return;
        }
        self.follow_leader(from, now);
        let Some(local_term) = self.log.term(append.previous) else {
            // The previous index is beyond the log's end, or already covered by the snapshot.
            let next =
                if append.previous > self.log.last() { self.log.last() } else { self.commit };
            self.reply(from, false, next, append.sent);
            return;
        };
        if local_term != append.previous_term {
            let next = append.previous.previous().min(self.log.last()).max(self.commit);
            self.reply(from, false, next, append.sent);
            return;
        }
        let matched = append.entries.last().map_or(append.previous, |entry| entry.index);
        for entry in append.entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => {}
                _ if entry.index <= self.commit => {}
                local_term => {
                    if local_term.is_some() {
                        self.log.truncate(entry.index);
                        self.stable = self.stable.min(entry.index.previous());
                    }
                    self.log.push(entry);
                }
            }
        }
        self.commit = self.commit.max(append.commit.min(matched));
        // A new leader does not know what is committed until it has committed an entry of its
        // own term.
        if self.commit >= append.commit && self.log.term(self.commit) == Some(term) {
            self.last_caught_up = Some(now);
        }
        self.reply(from, true, matched, append.sent);
    }

    pub(crate) fn handle_install(
        &mut self,
        from: MemberId,
        term: Term,
        snapshot: Snapshot,
        sent: Duration,
        now: Duration,
    ) {
        if term < self.hard_state.term {
            self.reply(from, false, self.log.last(), sent);
            return;
        }
        self.follow_leader(from, now);
        if snapshot.index > self.commit {
            let index = snapshot.index;
            self.log.compact(snapshot.clone());
            self.commit = index;
            self.applied = index;
            // Entries after the snapshot must be written to disk again, after the snapshot.
            self.stable = index;
            self.pending_snapshot = Some(snapshot);
        }
        self.reply(from, true, self.commit, sent);
    }

    pub(crate) fn handle_append_reply(
        &mut self,
        from: MemberId,
        term: Term,
        accepted: bool,
        index: Index,
        sent: Duration,
        now: Duration,
    ) {
        if self.role != Role::Leader || term != self.hard_state.term {
            return;
        }
        let last = self.log.last();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.acked = progress.acked.max(Some(sent));
        progress.snapshot_sent = None;
        if accepted {
            progress.matched = progress.matched.max(index.min(last));
            progress.next = progress.next.max(progress.matched.next());
        } else {
            progress.next = index.next().max(progress.matched.next());
        }
        let behind = progress.next <= last;
        if accepted {
            self.advance_commit(now);
        }
        if behind {
            self.send_entries(from, now, false);
        }
    }

    /// Commits up to the last index that a quorum has, if that entry is of this leader's term.
    pub(crate) fn advance_commit(&mut self, now: Duration) {
        let matched = |id| match self.progress.get(&id) {
            _ if id == self.id => self.log.last(),
            Some(progress) => progress.matched,
            None => Index(0),
        };
        let Some(index) = self.reached_by_quorum(matched) else {
            return;
        };
        if index <= self.commit || self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit = index;
        let left = self.log.membership().0 <= index && !self.membership().voters.contains(&self.id);
        if left {
            self.broadcast(now, true);
            self.become_follower(self.hard_state.term, now);
        }
    }

    /// Returns the latest send time that a quorum has acknowledged, on this leader's clock.
    pub(crate) fn quorum_acked(&self, now: Duration) -> Option<Duration> {
        let acked = |id| match self.progress.get(&id) {
            _ if id == self.id => Some(now),
            Some(progress) => progress.acked,
            None => None,
        };
        self.reached_by_quorum(acked).flatten()
    }

    fn follow_leader(&mut self, leader: MemberId, now: Duration) {
        self.role = Role::Follower;
        self.leader = Some(leader);
        self.leader_contact = now;
        self.had_leader = true;
        self.reset_election(now);
    }

    fn reply(&mut self, to: MemberId, accepted: bool, index: Index, sent: Duration) {
        self.send(to, self.hard_state.term, Body::AppendReply { accepted, index, sent });
    }
}
