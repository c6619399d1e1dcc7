//! An entry's side: the leases that it holds at all engines.

use std::{collections::VecDeque, time::Duration};

use egret_record::FastMap;

use crate::{Demand, Grant, RANKS, quota::score};

/// Shortest time from a demand until the next one that asks for slots.
const URGENT_DELAY: Duration = Duration::from_millis(20);
/// Shortest time from a demand until the next one that gives back slots.
const RETURN_DELAY: Duration = Duration::from_millis(5);
/// Engines that are asked at the same time for each waiting request.
///
/// Slots that more of them grant than are needed are idle until they are given back.
const ASKS_MAX: usize = 4;
/// Time after a demand until the next one if there is no reply.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which an engine's agent may owe the first reply.
///
/// If all entries used their quotas at once, an engine would get two batches: what the agent has
/// granted to others, and the quotas.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without a reply after which an entry without requests stops asking.
const SILENCE_MAX: Duration = Duration::from_secs(1);
/// Time after a lease in which requests of other entries beyond their quotas end.
///
/// With half of it, an engine of 12 slots had 15 requests of 0.9 s each on average.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Longest lease that is accepted.
const LEASE_MAX: Duration = Duration::from_secs(10);
/// Maximum number of demands to an engine that wait for their replies.
const SENT_MAX: usize = 64;

/// How many requests an entry may have in flight at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Allowance {
    /// So many, by the agent's grant; none while its first reply is due.
    Granted(u32),
    /// So many, but no more than the entry's quota: the last grant has expired.
    ///
    /// Entries that had more than their quotas still have requests in flight, so the others must
    /// not use theirs in full yet.
    Expired(u32),
    /// The agent does not reply; the entry's quota applies.
    Unknown,
}

/// What an entry uses and wants of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// Whether the engine is in the data centre of the entry.
    pub near: bool,
    /// Requests in flight there.
    pub in_flight: u32,
    /// Waiting requests that it could serve, by rank.
    pub waiting: [u32; RANKS],
}

/// The leases that an entry holds at engines, and the demands that it owes their agents.
#[derive(Debug)]
pub struct Grants {
    entry: String,
    incarnation: u64,
    /// The number of the last demand to any engine.
    ///
    /// One sequence for all, so that a late reply of an earlier incarnation of an engine matches
    /// no demand to the new one.
    seq: u64,
    engines: FastMap<String, Engine>,
}

/// One incarnation of an engine.
#[derive(Debug, Default)]
struct Engine {
    incarnation: u64,
    usage: Usage,
    /// What the last demand said.
    reported: Usage,
    lease: Option<Lease>,
    /// Demands without a reply, the oldest first.
    sent: VecDeque<(u64, Duration)>,
    last_sent: Option<Duration>,
    /// When the first demand since the last reply was sent.
    unanswered: Option<Duration>,
    /// Whether a demand was sent again because there was no reply.
    silent: bool,
    /// When the next demand is due, if nothing urgent comes up.
    due: Duration,
    /// The place among the engines that are asked for slots; differs between entries.
    order: u64,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    seq: u64,
    slots: u32,
    until: Duration,
}

impl Grants {
    /// Creates the state of an entry that holds nothing.
    #[must_use]
    pub fn new(entry: &str, incarnation: u64) -> Self {
        Self { entry: entry.to_owned(), incarnation, seq: 0, engines: FastMap::default() }
    }

    /// Records what this entry uses and wants of an engine.
    ///
    /// Call this when either changes, with all waiting requests that the engine could serve: which
    /// engines are asked for them, and when, is decided here. Call it for near engines also when
    /// there is nothing to use, so that the entry gets headroom. A new incarnation of the engine voids what the earlier one
    /// granted.
    pub fn update(&mut self, engine: &str, incarnation: u64, usage: Usage, now: Duration) {
        let known = self.engines.get_mut(engine);
        if let Some(known) = known {
            if known.incarnation == incarnation {
                known.usage = usage;
                return;
            }
            if known.incarnation > incarnation {
                return;
            }
        } else if usage.is_idle() && !usage.near {
            return;
        }
        let order = score(engine, &self.entry);
        // Waiting requests are reported when it is the engine's turn, all else at once.
        let last_sent = (usage.in_flight > 0 || !usage.is_waiting()).then_some(now);
        let state = Engine { incarnation, usage, last_sent, due: now, order, ..Engine::default() };
        self.engines.insert(engine.to_owned(), state);
    }

