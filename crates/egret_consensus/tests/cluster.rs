//! A whole cluster of nodes under crashes, partitions, lost disks and membership changes.
//!
//! Each run is determined by its seed. After every step a checker inspects the
//! applied entries, the leaders and the leases of all nodes. Tests named
//! `guard_off_*` disable one guard and require the checker to report the
//! violation.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use egret_consensus::{
    Body, Envelope, HardState, Index, LogEntry, Member, Membership, Node, Payload, Persisted, Role,
    Snapshot, Term, Timing,
};
use egret_record::MemberId;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const STEP: Duration = Duration::from_millis(5);

/// The guards that are disabled in a run.
#[derive(Debug, Clone, Copy, Default)]
struct Guards {
    forget_votes: bool,
    long_lease: bool,
    reuse_identity: bool,
    /// Members that run are taken for lost with their disks.
    mistaken_losses: bool,
    forget_entries: bool,
    /// All vote requests claim to need every voter, so members that have just started grant them.
    all_unanimous: bool,
}

#[derive(Debug, Clone, Default)]
struct Disk {
    hard: HardState,
    snapshot: Snapshot,
    entries: Vec<LogEntry>,
}

#[derive(Debug)]
struct Instance {
    node: Option<Node>,
    disk: Disk,
    /// Offset of this instance's clock from the run's clock.
    offset: Duration,
    frozen_until: Duration,
}

#[derive(Debug)]
struct Run {
    random: SmallRng,
    now: Duration,
    guards: Guards,
    timing: Timing,
    instances: BTreeMap<MemberId, Instance>,
    network: Vec<(Duration, Envelope)>,
    broken_links: BTreeSet<(MemberId, MemberId)>,
    applied: BTreeMap<Index, LogEntry>,
    leaders: BTreeMap<Term, MemberId>,
    next_id: u64,
    /// The identity that was lost with its disk; each run loses one disk at most.
    lost: Option<MemberId>,
    proposed: u64,
    violations: Vec<String>,
}

impl Run {
    fn new(seed: u64, voters: u64, guards: Guards) -> Self {
        let mut timing = Timing::from_election_timeout(Duration::from_millis(100));
        if guards.long_lease {
            timing.lease = timing.election_timeout * 20;
        }
        let membership = Membership::from_voters(
            (1..=voters).map(|id| (MemberId(id), Member::new(&format!("m{id}"), "-"))),
        );
        let mut run = Self {
            random: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            guards,
            timing,
            instances: BTreeMap::new(),
            network: Vec::new(),
            broken_links: BTreeSet::new(),
            applied: BTreeMap::new(),
            leaders: BTreeMap::new(),
            next_id: voters + 1,
            lost: None,
            proposed: 0,
            violations: Vec::new(),
        };
        for id in 1..=voters {
            let first = Persisted::bootstrap(membership.clone());
            let disk =
                Disk { hard: first.hard_state, snapshot: first.snapshot, entries: first.entries };
            run.add_instance(MemberId(id), disk);
        }
        run
    }

    fn add_instance(&mut self, id: MemberId, disk: Disk) {
        let offset = Duration::from_millis(self.random.random_range(0..10_000));
        self.instances
            .insert(id, Instance { node: None, disk, offset, frozen_until: Duration::ZERO });
        self.start(id);
    }

