//! Several entries, a leader and a limited backend server in virtual time, with faults.

use std::time::Duration;

use egret_permits::{Allocator, LimitChange, LimitNotice, PermitGrant, PermitWant, Permits};
use egret_record::RateLimit;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const SERVER: &str = "i-1";
/// Step of the virtual clock.
const STEP: Duration = Duration::from_millis(5);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first response that names a limit to the first window in which it counts.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after which an entry gives up on a request to the leader.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);
/// Longer than entries wait between two requests to the leader.
const ASK_PAUSE: Duration = Duration::from_millis(300);
const START: Duration = Duration::from_secs(100);

/// How entries keep to the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// The leader issues the permits.
    Shared,
    /// Each entry issues its own, as if it were alone.
    Alone,
    /// Each entry issues its own for an equal share among so many entries.
    Share(u32),
}

#[derive(Debug)]
enum Message {
    Asked { entry: usize, life: u32, sent: Duration, wants: Vec<PermitWant> },
    Granted { entry: usize, life: u32, term: u64, sent: Duration, grants: Vec<PermitGrant> },
    Failed { entry: usize, life: u32 },
    Announced { entry: usize, incarnation: u64, limit: Option<RateLimit>, order: u64 },
    Arrives { entry: usize, life: u32, incarnation: u64, sent: Duration },
    Answered { entry: usize, life: u32, incarnation: u64, notice: LimitNotice, sent: Duration },
}

#[derive(Debug)]
struct Entry {
    permits: Permits,
    own: Allocator,
    /// Counts the starts of its process; messages to an earlier one are lost.
    life: u32,
    running: bool,
    /// Neither handles nor sends anything until then.
    frozen_until: Duration,
    /// Cut off from the leader until then.
    cut_until: Duration,
    /// Requests of callers per second.
    demand: f64,
}

impl Entry {
    fn new(demand: f64) -> Self {
        Self {
            permits: Permits::default(),
            own: Allocator::default(),
            life: 0,
            running: true,
            frozen_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            demand,
        }
    }
}

/// A deployment with one backend server that may be limited, and another for all other requests.
#[derive(Debug)]
struct World {
    mode: Mode,
    now: Duration,
    random: SmallRng,
    entries: Vec<Entry>,
    leader: Allocator,
    /// The leader's knowledge that its successor inherits.
    fleet: Option<(u64, Option<RateLimit>)>,
    term: u64,
    announced: u64,
    leaderless_until: Duration,
    limit: Option<RateLimit>,
    incarnation: u64,
    messages: Vec<(Duration, Message)>,
    /// Requests at the limited backend server.
    arrivals: Vec<Duration>,
    /// Requests that another backend server had to take.
    elsewhere: u32,
    /// Requests of entries to the leader.
    asked: u32,
}

