//! Members that come back without their disk, and members that never do.

use std::collections::BTreeMap;

use egret_consensus::{Member, Membership};
use egret_control::MembershipPolicy;
use egret_record::MemberId;

const AUTO: MembershipPolicy = MembershipPolicy { auto: true, voters: 3 };

fn member(name: &str) -> Member {
    Member::new(name, &format!("{name}:7700"))
}

fn three() -> Membership {
    Membership::from_voters([
        (MemberId(1), member("a")),
        (MemberId(2), member("b")),
        (MemberId(3), member("c")),
    ])
}

fn waiting(id: u64, name: &str) -> BTreeMap<String, (MemberId, Member)> {
    BTreeMap::from([(name.to_owned(), (MemberId(id), member(name)))])
}

#[test]
fn wiped_member_replaces_its_old_identity_once() {
    let waiting = waiting(9, "c");
    let removed = AUTO.next_membership(&three(), &waiting, &[]).expect("the old identity goes");
    assert!(!removed.members.contains_key(&MemberId(3)));
    let added = AUTO.next_membership(&removed, &waiting, &[]).expect("the new identity comes");
    assert!(added.learners.contains(&MemberId(9)));
    // It still waits when the next look comes, and must not be removed as its own predecessor.
    assert_eq!(AUTO.next_membership(&added, &waiting, &[]), None);
    assert_eq!(AUTO.next_membership(&added.with_promoted(MemberId(9)), &waiting, &[]), None);
}

#[test]
fn silent_voter_goes_only_when_enough_are_left() {
    assert_eq!(AUTO.next_membership(&three(), &BTreeMap::new(), &[MemberId(2)]), None);
    let four = three().with_learner(MemberId(4), member("d")).with_promoted(MemberId(4));
    let next =
        AUTO.next_membership(&four, &BTreeMap::new(), &[MemberId(2)]).expect("the silent one goes");
    assert_eq!(next.voters.len(), 3);
    assert!(!next.voters.contains(&MemberId(2)));
}

#[test]
fn nothing_happens_by_itself_unless_the_settings_say_so() {
    let off = MembershipPolicy { auto: false, voters: 3 };
    assert_eq!(off.next_membership(&three(), &waiting(9, "c"), &[]), None);
}
