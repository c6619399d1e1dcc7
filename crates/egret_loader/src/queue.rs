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
pub struct RetryState {
    first: FastMap<SocketAddr, Miss>,
    /// Since when the piece is waited for.
    since: Option<Instant>,
    tries: u32,
    /// Until when it is left alone.
    rests: Option<Instant>,
}

/// When an agent said first that it lacks a piece, and how many others it had then.
#[derive(Debug, Clone, Copy)]
struct Miss {
    said: Instant,
    progress: usize,
    /// How many it had when it said so last.
    latest: usize,
}

impl RetryState {
    /// Notes that an agent, which has `progress` pieces, does not have this one yet.
    pub fn record_miss(&mut self, address: SocketAddr, progress: usize) {
        let said = Instant::now();
        let lack = self.first.entry(address).or_insert(Miss { said, progress, latest: progress });
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
    pub fn is_too_slow(&self, address: SocketAddr, failed: Option<Instant>) -> bool {
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
pub struct PieceRequest {
    /// Its index.
    pub index: u32,
    /// Who is asked.
    pub source: Source,
    /// Who did not have it.
    pub retry_state: RetryState,
    /// Its place in the order.
    place: usize,
}

/// A piece that nobody is asked for at the moment.
#[derive(Debug)]
struct PendingPiece {
    place: usize,
    index: u32,
    retry_state: RetryState,
}

/// The pieces that are missing, in the order in which they are asked for.
///
/// ```
/// use egret_loader::{FetchQueue, Source};
///
/// let mut queue = FetchQueue::new(0..3);
/// let asked = queue.next(1, |_, _| Some(Source::Origin)).unwrap();
/// assert_eq!(asked.index, 0);
/// queue.complete(asked, true);
/// assert_eq!(queue.next(1, |_, _| Some(Source::Origin)).unwrap().index, 1);
/// ```
#[derive(Debug)]
pub struct FetchQueue {
    waiting: VecDeque<PendingPiece>,
    /// Pieces that are being asked for.
    running: Vec<u32>,
    agents: usize,
    origin: usize,
}

impl FetchQueue {
    /// Makes a queue of pieces.
    pub fn new(pieces: impl IntoIterator<Item = u32>) -> Self {
        let waiting = pieces.into_iter().enumerate().map(|(place, index)| PendingPiece {
            place,
            index,
            retry_state: RetryState::default(),
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
        source: impl Fn(u32, &RetryState) -> Option<Source>,
    ) -> Option<PieceRequest> {
        let agents_full = self.agents >= window;
        let origin_full = self.origin >= ORIGIN_WINDOW;
        if agents_full && origin_full {
            return None;
        }
        let now = Instant::now();
        let found = self.waiting.iter_mut().enumerate().find_map(|(at, one)| {
            let PendingPiece { index, retry_state, .. } = one;
            if retry_state.rests.is_some_and(|rests| now < rests) {
                return None;
            }
            let Some(source) = source(*index, retry_state) else {
                retry_state.since.get_or_insert(now);
                return None;
            };
            let is_full = match source {
                Source::Agent(_) => agents_full,
                Source::Origin => origin_full,
            };
            (!is_full).then_some((at, source))
        });
        let (at, source) = found?;
        let PendingPiece { place, index, retry_state } = self.waiting.remove(at)?;
        *self.count(source) += 1;
        self.running.push(index);
        Some(PieceRequest { index, source, retry_state, place })
    }

    /// Notes that an answer came; a piece that is not there keeps its place in the order.
    pub fn complete(&mut self, asked: PieceRequest, is_here: bool) {
        *self.count(asked.source) -= 1;
        let PieceRequest { index, retry_state, place, .. } = asked;
        self.running.retain(|one| *one != index);
        if !is_here {
            let at = self.waiting.partition_point(|one| one.place < place);
            self.waiting.insert(at, PendingPiece { place, index, retry_state });
        }
    }

    /// Adds pieces that have turned bad, unless they wait or are being asked for already.
    pub fn requeue(&mut self, pieces: &[u32]) {
        for index in pieces.iter().copied() {
            let waits = self.waiting.iter().any(|one| one.index == index);
            if !waits && !self.running.contains(&index) {
                // Others may wait for it.
                self.waiting.push_front(PendingPiece {
                    place: 0,
                    index,
                    retry_state: RetryState::default(),
                });
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
