//! Guards against a log whose size is not known when it is compacted or truncated.

use std::time::Duration;

use egret_consensus::{Index, Member, Membership, Node, Payload, Persisted, Timing};
use egret_record::MemberId;

#[test]
fn size_of_the_log_follows_proposals_and_compactions() {
    let membership = Membership::from_voters([(MemberId(1), Member::new("one", "127.0.0.1:1"))]);
    let persisted = Persisted::bootstrap(membership);
    let mut node = Node::new(MemberId(1), persisted, Timing::default(), 7, Duration::ZERO);
    node.tick(Duration::from_secs(2));
    for size in [100, 0, 50] {
        node.propose(Payload::Command(vec![7; size].into()), Duration::from_secs(2)).unwrap();
    }
    node.ready();
    assert_eq!(node.log().bytes(), 150);
    let last = node.commit();
    assert_eq!(node.log().bytes_up_to(last), 150);
    assert_eq!(node.log().bytes_up_to(Index(last.0 - 1)), 100);
    node.compact(Index(last.0 - 1), vec![1].into()).unwrap();
    assert_eq!(node.log().bytes(), 50);
    node.compact(last, vec![1].into()).unwrap();
    assert_eq!(node.log().bytes(), 0);
}
