//! News for processes that follow a fleet.
//!
//! A feed belongs to one process and one of its lifetimes. A follower names the
//! place up to which it has read and receives what came after, or everything
//! when that place is not known any more.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Fleet, Sighting};

/// Sightings that are kept for followers that lag.
const NEWS_KEPT: usize = 1_024;

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
    news: VecDeque<Sighting>,
}

impl Default for Feed {
    fn default() -> Self {
        // Zero is what followers send that have read nothing yet.
        let epoch = rand::random::<u64>().max(1);
        Self { epoch, end: 0, urgent: 0, news: VecDeque::new() }
    }
}

impl Feed {
    /// Adds a sighting; an urgent one shall reach followers at once.
    pub fn push(&mut self, sighting: Sighting, urgent: bool) {
        if self.news.len() == NEWS_KEPT {
            self.news.pop_front();
        }
        self.news.push_back(sighting);
        self.end += 1;
        if urgent {
            self.urgent = self.end;
        }
    }

    /// Returns the place after the latest sighting.
    #[must_use]
    pub const fn cursor(&self) -> FeedCursor {
        FeedCursor { epoch: self.epoch, at: self.end }
    }

    /// Tells whether a follower must learn of something at once.
    #[must_use]
    pub const fn is_urgent_after(&self, cursor: FeedCursor) -> bool {
        cursor.epoch != self.epoch || self.urgent > cursor.at
    }

    /// Returns what a follower lacks; the whole fleet if its place is not known.
    #[must_use]
    pub fn since(&self, cursor: FeedCursor, fleet: &Fleet) -> FeedDelta {
        let oldest = self.end - self.news.len() as u64;
        let known = cursor.epoch == self.epoch && (oldest..=self.end).contains(&cursor.at);
        let sightings = if known {
            let skip = usize::try_from(cursor.at - oldest).unwrap_or(usize::MAX);
            self.news.iter().skip(skip).cloned().collect()
        } else {
            fleet.all().map(|known| known.sighting.clone()).collect()
        };
        FeedDelta { cursor: self.cursor(), sightings }
    }
}
