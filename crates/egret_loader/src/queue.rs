//! The order of fetches and the choice of their source.
//!
//! A piece that its source repeatedly does not have is retried after a delay, and requests to the
//! origin are limited separately from those to agents, so that a late piece does not block others.
//! A retried piece keeps its position, since all agents fetch along the trees in the same order.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use egret_record::FastMap;
use tokio::time::Instant;

use crate::sources::Source;

/// Concurrent requests to the origin: the next piece is requested while one arrives.
const ORIGIN_WINDOW: usize = 2;
/// Time after an agent's first miss of a piece at which it counts as too slow for it: the origin's
/// link needs under three seconds for a whole version, and the trees somewhat longer.
const MISS_TIMEOUT: Duration = Duration::from_secs(4);
/// Like [`MISS_TIMEOUT`], but applies even while some agents report that the origin fails: they may
/// be the only ones that cannot reach it.
const MISS_TIMEOUT_MAX: Duration = Duration::from_secs(12);
/// Number of other pieces that an agent receives after a miss before it counts as too slow for the
/// missed one: more than are in transit along the trees at a time.
const MISS_PROGRESS_MAX: usize = 32;
/// Delay before the origin is asked for a piece, if no agent can be asked for it.
const ORIGIN_DELAY: Duration = Duration::from_millis(500);
/// Misses after which retries of a piece are delayed; until then it is most likely in transit along
/// a tree, which is only a few agents deep.
const MISSES_BEFORE_DELAY: u32 = 3;
/// Delay of such a retry, in which other pieces are requested: as long as the asked agent waits for
/// a piece before it answers that it does not have it.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The failed attempts to fetch one piece.
#[derive(Debug, Default)]
pub struct RetryState {
    misses: FastMap<SocketAddr, Miss>,
    /// The first time that no agent could be asked for the piece.
    waiting_since: Option<Instant>,
    /// Misses of the piece since agents were last held up; [`RetryState::clear`] does not reset it.
    miss_count: u32,
    /// Until when retries are delayed.
    delayed_until: Option<Instant>,
}

/// An agent's answers that it does not have a piece yet.
#[derive(Debug, Clone, Copy)]
struct Miss {
    /// The time of the first answer.
    first: Instant,
    /// The agent's piece count in the first answer.
    progress: usize,
    /// The agent's piece count in the last answer.
    latest: usize,
}

impl RetryState {
    /// Records that an agent, which has `progress` pieces, does not have this one yet.
    ///
    /// Such a miss delays no retry while an outage of the origin explains it, as `held_up` tells: the
    /// lowest pieces arrive first once the origin is back. Nor do pieces count that the agent
    /// receives then.
    pub fn record_miss(&mut self, address: SocketAddr, progress: usize, held_up: bool) {
        let now = Instant::now();
        let miss =
            self.misses.entry(address).or_insert(Miss { first: now, progress, latest: progress });
        miss.latest = progress;
        if held_up {
            miss.progress = progress;
            self.miss_count = 0;
            return;
        }
        self.miss_count += 1;
        if self.miss_count >= MISSES_BEFORE_DELAY {
            self.delayed_until = Some(now + RETRY_DELAY);
        }
    }

    /// Returns whether an agent is too slow with this piece, so that other sources are asked.
    ///
    /// The time limit restarts with `failed`, the last known failure of the origin, since agents
    /// make no progress without it; a longer limit applies regardless.
    #[must_use]
    pub fn is_too_slow(&self, address: SocketAddr, failed: Option<Instant>) -> bool {
        let Some(miss) = self.misses.get(&address) else { return false };
        miss.latest >= miss.progress + MISS_PROGRESS_MAX
            || miss.first.elapsed() >= MISS_TIMEOUT_MAX
            || failed.map_or(miss.first, |failed| failed.max(miss.first)).elapsed() >= MISS_TIMEOUT
    }

    /// Returns whether the origin may be asked, if no agent can be.
    ///
    /// Agents learn of a version at slightly different times, so the first ones wait for others.
    #[must_use]
    pub fn is_origin_due(&self) -> bool {
        self.waiting_since.is_some_and(|since| since.elapsed() >= ORIGIN_DELAY)
    }

    /// Clears the misses, so that all agents may be asked again.
    pub fn clear(&mut self) {
        self.misses.clear();
        self.waiting_since = None;
    }
}

