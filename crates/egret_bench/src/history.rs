//! What operators and holders saw, and whether it may be.
//!
//! A history is a list of amendments and reads with the times at which they
//! were sent and replied to, and of what holders believed at times. The checks
//! are those of a register with compare-and-set for each record, of operation
//! ids, and of the promise that an accepted change is in force everywhere.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How an amendment ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was accepted at this revision.
    Accepted(u64),
    /// Another one was first.
    Conflict,
}

/// An amendment that was replied to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Amendment {
    /// The operation id.
    pub id: String,
    /// The record.
    pub record: String,
    /// The revision that it expected.
    pub expected: u64,
    /// What it wrote.
    pub content: String,
    /// When it was sent first.
    pub sent: Duration,
    /// When it was replied to.
    pub replied: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

/// A read of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// The record.
    pub record: String,
    /// When it was sent.
    pub sent: Duration,
    /// When it was replied to.
    pub replied: Duration,
    /// Revision and content that it found; revision zero for no record.
    pub found: (u64, String),
}

/// What a holder would have acted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasedView {
    /// When.
    pub time: Duration,
    /// The number of the holder.
    pub holder: usize,
    /// The revision of its view, which it held a lease on.
    pub revision: u64,
}

/// The word that a revision is in force everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForce {
    /// When the word came.
    pub time: Duration,
    /// The revision.
    pub revision: u64,
}

/// Everything that was seen in a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// The amendments.
    pub amendments: Vec<Amendment>,
    /// The reads.
    pub reads: Vec<Read>,
    /// The beliefs of the holders.
    pub leased_views: Vec<LeasedView>,
    /// The words that a revision is in force.
    pub in_force: Vec<InForce>,
}

impl History {
    /// Lists all violations of the promises.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let mut found = self.duplicate_outcomes();
        let accepted = self.accepted();
        found.extend(failed_expectations(&accepted));
        found.extend(misordered(&accepted));
        found.extend(self.stale_reads(&accepted));
        found.extend(self.outdated_views());
        found
    }

    /// Returns the accepted amendments of each record, in the order of revisions.
    fn accepted(&self) -> BTreeMap<&str, Vec<(u64, &Amendment)>> {
        let mut accepted: BTreeMap<&str, BTreeMap<u64, &Amendment>> = BTreeMap::new();
        for amendment in &self.amendments {
            if let Outcome::Accepted(revision) = amendment.outcome {
                accepted.entry(&amendment.record).or_default().entry(revision).or_insert(amendment);
            }
        }
        accepted.into_iter().map(|(record, all)| (record, all.into_iter().collect())).collect()
    }

    /// Finds operation ids with two outcomes, and revisions given twice.
    fn duplicate_outcomes(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut outcomes: BTreeMap<&str, Outcome> = BTreeMap::new();
        let mut owners: BTreeMap<u64, &str> = BTreeMap::new();
        for amendment in &self.amendments {
            let first = *outcomes.entry(&amendment.id).or_insert(amendment.outcome);
            if first != amendment.outcome {
                found.push(format!(
                    "{} ended as {first:?} and {:?}",
                    amendment.id, amendment.outcome
                ));
            }
            if let Outcome::Accepted(revision) = amendment.outcome {
                let owner = *owners.entry(revision).or_insert(&amendment.id);
                if owner != amendment.id {
                    found.push(format!("revision {revision} went to {owner} and {}", amendment.id));
                }
            }
        }
        found
    }

    /// Finds reads that miss what was accepted before, or show what never was.
    fn stale_reads(&self, accepted: &BTreeMap<&str, Vec<(u64, &Amendment)>>) -> Vec<String> {
        let none = Vec::new();
        let mut found = Vec::new();
        for read in &self.reads {
            let all = accepted.get(read.record.as_str()).unwrap_or(&none);
            let before = all.iter().filter(|(_, a)| a.replied < read.sent).map(|(r, _)| *r).max();
            if read.found.0 < before.unwrap_or(0) {
                found.push(format!("{read:?} misses revision {before:?}"));
            }
            let written = all.iter().find(|(revision, _)| *revision == read.found.0);
            let matches = match written {
                Some((_, amendment)) => {
                    amendment.content == read.found.1 && amendment.sent < read.replied
                }
                None => read.found.0 == 0,
            };
            if !matches {
                found.push(format!("{read:?} shows what was never accepted"));
            }
        }
        found
    }

    /// Finds holders that would have acted on a view older than what was in force.
    fn outdated_views(&self) -> Vec<String> {
        let mut words = self.in_force.clone();
        words.sort_by_key(|word| word.time);
        let mut found = Vec::new();
        for leased_view in &self.leased_views {
            let promised = words
                .iter()
                .take_while(|word| word.time < leased_view.time)
                .map(|w| w.revision)
                .max();
            if promised.is_some_and(|revision| leased_view.revision < revision) {
                found
                    .push(format!("{leased_view:?} is older than what was in force, {promised:?}"));
            }
        }
        found
    }
}

/// Finds amendments that did not follow the revision that they expected.
fn failed_expectations(accepted: &BTreeMap<&str, Vec<(u64, &Amendment)>>) -> Vec<String> {
    let mut found = Vec::new();
    for all in accepted.values() {
        let mut present = 0;
        for (revision, amendment) in all {
            if amendment.expected != present {
                found.push(format!("{amendment:?} followed revision {present}"));
            }
            present = *revision;
        }
    }
    found
}

/// Finds amendments that were accepted before, and ordered after, another one.
fn misordered(accepted: &BTreeMap<&str, Vec<(u64, &Amendment)>>) -> Vec<String> {
    let mut all: Vec<_> = accepted.values().flatten().collect();
    all.sort_by_key(|(_, amendment)| amendment.replied);
    let mut found = Vec::new();
    let mut seen: BTreeSet<u64> = BTreeSet::new();
    let mut next = 0;
    let mut by_sending = all.clone();
    by_sending.sort_by_key(|(_, amendment)| amendment.sent);
    for (revision, amendment) in by_sending {
        while next < all.len() && all[next].1.replied < amendment.sent {
            seen.insert(all[next].0);
            next += 1;
        }
        if seen.last().is_some_and(|latest| latest > revision) {
            found.push(format!("{amendment:?} is ordered before what was accepted earlier"));
        }
    }
    found
}