    /// Returns how many requests this entry may have in flight at an engine.
    ///
    /// An engine that the entry has no requests for grants nothing; [`update`](Self::update) makes
    /// it ask.
    #[must_use]
    pub fn allowed(&self, engine: &str, incarnation: u64, now: Duration) -> Allowance {
        let known = self.engines.get(engine).filter(|known| known.incarnation == incarnation);
        known.map_or(Allowance::Granted(0), |known| known.allowed(now))
    }

    /// Returns the demands that must be sent now, each with the engine whose agent it is for.
    ///
    /// Engines are asked for slots a few at a time, near ones first, until the waiting requests
    /// have found some. Far engines without requests and grants are forgotten once their agents
    /// have been told; near ones grant headroom, until [`forget`](Self::forget).
    pub fn demands_due(&mut self, now: Duration) -> Vec<(String, Demand)> {
        self.engines.retain(|_, engine| !engine.is_settled(now));
        let mut demands = Vec::new();
        for (name, engine) in &mut self.engines {
            if engine.due_at() <= now {
                self.seq += 1;
                let demand = engine.demand(&self.entry, self.incarnation, self.seq, now);
                demands.push((name.clone(), demand));
            }
        }
        let left = self.asks_left();
        let mut asks: Vec<_> =
            self.engines.iter_mut().filter(|(_, engine)| engine.may_ask_at() <= now).collect();
        asks.sort_by_key(|(_, engine)| (!engine.usage.near, engine.order));
        for (name, engine) in asks.into_iter().take(left) {
            self.seq += 1;
            let demand = engine.demand(&self.entry, self.incarnation, self.seq, now);
            demands.push((name.clone(), demand));
        }
        demands
    }

    /// Returns when [`demands_due`](Self::demands_due) has something to send, if nothing changes.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        let due = self.engines.values().map(Engine::due_at).min()?;
        let ask = self.engines.values().map(Engine::may_ask_at).min();
        let next = due.min(ask.filter(|_| self.asks_left() > 0).unwrap_or(due));
        (next < Duration::MAX).then_some(next)
    }

    /// Returns how many more engines may be asked for slots now.
    fn asks_left(&self) -> usize {
        let waiting = self.engines.values().map(|engine| engine.usage.wanted()).max().unwrap_or(0);
        let asked = self.engines.values().filter(|engine| engine.is_asked()).count();
        usize::try_from(waiting)
            .unwrap_or(usize::MAX)
            .saturating_mul(ASKS_MAX)
            .saturating_sub(asked)
    }

    /// Records the reply of an engine's agent; returns whether more requests may be sent than before.
    ///
    /// Replies that are late, repeated or for another incarnation change nothing.
    pub fn apply(&mut self, engine: &str, incarnation: u64, grant: &Grant, now: Duration) -> bool {
        let known = self.engines.get_mut(engine);
        known.filter(|known| known.incarnation == incarnation).is_some_and(|known| {
            let before = known.granted(now);
            known.reply(grant, now);
            known.granted(now) > before
        })
    }

    /// Forgets an engine that is gone.
    pub fn forget(&mut self, engine: &str) {
        self.engines.remove(engine);
    }
}

impl Usage {
    fn is_idle(&self) -> bool {
        self.in_flight == 0 && !self.is_waiting()
    }

    fn is_waiting(&self) -> bool {
        self.wanted() > 0
    }

    /// Returns the number of waiting requests.
    fn wanted(&self) -> u32 {
        self.waiting.iter().fold(0, |sum, count| sum.saturating_add(*count))
    }
}

impl Engine {
    fn allowed(&self, now: Duration) -> Allowance {
        match self.lease {
            Some(lease) if now < lease.until => return Allowance::Granted(lease.slots),
            Some(lease) if now < lease.until + DRAIN_TIME => {
                return Allowance::Expired(lease.slots);
            }
            _ => {}
        }
        match self.unanswered {
            Some(since) if now >= since + FIRST_REPLY_TIMEOUT => Allowance::Unknown,
            _ => Allowance::Granted(0),
        }
    }

