//! Reports, expiries, departures and restarts that reach control instances in any order.

use std::{collections::BTreeSet, time::Duration};

use egret_fleet::{BackendStatus, FeedCursor, Interest, StatusKey, StatusStamp, StatusUpdate};
use egret_record::DataCentre;
use egret_rpc::SharedFleet;
use rand::{RngExt as _, SeedableRng as _, rngs::StdRng, seq::SliceRandom as _};

/// Time without a report after which a backend server or process expires.
const EXPIRY: Duration = Duration::from_secs(4);
/// Control instances.
const INSTANCES: usize = 3;
/// Backend servers by id; each two share an address one after the other.
const IDS: usize = 4;

/// An incarnation of a backend server, by id and start.
type Life = (usize, u64);

/// A control instance that follows the others.
#[derive(Default)]
struct Instance {
    shared: SharedFleet,
    cursors: [FeedCursor; INSTANCES],
    /// The incarnations whose departure has reached it since its start, itself or by an exchange.
    departed: BTreeSet<Life>,
}

struct World {
    random: StdRng,
    now: Duration,
    instances: [Instance; INSTANCES],
    /// Updates that are under way, each to one instance.
    pending: Vec<(StatusUpdate, Option<Life>)>,
    /// The running incarnation at each address, and the number of its last report.
    running: [Option<(Life, u64)>; IDS / 2],
    /// The start of the latest incarnation.
    clock: u64,
}

fn report((id, incarnation): Life, seq: u64) -> StatusUpdate {
    StatusUpdate::Backend(BackendStatus {
        id: format!("i-{id}"),
        service: "draft".to_owned(),
        address: ([10, 0, 0, 1], 1 + u16::try_from(id / 2).expect("small")).into(),
        data_centre: DataCentre::new("xela").expect("a name"),
        slots: 16,
        draining: false,
        cold_ms: 0,
        models: Vec::new(),
        stamp: StatusStamp { incarnation, seq },
    })
}

fn departure((id, incarnation): Life) -> StatusUpdate {
    StatusUpdate::Gone(StatusKey::Backend(format!("i-{id}")), StatusStamp::end(incarnation))
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            now: Duration::from_secs(1),
            instances: Default::default(),
            pending: Vec::new(),
            running: [None; IDS / 2],
            clock: 0,
        }
    }

    fn step(&mut self) {
        let instance = self.random.random_range(0..INSTANCES);
        match self.random.random_range(0..20) {
            0..6 => self.send_report(),
            6..12 => self.deliver(instance),
            12..14 => self.stop(),
            14..17 => {
                let other = self.random.random_range(0..INSTANCES);
                self.exchange(instance, other);
            }
            17 => {
                self.now += EXPIRY / 2;
                self.expire(instance);
            }
            18 => {
                self.now += EXPIRY * 2;
                self.expire(instance);
            }
            _ => self.instances[instance] = Instance::default(),
        }
        self.check();
    }

    /// Starts a backend server, or lets the running one report its status.
    fn send_report(&mut self) {
        let address = self.random.random_range(0..self.running.len());
        self.clock += 1;
        let life = (address * 2 + self.random.random_range(0..2), self.clock);
        let (life, seq) = self.running[address].map_or((life, 1), |(life, seq)| (life, seq + 1));
        self.running[address] = Some((life, seq));
        self.pending.push((report(life, seq), None));
    }

    /// Stops a backend server, which crashes or deregisters.
    fn stop(&mut self) {
        let address = self.random.random_range(0..self.running.len());
        if let Some((life, _)) = self.running[address].take()
            && self.random.random_bool(0.7)
        {
            self.pending.push((departure(life), Some(life)));
        }
    }

    /// Delivers one of the updates under way.
    fn deliver(&mut self, instance: usize) {
        self.pending.shuffle(&mut self.random);
        if let Some((update, departed)) = self.pending.pop() {
            self.instances[instance].shared.observe(&update, self.now);
            self.instances[instance].departed.extend(departed);
        }
    }

    /// Lets an instance read the feed of another.
    fn exchange(&mut self, reader: usize, from: usize) {
        let source = &self.instances[from];
        let cursor = self.instances[reader].cursors[from];
        let delta = source.shared.feed.delta_since(cursor, &source.shared.fleet, Interest::All);
        let departed = source.departed.clone();
        let reader = &mut self.instances[reader];
        for update in &delta.updates {
            reader.shared.observe(update, self.now);
        }
        reader.cursors[from] = delta.cursor;
        reader.departed.extend(departed);
    }

    fn expire(&mut self, instance: usize) {
        self.instances[instance].shared.expire(EXPIRY, EXPIRY, self.now);
    }

    /// Checks that no instance lists an incarnation of whose departure it has been told.
    fn check(&self) {
        for (index, instance) in self.instances.iter().enumerate() {
            for (backend, _) in instance.shared.fleet.backends() {
                let id = backend.id.trim_start_matches("i-").parse().expect("a number");
                let life = (id, backend.stamp.incarnation);
                assert!(!instance.departed.contains(&life), "instance {index} lists {life:?}");
            }
        }
    }

    /// Lets each running incarnation report once more, and all instances exchange their status.
    fn settle(&mut self) {
        /// An unchanged status reaches the other instances at most this often.
        const REFRESH_PERIOD: Duration = Duration::from_secs(2);
        self.now += REFRESH_PERIOD;
        for address in 0..self.running.len() {
            if let Some((life, seq)) = self.running[address] {
                let instance = self.random.random_range(0..INSTANCES);
                self.instances[instance].shared.observe(&report(life, seq + 1), self.now);
            }
        }
        for _ in 0..2 {
            for reader in 0..INSTANCES {
                for from in 0..INSTANCES {
                    self.exchange(reader, from);
                }
            }
            self.check();
        }
    }
}

// Guards against a backend server that is used again after its departure, by a late report, and
// against one that is not used although it runs.
#[test]
fn departed_incarnation_never_comes_back_and_a_running_one_is_known() {
    /// Steps of one run, which last well below the time for which departures are remembered.
    const STEPS: usize = 60;
    let seeds = std::env::var("EGRET_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(2_000) {
        let mut world = World::new(seed);
        let run = |world: &mut World| {
            for _ in 0..STEPS {
                world.step();
            }
            world.settle();
        };
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&mut world)));
        assert!(result.is_ok(), "seed {seed}");
        for (index, instance) in world.instances.iter().enumerate() {
            for (life, _) in world.running.iter().flatten() {
                let key = StatusKey::Backend(format!("i-{}", life.0));
                let known = instance.shared.fleet.get(&key).map(|known| &known.status);
                let listed = matches!(known, Some(StatusUpdate::Backend(backend))
                    if backend.stamp.incarnation == life.1);
                assert!(listed, "seed {seed}: instance {index} lacks {life:?}: {known:?}");
            }
        }
    }
}
