//! Consistency checks of what operators and lease holders saw.
//!
//! A history lists amendments and reads with the times of their requests and
//! replies, and samples of the views that holders had a lease on. The checks treat
//! each record as a linearizable register with compare-and-set, require that an
//! operation id has one outcome, and that no holder acts on a view older than a
//! change that was confirmed as in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The outcome of an amendment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Accepted at this revision.
    Accepted(u64),
    /// Rejected, as the record had another revision than expected.
    Conflict,
}

/// An amendment whose outcome is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Amendment {
    /// The operation id.
    pub id: String,
    /// The record.
    pub record: String,
    /// The expected revision of the record.
    pub expected: u64,
    /// The content that it writes.
    pub content: String,
    /// Time of the first request.
    pub sent: Duration,
    /// Time of the reply.
    pub replied: Duration,
    /// The outcome.
    pub outcome: Outcome,
}

/// A read of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// The record.
    pub record: String,
    /// Time of the request.
    pub sent: Duration,
    /// Time of the reply.
    pub replied: Duration,
    /// Revision and content that it returned. Revision zero means no record.
    pub found: (u64, String),
}

/// A sample of the view that a holder has a lease on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasedView {
    /// Time of the sample.
    pub time: Duration,
    /// The index of the holder.
    pub holder: usize,
    /// The revision of its view.
    pub revision: u64,
}

/// A confirmation that a revision is in force everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForce {
    /// Time of the confirmation.
    pub time: Duration,
    /// The revision.
    pub revision: u64,
}

/// Everything that was observed in a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// The amendments.
    pub amendments: Vec<Amendment>,
    /// The reads.
    pub reads: Vec<Read>,
    /// Samples of the views that holders had a lease on.
    pub leased_views: Vec<LeasedView>,
    /// Confirmations that a revision is in force.
    pub in_force: Vec<InForce>,
}

impl History {
    /// Lists all violations of the consistency guarantees.
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

    /// Returns the accepted amendments of each record, by revision.
    fn accepted(&self) -> BTreeMap<&str, Vec<(u64, &Amendment)>> {
        let mut accepted: BTreeMap<&str, BTreeMap<u64, &Amendment>> = BTreeMap::new();
        for amendment in &self.amendments {
            if let Outcome::Accepted(revision) = amendment.outcome {
                accepted.entry(&amendment.record).or_default().entry(revision).or_insert(amendment);
            }
        }
        accepted.into_iter().map(|(record, all)| (record, all.into_iter().collect())).collect()
    }

    /// Finds operation ids with two outcomes, and revisions with two operations.
    fn duplicate_outcomes(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut outcomes: BTreeMap<&str, Outcome> = BTreeMap::new();
        let mut winners: BTreeMap<u64, &str> = BTreeMap::new();
        for amendment in &self.amendments {
            let first = *outcomes.entry(&amendment.id).or_insert(amendment.outcome);
            if first != amendment.outcome {
                found.push(format!(
                    "{} ended as {first:?} and {:?}",
                    amendment.id, amendment.outcome
                ));
            }
            if let Outcome::Accepted(revision) = amendment.outcome {
                let winner = *winners.entry(revision).or_insert(&amendment.id);
                if winner != amendment.id {
                    found.push(format!(
                        "revision {revision} was given to {winner} and {}",
                        amendment.id
                    ));
                }
            }
        }
        found
    }

    /// Finds reads that miss an earlier accepted amendment, or return content never accepted.
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
                found.push(format!("{read:?} returns content that was never accepted"));
            }
        }
        found
    }

    /// Finds holders with a lease on a view older than a revision confirmed before.
    fn outdated_views(&self) -> Vec<String> {
        let mut confirmed = self.in_force.clone();
        confirmed.sort_by_key(|confirmation| confirmation.time);
        let mut found = Vec::new();
        for leased_view in &self.leased_views {
            let required = confirmed
                .iter()
                .take_while(|confirmation| confirmation.time < leased_view.time)
                .map(|w| w.revision)
                .max();
            if required.is_some_and(|revision| leased_view.revision < revision) {
                found
                    .push(format!("{leased_view:?} is older than what was in force, {required:?}"));
            }
        }
        found
    }
}

/// Finds accepted amendments whose expected revision was not the current one.
fn failed_expectations(accepted: &BTreeMap<&str, Vec<(u64, &Amendment)>>) -> Vec<String> {
    let mut found = Vec::new();
    for all in accepted.values() {
        let mut current = 0;
        for (revision, amendment) in all {
            if amendment.expected != current {
                found.push(format!("{amendment:?} followed revision {current}"));
            }
            current = *revision;
        }
    }
    found
}

/// Finds amendments that were sent after a later revision had been accepted.
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
            found.push(format!("{amendment:?} is ordered before an amendment accepted earlier"));
        }
    }
    found
}
