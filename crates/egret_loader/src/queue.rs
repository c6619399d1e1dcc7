//! Which piece is asked for next, and of whom.
//!
//! A piece that its source does not have for long goes behind the others, and the origin's
//! answers are counted apart from those of agents: what is late holds up nothing else.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use egret_record::FastMap;
use tokio::time::Instant;

use crate::sources::Source;

/// Pieces that one agent asks of the origin at once, which limits its connections.
const ORIGIN_WINDOW: usize = 1;
/// Time without a piece after which an agent counts as too slow for it: the origin's link needs
/// under three seconds for a whole version, and the trees some more.
const PATIENCE: Duration = Duration::from_secs(4);
/// Time after a failure at which the origin counts as back; it is asked more often than that.
const ORIGIN_BACK: Duration = Duration::from_secs(1);
/// Answers without a piece after which the others go first; until then it is on its way, most
/// likely, along a tree of a few agents.
const FRONT_TRIES: u32 = 3;

/// When agents said first that they do not have one piece yet, and how often.
#[derive(Debug, Default)]
pub struct Patience {
    first: FastMap<SocketAddr, Instant>,
    tries: u32,
}

impl Patience {
    /// Notes that an agent does not have the piece yet; `failed` is when the origin failed last.
    pub fn later(&mut self, address: SocketAddr, failed: Option<Instant>) {
        self.first.entry(address).or_insert_with(Instant::now);
        // While the origin is down the pieces keep their order, in which they come afterwards.
        if failed.is_none_or(|failed| failed.elapsed() >= ORIGIN_BACK) {
            self.tries += 1;
        }
    }

    /// Tells whether an agent is so far behind that others are asked.
    ///
    /// Nobody is behind while the origin fails; `failed` is when it did so last.
    #[must_use]
    pub fn is_over(&self, address: SocketAddr, failed: Option<Instant>) -> bool {
        let Some(first) = self.first.get(&address) else { return false };
        failed.map_or(*first, |failed| failed.max(*first)).elapsed() >= PATIENCE
    }

    /// Begins anew with all agents.
    pub fn clear(&mut self) {
        self.first.clear();
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
}

/// The pieces that are missing, in the order in which they are asked for.
///
/// ```
/// use egret_loader::{Queue, Source};
///
/// let mut queue = Queue::new(0..3);
/// let asked = queue.next(1, |_, _| Source::Origin).unwrap();
/// assert_eq!(asked.index, 0);
/// queue.ended(asked, true);
/// assert_eq!(queue.next(1, |_, _| Source::Origin).unwrap().index, 1);
/// ```
#[derive(Debug)]
pub struct Queue {
    waiting: VecDeque<(u32, Patience)>,
    agents: usize,
    origin: usize,
}

impl Queue {
    /// Makes a queue of pieces.
    pub fn new(pieces: impl IntoIterator<Item = u32>) -> Self {
        let waiting = pieces.into_iter().map(|index| (index, Patience::default())).collect();
        Self { waiting, agents: 0, origin: 0 }
    }

    /// Takes the first piece whose source has room; at most `window` are asked of agents at once.
    pub fn next(
        &mut self,
        window: usize,
        source: impl Fn(u32, &Patience) -> Source,
    ) -> Option<Asked> {
        let agents_full = self.agents >= window;
        let origin_full = self.origin >= ORIGIN_WINDOW;
        if agents_full && origin_full {
            return None;
        }
        let found = self.waiting.iter().enumerate().find_map(|(at, (index, patience))| {
            let source = source(*index, patience);
            let is_full = match source {
                Source::Agent(_) => agents_full,
                Source::Origin => origin_full,
            };
            (!is_full).then_some((at, source))
        });
        let (at, source) = found?;
        let (index, patience) = self.waiting.remove(at)?;
        *self.count(source) += 1;
        Some(Asked { index, source, patience })
    }

    /// Notes that an answer came; a piece that is not there for long goes behind the others.
    pub fn ended(&mut self, asked: Asked, is_here: bool) {
        *self.count(asked.source) -= 1;
        if is_here {
            return;
        }
        let Asked { index, patience, .. } = asked;
        if patience.tries < FRONT_TRIES {
            self.waiting.push_front((index, patience));
        } else {
            self.waiting.push_back((index, patience));
        }
    }

    fn count(&mut self, source: Source) -> &mut usize {
        match source {
            Source::Agent(_) => &mut self.agents,
            Source::Origin => &mut self.origin,
        }
    }
}
