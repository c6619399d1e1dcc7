//! A lost disk right after the planned replacement of another member.

use std::{collections::BTreeMap, time::Duration};

use egret_consensus::{Envelope, Member, Membership, Node, Payload, Persisted, Role, Timing};
use egret_record::MemberId;

const ELECTION: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(5);

/// Members that exchange messages without delay; those that are missing are unreachable.
struct Cluster {
    now: Duration,
    nodes: BTreeMap<MemberId, Node>,
}

impl Cluster {
    /// Starts `voters` members and lets them elect a leader.
    fn new(voters: u64) -> Self {
        let members = (1..=voters).map(|id| (MemberId(id), Member::new("member", "-")));
        let first = Persisted::bootstrap(Membership::from_voters(members));
        let timing = Timing::from_election_timeout(ELECTION);
        let node =
            |id| (MemberId(id), Node::new(MemberId(id), first.clone(), timing, id, Duration::ZERO));
        let mut cluster = Self { now: Duration::ZERO, nodes: (1..=voters).map(node).collect() };
        cluster.run(Duration::from_secs(3));
        assert!(cluster.leader().is_some(), "a leader is elected while all members run");
        cluster
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            let mut messages: Vec<Envelope> = Vec::new();
            for node in self.nodes.values_mut() {
                node.tick(now);
                messages.extend(node.ready().messages);
            }
            for message in messages {
                if let Some(node) = self.nodes.get_mut(&message.to) {
                    node.receive(message, now);
                }
            }
        }
    }

    /// Returns the leader that holds the lease.
    fn leader(&self) -> Option<MemberId> {
        let mut nodes = self.nodes.iter();
        nodes.find(|(_, node)| node.holds_lease(self.now)).map(|(id, _)| *id)
    }

    fn propose(&mut self, payload: Payload) {
        let leader = self.leader().expect("there is a leader");
        let node = self.nodes.get_mut(&leader).expect("the leader runs");
        node.propose(payload, self.now).expect("the leader accepts the proposal");
    }

    fn reveal_loss(&mut self, lost: MemberId) {
        let now = self.now;
        for node in self.nodes.values_mut() {
            node.mark_lost(lost, now);
        }
    }

    /// Returns the commands that the leader knows to be committed.
    fn committed(&self, id: MemberId) -> Vec<Vec<u8>> {
        let node = &self.nodes[&id];
        let entries = node.log().after(egret_consensus::Index(0));
        let committed = entries.take_while(|entry| entry.index <= node.commit());
        let command = |payload: &Payload| match payload {
            Payload::Command(bytes) => Some(bytes.to_vec()),
            _ => None,
        };
        committed.filter_map(|entry| command(&entry.payload)).collect()
    }
}

// Guards against two of four voters that are left for good and never elect a leader again: a
// member is removed without notice while its successor votes already, and another loses its disk.
#[test]
fn two_of_four_voters_go_on_without_a_removed_and_a_lost_one() {
    for lost in 1..=4 {
        for removed in (1..=4).filter(|id| *id != lost) {
            let mut cluster = Cluster::new(4);
            cluster.propose(Payload::Command(b"acknowledged".to_vec().into()));
            cluster.run(Duration::from_millis(200));
            for id in [lost, removed] {
                cluster.nodes.remove(&MemberId(id));
            }
            cluster.run(Duration::from_secs(3));
            assert_eq!(cluster.leader(), None, "two of four voters are no quorum by themselves");
            cluster.reveal_loss(MemberId(lost));
            cluster.run(Duration::from_secs(3));
            let leader = cluster.leader().expect("a leader is elected without the lost identity");
            assert_eq!(cluster.committed(leader), [b"acknowledged".to_vec()]);
            let next = cluster.nodes[&leader].membership().without(MemberId(lost));
            cluster.propose(Payload::Membership(next));
            cluster.propose(Payload::Command(b"later".to_vec().into()));
            cluster.run(Duration::from_millis(200));
            assert_eq!(cluster.committed(leader).len(), 2, "changes are committed again");
        }
    }
}

// Guards against a single survivor that goes on although the lost disk may hold what it lacks.
#[test]
fn one_of_three_voters_does_not_go_on_without_a_lost_one() {
    let mut cluster = Cluster::new(3);
    for id in [1, 2] {
        cluster.nodes.remove(&MemberId(id));
    }
    cluster.run(Duration::from_secs(3));
    cluster.reveal_loss(MemberId(1));
    cluster.reveal_loss(MemberId(2));
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.leader(), None);
}

// Guards against a removal that is committed by fewer members than the former membership needs: a
// lost disk among them would leave it with too few, and the others would decide by the former one.
#[test]
fn removal_is_committed_by_a_quorum_of_the_former_membership() {
    let mut cluster = Cluster::new(4);
    let leader = cluster.leader().expect("there is a leader");
    let mut others = (1..=4).map(MemberId).filter(|id| *id != leader);
    let (removed, cut_off) = (others.next().expect("one"), others.next().expect("another"));
    for id in [removed, cut_off] {
        cluster.nodes.remove(&id);
    }
    let node = cluster.nodes.get_mut(&leader).expect("the leader runs");
    let before = node.commit();
    let next = node.membership().without(removed);
    node.propose(Payload::Membership(next), cluster.now).expect("the leader proposes the removal");
    cluster.run(Duration::from_millis(300));
    let node = &cluster.nodes[&leader];
    assert_eq!(node.role(), Role::Leader);
    assert_eq!(node.commit(), before, "two of four members do not commit a removal");
}
