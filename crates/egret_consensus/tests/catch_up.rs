//! Whether a member has all that its leader has committed.

use std::time::Duration;

use egret_consensus::{
    Append, Body, Envelope, Index, LogEntry, Member, Membership, Node, Payload, Persisted, Term,
    Timing,
};
use egret_record::MemberId;

const LEADER: MemberId = MemberId(1);
const OWN: MemberId = MemberId(2);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
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
fn member_that_only_hears_its_leader_has_not_caught_up() {
    // Pattern: a member lost its disk and its answers to the leader are lost, but heartbeats come.
    let membership = Membership::from_voters(
        (1..=3).map(|id| (MemberId(id), Member::new(&format!("m{id}"), "-"))),
    );
    let timing = Timing::from_election_timeout(at(100));
    let mut node = Node::new(OWN, Persisted::bootstrap(membership), timing, 1, at(0));
    let first = node.commit();
    let next = first.next();
    for beat in 1..50 {
        let message = append(&node, Vec::new(), next, at(beat * 20));
        node.receive(message, at(beat * 20));
        assert_eq!(node.last_leader_contact(at(beat * 20)), Some(at(beat * 20)));
        assert_eq!(node.last_caught_up(at(beat * 20)), None, "an entry is missing");
    }
    let entry = LogEntry { index: next, term: Term(1), payload: Payload::Command(vec![1]) };
    let message = append(&node, vec![entry], next, at(1_010));
    node.receive(message, at(1_010));
    assert_eq!(node.last_caught_up(at(1_020)), Some(at(1_010)));
}

#[test]
fn member_has_not_caught_up_before_its_new_leader_has_committed() {
    // Pattern: all members restart, and know what is committed only up to their snapshots.
    let membership = Membership::from_voters(
        (1..=3).map(|id| (MemberId(id), Member::new(&format!("m{id}"), "-"))),
    );
    let mut persisted = Persisted::bootstrap(membership);
    persisted.hard_state.term = Term(2);
    let mut node = Node::new(OWN, persisted, Timing::from_election_timeout(at(100)), 1, at(0));
    let started = LogEntry { index: Index(2), term: Term(3), payload: Payload::Empty };
    let body = Append {
        previous: Index(1),
        previous_term: Term(1),
        entries: vec![started],
        commit: Index(0),
        sent: at(10),
    };
    let mut message = append(&node, Vec::new(), Index(0), at(10));
    message.term = Term(3);
    message.body = Body::Append(body);
    node.receive(message.clone(), at(10));
    assert_eq!(node.last_caught_up(at(11)), None, "the withdrawal of a key may be in the log");
    message.body = Body::Append(Append {
        previous: Index(2),
        previous_term: Term(3),
        entries: Vec::new(),
        commit: Index(2),
        sent: at(30),
    });
    node.receive(message, at(30));
    assert_eq!(node.last_caught_up(at(31)), Some(at(30)));
}