impl World {
    fn new(seed: u64, entries: usize, demand: f64, limit: f64) -> Self {
        Self {
            mode: Mode::Shared,
            now: START,
            random: SmallRng::seed_from_u64(seed),
            entries: (0..entries).map(|_| Entry::new(demand)).collect(),
            leader: Allocator::default(),
            fleet: None,
            term: 1,
            announced: 0,
            leaderless_until: Duration::ZERO,
            limit: RateLimit::new(limit),
            incarnation: 1,
            messages: Vec::new(),
            arrivals: Vec::new(),
            elsewhere: 0,
            asked: 0,
        }
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(500..12_000))
    }

    fn post(&mut self, after: Duration, message: Message) {
        self.messages.push((self.now + after, message));
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for index in 0..self.entries.len() {
                self.step_entry(index);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<_> = self.messages.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by_key(|(at, _)| *at);
        for (_, message) in due {
            self.handle(message);
        }
    }

    /// Returns the entry if its process is the one that a message is for.
    ///
    /// Messages for a frozen one are delivered when it runs again.
    fn receiver(&mut self, index: usize, life: Option<u32>) -> Option<&mut Entry> {
        let entry = &mut self.entries[index];
        let alive = entry.running && life.is_none_or(|life| life == entry.life);
        alive.then_some(entry)
    }

    fn handle(&mut self, message: Message) {
        let now = self.now;
        let target = match &message {
            Message::Granted { entry, .. }
            | Message::Failed { entry, .. }
            | Message::Announced { entry, .. }
            | Message::Answered { entry, .. } => Some(*entry),
            Message::Asked { .. } | Message::Arrives { .. } => None,
        };
        if let Some(entry) = target
            && now < self.entries[entry].frozen_until
        {
            let until = self.entries[entry].frozen_until;
            self.messages.push((until, message));
            return;
        }
        match message {
            Message::Asked { entry, life, sent, wants } => self.grant(entry, life, sent, &wants),
            Message::Granted { entry, life, term, sent, grants } => {
                let spread = Duration::from_millis(self.random.random_range(0..100));
                if let Some(entry) = self.receiver(entry, Some(life)) {
                    entry.permits.apply(term, &grants, sent, now, spread);
                }
            }
            Message::Failed { entry, life } => {
                if let Some(entry) = self.receiver(entry, Some(life)) {
                    entry.permits.fail(now, Duration::ZERO);
                }
            }
            Message::Announced { entry, incarnation, limit, order } => {
                if let Some(entry) = self.receiver(entry, None) {
                    entry.permits.announce(SERVER, incarnation, limit, order, now);
                }
            }
            Message::Arrives { entry, life, incarnation, sent } => {
                // Another incarnation rejects the request.
                if incarnation == self.incarnation {
                    self.arrivals.push(now);
                    let notice = self.limit.map_or(LimitNotice::Unlimited, LimitNotice::Limited);
                    let after =
                        self.delay() + Duration::from_millis(self.random.random_range(30..300));
                    let answer = Message::Answered { entry, life, incarnation, notice, sent };
                    self.post(after, answer);
                }
            }
            Message::Answered { entry, life, incarnation, notice, sent } => {
                if let Some(entry) = self.receiver(entry, Some(life)) {
                    entry.permits.observe(SERVER, incarnation, notice, sent, now);
                }
            }
        }
    }

    fn grant(&mut self, entry: usize, life: u32, sent: Duration, wants: &[PermitWant]) {
        let now = self.now;
        let mut grants = Vec::new();
        for want in wants {
            let allocator = match self.mode {
                Mode::Shared => &mut self.leader,
                Mode::Alone | Mode::Share(_) => &mut self.entries[entry].own,
            };
            let (mut grant, change) = match self.mode {
                Mode::Share(count) => {
                    let share = |limit: RateLimit| {
                        RateLimit::new(limit.per_second() / f64::from(count)).expect("a rate")
                    };
                    let part = PermitWant { limit: want.limit.map(share), ..want.clone() };
                    allocator.acquire(&part, now)
                }
                Mode::Shared | Mode::Alone => allocator.acquire(want, now),
            };
            if self.mode != Mode::Shared {
                grant.limit = want.limit;
            }
            grants.push(grant);
            let change = change.filter(|_| self.mode == Mode::Shared);
            if let Some(change) = change.filter(LimitChange::is_announced) {
                self.fleet = Some((want.incarnation, change.after));
                self.announced += 1;
                self.announce(want.incarnation, change.after);
            }
        }
        let after = self.delay();
        let term = self.term;
        self.post(after, Message::Granted { entry, life, term, sent, grants });
    }

    fn announce(&mut self, incarnation: u64, limit: Option<RateLimit>) {
        let order = (self.term << 24) + self.announced;
        for entry in 0..self.entries.len() {
            let cut = self.entries[entry].cut_until.saturating_sub(self.now);
            let after = cut + Duration::from_millis(30) + self.delay();
            self.post(after, Message::Announced { entry, incarnation, limit, order });
        }
    }

    fn step_entry(&mut self, index: usize) {
        let now = self.now;
        if !self.entries[index].running || now < self.entries[index].frozen_until {
            return;
        }
        let (life, demand) = (self.entries[index].life, self.entries[index].demand);
        if self.random.random_bool((demand * STEP.as_secs_f64()).min(1.0)) {
            let incarnation = self.incarnation;
            if self.entries[index].permits.acquire(SERVER, incarnation, true, now).is_ok() {
                let after = self.delay();
                let request = Message::Arrives { entry: index, life, incarnation, sent: now };
                self.post(after, request);
            } else {
                self.elsewhere += 1;
            }
        }
        let Some(wants) = self.entries[index].permits.request(now) else { return };
        self.asked += 1;
        let reachable = now >= self.leaderless_until && now >= self.entries[index].cut_until;
        if reachable || self.mode != Mode::Shared {
            let after = self.delay();
            self.post(after, Message::Asked { entry: index, life, sent: now, wants });
        } else {
            self.post(REPLY_TIMEOUT, Message::Failed { entry: index, life });
        }
    }

    /// Replaces the leader, after a time without one.
    fn change_leader(&mut self, pause: Duration) {
        self.leaderless_until = self.now + pause;
        self.term += 1;
        self.announced = 0;
        self.leader = Allocator::default();
        if let Some((incarnation, Some(limit))) = self.fleet {
            self.leader.restore(SERVER, incarnation, limit, self.leaderless_until);
        }
    }

    fn restart_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.permits = Permits::default();
        entry.life += 1;
        entry.running = true;
        // A process that starts receives the whole fleet.
        if let Some((incarnation, limit)) = self.fleet {
            let order = (self.term << 24) + self.announced;
            entry.permits.announce(SERVER, incarnation, limit, order, self.now);
        }
    }

    fn most_in_window(&self, from: Duration) -> usize {
        let counted = self.arrivals.iter().filter(|start| **start >= from);
        let in_window = |start: &Duration| {
            self.arrivals.iter().filter(|time| (*start..*start + WINDOW).contains(time)).count()
        };
        counted.map(in_window).max().unwrap_or_default()
    }

    fn arrived_since(&self, from: Duration) -> f64 {
        self.arrivals.iter().filter(|time| **time >= from).count() as f64
    }
}

fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Checks a deployment without faults; returns the share of the limit that was used.
fn check_calm(seed: u64, entries: usize, demand: f64, limit: f64) -> f64 {
    let mut world = World::new(seed, entries, demand, limit);
    world.run_for(CONTACT_TIME);
    let from = world.now;
    // Long enough that permits that accumulate or are out at the end hardly count.
    let time = Duration::from_secs_f64((200.0 / limit).max(10.0));
    world.run_for(time);
    let most = world.most_in_window(from);
    assert!(
        most <= allowed(limit),
        "seed {seed}: {most} of {} in a window, {entries} entries, limit {limit}",
        allowed(limit)
    );
    world.arrived_since(from) / (limit * time.as_secs_f64())
}

// Guards against a limited server that gets what each entry, or a part of them, sends on its own.
#[test]
fn all_entries_together_keep_to_the_limit_and_use_it() {
    for (seed, limit) in [0.2, 0.5, 1.0, 1.6, 3.7, 12.0, 40.0].into_iter().enumerate() {
        for entries in [1, 3, 9, 38] {
            let used = check_calm(seed as u64, entries, 60.0 / entries as f64, limit);
            assert!(used > 0.9, "{used} of {limit} a second used by {entries} entries");
            assert!(used < 1.1, "{used} of {limit} a second used by {entries} entries");
        }
    }
}

#[test]
fn one_busy_entry_uses_the_whole_limit() {
    let mut world = World::new(1, 9, 0.0, 3.0);
    world.entries[4].demand = 20.0;
    world.run_for(CONTACT_TIME);
    let from = world.now;
    world.run_for(Duration::from_secs(20));
    let used = world.arrived_since(from) / 60.0;
    assert!((0.9..1.1).contains(&used), "{used} of the limit used");
}

// Guards against entries that each keep to the whole limit.
#[test]
fn guard_off_each_entry_for_itself_exceeds_the_limit() {
    let mut world = World { mode: Mode::Alone, ..World::new(1, 9, 7.0, 1.6) };
    world.run_for(CONTACT_TIME);
    let from = world.now;
    world.run_for(Duration::from_secs(20));
    assert!(world.most_in_window(from) > allowed(1.6));
}

