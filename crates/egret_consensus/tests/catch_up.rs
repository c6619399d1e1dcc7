//! When a member counts as caught up with its leader.

use std::time::Duration;

use egret_consensus::{
    Append, Body, Envelope, Index, LogEntry, Member, Membership, Node, Payload, Persisted, Term,
    Timing,
};
use egret_record::MemberId;

const LEADER: MemberId = MemberId(1);
const OWN: MemberId = MemberId(2);

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn append(node: &Node, entries: Vec<LogEntry>, commit: Index, sent: Duration) -> Envelope {
    let previous = node.commit();
    let body = Append { previous, previous_term: Term(0), entries, commit, sent };
    Envelope {
        cluster: node.membership().cluster,
        from: LEADER,
        to: OWN,
        term: Term(1),
        body: Body::Append(body),
    }
}

#[test]
fn member_that_receives_only_heartbeats_has_not_caught_up() {
    // Guards against taking heartbeats for progress: a member lost its disk, and its replies to the
    // leader are lost too, so that it receives heartbeats but no entries.
    let membership = Membership::from_voters(
        (1..=3).map(|id| (MemberId(id), Member::new(&format!("m{id}"), "-"))),
    );
    let timing = Timing::from_election_timeout(millis(100));
    let mut node = Node::new(OWN, Persisted::bootstrap(membership), timing, 1, millis(0));
    let first = node.commit();
    let next = first.next();
    for round in 1..50 {
        let message = append(&node, Vec::new(), next, millis(round * 20));
        node.receive(message, millis(round * 20));
        assert_eq!(node.last_leader_contact(millis(round * 20)), Some(millis(round * 20)));
        assert_eq!(node.last_caught_up(millis(round * 20)), None, "an entry is missing");
    }
    let entry = LogEntry { index: next, term: Term(1), payload: Payload::Command(vec![1].into()) };
    let message = append(&node, vec![entry], next, millis(1_010));
    node.receive(message, millis(1_010));
    assert_eq!(node.last_caught_up(millis(1_020)), Some(millis(1_010)));
}

#[test]
fn member_has_not_caught_up_before_its_new_leader_has_committed() {
    // Guards against trusting a new leader's first commit index: after a restart of all members,
    // each one knows the commit index only up to its snapshot.
    let membership = Membership::from_voters(
        (1..=3).map(|id| (MemberId(id), Member::new(&format!("m{id}"), "-"))),
    );
    let mut persisted = Persisted::bootstrap(membership);
    persisted.hard_state.term = Term(2);
    let mut node =
        Node::new(OWN, persisted, Timing::from_election_timeout(millis(100)), 1, millis(0));
    let started = LogEntry { index: Index(2), term: Term(3), payload: Payload::Empty };
    let body = Append {
        previous: Index(1),
        previous_term: Term(1),
        entries: vec![started],
        commit: Index(0),
        sent: millis(10),
    };
    let mut message = append(&node, Vec::new(), Index(0), millis(10));
    message.term = Term(3);
    message.body = Body::Append(body);
    node.receive(message.clone(), millis(10));
    assert_eq!(node.last_caught_up(millis(11)), None, "an unseen entry may be committed");
    message.body = Body::Append(Append {
        previous: Index(2),
        previous_term: Term(3),
        entries: Vec::new(),
        commit: Index(2),
        sent: millis(30),
    });
    node.receive(message, millis(30));
    assert_eq!(node.last_caught_up(millis(31)), Some(millis(30)));
}
