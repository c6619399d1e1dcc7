//! The leader's side, which decides what is suspected, blocked and released.

use std::{collections::VecDeque, fmt, time::Duration};

use egret_record::{BlockedPart, FastMap, FastSet, PartId, PartList};
use imbl::OrdMap;

use crate::{AnswerReport, CrashReport, PartsReport, clears::Clears};

/// What is needed to block a part that was never seen answered, if no other part is as suspect.
const CLEAR: Threshold = Threshold {
    crashes: 3,
    spells: 2,
    percent: 0,
    answer_time: Duration::from_secs(1),
    silence_time: Duration::from_secs(2),
};
/// The same for a request: a sound one that comes often enough to be in flight at that many crashes
/// was answered before.
const REQUEST: Threshold = Threshold {
    spells: 1,
    answer_time: Duration::from_millis(500),
    silence_time: Duration::from_secs(1),
    ..CLEAR
};
/// What is needed to block several such parts that are as suspect.
const TIED: Threshold = Threshold { crashes: 5, spells: 3, percent: 50, ..CLEAR };
/// What is needed to block other parts.
const UNCLEAR: Threshold = Threshold {
    crashes: 5,
    spells: 3,
    percent: 50,
    answer_time: Duration::from_secs(2),
    silence_time: Duration::from_secs(8),
};
/// The same if a part explains almost all crashes, and many.
const STRONG: Threshold = Threshold {
    crashes: 8,
    spells: 3,
    percent: 90,
    answer_time: Duration::from_millis(1_500),
    silence_time: Duration::from_secs(8),
};
/// Crashes from which on entries are asked whether they have seen a part answered.
const CRASHES_TO_SUSPECT: u32 = 2;
/// Time after the report of an answer for which a part is not blocked.
const CLEARED_TIME: Duration = Duration::from_secs(1);
/// Time in which all entries report a crash; before, a part that was in flight may be missing.
const REPORT_TIME: Duration = Duration::from_millis(200);
/// Crashes closer together than this may have one cause, such as a power cut.
const SPELL_GAP: Duration = Duration::from_millis(100);
/// Time for which a part stays suspected after the crashes that suggest it were outdated.
const SUSPECT_TIME: Duration = Duration::from_secs(5);
/// Time for which crashes are remembered.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Number of crashes that are remembered.
const CRASHES_MAX: usize = 64;
/// Number of parts that are remembered of one crash.
const PARTS_MAX: usize = 2_048;
/// Number of suspected parts that are announced.
const SUSPECTS_MAX: usize = 512;
/// Times from a block, and from each trial, until the next trial; after these there is none.
const TRIAL_DELAYS: [Duration; 3] =
    [Duration::from_secs(30), Duration::from_secs(300), Duration::from_secs(3_600)];
/// The same for a request: only its own callers miss it, and after a restart of all processes it has
/// crashed more servers than is known.
const REQUEST_TRIAL_DELAYS: [Duration; 2] =
    [Duration::from_secs(3_600), Duration::from_secs(86_400)];
/// Time from the block of a doubtful part until its first trial.
const DOUBTFUL_TRIAL_DELAY: Duration = Duration::from_secs(5);
/// Time after which a decision that did not take effect is made again.
const REPEAT_DELAY: Duration = Duration::from_secs(1);

/// What is needed to block a part.
#[derive(Debug, Clone, Copy)]
struct Threshold {
    /// Crashes at which it was in flight.
    crashes: u32,
    /// Times at which they were, apart by [`SPELL_GAP`].
    spells: u32,
    /// Their share of all crashes since the first of them, in percent.
    percent: usize,
    /// Time for which entries could report an answer, and did so for other parts.
    answer_time: Duration,
    /// The same if no part was answered at all, as when all servers are down.
    silence_time: Duration,
}