// Guards against equal shares of a number of entries that has grown since.
#[test]
fn guard_off_equal_share_of_an_old_count_exceeds_the_limit() {
    let mut world = World { mode: Mode::Share(9), ..World::new(1, 18, 7.0, 12.0) };
    world.run_for(CONTACT_TIME);
    let from = world.now;
    world.run_for(Duration::from_secs(20));
    assert!(world.most_in_window(from) > allowed(12.0));
    let mut world = World { mode: Mode::Shared, ..World::new(1, 18, 7.0, 12.0) };
    world.run_for(CONTACT_TIME);
    let from = world.now;
    world.run_for(Duration::from_secs(20));
    assert!(world.most_in_window(from) <= allowed(12.0));
}

// Guards against requests beyond the limit while entries or the leader fail and come back.
#[test]
fn faults_do_not_lift_the_limit() {
    const SEEDS: u64 = 120;
    let seeds = std::env::var("EGRET_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let mut random = SmallRng::seed_from_u64(seed);
        let limit = [0.1, 0.4, 1.0, 1.6, 5.0, 20.0][random.random_range(0..6)];
        let entries = random.random_range(2..20);
        let demand = random.random_range(1.0..15.0);
        let mut world = World::new(seed, entries, demand, limit);
        world.run_for(CONTACT_TIME);
        let from = world.now;
        for _ in 0..10 {
            let index = random.random_range(0..world.entries.len());
            let pause = Duration::from_millis(random.random_range(100..5_000));
            match random.random_range(0..7) {
                0 => world.entries[index].running = false,
                1 => world.restart_entry(index),
                2 => world.entries[index].frozen_until = world.now + pause,
                3 => world.entries[index].cut_until = world.now + pause,
                4 => world.change_leader(pause / 4),
                5 => {
                    world.entries.push(Entry::new(demand));
                    let last = world.entries.len() - 1;
                    world.restart_entry(last);
                }
                _ => world.leaderless_until = world.now + pause,
            }
            world.run_for(Duration::from_millis(random.random_range(200..3_000)));
        }
        let most = world.most_in_window(from);
        assert!(
            most <= allowed(limit),
            "seed {seed}: {most} of {} in a window, limit {limit}",
            allowed(limit)
        );
    }
}

// Guards against capacity that stays with entries that stopped or were cut off.
#[test]
fn permits_of_silent_entries_go_to_the_others() {
    let mut world = World::new(3, 9, 7.0, 4.0);
    world.run_for(CONTACT_TIME);
    for entry in &mut world.entries[..4] {
        entry.running = false;
    }
    for entry in &mut world.entries[4..6] {
        entry.cut_until = Duration::MAX;
    }
    let from = world.now;
    world.run_for(Duration::from_secs(20));
    let used = world.arrived_since(from) / 80.0;
    assert!((0.9..1.1).contains(&used), "{used} of the limit used by the three others");
    assert!(world.elsewhere > 0, "the rest is served elsewhere");
}

#[test]
fn limit_that_changes_is_followed_within_a_second() {
    let mut world = World::new(5, 9, 7.0, 10.0);
    world.run_for(CONTACT_TIME + Duration::from_secs(5));
    world.limit = RateLimit::new(1.0);
    world.run_for(Duration::from_secs(1));
    let from = world.now;
    world.run_for(Duration::from_secs(20));
    let most = world.most_in_window(from);
    assert!(most <= allowed(1.0), "{most} in a window after the limit fell to 1 a second");
    world.limit = RateLimit::new(8.0);
    world.run_for(Duration::from_secs(2));
    let from = world.now;
    world.run_for(Duration::from_secs(10));
    let used = world.arrived_since(from) / 80.0;
    assert!((0.9..1.1).contains(&used), "{used} of the limit used after it rose");
}

