//! News for processes that follow a fleet.
//!
//! A feed belongs to one process and one of its lifetimes. A follower names the
//! place up to which it has read and receives what came after, or everything
//! when that place is not known any more.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Fleet, ProcessKind, Sighting, SightingKey};

/// Sightings that are kept for followers that lag.
const NEWS_KEPT: usize = 1_024;

/// What a follower wants to learn.
///
/// ```
/// use egret_fleet::{Interest, Life, Sighting, SightingKey};
///
/// let gone = Sighting::Gone(SightingKey::Backend("i-1".to_owned()), Life::default());
/// assert!(Interest::All.includes(&gone));
/// assert!(!Interest::Agents.includes(&gone));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interest {
    /// Everything.
    All,
    /// Agents, which fetch weights from each other. Backend servers are most of a large fleet.
    Agents,
}

impl Interest {
    /// Tells whether a sighting is wanted.
    #[must_use]
    pub fn includes(self, sighting: &Sighting) -> bool {
        match (self, sighting) {
            (Self::All, _) => true,
            (Self::Agents, Sighting::Process(process)) => process.kind == ProcessKind::Agent,
            (Self::Agents, Sighting::Gone(key, _)) => matches!(key, SightingKey::Process(_)),
            (Self::Agents, Sighting::Backend(_)) => false,
        }
    }
}

/// The place up to which a follower has read a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FeedCursor {
    /// The lifetime of the feed.
    pub epoch: u64,
    /// The number of sightings before this place.
    pub at: u64,
}

/// What a follower lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedDelta {
    /// The place after it.
    pub cursor: FeedCursor,
    /// The sightings.
    pub sightings: Vec<Sighting>,
}

/// The latest sightings, in the order in which this process learnt of them.
#[derive(Debug)]
pub struct Feed {
    epoch: u64,
    end: u64,
    /// The end after the latest sighting that followers must learn at once.
    urgent: u64,
    /// The same of those that agents want.
    urgent_agents: u64,
    news: VecDeque<Sighting>,
}

impl Default for Feed {
    fn default() -> Self {
        // Zero is what followers send that have read nothing yet.
        let epoch = rand::random::<u64>().max(1);
        Self { epoch, end: 0, urgent: 0, urgent_agents: 0, news: VecDeque::new() }
    }
}

impl Feed {
    /// Adds a sighting; an urgent one shall reach followers at once.
    pub fn push(&mut self, sighting: Sighting, urgent: bool) {
        if self.news.len() == NEWS_KEPT {
            self.news.pop_front();
        }
        self.end += 1;
        if urgent {
            self.urgent = self.end;
        }
        if urgent && Interest::Agents.includes(&sighting) {
            self.urgent_agents = self.end;
        }
        self.news.push_back(sighting);
    }

    /// Returns the place after the latest sighting.
    #[must_use]
    pub const fn cursor(&self) -> FeedCursor {
        FeedCursor { epoch: self.epoch, at: self.end }
    }

    /// Tells whether a follower that wants `interest` must learn of something at once.
    #[must_use]
    pub const fn is_urgent_after(&self, cursor: FeedCursor, interest: Interest) -> bool {
        let urgent = match interest {
            Interest::All => self.urgent,
            Interest::Agents => self.urgent_agents,
        };
        cursor.epoch != self.epoch || urgent > cursor.at
    }

    /// Returns what a follower lacks of `interest`; all of it if its place is not known.
    #[must_use]
    pub fn since(&self, cursor: FeedCursor, fleet: &Fleet, interest: Interest) -> FeedDelta {
        let oldest = self.end - self.news.len() as u64;
        let known = cursor.epoch == self.epoch && (oldest..=self.end).contains(&cursor.at);
        let wanted = |sighting: &&Sighting| interest.includes(sighting);
        let sightings = if known {
            let skip = usize::try_from(cursor.at - oldest).unwrap_or(usize::MAX);
            self.news.iter().skip(skip).filter(wanted).cloned().collect()
        } else {
            fleet.all().map(|known| &known.sighting).filter(wanted).cloned().collect()
        };
        FeedDelta { cursor: self.cursor(), sightings }
    }
}
