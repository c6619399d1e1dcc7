//! Automatic membership changes after members lose their disk or do not return.

use std::collections::BTreeMap;

use egret_consensus::{Member, Membership};
use egret_control::MembershipPolicy;
use egret_record::MemberId;

const AUTO: MembershipPolicy = MembershipPolicy { auto: true, voters: 3 };

fn member(name: &str) -> Member {
    Member::new(name, &format!("{name}:7700"))
}

fn three_voters() -> Membership {
    Membership::from_voters([
        (MemberId(1), member("a")),
        (MemberId(2), member("b")),
        (MemberId(3), member("c")),
    ])
}

fn join_requests(id: u64, name: &str) -> BTreeMap<String, (MemberId, Member)> {
    BTreeMap::from([(name.to_owned(), (MemberId(id), member(name)))])
}

#[test]
fn wiped_member_replaces_its_old_identity_once() {
    let join_requests = join_requests(9, "c");
    let removed = AUTO
        .next_membership(&three_voters(), &join_requests, &[])
        .expect("the old identity is removed");
    assert!(!removed.members.contains_key(&MemberId(3)));
    let added =
        AUTO.next_membership(&removed, &join_requests, &[]).expect("the new identity is added");
    assert!(added.learners.contains(&MemberId(9)));
    // The join request is still pending at the next check; the member must not be removed as its
    // own predecessor.
    assert_eq!(AUTO.next_membership(&added, &join_requests, &[]), None);
    assert_eq!(AUTO.next_membership(&added.with_promoted(MemberId(9)), &join_requests, &[]), None);
}

#[test]
fn unresponsive_voter_is_removed_only_when_enough_remain() {
    assert_eq!(AUTO.next_membership(&three_voters(), &BTreeMap::new(), &[MemberId(2)]), None);
    let four = three_voters().with_learner(MemberId(4), member("d")).with_promoted(MemberId(4));
    let next = AUTO
        .next_membership(&four, &BTreeMap::new(), &[MemberId(2)])
        .expect("the unresponsive voter is removed");
    assert_eq!(next.voters.len(), 3);
    assert!(!next.voters.contains(&MemberId(2)));
}

// Guards against a voter that shuts down after it was replaced and counts on as a voter; and against
// one that leaves although the others then tolerate no loss.
#[test]
fn voter_may_leave_only_when_enough_remain() {
    assert!(!AUTO.may_leave(&three_voters(), MemberId(1)));
    let learner = three_voters().with_learner(MemberId(4), member("d"));
    assert!(!AUTO.may_leave(&learner, MemberId(1)));
    let four = learner.with_promoted(MemberId(4));
    assert!(AUTO.may_leave(&four, MemberId(1)));
    assert!(!AUTO.may_leave(&four, MemberId(9)), "only members leave");
}

#[test]
fn membership_does_not_change_when_the_policy_is_off() {
    let off = MembershipPolicy { auto: false, voters: 3 };
    assert_eq!(off.next_membership(&three_voters(), &join_requests(9, "c"), &[]), None);
}