// Guards against a limit that is kept to after its backend server no longer names it.
#[test]
fn limit_that_ends_is_lifted_at_all_entries() {
    let mut world = World::new(7, 9, 7.0, 1.0);
    world.run_for(CONTACT_TIME + Duration::from_secs(5));
    world.limit = None;
    world.run_for(Duration::from_secs(3));
    let from = world.now;
    world.run_for(Duration::from_secs(10));
    let rate = world.arrived_since(from) / 10.0;
    assert!(rate > 0.9 * 63.0, "{rate} of 63 requests a second reach it");
    assert_eq!(world.fleet, Some((1, None)));
    world.limit = RateLimit::new(1.0);
    world.run_for(CONTACT_TIME);
    let from = world.now;
    world.run_for(Duration::from_secs(10));
    let most = world.most_in_window(from);
    assert!(most <= allowed(1.0), "{most} in a window after the limit began again");
}

#[test]
fn server_restarted_under_its_id_has_no_limit_until_it_names_one() {
    let mut world = World::new(9, 9, 7.0, 0.5);
    world.run_for(CONTACT_TIME);
    world.incarnation = 2;
    world.limit = None;
    world.run_for(Duration::from_millis(200));
    let from = world.now;
    world.run_for(Duration::from_secs(5));
    let rate = world.arrived_since(from) / 5.0;
    assert!(rate > 0.9 * 63.0, "{rate} of 63 requests a second reach the new incarnation");
    world.limit = RateLimit::new(2.0);
    world.run_for(CONTACT_TIME);
    let from = world.now;
    world.run_for(Duration::from_secs(10));
    let most = world.most_in_window(from);
    assert!(most <= allowed(2.0), "{most} in a window after the new incarnation named its limit");
}

/// Lets an entry learn a limit of 10 a second and hold one permit.
fn entry_with_permit() -> (Permits, Allocator, Duration) {
    let (mut entry, mut leader, mut now) = (Permits::default(), Allocator::default(), START);
    let limit = LimitNotice::Limited(RateLimit::new(10.0).expect("a rate"));
    entry.observe(SERVER, 1, limit, now, now);
    for _ in 0..2 {
        assert!(entry.acquire(SERVER, 1, true, now).is_err());
        ask(&mut entry, &mut leader, 1, now);
        now += ASK_PAUSE;
    }
    (entry, leader, now)
}

fn ask(entry: &mut Permits, leader: &mut Allocator, term: u64, now: Duration) -> u32 {
    let wants = entry.request(now).expect("something to ask");
    let grants: Vec<_> = wants.iter().map(|want| leader.acquire(want, now).0).collect();
    entry.apply(term, &grants, now, now, Duration::ZERO);
    grants.iter().map(|grant| grant.count).sum()
}

// Guards against a paused process that sends with a permit that expired meanwhile.
#[test]
fn paused_entry_does_not_use_an_expired_permit() {
    let (mut entry, _, now) = entry_with_permit();
    let permit = entry.acquire(SERVER, 1, true, now).expect("a permit");
    assert!(permit.is_valid(now));
    let resumed = now + Duration::from_secs(1);
    assert!(!permit.is_valid(resumed));
    entry.release(SERVER, 1, permit, resumed);
    assert!(entry.acquire(SERVER, 1, true, resumed).is_err());
}

#[test]
fn permit_that_was_not_used_is_kept_or_returned() {
    let (mut entry, mut leader, now) = entry_with_permit();
    let permit = entry.acquire(SERVER, 1, true, now).expect("a permit");
    entry.release(SERVER, 1, permit, now);
    assert_eq!(entry.acquire(SERVER, 1, true, now), Ok(permit), "it can be used again");
    entry.release(SERVER, 1, permit, now);
    let later = now + Duration::from_secs(2);
    let wants = entry.request(later).expect("the permit is returned");
    assert_eq!((wants[0].count, wants[0].unused), (0, 1));
    leader.acquire(&wants[0], later);
}

