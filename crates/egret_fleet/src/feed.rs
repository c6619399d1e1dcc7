//! Log of recent status updates for processes that follow a fleet.
//!
//! A feed belongs to one incarnation of one process. A follower sends the
//! cursor up to which it has read and receives the later updates, or the
//! status of the whole fleet if the feed does not cover that cursor.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Fleet, ProcessKind, StatusKey, StatusUpdate};

/// Updates kept for followers that lag behind.
const FEED_CAPACITY: usize = 1_024;
/// Memory for these updates, in bytes; most take some hundred.
const FEED_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Which updates a follower subscribes to.
///
/// ```
/// use egret_fleet::{Interest, StatusKey, StatusStamp, StatusUpdate};
///
/// let gone = StatusUpdate::Gone(StatusKey::Backend("i-1".to_owned()), StatusStamp::default());
/// assert!(Interest::All.includes(&gone));
/// assert!(!Interest::Agents.includes(&gone));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interest {
    /// All updates.
    All,
    /// Updates about agents, which fetch weights from each other, and departures of any process.
    ///
    /// This leaves out backend servers, which make up most of a large fleet.
    Agents,
}

impl Interest {
    /// Returns whether the subscription includes `update`.
    #[must_use]
    pub fn includes(self, update: &StatusUpdate) -> bool {
        match (self, update) {
            (Self::All, _) => true,
            (Self::Agents, StatusUpdate::Process(process)) => process.kind == ProcessKind::Agent,
            (Self::Agents, StatusUpdate::Gone(key, _)) => matches!(key, StatusKey::Process(_)),
            (
                Self::Agents,
                StatusUpdate::Backend(_)
                | StatusUpdate::Limit(_)
                | StatusUpdate::Suspects(_)
                | StatusUpdate::Weights(_),
            ) => false,
        }
    }
}

/// The position up to which a follower has read a feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct FeedCursor {
    /// A random number that identifies the feed, drawn when its process starts.
    pub epoch: u64,
    /// The number of updates before this position.
    #[serde(rename = "at")]
    pub position: u64,
}

/// The updates that a follower has not read yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedDelta {
    /// The cursor after these updates.
    pub cursor: FeedCursor,
    /// The updates.
    #[serde(rename = "sightings")]
    pub updates: Vec<StatusUpdate>,
}

/// The latest updates, in the order in which this process received them.
#[derive(Debug)]
pub struct Feed {
    epoch: u64,
    end: u64,
    /// The position after the latest urgent update.
    urgent: u64,
    /// The position after the latest urgent update for [`Interest::Agents`].
    urgent_agents: u64,
    recent: VecDeque<StatusUpdate>,
    /// The memory of `recent`, in bytes.
    bytes: usize,
}

impl Default for Feed {
    fn default() -> Self {
        // Followers that have read nothing yet send epoch zero.
        let epoch = rand::random::<u64>().max(1);
        Self { epoch, end: 0, urgent: 0, urgent_agents: 0, recent: VecDeque::new(), bytes: 0 }
    }
}

impl Feed {
    /// Appends an update; followers are sent an urgent one at once.
    pub fn push(&mut self, update: StatusUpdate, urgent: bool) {
        self.bytes += update.memory();
        while (self.recent.len() >= FEED_CAPACITY || self.bytes > FEED_BYTES_MAX)
            && let Some(oldest) = self.recent.pop_front()
        {
            self.bytes -= oldest.memory();
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

    /// Returns the position after the latest update.
    #[must_use]
    pub const fn cursor(&self) -> FeedCursor {
        FeedCursor { epoch: self.epoch, position: self.end }
    }

    /// Returns whether a follower at `cursor` must be sent updates of `interest` at once.
    #[must_use]
    pub const fn is_urgent_after(&self, cursor: FeedCursor, interest: Interest) -> bool {
        let urgent = match interest {
            Interest::All => self.urgent,
            Interest::Agents => self.urgent_agents,
        };
        cursor.epoch != self.epoch || urgent > cursor.position
    }

    /// Returns the updates of `interest` after `cursor`.
    ///
    /// If the feed does not cover `cursor`, returns the latest status of the whole fleet.
    #[must_use]
    pub fn delta_since(&self, cursor: FeedCursor, fleet: &Fleet, interest: Interest) -> FeedDelta {
        let oldest = self.end - self.recent.len() as u64;
        let known = cursor.epoch == self.epoch && (oldest..=self.end).contains(&cursor.position);
        let wanted = |update: &&StatusUpdate| interest.includes(update);
        let updates = if known {
            let skip = usize::try_from(cursor.position - oldest).unwrap_or(usize::MAX);
            self.recent.iter().skip(skip).filter(wanted).cloned().collect()
        } else {
            fleet.all().map(|member| &member.status).filter(wanted).cloned().collect()
        };
        FeedDelta { cursor: self.cursor(), updates }
    }
}