/// What the leader must do; displayed as an event for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Announce to all entries which parts are suspected.
    Announce(Vec<PartId>),
    /// Block a part.
    Block {
        /// The part.
        part: PartId,
        /// Whether it was answered before, or others are as suspect.
        doubtful: bool,
        /// The backend servers that crashed while it was in flight there.
        backends: Vec<String>,
    },
    /// Let one more request with a blocked part through.
    OpenTrial {
        /// The part.
        part: PartId,
        /// The number of trials so far.
        trials: u32,
    },
    /// Release a blocked part, because it was answered.
    Release(PartId),
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Announce(parts) => write!(f, "event=parts_suspected parts={}", PartList(parts)),
            Self::Block { part, doubtful, backends } => {
                write!(f, "event=part_blocked part={part} doubtful={doubtful} crashed={backends:?}")
            }
            Self::OpenTrial { part, trials } => {
                write!(f, "event=part_trial_opened part={part} trials={trials}")
            }
            Self::Release(part) => write!(f, "event=part_released part={part} reason=answered"),
        }
    }
}

/// Decides which parts of prompts are blocked, by what all entries report.
///
/// A new leader starts without reports; entries tell it again what they have seen.
#[derive(Debug, Default)]
pub struct Detector {
    /// Sorted by time.
    crashes: VecDeque<Crash>,
    answered: Clears,
    suspects: FastMap<PartId, Suspect>,
    announced: Vec<PartId>,
    answers: AnswerSpell,
    /// Whether crashes or answers were reported since the last decision.
    is_changed: bool,
    blocks: FastMap<PartId, Block>,
    /// When a decision about a part was last made, until it takes effect.
    decided: FastMap<PartId, Duration>,
}

/// One incarnation of a backend server that ended.
#[derive(Debug)]
struct Crash {
    backend: String,
    incarnation: u64,
    at: Duration,
    parts: FastSet<PartId>,
}

#[derive(Debug, Clone, Copy)]
struct Suspect {
    /// When entries were first asked whether they have seen it answered.
    since: Duration,
    until: Duration,
    /// When an entry last reported an answer.
    answered: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Block {
    /// The time of the first crash that counted.
    first_crash: Duration,
    /// When it was blocked, or its last trial claimed.
    since: Duration,
    trials: u32,
}

/// The time for which entries have been reporting answers on suspected parts.
#[derive(Debug, Clone, Copy, Default)]
struct AnswerSpell {
    begin: Duration,
    last: Duration,
}

impl AnswerSpell {
    fn record(&mut self, now: Duration) {
        if !self.is_going_on(now) {
            self.begin = now;
        }
        self.last = now;
    }

    fn is_going_on(&self, now: Duration) -> bool {
        /// Time without an answer after which the spell is over.
        const GAP: Duration = Duration::from_secs(1);
        now <= self.last + GAP
    }
}

/// Crashes at which a part was in flight, since it was last answered.
#[derive(Debug, Clone, Copy)]
struct Tally {
    crashes: u32,
    first: Duration,
    /// Number of times at which they were, apart by [`SPELL_GAP`].
    spells: u32,
    /// The begin of the last spell.
    spell: Duration,
}

/// The crashes that no blocked part explains, in all and by the parts that were in flight.
#[derive(Debug, Default)]
struct Tallies {
    parts: FastMap<PartId, Tally>,
    /// Sorted.
    times: Vec<Duration>,
}

impl Tallies {
    /// Returns the share of a part of all crashes since the first of its own, in percent.
    fn percent(&self, tally: &Tally) -> usize {
        let earlier = self.times.partition_point(|at| *at < tally.first);
        let crashes = self.times.len() - earlier;
        100 * usize::try_from(tally.crashes).unwrap_or(usize::MAX) / crashes.max(1)
    }
}

impl Detector {
    /// Records the report of an entry.
    pub fn observe(&mut self, report: &PartsReport, now: Duration) {
        self.is_changed = true;
        for crash in &report.crashes {
            self.observe_crash(crash, now);
        }
        for AnswerReport { part, age } in &report.answers {
            let at = now.saturating_sub(*age);
            self.answered.insert(*part, at);
            self.answers.record(now);
            if let Some(suspect) = self.suspects.get_mut(part) {
                suspect.answered = Some(now);
            }
        }
    }

