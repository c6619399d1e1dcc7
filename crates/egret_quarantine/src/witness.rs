//! An entry's side: the crashes and answers that it has seen.

use std::{collections::VecDeque, time::Duration};

use egret_record::{FastMap, FastSet, PartId};

use crate::{AnswerReport, CrashReport, PartsReport, clears::Clears};

/// Time for which an answer must have been written to show that its parts crash no server.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// Shortest time between two reports.
const REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between two reports that the same part was answered.
const ANSWER_PERIOD: Duration = Duration::from_millis(250);
/// Time after a report that got no reply until the next one; doubles with each in a row.
const FAILURE_DELAY: Duration = Duration::from_millis(100);
/// Longest time after a report that got no reply until the next one.
const FAILURE_DELAY_MAX: Duration = Duration::from_millis(1_600);
/// Time after which it no longer matters whether a server whose answers broke has ended.
const BREAK_RETENTION: Duration = Duration::from_secs(10);
/// Time for which crashes are kept for a new leader.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Time after which a server has not ended with the answer that ended with its connection.
const CLOSE_TIME: Duration = Duration::from_millis(300);
/// Number of answers that ended with their connections of which this is not known yet.
const CLOSES_MAX: usize = 256;
/// Number of crashes that are kept.
const CRASHES_MAX: usize = 64;
/// Number of parts that are kept of one crash.
const PARTS_MAX: usize = 1_024;

/// What an entry has seen of the parts of prompts: under which servers crash, and which are answered.
#[derive(Debug, Default)]
pub struct Witness {
    answered: Clears,
    /// Answers that ended with their connections, as a crash may end them too.
    closes: VecDeque<Close>,
    /// Servers at which answers broke and that have not ended as far as is known.
    broken: VecDeque<Crash>,
    /// Servers that have ended, the latest last.
    crashes: VecDeque<Crash>,
    /// Suspected and blocked parts, with the last answer that was reported and when.
    watched: FastMap<PartId, Reported>,
    /// The highest term of a leader that has replied or announced suspects.
    term: u64,
    /// Whether a report is in flight.
    asked: bool,
    report_at: Duration,
    /// Reports in a row that got no reply.
    failures: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Reported {
    answered: Option<Duration>,
    at: Duration,
}

#[derive(Debug)]
struct Crash {
    backend: String,
    incarnation: u64,
    at: Duration,
    parts: FastSet<PartId>,
    /// Whether the leader has yet to be told.
    unsent: bool,
}

#[derive(Debug)]
struct Close {
    backend: String,
    incarnation: u64,
    at: Duration,
    parts: Vec<PartId>,
}

impl Crash {
    fn is_of(&self, backend: &str, incarnation: u64) -> bool {
        self.incarnation == incarnation && self.backend == backend
    }

    /// Adds the parts of one request; itself and `watched` ones always find room.
    fn add(&mut self, parts: &[PartId], watched: &FastMap<PartId, Reported>) {
        for part in parts {
            let has_room = self.parts.len() < PARTS_MAX;
            if has_room || part.is_request() || watched.contains_key(part) {
                self.parts.insert(*part);
            }
        }
    }
}

impl Witness {
    /// Records that an answer broke that had not been written for [`SURVIVAL_TIME`].
    ///
    /// Returns whether it is not known yet if the backend server has ended.
    pub fn record_break(
        &mut self,
        backend: &str,
        incarnation: u64,
        parts: &[PartId],
        now: Duration,
    ) -> bool {
        let ended = self.crashes.iter_mut().find(|crash| crash.is_of(backend, incarnation));
        if let Some(crash) = ended {
            crash.add(parts, &self.watched);
            crash.unsent = true;
            return false;
        }
        self.broken.retain(|crash| now < crash.at + BREAK_RETENTION);
        let known = self.broken.iter().position(|crash| crash.is_of(backend, incarnation));
        let index = known.unwrap_or_else(|| {
            if self.broken.len() >= CRASHES_MAX {
                self.broken.pop_front();
            }
            self.broken.push_back(Crash {
                backend: backend.to_owned(),
                incarnation,
                at: now,
                parts: FastSet::default(),
                unsent: true,
            });
            self.broken.len() - 1
        });
        self.broken[index].add(parts, &self.watched);
        true
    }

    /// Records that a backend server has ended; returns whether there is something to report.
    pub fn record_end(&mut self, backend: &str, incarnation: u64, now: Duration) -> bool {
        let index = self.broken.iter().position(|crash| crash.is_of(backend, incarnation));
        let Some(mut crash) = index.and_then(|index| self.broken.remove(index)) else {
            return false;
        };
        for close in &self.closes {
            if crash.is_of(&close.backend, close.incarnation) && crash.at <= close.at + CLOSE_TIME {
                crash.add(&close.parts, &self.watched);
            }
        }
        self.crashes.retain(|crash| now < crash.at + CRASH_RETENTION);
        if self.crashes.len() >= CRASHES_MAX {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash);
        true
    }

    /// Records that a backend server at which answers broke still runs.
    pub fn record_running(&mut self, backend: &str, incarnation: u64) {
        self.broken.retain(|crash| !crash.is_of(backend, incarnation));
    }

    /// Returns how many of these servers, by id and incarnation, have ended or may have.
    ///
    /// The second number is that of those of which it is not known yet.
    #[must_use]
    pub fn ends(&self, servers: &[(String, u64)]) -> (u32, u32) {
        let count = |crashes: &VecDeque<Crash>| {
            let is_known = |(id, incarnation): &&(String, u64)| {
                crashes.iter().any(|crash| crash.is_of(id, *incarnation))
            };
            u32::try_from(servers.iter().filter(is_known).count()).unwrap_or(u32::MAX)
        };
        let unknown = count(&self.broken);
        (count(&self.crashes) + unknown, unknown)
    }