/// A request for a piece in flight.
#[derive(Debug)]
pub struct PieceRequest {
    /// The index of the piece.
    pub index: u32,
    /// The source that is asked.
    pub source: Source,
    /// Earlier attempts to fetch the piece.
    pub retry_state: RetryState,
    /// The position of the piece in the queue's order.
    position: usize,
}

/// A piece without a request in flight.
#[derive(Debug)]
struct PendingPiece {
    position: usize,
    index: u32,
    retry_state: RetryState,
}

/// The missing pieces, in the order in which they are requested.
///
/// ```
/// use egret_loader::{FetchQueue, Source};
///
/// let mut queue = FetchQueue::new(0..3);
/// let request = queue.next(1, |_, _| Some(Source::Origin)).unwrap();
/// assert_eq!(request.index, 0);
/// queue.complete(request, true);
/// assert_eq!(queue.next(1, |_, _| Some(Source::Origin)).unwrap().index, 1);
/// ```
#[derive(Debug)]
pub struct FetchQueue {
    pending: VecDeque<PendingPiece>,
    /// Pieces with a request in flight.
    in_flight: Vec<u32>,
    /// Requests to agents in flight.
    agent_requests: usize,
    /// Requests to the origin in flight.
    origin_requests: usize,
    /// Whether the last request to the origin brought a piece; if not, one at a time is made.
    origin_answers: bool,
}

impl FetchQueue {
    /// Creates a queue of pieces in the given order.
    pub fn new(pieces: impl IntoIterator<Item = u32>) -> Self {
        let pending = pieces.into_iter().enumerate().map(|(position, index)| PendingPiece {
            position,
            index,
            retry_state: RetryState::default(),
        });
        Self {
            pending: pending.collect(),
            in_flight: Vec::new(),
            agent_requests: 0,
            origin_requests: 0,
            origin_answers: false,
        }
    }

    /// Returns whether no piece is pending or in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes the first piece whose source accepts another request.
    ///
    /// At most `window` requests to agents are in flight.
    pub fn next(
        &mut self,
        window: usize,
        source: impl Fn(u32, &RetryState) -> Option<Source>,
    ) -> Option<PieceRequest> {
        let agents_full = self.agent_requests >= window;
        let origin_window = if self.origin_answers { ORIGIN_WINDOW } else { 1 };
        let origin_full = self.origin_requests >= origin_window;
        if agents_full && origin_full {
            return None;
        }
        let now = Instant::now();
        let found = self.pending.iter_mut().enumerate().find_map(|(slot, piece)| {
            let PendingPiece { index, retry_state, .. } = piece;
            if retry_state.delayed_until.is_some_and(|until| now < until) {
                return None;
            }
            let Some(source) = source(*index, retry_state) else {
                retry_state.waiting_since.get_or_insert(now);
                return None;
            };
            let is_full = match source {
                Source::Agent(_) => agents_full,
                Source::Origin => origin_full,
            };
            (!is_full).then_some((slot, source))
        });
        let (slot, source) = found?;
        let PendingPiece { position, index, retry_state } = self.pending.remove(slot)?;
        *self.requests(source) += 1;
        self.in_flight.push(index);
        Some(PieceRequest { index, source, retry_state, position })
    }

    /// Completes a request; a piece that was not received returns to its position.
    pub fn complete(&mut self, request: PieceRequest, received: bool) {
        *self.requests(request.source) -= 1;
        if request.source == Source::Origin {
            self.origin_answers = received;
        }
        let PieceRequest { index, retry_state, position, .. } = request;
        self.in_flight.retain(|other| *other != index);
        if !received {
            let slot = self.pending.partition_point(|piece| piece.position < position);
            self.pending.insert(slot, PendingPiece { position, index, retry_state });
        }
    }

    /// Adds pieces that have become corrupt, unless they are pending or in flight already.
    pub fn requeue(&mut self, pieces: &[u32]) {
        for index in pieces.iter().copied() {
            let is_pending = self.pending.iter().any(|piece| piece.index == index);
            if !is_pending && !self.in_flight.contains(&index) {
                // It goes first, as other agents may be waiting for it.
                self.pending.push_front(PendingPiece {
                    position: 0,
                    index,
                    retry_state: RetryState::default(),
                });
            }
        }
    }

    /// Returns the number of pieces that are pending or in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len() + self.in_flight.len()
    }

    fn requests(&mut self, source: Source) -> &mut usize {
        match source {
            Source::Agent(_) => &mut self.agent_requests,
            Source::Origin => &mut self.origin_requests,
        }
    }
}