    fn observe_crash(&mut self, report: &CrashReport, now: Duration) {
        if report.age > CRASH_RETENTION {
            return;
        }
        let at = now.saturating_sub(report.age);
        let same = |crash: &Crash| {
            crash.incarnation == report.incarnation && crash.backend == report.backend
        };
        let known = self.crashes.iter().position(same);
        let mut crash = match known.and_then(|index| self.crashes.remove(index)) {
            Some(crash) => Crash { at: crash.at.min(at), ..crash },
            None => Crash {
                backend: report.backend.clone(),
                incarnation: report.incarnation,
                at,
                parts: FastSet::default(),
            },
        };
        for part in &report.parts {
            // A crash with too many parts keeps those that were in flight at others as well.
            let has_room = part.is_request()
                || crash.parts.len() < PARTS_MAX
                || (crash.parts.len() < 2 * PARTS_MAX && self.is_in_crash(*part));
            if has_room {
                crash.parts.insert(*part);
            }
        }
        let index = self.crashes.partition_point(|other| other.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > CRASHES_MAX {
            self.crashes.pop_front();
        }
    }

    fn is_in_crash(&self, part: PartId) -> bool {
        self.crashes.iter().any(|crash| crash.parts.contains(&part))
    }

    /// Returns what is to be done at `now`, given the parts that are blocked.
    ///
    /// Must be called at least every few hundred milliseconds.
    pub fn decide(
        &mut self,
        blocked: &OrdMap<PartId, BlockedPart>,
        now: Duration,
    ) -> Vec<Decision> {
        if self.crashes.is_empty()
            && self.suspects.is_empty()
            && self.blocks.is_empty()
            && blocked.is_empty()
        {
            return Vec::new();
        }
        self.crashes.retain(|crash| now < crash.at + CRASH_RETENTION);
        self.update_blocks(blocked, now);
        let mut decisions = self.review_blocks(blocked, now);
        if !std::mem::take(&mut self.is_changed) && self.suspects.is_empty() {
            return decisions;
        }
        // Crashes that are not reported by all entries yet count later.
        self.is_changed = self.crashes.back().is_some_and(|crash| now < crash.at + REPORT_TIME);
        let tallies = self.tally(now);
        self.update_suspects(&tallies, now);
        decisions.extend(self.announcement());
        decisions.extend(self.block_most_suspect(&tallies, now));
        decisions
    }

    /// Takes over which parts are blocked, and forgets the crashes of those that were released.
    fn update_blocks(&mut self, blocked: &OrdMap<PartId, BlockedPart>, now: Duration) {
        let released: Vec<_> =
            self.blocks.extract_if(|part, _| !blocked.contains_key(part)).collect();
        for (part, block) in released {
            if self.answered.get(part).is_some_and(|at| at > block.first_crash) {
                // Blocked by mistake: what did crash the servers was in flight as well.
                self.crashes.iter_mut().for_each(|crash| {
                    crash.parts.remove(&part);
                });
            } else {
                self.crashes.retain(|crash| !crash.parts.contains(&part));
            }
            self.decided.remove(&part);
        }
        for (part, block) in blocked {
            match self.blocks.get_mut(part) {
                Some(known) if known.trials == block.trials => {}
                Some(known) => (known.since, known.trials) = (now, block.trials),
                None => {
                    let answered = self.answered.get(*part);
                    let counts = |crash: &&Crash| {
                        answered.is_none_or(|at| crash.at > at) && crash.parts.contains(part)
                    };
                    let first_crash =
                        self.crashes.iter().find(counts).map_or(now, |crash| crash.at);
                    let block = Block { first_crash, since: now, trials: block.trials };
                    self.blocks.insert(*part, block);
                    self.decided.remove(part);
                }
            }
        }
    }

    /// Releases blocked parts that were answered since, and opens the trials that are due.
    fn review_blocks(
        &mut self,
        blocked: &OrdMap<PartId, BlockedPart>,
        now: Duration,
    ) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for (part, block) in &self.blocks {
            let answered = self.answered.get(*part).is_some_and(|at| at > block.first_crash);
            let trial_open = blocked.get(part).is_some_and(|block| block.trial_open);
            let doubtful = blocked.get(part).is_some_and(|block| block.doubtful);
            let delays =
                if part.is_request() { &REQUEST_TRIAL_DELAYS[..] } else { &TRIAL_DELAYS[..] };
            let delay = match usize::try_from(block.trials) {
                Ok(0) if doubtful => Some(&DOUBTFUL_TRIAL_DELAY),
                trials => trials.ok().and_then(|trials| delays.get(trials)),
            };
            let decision = if answered {
                Decision::Release(*part)
            } else if !trial_open && delay.is_some_and(|delay| now >= block.since + *delay) {
                Decision::OpenTrial { part: *part, trials: block.trials }
            } else {
                continue;
            };
            if self.decided.get(part).is_none_or(|at| now >= *at + REPEAT_DELAY) {
                self.decided.insert(*part, now);
                decisions.push(decision);
            }
        }
        decisions
    }