    /// Records that an answer on these parts was written for [`SURVIVAL_TIME`], or to its end.
    ///
    /// `at` is when this was so first. Returns whether there is something to report.
    pub fn record_answer(&mut self, parts: &[PartId], at: Duration) -> bool {
        let mut watched = false;
        for part in parts {
            self.answered.insert(*part, at);
            watched |= self.watched.contains_key(part);
        }
        watched
    }

    /// Forgets the crashes at which a part was in flight, once it is no longer blocked.
    pub fn forget(&mut self, part: PartId) {
        self.crashes.retain(|crash| !crash.parts.contains(&part));
    }

    /// Records that an answer ended with its connection, before [`SURVIVAL_TIME`].
    ///
    /// It counts as answered unless its server turns out to have broken other answers as well.
    pub fn record_close(
        &mut self,
        backend: &str,
        incarnation: u64,
        parts: &[PartId],
        now: Duration,
    ) {
        self.settle_closes(now);
        if self.closes.len() >= CLOSES_MAX {
            self.closes.pop_front();
        }
        let (backend, parts) = (backend.to_owned(), parts.to_vec());
        self.closes.push_back(Close { backend, incarnation, at: now, parts });
    }

    fn settle_closes(&mut self, now: Duration) {
        while let Some(close) = self.closes.pop_front_if(|close| now >= close.at + CLOSE_TIME) {
            let crashes = self.broken.iter().chain(&self.crashes);
            let mut crashes =
                crashes.filter(|crash| crash.is_of(&close.backend, close.incarnation));
            if !crashes.any(|crash| crash.at <= close.at + CLOSE_TIME) {
                self.record_answer(&close.parts, close.at);
            }
        }
    }

    /// Replaces the parts whose answers the leader of `term` must be told of.
    pub fn watch(&mut self, parts: &[PartId], term: u64) {
        self.follow(term);
        let known = std::mem::take(&mut self.watched);
        let reported = |part: &PartId| known.get(part).copied().unwrap_or_default();
        self.watched = parts.iter().map(|part| (*part, reported(part))).collect();
    }

    /// Returns whether a part is suspected or blocked.
    #[must_use]
    pub fn is_watched(&self, part: PartId) -> bool {
        self.watched.contains_key(&part)
    }

    /// Returns the next report to the leader, if there is one.
    pub fn report(&mut self, now: Duration) -> Option<PartsReport> {
        if self.next_report().is_none_or(|next| now < next) {
            return None;
        }
        self.settle_closes(now);
        let unsent = self.crashes.iter_mut().filter(|crash| crash.unsent);
        let crashes = unsent.map(|crash| {
            crash.unsent = false;
            CrashReport {
                backend: crash.backend.clone(),
                incarnation: crash.incarnation,
                age: now.saturating_sub(crash.at),
                parts: crash.parts.iter().copied().collect(),
            }
        });
        let crashes: Vec<_> = crashes.collect();
        let answered = &self.answered;
        let answers = self.watched.iter_mut().filter_map(|(part, reported)| {
            let at =
                answered.get(*part).filter(|at| reported.answered.is_none_or(|was| was < *at))?;
            (reported.at.is_zero() || now >= reported.at + ANSWER_PERIOD).then(|| {
                *reported = Reported { answered: Some(at), at: now };
                AnswerReport { part: *part, age: now.saturating_sub(at) }
            })
        });
        let answers: Vec<_> = answers.collect();
        if crashes.is_empty() && answers.is_empty() {
            return None;
        }
        self.asked = true;
        self.report_at = now + REPORT_PERIOD;
        Some(PartsReport { crashes, answers })
    }

    /// Returns when [`report`](Self::report) should be called, if there may be something to report.
    #[must_use]
    pub fn next_report(&self) -> Option<Duration> {
        if self.asked {
            return None;
        }
        if self.crashes.iter().any(|crash| crash.unsent) {
            return Some(self.report_at);
        }
        let answers = self.watched.iter().filter_map(|(part, reported)| {
            let at = self.answered.get(*part)?;
            reported.answered.is_none_or(|was| was < at).then_some(reported.at + ANSWER_PERIOD)
        });
        let closed = self.closes.front().map(|close| close.at + CLOSE_TIME);
        let closed = closed.filter(|_| !self.watched.is_empty());
        answers.chain(closed).min().map(|next| next.max(self.report_at))
    }

    /// Records the reply of the leader in `term` to the last report.
    pub fn apply(&mut self, term: u64, now: Duration) {
        if term < self.term {
            self.fail(now);
            return;
        }
        self.asked = false;
        self.failures = 0;
        self.follow(term);
    }

    /// Records that the last report got no reply.
    pub fn fail(&mut self, now: Duration) {
        self.asked = false;
        let back_off = FAILURE_DELAY * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        self.report_at = now + back_off.min(FAILURE_DELAY_MAX);
        self.send_again();
    }

    /// Tells a new leader everything again.
    fn follow(&mut self, term: u64) {
        // Nothing was told to a leader before the first one.
        let is_first = self.term == 0;
        if term > self.term {
            self.term = term;
            if !is_first {
                self.send_again();
            }
        }
    }

    fn send_again(&mut self) {
        self.crashes.iter_mut().for_each(|crash| crash.unsent = true);
        self.watched.values_mut().for_each(|reported| *reported = Reported::default());
    }
}
