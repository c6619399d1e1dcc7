//! UpdateKind for processes that follow a fleet.
//!
//! A feed belongs to one process and one of its lifetimes. A follower names the
//! place up to which it has read and receives what came after, or everything
//! when that place is not known any more.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Fleet, ProcessKind, StatusKey, StatusUpdate};

/// Sightings that are kept for followers that lag.
const NEWS_KEPT: usize = 1_024;

/// What a follower wants to learn.
///
/// ```
/// use egret_fleet::{Interest, StatusStamp, StatusUpdate, StatusKey};
///
/// let gone = StatusUpdate::Gone(StatusKey::Backend("i-1".to_owned()), StatusStamp::default());
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
    pub fn includes(self, update: &StatusUpdate) -> bool {
        match (self, update) {
            (Self::All, _) => true,
            (Self::Agents, StatusUpdate::Process(process)) => process.kind == ProcessKind::Agent,
            (Self::Agents, StatusUpdate::Gone(key, _)) => matches!(key, StatusKey::Process(_)),
            (Self::Agents, StatusUpdate::Backend(_)) => false,
        }
    }
}

/// The place up to which a follower has read a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FeedCursor {
    /// The lifetime of the feed.
    pub epoch: u64,
    /// The number of sightings before this place.
    #[serde(rename = "at")]
    pub position: u64,
}

/// What a follower lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedDelta {
    /// The place after it.
    pub cursor: FeedCursor,
    /// The sightings.
    #[serde(rename = "sightings")]
    pub updates: Vec<StatusUpdate>,
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
    recent: VecDeque<StatusUpdate>,
}

impl Default for Feed {
    fn default() -> Self {
        // Zero is what followers send that have read nothing yet.
        let epoch = rand::random::<u64>().max(1);
        Self { epoch, end: 0, urgent: 0, urgent_agents: 0, recent: VecDeque::new() }
    }
}

impl Feed {
    /// Adds a sighting; an urgent one shall reach followers at once.
    pub fn push(&mut self, update: StatusUpdate, urgent: bool) {
        if self.recent.len() == NEWS_KEPT {
            self.recent.pop_front();
        }
        self.end += 1;
        if urgent {
            self.urgent = self.end;
        }
        if urgent && Interest::Agents.includes(&update) {
            self.urgent_agents = self.end;
        }
        self.recent.push_back(update);
    }

    /// Returns the place after the latest sighting.
    #[must_use]
    pub const fn cursor(&self) -> FeedCursor {
        FeedCursor { epoch: self.epoch, position: self.end }
    }

    /// Tells whether a follower that wants `interest` must learn of something at once.
    #[must_use]
    pub const fn is_urgent_after(&self, cursor: FeedCursor, interest: Interest) -> bool {
        let urgent = match interest {
            Interest::All => self.urgent,
            Interest::Agents => self.urgent_agents,
        };
        cursor.epoch != self.epoch || urgent > cursor.position
    }

    /// Returns what a follower lacks of `interest`; all of it if its place is not known.
    #[must_use]
    pub fn delta_since(&self, cursor: FeedCursor, fleet: &Fleet, interest: Interest) -> FeedDelta {
        let oldest = self.end - self.recent.len() as u64;
        let known = cursor.epoch == self.epoch && (oldest..=self.end).contains(&cursor.position);
        let wanted = |update: &&StatusUpdate| interest.includes(update);
        let updates = if known {
            let skip = usize::try_from(cursor.position - oldest).unwrap_or(usize::MAX);
            self.recent.iter().skip(skip).filter(wanted).cloned().collect()
        } else {
            fleet.all().map(|known| &known.status).filter(wanted).cloned().collect()
        };
        FeedDelta { cursor: self.cursor(), updates }
    }
}