    /// Counts the crashes of each part that no blocked part explains, since it was last answered.
    fn tally(&self, now: Duration) -> Tallies {
        let mut tallies = Tallies::default();
        let reported = self.crashes.iter().filter(|crash| now >= crash.at + REPORT_TIME);
        for crash in reported.filter(|crash| !self.is_explained(crash)) {
            tallies.times.push(crash.at);
            for part in &crash.parts {
                if self.answered.get(*part).is_some_and(|at| crash.at <= at) {
                    continue;
                }
                let new = Tally { crashes: 0, first: crash.at, spells: 0, spell: Duration::ZERO };
                let tally = tallies.parts.entry(*part).or_insert(new);
                if tally.spells == 0 || crash.at >= tally.spell + SPELL_GAP {
                    tally.spells += 1;
                    tally.spell = crash.at;
                }
                tally.crashes += 1;
            }
        }
        tallies
    }

    fn update_suspects(&mut self, tallies: &Tallies, now: Duration) {
        let suspected =
            tallies.parts.iter().filter(|(_, tally)| tally.crashes >= CRASHES_TO_SUSPECT);
        let mut suspected: Vec<_> = suspected.map(|(part, tally)| (*part, tally.crashes)).collect();
        suspected.sort_unstable_by_key(|(part, crashes)| (std::cmp::Reverse(*crashes), *part));
        suspected.truncate(SUSPECTS_MAX);
        for (part, _) in suspected {
            let until = now + SUSPECT_TIME;
            let new = Suspect { since: now, until, answered: None };
            self.suspects.entry(part).or_insert(new).until = until;
        }
        let blocks = &self.blocks;
        self.suspects.retain(|part, suspect| now < suspect.until && !blocks.contains_key(part));
    }

    /// Returns the suspects if they have changed since they were last announced.
    fn announcement(&mut self) -> Option<Decision> {
        let mut parts: Vec<_> = self.suspects.iter().collect();
        parts.sort_unstable_by_key(|(part, suspect)| (std::cmp::Reverse(suspect.until), **part));
        let mut parts: Vec<_> =
            parts.into_iter().map(|(part, _)| *part).take(SUSPECTS_MAX).collect();
        parts.sort_unstable();
        if parts == self.announced {
            return None;
        }
        self.announced.clone_from(&parts);
        Some(Decision::Announce(parts))
    }

