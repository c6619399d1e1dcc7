//! Which subjects of the view changed at which revision.
//!
//! Followers that are a little behind are sent the latest state of what changed since. Only the
//! subjects are kept for that: the content comes from the view, and the number of changes plays
//! no part.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use egret_record::{Revision, Subject};
use serde::{Deserialize, Serialize};

/// Memory for all subjects, in bytes; a follower that is further behind is sent the whole view.
const INDEX_BYTES_MAX: usize = 1024 * 1024;
/// Memory of one subject besides its name, in bytes: two nodes of trees and a shared cell.
const SUBJECT_BYTES: usize = 128;

/// The subjects that changed last, by the revision of their latest change.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "StoredIndex")]
pub(crate) struct ChangeIndex {
    /// The last revision whose changes are not all known any more.
    floor: Revision,
    by_revision: ByRevision,
    #[serde(skip)]
    latest: BTreeMap<Arc<Subject>, Revision>,
    #[serde(skip)]
    bytes: usize,
}

type ByRevision = BTreeMap<Revision, BTreeSet<Arc<Subject>>>;

/// A [`ChangeIndex`] as snapshots hold it.
#[derive(Deserialize)]
struct StoredIndex {
    floor: Revision,
    by_revision: ByRevision,
}

impl From<StoredIndex> for ChangeIndex {
    fn from(StoredIndex { floor, by_revision }: StoredIndex) -> Self {
        let latest: BTreeMap<_, _> = by_revision
            .iter()
            .flat_map(|(revision, subjects)| {
                subjects.iter().map(|subject| (subject.clone(), *revision))
            })
            .collect();
        let bytes = latest.keys().map(|subject| size(subject)).sum();
        Self { floor, by_revision, latest, bytes }
    }
}

impl ChangeIndex {
    /// Creates an index that knows no change up to `revision`.
    pub(crate) fn starting_at(revision: Revision) -> Self {
        Self { floor: revision, ..Self::default() }
    }

    /// Records that subjects changed at `revision`, the latest one.
    pub(crate) fn record(&mut self, subjects: Vec<Subject>, revision: Revision) {
        if subjects.iter().map(size).sum::<usize>() > INDEX_BYTES_MAX {
            *self = Self::starting_at(revision);
            return;
        }
        for subject in subjects {
            let subject = Arc::new(subject);
            match self.latest.insert(subject.clone(), revision) {
                Some(earlier) => self.remove(earlier, &subject),
                None => self.bytes += size(&subject),
            }
            self.by_revision.entry(revision).or_default().insert(subject);
        }
        while self.bytes > INDEX_BYTES_MAX
            && let Some((oldest, subjects)) = self.by_revision.pop_first()
        {
            self.floor = oldest;
            for subject in subjects {
                self.latest.remove(&subject);
                self.bytes -= size(&subject);
            }
        }
    }

    /// Returns whether all subjects that changed after `revision` are known.
    pub(crate) fn covers(&self, revision: Revision) -> bool {
        revision >= self.floor
    }

    /// Returns the subjects that changed after `revision`.
    pub(crate) fn after(&self, revision: Revision) -> impl Iterator<Item = &Subject> {
        let later = self.by_revision.range(revision.next()..);
        later.flat_map(|(_, subjects)| subjects).map(|subject| &**subject)
    }

    fn remove(&mut self, revision: Revision, subject: &Subject) {
        if let Some(subjects) = self.by_revision.get_mut(&revision) {
            subjects.remove(subject);
            if subjects.is_empty() {
                self.by_revision.remove(&revision);
            }
        }
    }
}

fn size(subject: &Subject) -> usize {
    SUBJECT_BYTES + subject.name().len()
}