    fn start(&mut self, id: MemberId) {
        let seed = self.random.random();
        let Some(instance) = self.instances.get_mut(&id) else { return };
        let persisted = Persisted {
            hard_state: instance.disk.hard,
            snapshot: instance.disk.snapshot.clone(),
            entries: instance.disk.entries.clone(),
        };
        let now = self.now + instance.offset;
        instance.node = Some(Node::new(id, persisted, self.timing, seed, now));
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        let ids: Vec<_> = self.instances.keys().copied().collect();
        for id in ids {
            self.drive(id, egret_consensus::Node::tick);
        }
        self.check_leases();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.network).into_iter().partition(|(due, _)| *due <= now);
        self.network = later;
        let due: Vec<(Duration, Envelope)> = due;
        for (_, message) in due {
            let to = message.to;
            self.drive(to, |node, now| node.receive(message.clone(), now));
        }
    }

    fn drive(&mut self, id: MemberId, action: impl FnOnce(&mut Node, Duration)) {
        let Some(instance) = self.instances.get_mut(&id) else { return };
        if self.now < instance.frozen_until {
            return;
        }
        let Some(node) = instance.node.as_mut() else { return };
        action(node, self.now + instance.offset);
        let ready = node.ready();
        let disk = &mut instance.disk;
        if let Some(hard) = ready.hard_state.filter(|_| !self.guards.forget_votes) {
            disk.hard = hard;
        }
        if let Some(snapshot) = &ready.snapshot {
            disk.snapshot = snapshot.clone();
            disk.entries.clear();
        }
        if let Some(first) = ready.entries.first().filter(|_| !self.guards.forget_entries) {
            disk.entries.retain(|entry| entry.index < first.index);
            disk.entries.extend(ready.entries.iter().cloned());
        }
        if node.role() == Role::Leader {
            let known = *self.leaders.entry(node.term()).or_insert(id);
            if known != id {
                self.violations.push(format!("{:?} has two leaders", node.term()));
            }
        }
        for entry in &ready.committed {
            let known = self.applied.entry(entry.index).or_insert_with(|| entry.clone());
            if known != entry {
                self.violations.push(format!("{:?} was applied with two values", entry.index));
            }
        }
        for message in ready.messages {
            let broken = self.broken_links.contains(&(message.from, message.to));
            let message = if self.guards.all_unanimous { made_unanimous(message) } else { message };
            if !broken && self.random.random_range(0..100) >= 3 {
                let delay = Duration::from_millis(self.random.random_range(1..20));
                self.network.push((self.now + delay, message));
            }
        }
    }

    fn check_leases(&mut self) {
        let holders: Vec<_> = self
            .instances
            .iter()
            .filter(|(_, instance)| {
                let now = self.now + instance.offset;
                instance.node.as_ref().is_some_and(|node| node.holds_lease(now))
            })
            .map(|(id, _)| *id)
            .collect();
        if holders.len() > 1 {
            self.violations.push(format!("{holders:?} hold the leader's lease at once"));
        }
    }

    fn random_id(&mut self) -> MemberId {
        let index = self.random.random_range(0..self.instances.len());
        *self.instances.keys().nth(index).expect("the run has instances")
    }

    fn leader(&self) -> Option<MemberId> {
        let leaders = self
            .instances
            .iter()
            .filter(|(_, i)| i.node.as_ref().is_some_and(|node| node.role() == Role::Leader));
        leaders.max_by_key(|(_, i)| i.node.as_ref().map(Node::term)).map(|(id, _)| *id)
    }

    fn propose(&mut self) {
        let Some(leader) = self.leader() else { return };
        self.proposed += 1;
        let payload = Payload::Command(self.proposed.to_le_bytes().to_vec().into());
        self.drive(leader, |node, now| {
            let _ = node.propose(payload, now);
        });
    }

    fn change_members(&mut self) {
        let Some(leader) = self.leader() else { return };
        let Some(node) = self.instances[&leader].node.as_ref() else { return };
        let membership = node.membership().clone();
        let next = if let Some(id) = node.promotable().first() {
            membership.with_promoted(*id)
        } else if membership.voters.len() > 3 {
            let index = self.random.random_range(0..membership.voters.len());
            membership.without(*membership.voters.iter().nth(index).expect("voters"))
        } else if membership.learners.is_empty() {
            let id = MemberId(self.next_id);
            self.next_id += 1;
            // A joining instance knows only the identity of the cluster.
            let first = Persisted::joining(membership.cluster);
            self.add_instance(id, Disk { snapshot: first.snapshot, ..Disk::default() });
            membership.with_learner(id, Member::new("joiner", "-"))
        } else {
            return;
        };
        self.drive(leader, |node, now| {
            let _ = node.propose(Payload::Membership(next), now);
        });
    }

    fn lose_disk(&mut self) {
        let id = self.random_id();
        if !self.guards.reuse_identity {
            if self.lost.is_none() && self.instances.len() > 3 {
                self.lost = Some(id);
                self.instances.remove(&id);
            }
            return;
        }
        let membership = match self.instances[&id].node.as_ref() {
            Some(node) => node.membership().clone(),
            None => return,
        };
        if let Some(instance) = self.instances.get_mut(&id) {
            instance.disk =
                Disk { snapshot: Persisted::bootstrap(membership).snapshot, ..Disk::default() };
        }
        self.start(id);
    }

    /// Tells some instance that an identity is lost.
    fn reveal_loss(&mut self) {
        let lost = if self.guards.mistaken_losses { Some(self.random_id()) } else { self.lost };
        let Some(lost) = lost else { return };
        let id = self.random_id();
        self.drive(id, |node, now| {
            node.mark_lost(lost, now);
        });
    }

    fn compact(&mut self) {
        let id = self.random_id();
        let Some(instance) = self.instances.get_mut(&id) else { return };
        let Some(node) = instance.node.as_mut() else { return };
        let index = node.commit();
        if let Some(snapshot) = node.compact(index, Vec::new().into()) {
            instance.disk.entries.retain(|entry| entry.index > snapshot.index);
            instance.disk.snapshot = snapshot;
        }
    }

    /// Restarts most instances at once, which loses their state in memory.
    fn restart_many(&mut self) {
        let all: Vec<_> = self.instances.keys().copied().collect();
        for id in all {
            if self.random.random_range(0..3) > 0 {
                self.start(id);
            }
        }
    }

    fn inject_fault(&mut self) {
        let id = self.random_id();
        match self.random.random_range(0..13) {
            0 => {
                if let Some(instance) = self.instances.get_mut(&id) {
                    instance.node = None;
                }
            }
            1..=3 => {
                let down: Vec<_> = self
                    .instances
                    .iter()
                    .filter(|(_, i)| i.node.is_none())
                    .map(|(id, _)| *id)
                    .collect();
                down.into_iter().for_each(|id| self.start(id));
            }
            4 => {
                let other = self.random_id();
                self.broken_links.insert((id, other));
                if self.random.random() {
                    self.broken_links.insert((other, id));
                }
            }
            5 => {
                let others: Vec<_> = self.instances.keys().copied().collect();
                for other in others {
                    self.broken_links.insert((id, other));
                    self.broken_links.insert((other, id));
                }
            }
            6..=7 => self.broken_links.clear(),
            8 => {
                let pause = Duration::from_millis(self.random.random_range(10..600));
                let until = self.now + pause;
                if let Some(instance) = self.instances.get_mut(&id) {
                    instance.frozen_until = until;
                }
            }
            9 => self.change_members(),
            10 => self.compact(),
            11 => self.restart_many(),
            _ => self.lose_disk(),
        }
    }

    fn heal(&mut self) {
        self.broken_links.clear();
        if let Some(lost) = self.lost {
            let ids: Vec<_> = self.instances.keys().copied().collect();
            for id in ids {
                self.drive(id, |node, now| {
                    node.mark_lost(lost, now);
                });
            }
        }
        let down: Vec<_> =
            self.instances.iter().filter(|(_, i)| i.node.is_none()).map(|(id, _)| *id).collect();
        down.into_iter().for_each(|id| self.start(id));
    }
}