    /// Blocks the part that explains the most crashes, if that is clear enough.
    ///
    /// The crashes that it explains do not count for other parts any more once it is blocked, so
    /// that another bad part is found after it.
    fn block_most_suspect(&mut self, tallies: &Tallies, now: Duration) -> Vec<Decision> {
        self.decided.retain(|_, at| now < *at + REPEAT_DELAY);
        if self.decided.keys().any(|part| !self.blocks.contains_key(part)) {
            // Until that block takes effect, the crashes that it explains would count for others.
            return Vec::new();
        }
        let is_cleared = |part: &PartId| {
            let answered = self.suspects.get(part).and_then(|suspect| suspect.answered);
            answered.is_some_and(|answered| now < answered + CLEARED_TIME)
        };
        let candidates: Vec<_> =
            tallies.parts.iter().filter(|(part, _)| !is_cleared(part)).collect();
        let most = candidates.iter().map(|(_, tally)| tally.crashes).max().unwrap_or_default();
        let is_new = |part: &PartId, tally: &Tally| {
            self.answered.get(*part).is_none() && tally.crashes * 2 >= most
        };
        let unanswered = candidates.iter().copied().filter(|(part, tally)| is_new(part, tally));
        let all_reach = |parts: &[PartId], thresholds: &[Threshold]| {
            let reaches = |part: &PartId| {
                thresholds.iter().any(|threshold| self.is_reached(threshold, *part, tallies, now))
            };
            parts.iter().all(reaches)
        };
        let unanswered = most_suspect(unanswered, tallies);
        let is_request = unanswered.first().is_some_and(|part| part.is_request());
        let clear = if is_request { REQUEST } else { CLEAR };
        let (alike, doubtful) = if unanswered.len() == 1 && all_reach(&unanswered, &[clear]) {
            let doubtful = !all_reach(&unanswered, &[Threshold { spells: CLEAR.spells, ..clear }]);
            (unanswered, doubtful)
        } else if !unanswered.is_empty() && all_reach(&unanswered, &[TIED]) {
            (unanswered, true)
        } else {
            let alike = most_suspect(candidates.into_iter(), tallies);
            (if all_reach(&alike, &[UNCLEAR, STRONG]) { alike } else { Vec::new() }, true)
        };
        let decisions = alike.into_iter().map(|part| {
            self.decided.insert(part, now);
            let crashes = self.crashes.iter().filter(|crash| crash.parts.contains(&part));
            let backends = crashes.map(|crash| crash.backend.clone()).collect();
            Decision::Block { part, doubtful, backends }
        });
        decisions.collect()
    }

    fn is_reached(
        &self,
        threshold: &Threshold,
        part: PartId,
        tallies: &Tallies,
        now: Duration,
    ) -> bool {
        let Some((suspect, tally)) = self.suspects.get(&part).zip(tallies.parts.get(&part)) else {
            return false;
        };
        let asked = suspect.since.max(tally.first);
        let others_answered = self.answers.is_going_on(now)
            && now >= asked.max(self.answers.begin) + threshold.answer_time;
        tally.crashes >= threshold.crashes
            && tally.spells >= threshold.spells
            && tallies.percent(tally) >= threshold.percent
            && (others_answered || now >= asked + threshold.silence_time)
    }

    fn is_explained(&self, crash: &Crash) -> bool {
        crash.parts.iter().any(|part| self.blocks.contains_key(part))
    }
}

/// Returns the parts with the most crashes, and of these the ones with the largest share.
///
/// A request goes before parts of its prompt: they are in flight wherever it is, so that one more
/// crash does not show that they crash servers without it.
fn most_suspect<'a>(
    candidates: impl Iterator<Item = (&'a PartId, &'a Tally)>,
    tallies: &Tallies,
) -> Vec<PartId> {
    let weigh = |(part, tally): (&PartId, &Tally)| {
        let is_request = part.is_request();
        let crashes = tally.crashes + u32::from(is_request);
        (*part, (crashes, is_request, tallies.percent(tally)))
    };
    let weighed: Vec<_> = candidates.map(weigh).collect();
    let most = weighed.iter().map(|(_, weight)| *weight).max();
    let alike = weighed.into_iter().filter(|(_, weight)| Some(*weight) == most);
    alike.map(|(part, _)| part).collect()
}