// Guards against a frozen leader that grants permits when another one already does.
#[test]
fn grant_of_an_earlier_term_is_ignored() {
    let (mut entry, mut leader, now) = entry_with_permit();
    entry.acquire(SERVER, 1, true, now).expect("a permit");
    assert!(entry.acquire(SERVER, 1, true, now).is_err());
    ask(&mut entry, &mut Allocator::default(), 2, now);
    let now = now + ASK_PAUSE;
    assert!(entry.acquire(SERVER, 1, true, now).is_err());
    assert!(ask(&mut entry, &mut leader, 1, now) > 0, "the earlier leader grants");
    assert!(entry.acquire(SERVER, 1, true, now).is_err(), "and the grant is not used");
}

// Guards against two limits in turn, when an entry repeats what the leader told it before.
#[test]
fn word_of_the_leader_does_not_override_a_later_response() {
    let (mut first, mut second) = (Permits::default(), Permits::default());
    let mut leader = Allocator::default();
    let at = |millis: u64| START + Duration::from_millis(millis);
    let limited = |per_second| LimitNotice::Limited(RateLimit::new(per_second).expect("a rate"));
    first.observe(SERVER, 1, limited(1.0), at(0), at(0));
    ask(&mut first, &mut leader, 1, at(0));
    second.announce(SERVER, 1, RateLimit::new(1.0), 1, at(300));
    first.observe(SERVER, 1, limited(2.0), at(150), at(200));
    ask(&mut first, &mut leader, 1, at(350));
    assert!(second.acquire(SERVER, 1, true, at(400)).is_err());
    let wants = second.request(at(400)).expect("it needs a permit");
    let (grant, change) = leader.acquire(&wants[0], at(400));
    assert_eq!((grant.limit, change), (RateLimit::new(2.0), None));
}

// Guards against a new leader that takes the word of its predecessor from an entry for an observation.
#[test]
fn word_of_an_earlier_leader_does_not_override_a_restored_limit() {
    let (mut entry, mut leader) = (Permits::default(), Allocator::default());
    entry.announce(SERVER, 1, RateLimit::new(1.0), 1, START);
    assert!(entry.acquire(SERVER, 1, true, START).is_err());
    leader.restore(SERVER, 1, RateLimit::new(2.0).expect("a rate"), START);
    let wants = entry.request(START).expect("it needs a permit");
    assert_eq!(leader.acquire(&wants[0], START).0.limit, RateLimit::new(2.0));
}

// Guards against announcements with each response of a server that names another rate each time.
#[test]
fn only_the_begin_and_the_end_of_a_limit_are_announced() {
    let mut world = World::new(17, 9, 7.0, 3.0);
    for step in 0..20 {
        world.run_for(Duration::from_millis(500));
        world.limit = RateLimit::new(3.0 + f64::from(step) / 10.0);
    }
    assert_eq!(world.announced, 1, "it began");
    world.limit = None;
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.announced, 2, "it ended");
}

// Guards against a leader that all entries ask for the same permit, or in vain while there is none.
#[test]
fn entries_ask_the_leader_about_as_often_as_there_are_permits() {
    let mut world = World::new(13, 38, 7.0, 2.0);
    world.run_for(CONTACT_TIME);
    let before = world.asked;
    world.run_for(Duration::from_secs(20));
    let calm = (world.asked - before) as f64 / 20.0;
    assert!(calm < 40.0, "{calm} requests a second for 2 permits a second");
    world.leaderless_until = Duration::MAX;
    world.run_for(Duration::from_secs(3));
    let before = world.asked;
    world.run_for(Duration::from_secs(20));
    let leaderless = (world.asked - before) as f64 / 20.0;
    assert!(leaderless < 38.0, "{leaderless} requests a second of 38 entries without a leader");
}

#[test]
fn limit_of_zero_is_tried_once_a_minute() {
    let mut world = World::new(11, 3, 5.0, 0.0);
    world.run_for(CONTACT_TIME);
    let from = world.now;
    world.run_for(Duration::from_secs(180));
    let tried = world.arrived_since(from);
    assert!((2.0..=4.0).contains(&tried), "{tried} requests in three minutes");
}
