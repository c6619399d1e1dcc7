//! Membership changes that a leader makes without an operator.

use std::collections::BTreeMap;

use egret_consensus::{Member, Membership};
use egret_record::MemberId;

/// When a leader adds or removes members without an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Whether the leader changes the membership at all.
    pub auto: bool,
    /// Number of voters that is kept even if some of them are unresponsive.
    pub voters: usize,
}

impl MembershipPolicy {
    /// Returns the next membership, one change away, or `None` if no change is needed.
    ///
    /// `join_requests` are the instances that request to join, by name;
    /// `unresponsive` are voters that have not replied for a long time.
    ///
    /// An instance that returns at the address of a member under another identity
    /// has lost its disk. The old identity never returns, and is removed first, so
    /// that it does not count towards the quorum.
    #[must_use]
    pub fn next_membership(
        &self,
        membership: &Membership,
        join_requests: &BTreeMap<String, (MemberId, Member)>,
        unresponsive: &[MemberId],
    ) -> Option<Membership> {
        if !self.auto {
            return None;
        }
        let newcomers =
            join_requests.values().filter(|(id, _)| !membership.members.contains_key(id));
        if let Some((id, member)) = newcomers.into_iter().next() {
            let mut members = membership.members.iter();
            let former = members.find(|(_, other)| other.address == member.address);
            return Some(match former {
                Some((former, _)) => membership.without(*former),
                None => membership.with_learner(*id, member.clone()),
            });
        }
        let surplus = self.has_surplus(membership);
        unresponsive.first().filter(|_| surplus).map(|id| membership.without(*id))
    }

    /// Returns whether a member that shuts down may leave, since enough voters remain.
    #[must_use]
    pub fn may_leave(&self, membership: &Membership, id: MemberId) -> bool {
        self.auto && membership.voters.contains(&id) && self.has_surplus(membership)
    }

    fn has_surplus(&self, membership: &Membership) -> bool {
        membership.voters.len() > self.voters
    }
}
