//! Time until a leader is elected after all members were down.
//!
//! Time is virtual: messages take a few milliseconds, and nothing is sent before it is synced.

use std::{collections::BTreeMap, time::Duration};

use egret_consensus::{
    Envelope, LogEntry, Member, Membership, Node, Payload, Persisted, Role, Timing,
};
use egret_record::MemberId;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// Election timeout in the users' platform.
const ELECTION: Duration = Duration::from_millis(500);
/// Duration of a sync on a slow disk.
const SYNC: Duration = Duration::from_millis(5);
/// Time in milliseconds within which the processes of a deployment start.
const START_SPREAD: u64 = 300;
const STEP: Duration = Duration::from_millis(1);

/// When the members of one run started and when a leader was elected.
#[derive(Debug)]
struct Outcome {
    /// When a quorum was running.
    quorum: Duration,
    /// When the last member was running.
    all: Duration,
    elected: Duration,
}

/// Starts `count` members that were all down, at different times and with different logs.
///
/// `missing` of them stay down.
fn restart(seed: u64, count: usize, missing: usize) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let ids: Vec<_> = (0..count).map(|_| MemberId(random.random())).collect();
    let members = ids.iter().map(|id| (*id, Member::new("member", "-")));
    let first = Persisted::bootstrap(Membership::from_voters(members));
    let mut start_times: Vec<Duration> = (0..count - missing)
        .map(|_| Duration::from_millis(random.random_range(0..START_SPREAD)))
        .collect();
    let waiting: BTreeMap<MemberId, Duration> =
        ids.iter().copied().zip(start_times.iter().copied()).collect();
    start_times.sort_unstable();
    let mut nodes: BTreeMap<MemberId, Node> = BTreeMap::new();
    let mut network: Vec<(Duration, Envelope)> = Vec::new();
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(10) {
        for (id, _) in waiting.iter().filter(|(_, start)| **start == now) {
            let mut persisted = first.clone();
            let term = persisted.hard_state.term;
            // Some members miss the last entries of the former leader.
            for index in 2..random.random_range(3..6) {
                let index = egret_consensus::Index(index);
                persisted.entries.push(LogEntry { term, index, payload: Payload::Empty });
            }
            let timing = Timing::from_election_timeout(ELECTION);
            nodes.insert(*id, Node::new(*id, persisted, timing, random.random(), now));
        }
        let (due, later) = network.into_iter().partition(|(due, _)| *due <= now);
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
            let quorum = start_times[count / 2];
            let all = *start_times.last().expect("some start");
            return Outcome { quorum, all, elected: now };
        }
        now += STEP;
    }
    panic!("seed {seed}: no leader ten seconds after the start");
}

/// Guards against a slow election after all members lose power at once and restart within 0.3 s.
#[test]
fn leader_is_elected_soon_after_all_members_restart() {
    for count in [1, 3, 5, 6, 9] {
        let mut waits: Vec<_> = (0..200)
            .map(|seed| {
                let outcome = restart(seed, count, 0);
                let wait = outcome.elected.saturating_sub(outcome.quorum);
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

/// Guards against two leases at once: some members stay down, so the others must wait until a
/// lease of the former leader, which they may have forgotten, has ended.
#[test]
fn quorum_of_restarted_members_elects_once_old_leases_have_ended() {
    for (count, missing) in [(3, 1), (5, 2), (9, 4)] {
        let mut waits: Vec<_> = (0..200)
            .map(|seed| {
                let outcome = restart(seed, count, missing);
                let wait = outcome.elected.saturating_sub(outcome.all);
                assert!(
                    wait >= ELECTION * 9 / 10,
                    "seed {seed}: an old lease may still be held: {outcome:?}"
                );
                wait
            })
            .collect();
        waits.sort_unstable();
        println!("members={count}-{missing} median={:?} max={:?}", waits[100], waits[199]);
        assert!(waits[150] <= ELECTION * 2, "{count} members: {:?}", waits[150]);
    }
}