/// Marks a vote request as one that needs the votes of all voters.
fn made_unanimous(mut message: Envelope) -> Envelope {
    if let Body::PreVote { unanimous, .. } | Body::Vote { unanimous, .. } = &mut message.body {
        *unanimous = true;
    }
    message
}

fn run(seed: u64, steps: u32, guards: Guards) -> Run {
    let voters = [3, 5][usize::from(seed % 2 == 1)];
    let mut run = Run::new(seed, voters, guards);
    for _ in 0..steps {
        run.step();
        if run.random.random_range(0..10) == 0 {
            run.propose();
        }
        if run.random.random_range(0..15) == 0 {
            run.inject_fault();
        }
        if run.random.random_range(0..10) == 0 {
            run.reveal_loss();
        }
    }
    run
}

fn seeds() -> u64 {
    std::env::var("EGRET_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(2_000)
}

#[test]
fn agreement_holds_under_failure() {
    let seeds = seeds();
    let mut committed = 0;
    for seed in 0..seeds {
        let run = run(seed, 400, Guards::default());
        assert!(run.violations.is_empty(), "seed {seed}: {:?}", run.violations);
        committed += run.applied.len();
    }
    println!("seeds=0..{seeds} committed={committed}");
    assert!(committed as u64 > seeds * 5, "the runs committed too little to be meaningful");
}

#[test]
fn cluster_recovers_once_healed() {
    for seed in 0..300 {
        let mut run = run(seed, 300, Guards::default());
        run.heal();
        (0..600).for_each(|_| run.step());
        let before = run.applied.len();
        run.propose();
        (0..200).for_each(|_| run.step());
        assert!(run.violations.is_empty(), "seed {seed}: {:?}", run.violations);
        assert!(run.applied.len() > before, "seed {seed}: nothing is committed after healing");
    }
}

fn first_violation(guards: Guards) -> Option<(u64, String)> {
    (0..3_000).find_map(|seed| {
        let run = run(seed, 400, guards);
        run.violations.into_iter().next().map(|violation| (seed, violation))
    })
}

#[test]
fn guard_off_votes_are_not_persisted() {
    let found = first_violation(Guards { forget_votes: true, ..Guards::default() });
    println!("found={found:?}");
    assert!(found.is_some(), "the checker must report forgotten votes");
}

#[test]
fn guard_off_entries_are_not_persisted() {
    let found = first_violation(Guards { forget_entries: true, ..Guards::default() });
    println!("found={found:?}");
    assert!(found.is_some(), "the checker must report forgotten entries");
}

#[test]
fn guard_off_lease_outlasts_the_election_timeout() {
    let found = first_violation(Guards { long_lease: true, ..Guards::default() });
    println!("found={found:?}");
    assert!(found.is_some(), "the checker must report two leases at once");
}

#[test]
fn guard_off_lost_disk_keeps_its_identity() {
    let found = first_violation(Guards { reuse_identity: true, ..Guards::default() });
    println!("found={found:?}");
    assert!(found.is_some(), "the checker must report a second vote under the same identity");
}

#[test]
fn guard_off_running_members_are_taken_for_lost() {
    let found = first_violation(Guards { mistaken_losses: true, ..Guards::default() });
    println!("found={found:?}");
    assert!(found.is_some(), "the checker must report what a member decided that was left out");
}

/// Partitions the leader and restarts all other members but one at the same time.
///
/// The restarted members forget the lease that they have just renewed; the other one has had no
/// contact with the leader for a while, so it could start an election during the lease.
fn restart_lease_voters(seed: u64, guards: Guards) -> Run {
    let mut run = Run::new(seed, 5, guards);
    (0..200).for_each(|_| run.step());
    let Some(leader) = run.leader() else { return run };
    let others: Vec<_> = run.instances.keys().copied().filter(|id| *id != leader).collect();
    run.broken_links.insert((leader, others[0]));
    let pause = run.random.random_range(60..100);
    (0..pause).for_each(|_| run.step());
    for id in &others {
        run.broken_links.extend([(leader, *id), (*id, leader)]);
    }
    for id in &others[1..] {
        run.start(*id);
    }
    (0..100).for_each(|_| run.step());
    run
}

#[test]
fn restarted_members_respect_a_forgotten_lease() {
    for seed in 0..500 {
        let run = restart_lease_voters(seed, Guards::default());
        assert!(run.violations.is_empty(), "seed {seed}: {:?}", run.violations);
    }
}

#[test]
fn guard_off_restarted_members_vote_for_any_candidate() {
    let guards = Guards { all_unanimous: true, ..Guards::default() };
    let found = (0..500).find(|seed| !restart_lease_voters(*seed, guards).violations.is_empty());
    println!("found={found:?}");
    assert!(found.is_some(), "the checker must report a forgotten lease");
}
