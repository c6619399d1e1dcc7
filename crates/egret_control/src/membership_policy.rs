//! Whom a leader adds to the members and removes from them without being told.

use std::collections::BTreeMap;

use egret_consensus::{Member, Membership};
use egret_record::MemberId;

/// Whether and how a leader changes the members by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Whether it does so at all.
    pub auto: bool,
    /// Voters that stay members however long they are silent.
    pub voters: usize,
}

impl MembershipPolicy {
    /// Returns the next membership, one change away, or none when all is well.
    ///
    /// `waiting` are instances that ask to be added, by name; `silent` are
    /// voters that have not answered for long.
    ///
    /// An instance that comes back at the address of a member under another
    /// identity has lost its disk: the old identity never comes back, and goes
    /// first, so that the quorum does not count on it.
    #[must_use]
    pub fn next_membership(
        &self,
        membership: &Membership,
        waiting: &BTreeMap<String, (MemberId, Member)>,
        silent: &[MemberId],
    ) -> Option<Membership> {
        if !self.auto {
            return None;
        }
        let strangers = waiting.values().filter(|(id, _)| !membership.members.contains_key(id));
        if let Some((id, member)) = strangers.into_iter().next() {
            let mut members = membership.members.iter();
            let former = members.find(|(_, one)| one.address == member.address);
            return Some(match former {
                Some((former, _)) => membership.without(*former),
                None => membership.with_learner(*id, member.clone()),
            });
        }
        let spare = membership.voters.len() > self.voters;
        silent.first().filter(|_| spare).map(|id| membership.without(*id))
    }
}
