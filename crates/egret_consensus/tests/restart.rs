//! How soon a leader is there after all members were down.
//!
//! Virtual time: messages take some milliseconds, and nothing is sent before it is synced.

use std::{collections::BTreeMap, time::Duration};

use egret_consensus::{
    Envelope, LogEntry, Member, Membership, Node, Payload, Persisted, Role, Timing,
};
use egret_record::MemberId;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// Shortest election time of the users' platform.
const ELECTION: Duration = Duration::from_millis(500);
/// Time of a sync of a slow disk.
const SYNC: Duration = Duration::from_millis(5);
/// Time within which the processes of a deployment start.
const START_SPREAD: u64 = 300;
const STEP: Duration = Duration::from_millis(1);

/// When the members of one run started and when one of them led.
#[derive(Debug)]
struct Outcome {
    /// When a quorum ran.
    quorum: Duration,
    /// When the last member ran.
    all: Duration,
    led: Duration,
}

/// Starts `count` members that were all down, at different moments and with different logs.
///
/// `missing` of them never come back.
fn restart(seed: u64, count: usize, missing: usize) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let ids: Vec<_> = (0..count).map(|_| MemberId(random.random())).collect();
    let members = ids.iter().map(|id| (*id, Member::new("member", "-")));
    let first = Persisted::bootstrap(Membership::from_voters(members));
    let mut starts: Vec<Duration> = (0..count - missing)
        .map(|_| Duration::from_millis(random.random_range(0..START_SPREAD)))
        .collect();
    let waiting: BTreeMap<MemberId, Duration> =
        ids.iter().copied().zip(starts.iter().copied()).collect();
    starts.sort_unstable();
    let mut nodes: BTreeMap<MemberId, Node> = BTreeMap::new();
    let mut network: Vec<(Duration, Envelope)> = Vec::new();
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(10) {
        for (id, _) in waiting.iter().filter(|(_, start)| **start == now) {
            let mut persisted = first.clone();
            let term = persisted.hard_state.term;
            // Some lack the last entries of the leader that was there before.
            for index in 2..random.random_range(3..6) {
                let index = egret_consensus::Index(index);
                persisted.entries.push(LogEntry { term, index, payload: Payload::Empty });
            }
            let timing = Timing::from_election_timeout(ELECTION);
            nodes.insert(*id, Node::new(*id, persisted, timing, random.random(), now));
        }
        let (due, later) = network.into_iter().partition(|(at, _)| *at <= now);
        network = later;
        let due: Vec<(Duration, Envelope)> = due;
        for (_, message) in due {
            if let Some(node) = nodes.get_mut(&message.to) {
                node.receive(message, now);
            }
        }
        for node in nodes.values_mut() {
            node.tick(now);
            let ready = node.ready();
            let synced = ready.hard_state.is_some() || !ready.entries.is_empty();
            for message in ready.messages {
                let delay = Duration::from_millis(random.random_range(1..7));
                let sync = if synced { SYNC } else { Duration::ZERO };
                network.push((now + delay + sync, message));
            }
        }
        let leads = |node: &Node| node.role() == Role::Leader && node.holds_lease(now);
        if nodes.values().any(leads) {
            let quorum = starts[count / 2];
            let all = *starts.last().expect("some start");
            return Outcome { quorum, all, led: now };
        }
        now += STEP;
    }
    panic!("seed {seed}: nobody leads ten seconds after the start");
}

/// Load: all members of the core lose power at one moment and come back within 0.3 s.
#[test]
fn leader_is_there_soon_after_all_members_restart() {
    for count in [1, 3, 5, 6, 9] {
        let mut waits: Vec<_> = (0..200)
            .map(|seed| {
                let outcome = restart(seed, count, 0);
                let wait = outcome.led.saturating_sub(outcome.quorum);
                assert!(wait <= Duration::from_millis(400), "seed {seed}, {count}: {outcome:?}");
                wait
            })
            .collect();
        waits.sort_unstable();
        println!(
            "members={count} median={:?} p75={:?} max={:?}",
            waits[100], waits[150], waits[199]
        );
        assert!(waits[150] <= Duration::from_millis(300), "{count} members: {:?}", waits[150]);
    }
}

/// Load: some members of the core stay away, so that the lease of a former leader, which those
/// that run may have forgotten, must end first.
#[test]
fn quorum_of_restarted_members_elects_once_no_lease_can_be_left() {
    for (count, missing) in [(3, 1), (5, 2), (9, 4)] {
        let mut waits: Vec<_> = (0..200)
            .map(|seed| {
                let outcome = restart(seed, count, missing);
                let since = outcome.led.saturating_sub(outcome.all);
                assert!(
                    since >= ELECTION * 9 / 10,
                    "seed {seed}: a lease may be left: {outcome:?}"
                );
                since
            })
            .collect();
        waits.sort_unstable();
        println!("members={count}-{missing} median={:?} max={:?}", waits[100], waits[199]);
        assert!(waits[150] <= ELECTION * 2, "{count} members: {:?}", waits[150]);
    }
}
