//! Which piece is asked for next, and of whom.
//!
//! A piece that its source does not have for long is left alone for a while, and the origin's
//! answers are counted apart from those of agents: what is late holds up nothing else. The order
//! stays, since pieces come along the trees in that order everywhere.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use egret_record::FastMap;
use tokio::time::Instant;

use crate::sources::Source;

/// Pieces that one agent asks of the origin at once: the next one is on its way while one comes.
const ORIGIN_WINDOW: usize = 2;
/// Time without a piece after which an agent counts as too slow for it: the origin's link needs
/// under three seconds for a whole version, and the trees some more.
const PATIENCE: Duration = Duration::from_secs(4);
/// Time without a piece after which others are asked although the origin fails, by the word of some:
/// those may be cut off from it alone.
const PATIENCE_MOST: Duration = Duration::from_secs(12);
/// Pieces that an agent gets while it lacks one, after which it counts as too slow for that one:
/// more than are on their way at once along the trees.
const PASSED_BY: usize = 32;
/// Time for which a piece is waited for, when no agent can be asked for it, before the origin is.
const ORIGIN_WAIT: Duration = Duration::from_millis(500);
/// Answers without a piece after which it is left alone for a while; until then it is on its way,
/// most likely, along a tree of a few agents.
const FRONT_TRIES: u32 = 3;
/// Time for which it is left alone, so that others are asked for in its place: as long as an agent
/// waits for a piece before it says that it has none.
const REST_TIME: Duration = Duration::from_millis(250);

/// What agents said first when they did not have one piece yet.
#[derive(Debug, Default)]
pub struct Patience {
    first: FastMap<SocketAddr, Lack>,
    /// Since when the piece is waited for.
    since: Option<Instant>,
    tries: u32,
    /// Until when it is left alone.
    rests: Option<Instant>,
}

/// When an agent said first that it lacks a piece, and how many others it had then.
#[derive(Debug, Clone, Copy)]
struct Lack {
    said: Instant,
    progress: usize,
    /// How many it had when it said so last.
    latest: usize,
}

impl Patience {
    /// Notes that an agent, which has `progress` pieces, does not have this one yet.
    pub fn later(&mut self, address: SocketAddr, progress: usize) {
        let said = Instant::now();
        let lack = self.first.entry(address).or_insert(Lack { said, progress, latest: progress });
        lack.latest = progress;
        self.tries += 1;
        if self.tries >= FRONT_TRIES {
            self.rests = Some(said + REST_TIME);
        }
    }

    /// Tells whether an agent is so far behind with this piece that others are asked.
    ///
    /// Nobody is behind while the origin fails, for some time; `failed` is when it did so last.
    #[must_use]
    pub fn is_over(&self, address: SocketAddr, failed: Option<Instant>) -> bool {
        let Some(lack) = self.first.get(&address) else { return false };
        lack.latest >= lack.progress + PASSED_BY
            || lack.said.elapsed() >= PATIENCE_MOST
            || failed.map_or(lack.said, |failed| failed.max(lack.said)).elapsed() >= PATIENCE
    }

    /// Tells whether the origin may be asked, now that no agent can be.
    ///
    /// All agents hear of a version at slightly different times, so the first ones wait.
    #[must_use]
    pub fn is_origin_due(&self) -> bool {
        self.since.is_some_and(|since| since.elapsed() >= ORIGIN_WAIT)
    }

    /// Begins anew with all agents.
    pub fn clear(&mut self) {
        self.first.clear();
        self.since = None;
    }
}

/// A piece that is being asked for.
#[derive(Debug)]
pub struct Asked {
    /// Its index.
    pub index: u32,
    /// Who is asked.
    pub source: Source,
    /// Who did not have it.
    pub patience: Patience,
    /// Its place in the order.
    place: usize,
}

/// A piece that nobody is asked for at the moment.
#[derive(Debug)]
struct Waiting {
    place: usize,
    index: u32,
    patience: Patience,
}

/// The pieces that are missing, in the order in which they are asked for.
///
/// ```
/// use egret_loader::{Queue, Source};
///
/// let mut queue = Queue::new(0..3);
/// let asked = queue.next(1, |_, _| Some(Source::Origin)).unwrap();
/// assert_eq!(asked.index, 0);
/// queue.ended(asked, true);
/// assert_eq!(queue.next(1, |_, _| Some(Source::Origin)).unwrap().index, 1);
/// ```
#[derive(Debug)]
pub struct Queue {
    waiting: VecDeque<Waiting>,
    /// Pieces that are being asked for.
    running: Vec<u32>,
    agents: usize,
    origin: usize,
}

impl Queue {
    /// Makes a queue of pieces.
    pub fn new(pieces: impl IntoIterator<Item = u32>) -> Self {
        let waiting = pieces.into_iter().enumerate().map(|(place, index)| Waiting {
            place,
            index,
            patience: Patience::default(),
        });
        Self { waiting: waiting.collect(), running: Vec::new(), agents: 0, origin: 0 }
    }

    /// Tells whether no piece waits or is being asked for.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes the first piece that has a source with room; at most `window` are asked of agents at
    /// once.
    pub fn next(
        &mut self,
        window: usize,
        source: impl Fn(u32, &Patience) -> Option<Source>,
    ) -> Option<Asked> {
        let agents_full = self.agents >= window;
        let origin_full = self.origin >= ORIGIN_WINDOW;
        if agents_full && origin_full {
            return None;
        }
        let now = Instant::now();
        let found = self.waiting.iter_mut().enumerate().find_map(|(at, one)| {
            let Waiting { index, patience, .. } = one;
            if patience.rests.is_some_and(|rests| now < rests) {
                return None;
            }
            let Some(source) = source(*index, patience) else {
                patience.since.get_or_insert(now);
                return None;
            };
            let is_full = match source {
                Source::Agent(_) => agents_full,
                Source::Origin => origin_full,
            };
            (!is_full).then_some((at, source))
        });
        let (at, source) = found?;
        let Waiting { place, index, patience } = self.waiting.remove(at)?;
        *self.count(source) += 1;
        self.running.push(index);
        Some(Asked { index, source, patience, place })
    }

    /// Notes that an answer came; a piece that is not there keeps its place in the order.
    pub fn ended(&mut self, asked: Asked, is_here: bool) {
        *self.count(asked.source) -= 1;
        let Asked { index, patience, place, .. } = asked;
        self.running.retain(|one| *one != index);
        if !is_here {
            let at = self.waiting.partition_point(|one| one.place < place);
            self.waiting.insert(at, Waiting { place, index, patience });
        }
    }

    /// Adds pieces that have turned bad, unless they wait or are being asked for already.
    pub fn restore(&mut self, pieces: &[u32]) {
        for index in pieces.iter().copied() {
            let waits = self.waiting.iter().any(|one| one.index == index);
            if !waits && !self.running.contains(&index) {
                // Others may wait for it.
                self.waiting.push_front(Waiting { place: 0, index, patience: Patience::default() });
            }
        }
    }

    /// Returns how many pieces wait or are being asked for.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    fn count(&mut self, source: Source) -> &mut usize {
        match source {
            Source::Agent(_) => &mut self.agents,
            Source::Origin => &mut self.origin,
        }
    }
}
