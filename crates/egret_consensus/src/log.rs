//! The log after the last snapshot.

use std::collections::VecDeque;

use crate::types::{Index, LogEntry, Membership, Payload, Snapshot, Term};

/// The log entries after the last snapshot, and the snapshot itself.
#[derive(Debug, Clone, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<LogEntry>,
    /// The size of the commands in `entries`.
    bytes: usize,
}

impl Log {
    /// Builds a log from a snapshot and the entries found on disk.
    #[must_use]
    pub fn new(snapshot: Snapshot, entries: Vec<LogEntry>) -> Self {
        let first = snapshot.index;
        let entries: VecDeque<_> =
            entries.into_iter().filter(|entry| entry.index > first).collect();
        let bytes = entries.iter().map(|entry| entry.payload.command_bytes()).sum();
        Self { entries, snapshot, bytes }
    }

    /// Returns the snapshot.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the last index.
    #[must_use]
    pub fn last(&self) -> Index {
        self.entries.back().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns the term of the last index.
    #[must_use]
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the term of an index, if it is still known.
    #[must_use]
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns one entry.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&LogEntry> {
        self.entries.get(self.offset(index)?)
    }

    /// Iterates over the entries after `index`, up to the last.
    pub fn after(&self, index: Index) -> impl Iterator<Item = &LogEntry> {
        let skip = self.offset(index.next()).unwrap_or(0);
        self.entries.iter().skip(skip)
    }

    /// Returns the latest membership and its index, from the log or the snapshot.
    #[must_use]
    pub fn membership(&self) -> (Index, &Membership) {
        let found = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Membership(membership) => Some((entry.index, membership)),
            _ => None,
        });
        found.unwrap_or((self.snapshot.index, &self.snapshot.membership))
    }

    /// Returns the membership that was in effect at `index`.
    #[must_use]
    pub fn membership_at(&self, index: Index) -> &Membership {
        let found = self.entries.iter().rev().filter(|entry| entry.index <= index);
        found
            .filter_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some(membership),
                _ => None,
            })
            .next()
            .unwrap_or(&self.snapshot.membership)
    }

    /// Returns the number of entries after the snapshot.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the size of the commands after the snapshot, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the size of the commands after the snapshot up to `index`, in bytes.
    #[must_use]
    pub fn bytes_up_to(&self, index: Index) -> usize {
        let entries = self.entries.iter().take_while(|entry| entry.index <= index);
        entries.map(|entry| entry.payload.command_bytes()).sum()
    }

    /// Returns whether there is no entry after the snapshot.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an entry at the end.
    pub(crate) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last().next());
        self.bytes += entry.payload.command_bytes();
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: Index) {
        if let Some(offset) = self.offset(index) {
            let removed = self.entries.drain(offset.min(self.entries.len())..);
            self.bytes -= removed.map(|entry| entry.payload.command_bytes()).sum::<usize>();
        }
    }

    /// Replaces the entries that a snapshot covers; drops all if the log does not match it.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            while let Some(entry) = self.entries.pop_front_if(|entry| entry.index <= snapshot.index)
            {
                self.bytes -= entry.payload.command_bytes();
            }
        } else {
            self.entries.clear();
            self.bytes = 0;
        }
        self.snapshot = snapshot;
    }

    fn offset(&self, index: Index) -> Option<usize> {
        let first = self.snapshot.index.next();
        usize::try_from(index.0.checked_sub(first.0)?).ok()
    }
}