    fn granted(&self, now: Duration) -> u32 {
        self.lease.filter(|lease| now < lease.until).map_or(0, |lease| lease.slots)
    }

    /// Returns whether there is nothing to use, to want or to give back.
    fn is_settled(&self, now: Duration) -> bool {
        // Also before the first demand: its requests were served elsewhere meanwhile.
        let told = self.last_sent.is_none() || self.reported.is_idle();
        // What a reply under way grants must be given back.
        let answered = self.unanswered.is_none_or(|since| now >= since + SILENCE_MAX);
        let idle = self.usage.is_idle() && !self.usage.near;
        idle && told && answered && self.granted(now) == 0
    }

    /// Returns when the agent must hear from the entry.
    fn due_at(&self) -> Duration {
        match self.last_sent {
            None => Duration::MAX,
            Some(last) if self.returns() => self.due.min(last + RETURN_DELAY),
            Some(last) if self.used_up() => self.due.min(last + URGENT_DELAY),
            Some(_) => self.due,
        }
    }

    /// Returns when the agent may be asked for slots, before its next demand is due.
    fn may_ask_at(&self) -> Duration {
        if !self.usage.is_waiting() || self.reported.is_waiting() {
            return Duration::MAX;
        }
        self.last_sent.map_or(Duration::ZERO, |last| last + URGENT_DELAY)
    }

    /// Returns whether the agent was asked for slots and may still reply.
    fn is_asked(&self) -> bool {
        self.reported.is_waiting() && self.unanswered.is_some() && !self.silent
    }

    /// Returns whether the last slot was taken since the last demand, so that more may be granted.
    fn used_up(&self) -> bool {
        self.usage.in_flight > self.reported.in_flight
            && self.lease.is_some_and(|lease| self.usage.in_flight >= lease.slots)
    }

    /// Returns whether others may have slots that the agent counts for this entry.
    fn returns(&self) -> bool {
        let (usage, reported) = (&self.usage, &self.reported);
        let fewer = usage.in_flight < reported.in_flight;
        let above = self.lease.is_some_and(|lease| usage.in_flight >= lease.slots);
        if usage.is_waiting() { fewer && above } else { fewer || reported.is_waiting() }
    }

    fn demand(&mut self, entry: &str, incarnation: u64, seq: u64, now: Duration) -> Demand {
        // A slot that is given back must not be used while the agent grants it to another entry.
        if self.returns()
            && let Some(lease) = &mut self.lease
        {
            lease.slots = lease.slots.min(self.usage.in_flight);
        }
        if self.sent.len() >= SENT_MAX {
            self.sent.pop_front();
        }
        self.sent.push_back((seq, now));
        self.last_sent = Some(now);
        self.silent = self.unanswered.is_some() && now >= self.due;
        self.unanswered.get_or_insert(now);
        self.due = now + RETRY_DELAY;
        self.reported = self.usage;
        let saturate = |count| u16::try_from(count).unwrap_or(u16::MAX);
        let lease = self.lease.filter(|lease| now < lease.until);
        let held = lease.map_or(self.usage.in_flight, |lease| lease.slots);
        Demand {
            entry: entry.to_owned(),
            incarnation,
            seq,
            near: self.usage.near,
            in_flight: saturate(self.usage.in_flight),
            held: saturate(held),
            held_seq: lease.map_or(0, |lease| lease.seq),
            waiting: self.usage.waiting.map(saturate),
        }
    }

    fn reply(&mut self, grant: &Grant, now: Duration) {
        let Some(index) = self.sent.iter().position(|(seq, _)| *seq == grant.seq) else { return };
        let (_, sent) = self.sent[index];
        // Replies to the demands before are older than this one.
        self.sent.drain(..=index);
        self.unanswered = self.sent.front().map(|(_, sent)| *sent);
        self.silent = false;
        if self.sent.is_empty() {
            self.due = sent + grant.period.clamp(URGENT_DELAY, LEASE_MAX);
        }
        let until = sent + grant.lease.min(LEASE_MAX);
        if now < until {
            self.lease = Some(Lease { seq: grant.seq, slots: grant.slots.into(), until });
        }
    }
}
