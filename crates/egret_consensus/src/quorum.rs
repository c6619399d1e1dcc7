//! Which acknowledgements and votes form a quorum.
//!
//! While a membership change may not be committed yet, a quorum of the membership before it is
//! needed as well: a member that lacks the change decides by that one.
//!
//! A member that lost its disk returns under a new identity, so its old identity neither votes
//! nor acknowledges anything any more. Among an even number of voters one such identity may be
//! left out: half of the voters is then a majority of those that remain, and any majority of all
//! voters, which may include the lost one, has a member in common with it. Among an odd number
//! this gains nothing.

use std::{collections::BTreeSet, time::Duration};

use egret_record::MemberId;

use crate::{
    node::{Node, Role},
    types::Membership,
};

impl Node {
    /// Records that a voter's identity is lost for good, since its disk is.
    ///
    /// Ignored while this member holds the lease: the leader can then remove the identity by a
    /// membership change. Otherwise an election or leadership in progress ends, so that nothing
    /// is decided by what the lost voter sent before.
    ///
    /// Returns whether the loss was recorded.
    pub fn mark_lost(&mut self, id: MemberId, now: Duration) -> bool {
        let is_voter = self.memberships().any(|membership| membership.voters.contains(&id));
        if !is_voter || self.holds_lease(now) || !self.lost.insert(id) {
            return false;
        }
        if self.role != Role::Follower {
            self.become_follower(self.hard_state.term, now);
        }
        true
    }

    /// Returns the greatest value that a quorum has reached, or none if there are no voters.
    pub(crate) fn reached_by_quorum<T: Ord + Copy>(
        &self,
        value: impl Fn(MemberId) -> T,
    ) -> Option<T> {
        let reached = |membership| reached_in(membership, &self.lost, &value);
        self.memberships().filter_map(reached).min()
    }

    /// Returns the memberships by which this member decides: the latest one and, until the latest
    /// is known to be committed, the one before.
    fn memberships(&self) -> impl Iterator<Item = &Membership> {
        let (index, latest) = self.log.membership();
        let former = (index > self.commit).then(|| self.log.membership_at(index.previous()));
        std::iter::once(latest).chain(former)
    }
}

/// Returns the greatest value that a quorum of one membership has reached.
fn reached_in<T: Ord + Copy>(
    membership: &Membership,
    lost: &BTreeSet<MemberId>,
    value: impl Fn(MemberId) -> T,
) -> Option<T> {
    let reached = |left_out: Option<MemberId>| {
        let voters = membership.voters.iter().filter(|id| Some(**id) != left_out);
        let mut values: Vec<_> = voters.map(|id| value(*id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied()
    };
    let all = reached(None);
    if !membership.voters.len().is_multiple_of(2) {
        return all;
    }
    let lost = membership.voters.intersection(lost).copied();
    lost.map(|id| reached(Some(id))).chain([all]).max().flatten()
}
